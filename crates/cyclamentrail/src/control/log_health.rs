//! Whether the platform's log can be reached, as this process last saw it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock;

/// Shortest time in seconds after which an operator is told to come back.
const MIN_RETRY_AFTER_S: u64 = 1;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1000;

/// Shared by the follower, the writer and the listeners.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogHealth {
    /// Clock in milliseconds of the next try; 0 while the log can be reached.
    retry_ms: Arc<AtomicU64>,
}

impl LogHealth {
    /// Notes that the log answered; returns whether it was down.
    pub(crate) fn up(&self) -> bool {
        self.retry_ms.swap(0, Ordering::Relaxed) != 0
    }

    /// Notes that the log can't be reached and is tried again after `pause`; returns whether it
    /// was up.
    pub(crate) fn down(&self, pause: Duration) -> bool {
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        let retry_ms = clock::now_ms().saturating_add(pause_ms).max(1);
        self.retry_ms.swap(retry_ms, Ordering::Relaxed) == 0
    }

    /// Returns whether the log can't be reached.
    pub(crate) fn is_down(&self) -> bool {
        self.retry_ms.load(Ordering::Relaxed) != 0
    }

    /// Returns the milliseconds until the log is tried again.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let retry_ms = self.retry_ms.load(Ordering::Relaxed);
        retry_ms.saturating_sub(clock::now_ms())
    }

    /// Returns the seconds after which a refused change may be tried again.
    pub(crate) fn retry_after_s(&self) -> u64 {
        self.retry_after_ms()
            .div_ceil(MS_PER_S)
            .max(MIN_RETRY_AFTER_S)
    }
}
