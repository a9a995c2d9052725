//! Takes bad servers out of routing, and back once they answer again.
//!
//! Each try moves a failure score. A server whose score is too high gets no requests for a
//! while, then single real ones as probes. A server that can't be spared, because the rest would
//! be fewer than the contract promises, is kept at one request at a time instead.
//!
//! ```
//! use cyclamentrail_core::{Health, Intake, TryResult};
//!
//! let mut health = Health::new();
//! health.note(TryResult::Unreachable, 0, true, 0.5);
//! assert_eq!(health.intake(1), Intake::Closed);
//! ```

mod health;

pub use health::{Health, HealthChange, Intake};

/// How a try went, as far as the server's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TryResult {
    /// It answered whole.
    Served,
    /// It answered whole, and has become many times slower than its peers.
    Slow,
    /// It refused because its slots are taken.
    Refused,
    /// It refused because it leaves.
    Leaving,
    /// No connection could be opened.
    Unreachable,
    /// It answered that it failed.
    ServerError,
    /// It gave no whole answer: a lost connection, garbage, or nothing within the time limit.
    Broken,
}

/// Returns whether one more server may be ejected, so that the rest still meets the promise.
#[must_use]
pub const fn may_eject(instances: usize, ejected: usize, promised: u32) -> bool {
    instances.saturating_sub(ejected + 1) >= promised as usize
}
