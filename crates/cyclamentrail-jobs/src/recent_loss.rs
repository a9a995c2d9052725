//! What the loss of a worker tells about others.

use crate::Now;
use crate::worker::Worker;

/// Time in milliseconds for which a loss casts doubt on other workers; the registry drops those that
/// were lost with it before.
const DOUBT_MS: u64 = 6_000;
/// Time before a loss is noticed within which a response shows that a worker wasn't lost before, in
/// milliseconds; longer than a worker may hold a poll.
const HEARD_BEFORE_MS: u64 = 1_500;
/// Time before a loss is noticed within which a worker's start shows the same, in milliseconds: idle
/// workers aren't called, so that their loss is noticed late.
const STARTED_BEFORE_MS: u64 = 4_000;

/// Loss of a worker, which may have been lost together with others that nothing was heard of since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecentLoss {
    /// Time at which the loss was noticed.
    pub noticed: Now,
}

impl RecentLoss {
    /// Returns whether the loss still casts doubt on other workers.
    #[must_use]
    pub const fn is_recent(self, now: Now) -> bool {
        now.boot_ms < self.noticed.boot_ms + DOUBT_MS
    }

    /// Returns whether a worker may have been lost with the other.
    #[must_use]
    pub const fn casts_doubt_on(self, worker: &Worker) -> bool {
        let is_heard =
            worker.heard_ms > 0 && worker.heard_ms + HEARD_BEFORE_MS >= self.noticed.boot_ms;
        let started_ms = worker.registration.started_ms;
        !is_heard && started_ms + STARTED_BEFORE_MS < self.noticed.unix_ms
    }
}
