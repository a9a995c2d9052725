//! The permission of an entry to dispatch: a lease on the view that it routes from.
//!
//! A view is confirmed by the log, or, while the log can't be reached, by more than half of the
//! members. An eviction needs more than half of the members as witnesses, who confirm the evicted
//! entry no more, so that its last confirmation is older than the eviction's record.
//!
//! ```
//! use cyclamentrail_core::{Incarnation, Permit};
//!
//! let mut permit = Permit::new(Incarnation::new(1), 1_000);
//! permit.confirm_log(50);
//! assert_eq!(permit.valid_until_ms(&[Incarnation::new(1)]), 1_050);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;

/// Returns whether `counted` of `members` are more than half.
#[must_use]
pub const fn is_majority(counted: usize, members: usize) -> bool {
    counted * 2 > members
}

/// Returns whether `witnesses` of `members` are enough for an eviction: without them, the evicted
/// member and the rest are not more than half, so nobody permits it to dispatch any more.
#[must_use]
pub const fn can_evict(witnesses: usize, members: usize) -> bool {
    witnesses * 2 >= members
}

/// What an entry knows about its own permission, and what it promised about others.
///
/// Times are milliseconds of the entry's own monotonic clock.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Permit {
    own: Incarnation,
    lease_ms: u64,
    log_confirmed_ms: Option<u64>,
    peer_confirmed_ms: BTreeMap<Incarnation, u64>,
    witnessed: BTreeSet<Incarnation>,
}

impl Permit {
    /// Creates a permission that isn't valid yet.
    #[must_use]
    pub const fn new(own: Incarnation, lease_ms: u64) -> Self {
        Self {
            own,
            lease_ms,
            log_confirmed_ms: None,
            peer_confirmed_ms: BTreeMap::new(),
            witnessed: BTreeSet::new(),
        }
    }

    /// Sets the time in milliseconds for which a confirmation permits dispatch.
    pub const fn set_lease_ms(&mut self, lease_ms: u64) {
        self.lease_ms = lease_ms;
    }

    /// Notes that the log had no newer record than the entry has folded, asked at `asked_ms`.
    pub fn confirm_log(&mut self, asked_ms: u64) {
        self.log_confirmed_ms = self.log_confirmed_ms.max(Some(asked_ms));
    }

    /// Notes that a peer confirmed this entry, asked at `asked_ms`.
    ///
    /// The peer must not have witnessed this entry's eviction, and this entry must have folded
    /// all records that the peer has folded.
    pub fn confirm_peer(&mut self, peer: Incarnation, asked_ms: u64) {
        let confirmed_ms = self.peer_confirmed_ms.entry(peer).or_default();
        *confirmed_ms = (*confirmed_ms).max(asked_ms);
    }

    /// Promises not to confirm a peer any more, nor to count on it; there is no way back for that
    /// incarnation.
    pub fn witness(&mut self, gone: Incarnation) {
        self.witnessed.insert(gone);
    }

    /// Returns whether this entry may confirm a peer.
    #[must_use]
    pub fn may_confirm(&self, peer: Incarnation) -> bool {
        !self.witnessed.contains(&peer)
    }

    /// Returns the time in milliseconds at which a peer last confirmed this entry.
    #[must_use]
    pub fn peer_confirmed_ms(&self, peer: Incarnation) -> Option<u64> {
        self.peer_confirmed_ms.get(&peer).copied()
    }

    /// Forgets confirmations by peers that are no longer members; promises are kept for good.
    pub fn retain_members(&mut self, members: &[Incarnation]) {
        self.peer_confirmed_ms
            .retain(|peer, _| members.contains(peer));
    }

    /// Returns the time in milliseconds until which the entry may dispatch, given all members.
    ///
    /// Returns 0 when the entry is no member or was never confirmed.
    #[must_use]
    pub fn valid_until_ms(&self, members: &[Incarnation]) -> u64 {
        if !members.contains(&self.own) {
            return 0;
        }
        let confirmed_ms = self
            .log_confirmed_ms
            .max(self.majority_confirmed_ms(members));
        confirmed_ms.map_or(0, |confirmed_ms| confirmed_ms.saturating_add(self.lease_ms))
    }

    /// Returns the latest time at which this entry and the peers that confirmed it since were
    /// more than half of the members.
    fn majority_confirmed_ms(&self, members: &[Incarnation]) -> Option<u64> {
        let mut confirmed_ms: Vec<u64> = members
            .iter()
            .filter(|&&member| member != self.own && self.may_confirm(member))
            .filter_map(|&member| self.peer_confirmed_ms(member))
            .collect();
        confirmed_ms.sort_unstable_by(|left, right| right.cmp(left));
        (0..confirmed_ms.len())
            .find(|&index| is_majority(index + 2, members.len()))
            .map(|index| confirmed_ms[index])
    }
}
