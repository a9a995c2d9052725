//! In which order waiting jobs are served.
//!
//! Answers overload: jobs that can still be on time go before those that can't, the urgent and
//! the nearly late first, so that a queue that fell behind doesn't make everybody late.

use std::cmp::Reverse;

/// What is known of a waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Urgency of its route; 0 comes first.
    pub priority: u32,
    /// Whether its tasks run until it is cancelled.
    pub is_long_running: bool,
    /// Unix time in milliseconds until which it is on time.
    pub deadline_ms: u64,
    /// Time in milliseconds that its remaining chain takes.
    pub remaining_ms: u64,
}

/// Place in the order; lower ranks come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_late: bool,
    is_short_running: bool,
    priority: u32,
    deadline_ms: u64,
    remaining: Reverse<u64>,
}

impl Waiting {
    /// Returns the place of the job at a moment of Unix time in milliseconds.
    #[must_use]
    pub const fn rank(&self, now_ms: u64) -> Rank {
        let is_late = !self.is_long_running && now_ms + self.remaining_ms > self.deadline_ms;
        Rank {
            is_late,
            is_short_running: !self.is_long_running,
            priority: self.priority,
            deadline_ms: self.deadline_ms,
            remaining: Reverse(self.remaining_ms),
        }
    }
}
