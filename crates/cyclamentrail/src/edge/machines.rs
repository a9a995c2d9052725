//! The duties over machines: maintenance waves.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::node::Node;
use super::owner::OwnerMessage;
use super::takeover::Taken;

/// Time between two looks at the duties.
const INTERVAL: Duration = Duration::from_millis(500);

/// Holds the duties until they are given up or lost.
pub(crate) async fn run(
    node: Arc<Node>,
    taken: Taken,
    mut receiver: mpsc::UnboundedReceiver<OwnerMessage>,
) {
    loop {
        tokio::select! {
            message = receiver.recv() => match message {
                Some(OwnerMessage::Stop) | None => return,
                Some(_) => {}
            },
            () = tokio::time::sleep(INTERVAL) => {
                let is_newest = node
                    .owner(super::messages::FLEET_SHARD)
                    .is_some_and(|owner| owner.token == taken.token);
                if !is_newest {
                    return;
                }
            }
        }
    }
}
