//! Follows the log from an offset on.

use std::time::Duration;

use cyclamentrail_core::Offset;
use cyclamentrail_platform::{ReadAnswer, ReadRequest};
use tokio::sync::watch;

use super::backoff::Backoff;
use super::recovery::Recovery;
use super::{ControlHandle, ControlMessage, PlatformClient};
use crate::clock;

/// Most records of one read.
const MAX_RECORDS: u32 = 1000;
/// Pause while records are missing that the log no longer keeps.
const TRIMMED_PAUSE: Duration = Duration::from_millis(200);

/// Reads the log and sends what it reads to the control thread.
#[derive(Debug)]
pub(crate) struct Follower {
    /// Client of the log.
    pub(crate) platform: PlatformClient,
    /// The control thread.
    pub(crate) control: ControlHandle,
    /// Takes snapshots over.
    pub(crate) recovery: Recovery,
    /// Offset that the control thread folds next.
    pub(crate) folded: watch::Receiver<Offset>,
    /// Longest wait of one long poll.
    pub(crate) wait: Duration,
}

/// Follows the log until the process ends.
pub(crate) async fn follow_log(follower: Follower) {
    let Follower {
        platform,
        control,
        recovery,
        mut folded,
        wait,
    } = follower;
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let mut backoff = Backoff::new();
    let mut recovered = false;
    let mut from = Offset::default();
    loop {
        from = from.max(*folded.borrow_and_update());
        let asked_ms = clock::now_ms();
        let request = ReadRequest {
            from,
            max: MAX_RECORDS,
            wait_ms: if recovered { wait_ms } else { 0 },
        };
        match platform.read(request).await {
            Ok(answer) => {
                if control.health().up() {
                    log::info!("log_reached");
                }
                backoff.reset();
                if !recovered || answer.oldest > from {
                    recovered = true;
                    recover(&recovery, &control, &answer, from).await;
                    from = from.max(*folded.borrow_and_update());
                    continue;
                }
                if let Some(last) = answer.records.last() {
                    from = last.offset.next();
                }
                control
                    .send(ControlMessage::Records { answer, asked_ms })
                    .await;
            }
            Err(error) => {
                let pause = backoff.pause();
                if control.health().down(pause) {
                    log::warn!(error:% = error; "log_unreachable");
                }
                tokio::time::sleep(pause).await;
            }
        }
    }
}

async fn recover(recovery: &Recovery, control: &ControlHandle, answer: &ReadAnswer, from: Offset) {
    if answer.head == from {
        return;
    }
    let Some(fleet) = recovery.newest(from).await else {
        if answer.oldest > from {
            log::warn!(oldest:% = answer.oldest, from:% = from; "records_missing");
            tokio::time::sleep(TRIMMED_PAUSE).await;
        }
        return;
    };
    log::info!(next_offset:% = fleet.next_offset(), members = fleet.members().count(); "snapshot_found");
    control.take_snapshot(Box::new(fleet)).await;
}
