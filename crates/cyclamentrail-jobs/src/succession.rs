//! When a process takes over a shard that the platform's group deals to it.
//!
//! Answers groups that are dealt anew without need, as after an outage of the store or when
//! memberships lapse together: a takeover costs callers the time in which nobody owns the shard,
//! so that an owner which acts and is confirmed by the store keeps it, whoever it is dealt to.

/// Age of an owner's last confirmation from which it counts as cut off from the store, in
/// milliseconds; beyond the interval at which an idle owner asks for one.
const MAX_CONFIRMED_AGE_MS: u64 = 2_200;
/// Time for which this process has had the store's answers before it judges another's
/// confirmation, in milliseconds: after an outage the other one needs a moment too.
const CONNECTED_MS: u64 = 1_500;
/// Time for which a shard has been dealt here before it is taken for the sake of balance, in
/// milliseconds.
const SETTLED_MS: u64 = 4_000;
/// Shards that an owner has beyond ours before one is taken for the sake of balance.
const IMBALANCE: u64 = 2;

/// What is known of the process that last claimed a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incumbent {
    /// Nobody has claimed it.
    Nobody,
    /// It was claimed at this address, by a process or an ownership that has ended.
    Here,
    /// Its owner doesn't answer.
    Silent,
    /// The process that claimed it no longer acts as the owner.
    Ended,
    /// Its owner acts.
    Acting {
        /// Time since the store last confirmed it, in milliseconds.
        confirmed_age_ms: u64,
        /// Shards that it owns.
        shards: u64,
    },
}

/// What a process knows of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Time for which the store has answered it, in milliseconds.
    pub connected_ms: u64,
    /// Time for which the shard has been dealt to it, in milliseconds.
    pub dealt_ms: u64,
    /// Shards that it owns.
    pub shards: u64,
}

/// Returns whether a process should take over a shard that is dealt to it.
///
/// ```
/// use cyclamentrail_jobs::{Candidate, Incumbent, should_take_over};
///
/// let candidate = Candidate { connected_ms: 60_000, dealt_ms: 400, shards: 0 };
/// let acting = Incumbent::Acting { confirmed_age_ms: 300, shards: 1 };
/// assert!(should_take_over(Incumbent::Silent, candidate));
/// assert!(!should_take_over(acting, candidate));
/// ```
#[must_use]
pub const fn should_take_over(incumbent: Incumbent, candidate: Candidate) -> bool {
    match incumbent {
        Incumbent::Nobody | Incumbent::Here | Incumbent::Silent | Incumbent::Ended => true,
        Incumbent::Acting {
            confirmed_age_ms,
            shards,
        } => {
            let is_cut_off =
                confirmed_age_ms > MAX_CONFIRMED_AGE_MS && candidate.connected_ms >= CONNECTED_MS;
            let is_overloaded =
                shards >= candidate.shards + IMBALANCE && candidate.dealt_ms >= SETTLED_MS;
            is_cut_off || is_overloaded
        }
    }
}
