//! Whether and when a request is tried again.
//!
//! Only idempotent requests are tried again, or those that a server definitely refused. Every
//! further try is paid from a budget that earns a fixed share of a try with each request, so that
//! the tries never exceed `1 + ratio` times the requests, at whatever moment they are counted.
//!
//! ```
//! use cyclamentrail_core::RetryBudget;
//!
//! let mut budget = RetryBudget::new(0.1);
//! for _ in 0..10 {
//!     budget.earn();
//! }
//! assert!(budget.spend());
//! assert!(!budget.spend());
//! ```

use rand::Rng;

mod budget;

pub use budget::RetryBudget;

/// First pause before a further try, in microseconds.
const BASE_PAUSE_US: u64 = 2_000;
/// Longest pause before a further try, in microseconds.
const MAX_PAUSE_US: u64 = 100_000;
/// Further tries of one request, at most.
const MAX_RETRIES: u32 = 3;
/// Connections that one request may fail to open before it is given up.
const MAX_CONNECT_FAILURES: u32 = 4;

/// How one try ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TryEnd {
    /// No connection could be opened, or it ended before a byte was sent.
    ConnectFailed,
    /// The server said that it refused the request and ran nothing of it.
    Refused,
    /// The connection ended, or what came was no answer, after the request was sent.
    Lost,
    /// Nothing came for so long that the server seems stalled; the request may run on.
    Stalled,
    /// The whole answer says that the server failed.
    ServerError,
}

impl TryEnd {
    /// Returns whether nothing of the request can have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::Refused)
    }
}

/// One request's tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tries {
    idempotent: bool,
    deadline_us: u64,
    sent_again: u32,
    connect_failures: u32,
}

impl Tries {
    /// Creates the state of a request that wasn't tried yet.
    #[must_use]
    pub const fn new(idempotent: bool, deadline_us: u64) -> Self {
        Self {
            idempotent,
            deadline_us,
            sent_again: 0,
            connect_failures: 0,
        }
    }

    /// Returns the pause in microseconds before the next try, or `None` when there is none.
    ///
    /// A failed connection costs the servers nothing and is not paid from the budget.
    pub fn next(
        &mut self,
        end: TryEnd,
        now_us: u64,
        budget: &mut RetryBudget,
        random: &mut impl Rng,
    ) -> Option<u64> {
        if !end.is_not_run() && !self.idempotent {
            return None;
        }
        if end == TryEnd::ConnectFailed {
            self.connect_failures += 1;
            let again = self.connect_failures < MAX_CONNECT_FAILURES && now_us < self.deadline_us;
            return again.then_some(0);
        }
        let longest_us = (BASE_PAUSE_US << self.sent_again.min(10)).min(MAX_PAUSE_US);
        let pause_us = random.random_range(0..=longest_us);
        let in_time = now_us.saturating_add(pause_us) < self.deadline_us;
        if self.sent_again >= MAX_RETRIES || !in_time || !budget.spend() {
            return None;
        }
        self.sent_again += 1;
        Some(pause_us)
    }
}
