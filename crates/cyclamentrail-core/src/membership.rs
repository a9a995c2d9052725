//! One entry's view of the other entries: which of them run, which confirm this entry as a member,
//! and which should be evicted.
//!
//! [`Membership`] detects failures and proposes evictions. Whether an eviction takes effect is
//! decided by the fold of the log. A wrong suspicion therefore only delays work until the evicted
//! entry joins again; it never assigns one instance to two pools.
//!
//! ```
//! use cyclamentrail_core::{Incarnation, Membership, MembershipTiming};
//!
//! let timing = MembershipTiming::new(250, 2_000);
//! let own = Incarnation::new(1);
//! let mut membership = Membership::new(own, timing, 0);
//! membership.update_members(&[own, Incarnation::new(2)], 0);
//! assert_eq!(membership.peers_due(0), [Incarnation::new(2)]);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use crate::heartbeat::Heartbeat;
use crate::id::{Incarnation, Offset, Version};
use crate::permit::{Permit, can_evict};

/// Heartbeat intervals without a message from the peer after which the passive side of a pair
/// sends a heartbeat itself.
const PASSIVE_WAIT_INTERVALS: u64 = 2;

/// Multiples of the suspicion timeout for which an entry writes to the log that it runs because a
/// peer doesn't respond; a peer that is silent for longer is ignored.
const SUSPICION_TIMEOUTS_UNTIL_IGNORED: u64 = 4;

/// Peers that receive a heartbeat in one interval; with more peers, each receives one less often.
const PEERS_PER_INTERVAL: usize = 8;

/// Heartbeat interval and dispatch lease that failure detection is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTiming {
    /// Interval in milliseconds between two heartbeats to a peer;
    /// [`Membership::exchange_interval_ms`] lengthens it when there are many peers.
    pub heartbeat_ms: u64,
    /// Time in milliseconds for which a confirmation permits the entry to dispatch.
    pub lease_ms: u64,
}

impl MembershipTiming {
    /// Creates the timing from the heartbeat interval and the dispatch lease, in milliseconds.
    #[must_use]
    pub const fn new(heartbeat_ms: u64, lease_ms: u64) -> Self {
        Self {
            heartbeat_ms,
            lease_ms,
        }
    }
}

/// State that a peer reported in its last heartbeat, and when the peer was last heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Offset of the record that the peer folds next.
    pub next_offset: Offset,
    /// Version of the settings that the peer has in force.
    pub settings_version: Version,
    /// Milliseconds since the log last confirmed the peer's state, as of its last heartbeat; `None`
    /// when the log never did.
    pub log_age_ms: Option<u64>,
    /// Whether the peer lacks records and can't read them from the log.
    pub wants_records: bool,
    /// Time in milliseconds at which the peer was last heard of, by a heartbeat or through the log.
    pub last_heard_ms: u64,
    /// Time in milliseconds of the last heartbeat from the peer.
    heard_directly_ms: u64,
    /// Time in milliseconds at which this entry last began an exchange with the peer.
    last_sent_ms: Option<u64>,
    /// Whether the response to the last heartbeat to the peer is outstanding.
    in_flight: bool,
    /// Newest stamp of the peer's clock, echoed in the next heartbeat to the peer.
    peer_stamp_ms: Option<u64>,
    /// Members that the peer suspects.
    suspects: BTreeSet<Incarnation>,
    /// Members that the peer promised never to confirm again.
    witnessed: BTreeSet<Incarnation>,
}

impl PeerStatus {
    const fn new(now_ms: u64) -> Self {
        Self {
            next_offset: Offset::new(0),
            settings_version: Version::new(0),
            log_age_ms: None,
            wants_records: false,
            last_heard_ms: now_ms,
            heard_directly_ms: now_ms,
            last_sent_ms: None,
            in_flight: false,
            peer_stamp_ms: None,
            suspects: BTreeSet::new(),
            witnessed: BTreeSet::new(),
        }
    }
}

/// A proposed eviction that enough members have promised to support.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Eviction {
    /// Member to evict.
    pub evicted: Incarnation,
    /// Members that promised never to confirm the evicted member again; at least half of all
    /// members.
    pub witnesses: BTreeSet<Incarnation>,
}

/// One entry's view of the other entries.
///
/// All times are milliseconds of this entry's own monotonic clock.
#[derive(Debug, Clone)]
pub struct Membership {
    own_incarnation: Incarnation,
    timing: MembershipTiming,
    permit: Permit,
    /// Time in milliseconds of the last query that showed this entry's state to be the newest.
    log_confirmed_ms: Option<u64>,
    peers: BTreeMap<Incarnation, PeerStatus>,
    /// Members whose eviction this entry asks its peers to witness.
    eviction_targets: BTreeSet<Incarnation>,
    /// Members that this entry promised never to confirm again.
    witnessed: BTreeSet<Incarnation>,
    /// Time in milliseconds of the last update of the members; a long gap shows that this process
    /// was paused.
    updated_ms: u64,
}

impl Membership {
    /// Creates the view of a process that knows no other member yet.
    #[must_use]
    pub const fn new(own_incarnation: Incarnation, timing: MembershipTiming, now_ms: u64) -> Self {
        Self {
            own_incarnation,
            timing,
            permit: Permit::new(own_incarnation, timing.lease_ms),
            log_confirmed_ms: None,
            peers: BTreeMap::new(),
            eviction_targets: BTreeSet::new(),
            witnessed: BTreeSet::new(),
            updated_ms: now_ms,
        }
    }

    /// Replaces the timing after a change of the settings.
    pub fn set_timing(&mut self, timing: MembershipTiming) {
        if timing != self.timing {
            self.timing = timing;
            self.permit.set_lease_ms(timing.lease_ms);
        }
    }

    /// Replaces the set of members; `members` may include this entry.
    ///
    /// When more than half a lease has passed since the last call, this process was paused and
    /// couldn't receive heartbeats. All peers then count as heard of now, so that the pause doesn't
    /// make them suspects.
    pub fn update_members(&mut self, members: &[Incarnation], now_ms: u64) {
        let paused_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        for &member in members
            .iter()
            .filter(|&&member| member != self.own_incarnation)
        {
            self.peers
                .entry(member)
                .or_insert_with(|| PeerStatus::new(now_ms));
        }
        self.peers.retain(|peer, _| members.contains(peer));
        self.eviction_targets
            .retain(|evicted| members.contains(evicted));
        self.witnessed.retain(|evicted| members.contains(evicted));
        self.permit.retain_members(members);
        if paused_ms > self.timing.lease_ms / 2 {
            for peer in self.peers.values_mut() {
                peer.last_heard_ms = now_ms;
                peer.heard_directly_ms = now_ms;
            }
        }
    }

    /// Records that the log, queried at `queried_ms`, held no newer record than this entry has
    /// folded.
    pub fn record_log_confirmation(&mut self, queried_ms: u64) {
        self.log_confirmed_ms = self.log_confirmed_ms.max(Some(queried_ms));
        self.permit.record_log_confirmation(queried_ms);
    }

    /// Records that a member wrote to the log, which shows that the member runs.
    pub fn record_log_write(&mut self, author: Incarnation, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(&author) {
            peer.last_heard_ms = peer.last_heard_ms.max(now_ms);
        }
    }

    /// Returns whether the log confirmed this entry's state within the last dispatch lease.
    #[must_use]
    pub fn reaches_log(&self, now_ms: u64) -> bool {
        self.log_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms <= self.timing.lease_ms)
    }

    /// Returns the time in milliseconds until which this entry may dispatch; 0 when the entry is no
    /// member or was never confirmed.
    #[must_use]
    pub fn valid_until_ms(&self, members: &[Incarnation]) -> u64 {
        self.permit.valid_until_ms(members)
    }

    /// Returns the status of a peer; `None` when no other member has this incarnation.
    #[must_use]
    pub fn peer(&self, peer: Incarnation) -> Option<&PeerStatus> {
        self.peers.get(&peer)
    }

    /// Returns the peers that this entry should send a heartbeat to now.
    ///
    /// In each pair, only the entry with the lower incarnation begins exchanges. The other one
    /// begins them too when it has received no heartbeat for two exchange intervals.
    #[must_use]
    pub fn peers_due(&self, now_ms: u64) -> Vec<Incarnation> {
        let exchange_interval_ms = self.exchange_interval_ms(now_ms);
        let passive_wait_ms = exchange_interval_ms * PASSIVE_WAIT_INTERVALS;
        self.peers
            .iter()
            .filter(|(_, status)| !status.in_flight)
            .filter(|(_, status)| {
                status
                    .last_sent_ms
                    .is_none_or(|sent_ms| now_ms.saturating_sub(sent_ms) >= exchange_interval_ms)
            })
            .filter(|&(&peer, status)| {
                self.own_incarnation < peer
                    || now_ms.saturating_sub(status.heard_directly_ms) > passive_wait_ms
            })
            .map(|(&peer, _)| peer)
            .collect()
    }

    /// Begins an exchange with a peer and returns the heartbeat to send.
    pub fn begin_exchange(&mut self, peer: Incarnation, now_ms: u64) -> Heartbeat {
        if let Some(status) = self.peers.get_mut(&peer) {
            status.last_sent_ms = Some(now_ms);
            status.in_flight = true;
        }
        self.heartbeat_for(peer, now_ms)
    }

    /// Returns the heartbeat to send to a peer now.
    ///
    /// The caller sets the offset, the settings version and the records.
    #[must_use]
    pub fn heartbeat_for(&self, peer: Incarnation, now_ms: u64) -> Heartbeat {
        let mut heartbeat = Heartbeat::new(self.own_incarnation, now_ms);
        let status = self.peers.get(&peer);
        heartbeat.echo_ms = status.and_then(|status| status.peer_stamp_ms);
        heartbeat.confirms_receiver = status.is_some() && self.permit.may_confirm(peer);
        heartbeat.log_age_ms = self.log_age_ms(now_ms);
        heartbeat.suspects = self.suspects(now_ms);
        heartbeat.eviction_targets = self.eviction_targets.iter().copied().collect();
        heartbeat.witnessed = self.witnessed.iter().copied().collect();
        heartbeat
    }

    /// Ends an exchange that a peer didn't respond to.
    pub fn record_no_response(&mut self, peer: Incarnation) {
        if let Some(status) = self.peers.get_mut(&peer) {
            status.in_flight = false;
        }
    }

    /// Handles a heartbeat from a peer, received as a request or as a response.
    ///
    /// The records that the heartbeat carries must have been folded before; `own_next` is the
    /// offset of the record that this entry folds next. The heartbeat renews the permission to
    /// dispatch only when this entry has folded all records that the peer has folded.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, own_next: Offset, now_ms: u64) {
        let Some(status) = self.peers.get_mut(&heartbeat.from) else {
            return;
        };
        status.in_flight = false;
        status.last_heard_ms = now_ms;
        status.heard_directly_ms = now_ms;
        status.peer_stamp_ms = status.peer_stamp_ms.max(Some(heartbeat.stamp_ms));
        status.next_offset = status.next_offset.max(heartbeat.next_offset);
        status.settings_version = status.settings_version.max(heartbeat.settings_version);
        status.log_age_ms = heartbeat.log_age_ms;
        status.wants_records = heartbeat.wants_records;
        status.suspects = heartbeat.suspects.iter().copied().collect();
        status.witnessed = heartbeat.witnessed.iter().copied().collect();
        if heartbeat.confirms_receiver
            && own_next >= heartbeat.next_offset
            && let Some(echo_ms) = heartbeat.echo_ms.filter(|&echo_ms| echo_ms <= now_ms)
        {
            self.permit.confirm_peer(heartbeat.from, echo_ms);
        }
        for &evicted in &heartbeat.eviction_targets {
            if self.is_suspected(evicted, now_ms) {
                self.promise_not_to_confirm(evicted);
            }
        }
    }

    /// Returns whether a member hasn't been heard of for longer than the suspicion timeout.
    #[must_use]
    pub fn is_suspected(&self, member: Incarnation, now_ms: u64) -> bool {
        self.peers.get(&member).is_some_and(|status| {
            now_ms.saturating_sub(status.last_heard_ms) > self.suspicion_timeout_ms(now_ms)
        })
    }

    /// Returns whether at least half of the members, this entry among them, suspect a member.
    ///
    /// Only reports of peers that aren't suspected themselves count.
    #[must_use]
    pub fn is_suspected_by_half(&self, member: Incarnation, now_ms: u64) -> bool {
        if !self.is_suspected(member, now_ms) {
            return false;
        }
        let agreeing_peers = self
            .peers
            .iter()
            .filter(|&(&peer, status)| {
                !self.is_suspected(peer, now_ms) && status.suspects.contains(&member)
            })
            .count();
        self.suffices_for_eviction(agreeing_peers + 1)
    }

    /// Returns whether this entry should write to the log that it runs, because it has received no
    /// heartbeat from some peer for longer than the lease.
    #[must_use]
    pub fn is_cut_off_from_peer(&self, now_ms: u64) -> bool {
        let ignored_after_ms = self.suspicion_timeout_ms(now_ms) * SUSPICION_TIMEOUTS_UNTIL_IGNORED;
        self.peers.values().any(|status| {
            now_ms.saturating_sub(status.heard_directly_ms) > self.timing.lease_ms
                && now_ms.saturating_sub(status.last_heard_ms) < ignored_after_ms
        })
    }

    /// Returns whether a member hadn't reached the log for longer than the suspicion timeout when
    /// it sent its last heartbeat; `false` when the heartbeat held no log age.
    #[must_use]
    pub fn cannot_reach_log(&self, member: Incarnation, now_ms: u64) -> bool {
        self.peers.get(&member).is_some_and(|status| {
            let suspicion_timeout_ms = self.suspicion_timeout_ms(now_ms);
            status
                .log_age_ms
                .is_some_and(|age_ms| age_ms > suspicion_timeout_ms)
        })
    }

    /// Returns the lowest incarnation among this entry and the peers that aren't suspected and
    /// reach the log.
    ///
    /// This member claims the fleet duty when the duty has no holder.
    #[must_use]
    pub fn lowest_live_member(&self, now_ms: u64) -> Incarnation {
        self.peers
            .keys()
            .copied()
            .find(|&peer| !self.is_suspected(peer, now_ms) && !self.cannot_reach_log(peer, now_ms))
            .map_or(self.own_incarnation, |peer| peer.min(self.own_incarnation))
    }

    /// Returns the interval in milliseconds between two exchanges with a peer.
    ///
    /// The interval grows with the number of peers, to bound the number of heartbeats. While the
    /// log can't be reached, the permission to dispatch depends on confirmations by peers, and the
    /// interval stays at [`MembershipTiming::heartbeat_ms`] whatever the number of peers.
    #[must_use]
    pub fn exchange_interval_ms(&self, now_ms: u64) -> u64 {
        let intervals_per_exchange = if self.reaches_log(now_ms) {
            self.peers.len().div_ceil(PEERS_PER_INTERVAL).max(1)
        } else {
            1
        };
        self.timing.heartbeat_ms * intervals_per_exchange as u64
    }

    /// Returns the time in milliseconds since a member was last heard of after which the member is
    /// suspected.
    #[must_use]
    pub fn suspicion_timeout_ms(&self, now_ms: u64) -> u64 {
        let exchange_interval_ms = self.exchange_interval_ms(now_ms);
        self.timing.lease_ms + exchange_interval_ms + exchange_interval_ms / 2
    }

    /// Returns the evictions that enough members witness.
    ///
    /// For each member that at least half of the members suspect, this entry promises not to
    /// confirm the member any more, and its next heartbeats ask the peers for the same promise.
    pub fn propose_evictions(&mut self, now_ms: u64) -> Vec<Eviction> {
        let suspected_by_half: BTreeSet<Incarnation> = self
            .peers
            .keys()
            .copied()
            .filter(|&peer| self.is_suspected_by_half(peer, now_ms))
            .collect();
        for &evicted in &suspected_by_half {
            self.promise_not_to_confirm(evicted);
        }
        self.eviction_targets.clone_from(&suspected_by_half);
        suspected_by_half
            .into_iter()
            .map(|evicted| Eviction {
                evicted,
                witnesses: self.witnesses_of(evicted),
            })
            .filter(|eviction| self.suffices_for_eviction(eviction.witnesses.len()))
            .collect()
    }

    /// Stops asking the peers to witness evictions; called while this entry neither holds nor
    /// claims the fleet duty.
    pub fn withdraw_evictions(&mut self) {
        self.eviction_targets.clear();
    }

    fn promise_not_to_confirm(&mut self, evicted: Incarnation) {
        self.permit.witness_eviction(evicted);
        self.witnessed.insert(evicted);
    }

    fn witnesses_of(&self, evicted: Incarnation) -> BTreeSet<Incarnation> {
        let mut witnesses: BTreeSet<Incarnation> = self
            .peers
            .iter()
            .filter(|(_, status)| status.witnessed.contains(&evicted))
            .map(|(&peer, _)| peer)
            .collect();
        witnesses.insert(self.own_incarnation);
        witnesses.remove(&evicted);
        witnesses
    }

    fn suspects(&self, now_ms: u64) -> Vec<Incarnation> {
        self.peers
            .keys()
            .copied()
            .filter(|&peer| self.is_suspected(peer, now_ms))
            .collect()
    }

    /// Returns whether the members that aren't witnesses, the evicted one among them, are no
    /// majority, so that they can't permit the evicted member to dispatch.
    fn suffices_for_eviction(&self, witness_count: usize) -> bool {
        can_evict(witness_count, self.peers.len() + 1)
    }

    fn log_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.log_confirmed_ms
            .map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms))
    }
}
