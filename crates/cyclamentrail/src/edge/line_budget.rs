//! Budget of log lines about events that callers can cause at any rate.

use std::sync::atomic::{AtomicU64, Ordering};

use super::clocks::boot_ms;
use crate::metrics;

/// Most lines in a window.
const MAX_LINES: u64 = 10;
/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Counts lines against a budget; lines beyond it are counted as omitted.
#[derive(Debug, Default)]
pub(crate) struct LineBudget {
    /// Boot time in milliseconds at which the current window began.
    window_start_ms: AtomicU64,
    lines: AtomicU64,
}

impl LineBudget {
    /// Takes one line from the budget; returns whether one remained.
    pub(crate) fn take_line(&self) -> bool {
        let now_ms = boot_ms();
        let start_ms = self.window_start_ms.load(Ordering::Relaxed);
        if now_ms.saturating_sub(start_ms) >= WINDOW_MS {
            self.window_start_ms.store(now_ms, Ordering::Relaxed);
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES {
            return true;
        }
        metrics::count_omitted_lines(1);
        false
    }
}
