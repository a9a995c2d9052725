//! Outlier ejection: removes failing backend servers from routing until they respond again.
//!
//! Each attempt changes the failure score of its server. A server whose score is too high is
//! ejected: it gets no requests for some time, then single real requests as probes. If ejecting it
//! would leave fewer servers than the contract promises, the server is throttled to one request at
//! a time instead.
//!
//! ```
//! use cyclamentrail_core::{AttemptResult, Eligibility, Health};
//!
//! let mut health = Health::new();
//! health.record_attempt(AttemptResult::Unreachable, 0, true, 0.5);
//! assert_eq!(health.eligibility(1), Eligibility::Closed);
//! ```

mod health;

pub use health::{Eligibility, Health, HealthChange};

/// Result of one attempt at a server, as far as the server's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// The server sent a whole response.
    Served,
    /// The server sent a whole response, but its mean response time is many times that of the
    /// service.
    Slow,
    /// The server refused the request because all its slots are taken.
    Refused,
    /// The server refused the request because it is shutting down.
    Leaving,
    /// No connection to the server could be opened.
    Unreachable,
    /// The server responded with a server error.
    ServerError,
    /// The server sent no whole response: the connection was lost, the response was malformed, or
    /// nothing came within the time limit.
    Broken,
}

/// Returns whether one more of `instances` servers may be ejected, so that at least `promised` ones
/// remain in routing.
#[must_use]
pub const fn may_eject(instances: usize, ejected: usize, promised: u32) -> bool {
    instances.saturating_sub(ejected + 1) >= promised as usize
}
