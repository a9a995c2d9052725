//! Follows the workers' registrations in the store.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{KeyedRow, RegistryChange, decode_registration};

use super::node::{Node, Workers};
use super::topic::{Read, Topic};

/// The workers' topic.
const TOPIC: &str = "servers";
/// Time between two reads of a process that owns a shard; many workers write at once, so each
/// read takes in several.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads of a process that owns nothing.
const IDLE_INTERVAL: Duration = Duration::from_millis(800);

/// Follows the registry for as long as the process runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut topic = Topic::new(TOPIC);
    loop {
        match topic.read(&node.store, Duration::ZERO).await {
            Read::All(rows) => {
                let mut workers = Workers::new();
                take(&mut workers, &rows);
                node.workers.send_replace(Arc::new(workers));
            }
            Read::More(rows) if !rows.is_empty() => node
                .workers
                .send_modify(|workers| take(Arc::make_mut(workers), &rows)),
            Read::More(_) => {}
        }
        let owns = node.owns_any();
        tokio::time::sleep(if owns { INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

fn take(workers: &mut Workers, rows: &[KeyedRow]) {
    for row in rows {
        match decode_registration(row) {
            RegistryChange::Listed(registration) => {
                workers.insert(row.key.clone(), *registration);
            }
            RegistryChange::Gone(_) => {
                workers.remove(&row.key);
            }
            RegistryChange::Unreadable(id) => {
                log::warn!(worker:% = id, offset = row.offset; "registration_unreadable");
                workers.remove(&row.key);
            }
        }
    }
}
