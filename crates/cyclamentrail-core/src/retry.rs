//! Decides whether and when a request is retried.
//!
//! A request is retried only if it is idempotent, or if nothing of it can have run. Each retry is
//! paid from a budget to which every request adds a fixed fraction of a retry. The attempts
//! therefore never exceed `1 + ratio` times the requests, at whatever moment they are counted;
//! attempts that failed to connect don't count.
//!
//! ```
//! use cyclamentrail_core::RetryBudget;
//!
//! let mut budget = RetryBudget::new(0.1);
//! for _ in 0..10 {
//!     budget.deposit();
//! }
//! assert!(budget.try_withdraw());
//! assert!(!budget.try_withdraw());
//! ```

use rand::Rng;

mod budget;

pub use budget::RetryBudget;

/// Longest pause before the first retry, in microseconds; it doubles with each further one.
const BASE_PAUSE_US: u64 = 2_000;
/// Longest pause before any retry, in microseconds.
const MAX_PAUSE_US: u64 = 100_000;
/// Maximum number of retries of one request, not counting those after failed connections.
const MAX_RETRIES: u32 = 3;
/// Failed connections after which a request is given up.
const MAX_CONNECT_FAILURES: u32 = 4;

/// How an attempt at one server ended without a response to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// No connection could be opened, or it ended before any byte of the request was sent.
    ConnectFailed,
    /// The server refused the request and declared that it ran nothing of it.
    Refused,
    /// After the request was sent, the connection ended or the response was malformed.
    Lost,
    /// No response came for so long that the server seems stalled; the request may still run.
    Stalled,
    /// The server responded with a server error.
    ServerError,
}

impl AttemptEnd {
    /// Returns whether nothing of the request can have run, so that any request may be retried.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::Refused)
    }
}

/// Retry state of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryState {
    idempotent: bool,
    deadline_us: u64,
    retries: u32,
    connect_failures: u32,
}

impl RetryState {
    /// Creates the state of a request that wasn't sent to any server yet.
    #[must_use]
    pub const fn new(idempotent: bool, deadline_us: u64) -> Self {
        Self {
            idempotent,
            deadline_us,
            retries: 0,
            connect_failures: 0,
        }
    }

    /// Returns the pause in microseconds before the next attempt, or `None` when the request isn't
    /// retried.
    ///
    /// An attempt after a failed connection needs no pause and isn't paid from the budget, since a
    /// failed connection costs the servers nothing.
    pub fn next_pause_us(
        &mut self,
        end: AttemptEnd,
        now_us: u64,
        budget: &mut RetryBudget,
        random: &mut impl Rng,
    ) -> Option<u64> {
        if !end.is_not_run() && !self.idempotent {
            return None;
        }
        if end == AttemptEnd::ConnectFailed {
            self.connect_failures += 1;
            let may_retry =
                self.connect_failures < MAX_CONNECT_FAILURES && now_us < self.deadline_us;
            return may_retry.then_some(0);
        }
        let longest_us = (BASE_PAUSE_US << self.retries.min(10)).min(MAX_PAUSE_US);
        let pause_us = random.random_range(0..=longest_us);
        let in_time = now_us.saturating_add(pause_us) < self.deadline_us;
        if self.retries >= MAX_RETRIES || !in_time || !budget.try_withdraw() {
            return None;
        }
        self.retries += 1;
        Some(pause_us)
    }
}
