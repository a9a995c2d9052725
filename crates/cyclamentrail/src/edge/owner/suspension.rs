//! Notices that the process was suspended: rounds of the owner come later than planned.
//!
//! While a process is suspended, another one may find that it doesn't respond, and take its shards
//! over. The owner learns of that from the store, but may have to answer a caller before.

use std::time::Duration;

use crate::edge::clocks::{boot_ms, whole_ms};

/// Delay of a round from which the process may have been suspended, in milliseconds; shorter than
/// the time for which an owner must be silent before another process takes over.
const MIN_DELAY_MS: u64 = 250;

/// Record of the last suspension. All times are on the boot-time clock, which goes on during one.
#[derive(Debug)]
pub(super) struct Suspension {
    /// Time by which the next round is due, in milliseconds.
    next_round_ms: u64,
    /// Time at which the process was last seen to go on, in milliseconds; 0 before.
    resumed_ms: u64,
}

impl Suspension {
    /// Creates the record of a process that runs.
    pub(super) fn new() -> Self {
        Self {
            next_round_ms: boot_ms(),
            resumed_ms: 0,
        }
    }

    /// Records that the next round is due after `wait`.
    pub(super) fn plan_round(&mut self, wait: Duration) {
        self.next_round_ms = boot_ms().saturating_add(whole_ms(wait));
    }

    /// Looks whether the process was suspended since the last call.
    pub(super) fn notice(&mut self) {
        let now_ms = boot_ms();
        if now_ms > self.next_round_ms.saturating_add(MIN_DELAY_MS) {
            self.resumed_ms = now_ms;
            self.next_round_ms = now_ms;
        }
    }

    /// Returns the time at which the process was last seen to go on, in milliseconds; 0 if it never
    /// was suspended.
    pub(super) const fn resumed_ms(&self) -> u64 {
        self.resumed_ms
    }
}
