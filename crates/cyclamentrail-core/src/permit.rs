//! Permit of an entry process to dispatch requests: a lease on the view from which it routes.
//!
//! A permit is renewed by a confirmation that the view is current: from the log or, while the log
//! can't be reached, from more than half of the members. An eviction needs so many witnesses that
//! the evicted entry can't reach such a majority without them. Witnesses no longer confirm the
//! evicted entry, so its last confirmation is older than the record of the eviction.
//!
//! ```
//! use cyclamentrail_core::{Incarnation, Permit};
//!
//! let mut permit = Permit::new(Incarnation::new(1), 1_000);
//! permit.record_log_confirmation(50);
//! assert_eq!(permit.valid_until_ms(&[Incarnation::new(1)]), 1_050);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;

/// Returns whether `counted` is more than half of `members`.
#[must_use]
pub const fn is_majority(counted: usize, members: usize) -> bool {
    counted * 2 > members
}

/// Returns whether `witnesses` of `members` are enough for an eviction.
///
/// They are when the members without the witnesses, the evicted one included, are not more than
/// half, so that no majority can confirm the evicted member any more.
#[must_use]
pub const fn can_evict(witnesses: usize, members: usize) -> bool {
    witnesses * 2 >= members
}

/// Confirmations that an entry process has received, and the evictions that it has witnessed.
///
/// Times are milliseconds of the entry's own monotonic clock.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Permit {
    own: Incarnation,
    lease_ms: u64,
    /// Time of the latest query to the log that confirmed the view.
    log_confirmed_ms: Option<u64>,
    /// Time of the latest message to each peer that the peer confirmed.
    peer_confirmed_ms: BTreeMap<Incarnation, u64>,
    /// Peers whose evictions this entry has witnessed.
    witnessed: BTreeSet<Incarnation>,
}

impl Permit {
    /// Creates a permit without confirmations, which is not valid yet.
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

    /// Sets the time in milliseconds for which a confirmation permits dispatch, from the moment at
    /// which it was requested.
    pub const fn set_lease_ms(&mut self, lease_ms: u64) {
        self.lease_ms = lease_ms;
    }

    /// Records that a query sent to the log at `requested_ms` found no record newer than those that
    /// this entry has folded.
    pub fn record_log_confirmation(&mut self, requested_ms: u64) {
        self.log_confirmed_ms = self.log_confirmed_ms.max(Some(requested_ms));
    }

    /// Records that a peer confirmed this entry in response to a message sent at `requested_ms`.
    ///
    /// The caller ensures that the peer hasn't witnessed this entry's eviction, and that this entry
    /// has folded all records that the peer has folded.
    pub fn confirm_peer(&mut self, peer: Incarnation, requested_ms: u64) {
        let confirmed_ms = self.peer_confirmed_ms.entry(peer).or_default();
        *confirmed_ms = (*confirmed_ms).max(requested_ms);
    }

    /// Records this entry as a witness of a peer's eviction.
    ///
    /// From now on this entry neither confirms the peer nor counts its confirmations. This can't be
    /// undone for that incarnation.
    pub fn witness_eviction(&mut self, evicted: Incarnation) {
        self.witnessed.insert(evicted);
    }

    /// Returns whether this entry may confirm a peer, which it may unless it witnessed the peer's
    /// eviction.
    #[must_use]
    pub fn may_confirm(&self, peer: Incarnation) -> bool {
        !self.witnessed.contains(&peer)
    }

    /// Returns the time in milliseconds of the request for the latest confirmation by a peer.
    #[must_use]
    pub fn peer_confirmed_ms(&self, peer: Incarnation) -> Option<u64> {
        self.peer_confirmed_ms.get(&peer).copied()
    }

    /// Removes the confirmations by peers that are no longer members; witnessed evictions are kept
    /// permanently.
    pub fn retain_members(&mut self, members: &[Incarnation]) {
        self.peer_confirmed_ms
            .retain(|peer, _| members.contains(peer));
    }

    /// Returns the time in milliseconds until which the entry may dispatch, given the list of all
    /// members.
    ///
    /// Returns 0 when the entry isn't a member or was never confirmed.
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

    /// Returns the latest time in milliseconds since which this entry and the peers that confirmed
    /// it make up more than half of the members.
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
