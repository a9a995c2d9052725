//! Follows the log from an offset on.

use std::time::Duration;

use cyclamentrail_core::Offset;
use cyclamentrail_platform::ReadRequest;

use super::{ControlHandle, ControlMessage, PlatformClient};
use crate::clock;

/// Most records of one read.
const MAX_RECORDS: u32 = 1000;
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Reads the log and sends what it reads to the control thread; `wait` bounds one long poll.
pub(crate) async fn follow_log(platform: PlatformClient, control: ControlHandle, wait: Duration) {
    let mut from = Offset::default();
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    loop {
        let asked_ms = clock::now_ms();
        let request = ReadRequest {
            from,
            max: MAX_RECORDS,
            wait_ms,
        };
        match platform.read(request).await {
            Ok(answer) => {
                if let Some(last) = answer.records.last() {
                    from = last.offset.next();
                }
                control
                    .send(ControlMessage::Records { answer, asked_ms })
                    .await;
            }
            Err(error) => {
                log::warn!(error:% = error; "log_read_failed");
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}
