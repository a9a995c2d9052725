//! Reachability of the platform's log, as of this process's last attempt.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock;

/// Shortest `Retry-After` of a refused change, in seconds.
const MIN_RETRY_AFTER_S: u64 = 1;
const MS_PER_S: u64 = 1000;

/// Reachability of the log, shared by the follower, the writer and the listeners.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogHealth {
    /// Clock in milliseconds of the next attempt; 0 while the log can be reached.
    next_attempt_ms: Arc<AtomicU64>,
}

impl LogHealth {
    /// Marks the log as reachable; returns whether it was marked as down.
    pub(crate) fn mark_up(&self) -> bool {
        self.next_attempt_ms.swap(0, Ordering::Relaxed) != 0
    }

    /// Marks the log as down, with the next attempt after `pause`; returns whether it was marked as
    /// reachable.
    pub(crate) fn mark_down(&self, pause: Duration) -> bool {
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        let next_attempt_ms = clock::now_ms().saturating_add(pause_ms).max(1);
        self.next_attempt_ms
            .swap(next_attempt_ms, Ordering::Relaxed)
            == 0
    }

    /// Returns whether the log is marked as down.
    pub(crate) fn is_down(&self) -> bool {
        self.next_attempt_ms.load(Ordering::Relaxed) != 0
    }

    /// Returns the milliseconds until the next attempt to reach the log; 0 while it can be reached.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let next_attempt_ms = self.next_attempt_ms.load(Ordering::Relaxed);
        next_attempt_ms.saturating_sub(clock::now_ms())
    }

    /// Returns the seconds after which a refused change may be submitted again, 1 or more.
    pub(crate) fn retry_after_s(&self) -> u64 {
        self.retry_after_ms()
            .div_ceil(MS_PER_S)
            .max(MIN_RETRY_AFTER_S)
    }
}
