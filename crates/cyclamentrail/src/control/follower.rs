//! Follows the log and recovers from missing records.

use std::time::Duration;

use cyclamentrail_core::Offset;
use cyclamentrail_platform::{ReadRequest, ReadResponse};
use tokio::sync::watch;

use super::backoff::Backoff;
use super::recovery::Recovery;
use super::{ControlHandle, ControlMessage, PlatformClient};
use crate::clock;

/// Largest number of records in one read.
const MAX_READ_RECORDS: u32 = 1000;
/// Pause before the next read while the log no longer has the next record and no newer state is
/// found.
const MISSING_RECORDS_PAUSE: Duration = Duration::from_millis(200);

/// Settings and clients of [`follow_log`].
#[derive(Debug)]
pub(crate) struct Follower {
    /// Client of the platform's log.
    pub(crate) platform: PlatformClient,
    /// Handle of the control thread, which gets the records.
    pub(crate) control: ControlHandle,
    /// Finds a newer state to start from when records are missing.
    pub(crate) recovery: Recovery,
    /// Offset of the record that the control thread folds next.
    pub(crate) next_offset: watch::Receiver<Offset>,
    /// Longest time that one long poll waits for new records.
    pub(crate) long_poll_wait: Duration,
}

/// Reads the log until the process ends and sends the records to the control thread.
///
/// The first read doesn't wait; after it, and whenever the log no longer has the next record, a
/// newer snapshot or peer's state is adopted if there is one.
pub(crate) async fn follow_log(follower: Follower) {
    let Follower {
        platform,
        control,
        recovery,
        mut next_offset,
        long_poll_wait,
    } = follower;
    let wait_ms = u64::try_from(long_poll_wait.as_millis()).unwrap_or(u64::MAX);
    let mut backoff = Backoff::new();
    let mut recovered = false;
    let mut from = Offset::default();
    loop {
        from = from.max(*next_offset.borrow_and_update());
        let requested_ms = clock::now_ms();
        let request = ReadRequest {
            from,
            max: MAX_READ_RECORDS,
            wait_ms: if recovered { wait_ms } else { 0 },
        };
        match platform.read(request).await {
            Ok(response) => {
                if control.health().mark_up() {
                    log::info!("log_reached");
                }
                backoff.reset();
                if !recovered || response.oldest > from {
                    recovered = true;
                    recover(&recovery, &control, &response, from).await;
                    from = from.max(*next_offset.borrow_and_update());
                    continue;
                }
                if let Some(last) = response.records.last() {
                    from = last.offset.next();
                }
                control
                    .send(ControlMessage::Records {
                        response,
                        requested_ms,
                    })
                    .await;
            }
            Err(error) => {
                let pause = backoff.next_pause();
                if control.health().mark_down(pause) {
                    log::warn!(error:% = error; "log_unreachable");
                }
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Offers the newest state to the control thread; pauses when there is none and records are
/// missing.
async fn recover(
    recovery: &Recovery,
    control: &ControlHandle,
    response: &ReadResponse,
    from: Offset,
) {
    if response.head == from {
        return;
    }
    let Some(fleet) = recovery.newest_state(from).await else {
        if response.oldest > from {
            log::warn!(oldest:% = response.oldest, from:% = from; "records_missing");
            tokio::time::sleep(MISSING_RECORDS_PAUSE).await;
        }
        return;
    };
    log::info!(next_offset:% = fleet.next_offset(), members = fleet.members().count(); "snapshot_found");
    control.adopt_snapshot(Box::new(fleet)).await;
}
