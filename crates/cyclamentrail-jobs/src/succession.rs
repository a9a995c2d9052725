//! Decides when a process takes over a shard that the platform's group assigns to it.
//!
//! A group may rebalance without need, as after an outage of the store or when memberships lapse
//! together. A takeover costs callers the time in which the shard has no owner. An owner that is
//! active and confirmed by the store therefore keeps its shard, even when the group assigns it to
//! another process.

use crate::OwnerCapacity;

/// Age of the store's last confirmation from which an owner counts as cut off from the store, in
/// milliseconds; longer than the interval at which an idle owner requests one.
const MAX_CONFIRMED_AGE_MS: u64 = 2_200;
/// Time for which the store must have responded to this process before it judges another owner's
/// confirmation, in milliseconds. After an outage the owner needs a moment to reach the store
/// again, too.
const MIN_CONNECTED_MS: u64 = 1_500;
/// Time for which a shard must have been assigned to this process before it is taken over from an
/// owner with clearly less capacity, in milliseconds.
const MIN_UPGRADE_ASSIGNED_MS: u64 = 1_000;
/// Number of shards that an owner must have more than this process before one is taken over for
/// balance.
const MIN_IMBALANCE: u64 = 2;

/// Duration of a call from which the store counts as not having responded meanwhile, in milliseconds;
/// longer than the calls to a slow store take.
const MAX_RESPONSE_MS: u64 = 700;

/// Since when the store has responded to a process without a break.
///
/// A store that falls silent fails no call as long as it responds before the time limit, so that a
/// late response counts as a break too: otherwise a process would take shards over at the end of an
/// outage, from owners that it kept from confirming their ownership as well.
///
/// ```
/// use cyclamentrail_jobs::StoreContact;
///
/// let mut contact = StoreContact::new();
/// contact.record_response(1_000, 1_004);
/// assert_eq!(contact.since_ms(), Some(1_004));
/// contact.record_response(2_000, 4_400);
/// assert_eq!(contact.since_ms(), Some(4_400));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreContact {
    since_ms: Option<u64>,
}

impl StoreContact {
    /// Creates the contact of a process that has sent no call yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { since_ms: None }
    }

    /// Records a response; both times are in milliseconds on the process's boot clock.
    pub const fn record_response(&mut self, sent_ms: u64, received_ms: u64) {
        let is_late = received_ms > sent_ms + MAX_RESPONSE_MS;
        if is_late || self.since_ms.is_none() {
            self.since_ms = Some(received_ms);
        }
    }

    /// Records a call that failed.
    pub const fn record_failure(&mut self) {
        self.since_ms = None;
    }

    /// Returns the time since which the store has responded, in milliseconds on the process's boot
    /// clock; `None` if the last call failed or none was sent.
    #[must_use]
    pub const fn since_ms(self) -> Option<u64> {
        self.since_ms
    }
}

/// State of the process that last claimed a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incumbent {
    /// No process has claimed the shard.
    Nobody,
    /// The shard was claimed at this process's address, by an earlier process or an ownership that
    /// has ended.
    Here,
    /// The process that claimed the shard doesn't respond.
    Silent,
    /// The process that claimed the shard responds, and isn't the owner any more.
    Ended,
    /// The process that claimed the shard is its active owner.
    Acting {
        /// Time since the store last confirmed the ownership, in milliseconds.
        confirmed_age_ms: u64,
        /// Number of shards that the owner has.
        shards: u64,
        /// Capacity of the owner for all of its shards; `None` if it isn't known.
        capacity: Option<OwnerCapacity>,
    },
}

/// State of the process that considers the takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Time for which the store has responded to this process without a break, in milliseconds.
    pub connected_ms: u64,
    /// Time for which the shard has been assigned to this process, in milliseconds.
    pub assigned_ms: u64,
    /// Longest time for which a new owner waits for the leases of workers that it can't reach, in
    /// milliseconds. It waits anew for those of workers that its predecessor hasn't found silent.
    pub lease_wait_ms: u64,
    /// Number of shards that this process owns.
    pub shards: u64,
    /// Capacity of this process for all of its shards.
    pub capacity: OwnerCapacity,
}

/// Returns whether a process should take over a shard that is assigned to it: the shard has no
/// active owner, its owner is cut off from the store, its owner has too many shards, or its owner
/// has clearly less capacity for the shard. A takeover for balance isn't urgent and comes after the
/// leases that the present owner may wait for.
///
/// ```
/// use cyclamentrail_jobs::{Candidate, Incumbent, OwnerCapacity, should_take_over};
///
/// let capacity = OwnerCapacity::new(800);
/// let candidate = Candidate {
///     connected_ms: 60_000,
///     assigned_ms: 400,
///     lease_wait_ms: 9_600,
///     shards: 0,
///     capacity,
/// };
/// let acting = Incumbent::Acting { confirmed_age_ms: 300, shards: 1, capacity: Some(capacity) };
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
            capacity,
        } => {
            let is_cut_off = confirmed_age_ms > MAX_CONFIRMED_AGE_MS
                && candidate.connected_ms >= MIN_CONNECTED_MS;
            let own_share = candidate.capacity.per_shard(candidate.shards + 1);
            let is_better_off = match capacity {
                Some(capacity) => {
                    own_share.tasks_per_s() > capacity.per_shard(shards).tasks_per_s()
                }
                None => true,
            };
            let is_overloaded = shards >= candidate.shards + MIN_IMBALANCE
                && is_better_off
                && candidate.assigned_ms >= candidate.lease_wait_ms;
            let is_clearly_better_off = match capacity {
                Some(capacity) => {
                    candidate.capacity.is_clearly_above(capacity)
                        && own_share.is_clearly_above(capacity.per_shard(shards))
                }
                None => false,
            };
            let is_outclassed =
                is_clearly_better_off && candidate.assigned_ms >= MIN_UPGRADE_ASSIGNED_MS;
            is_cut_off || is_overloaded || is_outclassed
        }
    }
}

/// What a new owner knows of the end of the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// No process has claimed the shard before.
    Nobody,
    /// The previous owner may still act, as far as its last confirmation allows.
    Unknown,
    /// The previous owner has stopped acting.
    Released,
    /// The previous owner has stopped acting, and the store last confirmed it at a known time.
    ReleasedAfter {
        /// Time of that confirmation on this process's boot clock, in milliseconds, or later.
        confirmed_ms: u64,
    },
}

impl Predecessor {
    /// Returns for how long the previous owner, or one before it, may still act, in milliseconds.
    /// `told_ms` is what the previous owner told of those before it, and `valid_ms` for how long an
    /// owner acts after its last confirmation.
    ///
    /// All earlier owners were confirmed before this owner's claim, so that none acts for longer than
    /// `valid_ms` from then on.
    ///
    /// ```
    /// use cyclamentrail_jobs::Predecessor;
    ///
    /// assert_eq!(Predecessor::Released.earlier_acts_ms(Some(0), 5_000), 0);
    /// assert_eq!(Predecessor::Released.earlier_acts_ms(None, 5_000), 5_000);
    /// assert_eq!(Predecessor::Unknown.earlier_acts_ms(Some(0), 5_000), 5_000);
    /// ```
    #[must_use]
    pub const fn earlier_acts_ms(self, told_ms: Option<u64>, valid_ms: u64) -> u64 {
        match (self, told_ms) {
            (Self::Released | Self::ReleasedAfter { .. }, Some(told_ms)) => told_ms,
            _ => valid_ms,
        }
    }

    /// Returns the time from which a new holder of the duties over machines may send commands,
    /// `pause_ms` after the previous holder's last one. A holder sends commands for `valid_ms` after
    /// its last confirmation. All times are in milliseconds on this process's boot clock;
    /// `claimed_ms` is when the new holder's claim was confirmed.
    ///
    /// ```
    /// use cyclamentrail_jobs::Predecessor;
    ///
    /// let cut_off = Predecessor::ReleasedAfter { confirmed_ms: 10_000 };
    /// assert_eq!(cut_off.first_command_ms(12_500, 1_000, 3_500), 14_500);
    /// assert_eq!(Predecessor::Unknown.first_command_ms(12_500, 1_000, 3_500), 16_000);
    /// assert_eq!(Predecessor::Nobody.first_command_ms(12_500, 1_000, 3_500), 12_500);
    /// ```
    #[must_use]
    pub const fn first_command_ms(self, claimed_ms: u64, valid_ms: u64, pause_ms: u64) -> u64 {
        match self {
            Self::Nobody => claimed_ms,
            Self::Unknown | Self::Released => claimed_ms + pause_ms,
            Self::ReleasedAfter { confirmed_ms } => {
                let last_command_ms = confirmed_ms + valid_ms;
                let first_ms = last_command_ms + pause_ms;
                if first_ms < claimed_ms {
                    claimed_ms
                } else {
                    first_ms
                }
            }
        }
    }
}
