//! Polls the platform's instance list.

use super::{ControlHandle, ControlMessage, PlatformClient};
use crate::timer::Ticks;

/// Reads the list at each tick and sends it to the control thread.
pub(crate) async fn poll_list(platform: PlatformClient, control: ControlHandle, mut ticks: Ticks) {
    loop {
        match platform.list().await {
            Ok(list) => control.send(ControlMessage::List(list)).await,
            Err(error) => log::warn!(error:% = error; "list_read_failed"),
        }
        ticks.next().await;
    }
}
