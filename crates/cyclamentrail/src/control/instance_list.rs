//! Polling of the platform's instance list.

use super::{ControlHandle, ControlMessage, PlatformClient};
use crate::timer::Ticks;

/// Reads the list at each tick and sends it to the control thread; a failed read is logged and
/// retried at the next tick.
pub(crate) async fn poll_instance_list(
    platform: PlatformClient,
    control: ControlHandle,
    mut ticks: Ticks,
) {
    let mut tag = None;
    loop {
        match platform.list(tag.as_ref()).await {
            Ok(Some(tagged)) => {
                tag = tagged.tag;
                control.send(ControlMessage::List(tagged.list)).await;
            }
            Ok(None) => control.send(ControlMessage::ListUnchanged).await,
            Err(error) => log::warn!(error:% = error; "list_read_failed"),
        }
        ticks.next().await;
    }
}
