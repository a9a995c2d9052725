//! What an entry knows of the other entries: who runs, who confirms it, and who is to be evicted.
//!
//! It takes no decision about validity: the fold does. A wrong suspicion delays work and is
//! repaired by joining again; it never lets two pools have one instance.
//!
//! ```
//! use cyclamentrail_core::{Incarnation, Membership, MembershipTiming};
//!
//! let timing = MembershipTiming::new(250, 2_000);
//! let own = Incarnation::new(1);
//! let mut membership = Membership::new(own, timing, 0);
//! membership.refresh(&[own, Incarnation::new(2)], 0);
//! assert_eq!(membership.due(0), [Incarnation::new(2)]);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use crate::heartbeat::Heartbeat;
use crate::id::{Incarnation, Offset, Version};
use crate::permit::{Permit, can_evict};

/// Intervals without a message after which the side that waits asks itself.
const PATIENCE_INTERVALS: u64 = 2;

/// Multiples of the silence after which nobody writes to the log for a silent member's sake.
const SILENCES_UNTIL_FORGOTTEN: u64 = 4;

/// Peers that are asked in one interval; with more of them, each is asked less often.
const PEERS_PER_INTERVAL: usize = 8;

/// Times that membership goes by, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTiming {
    /// Interval between two exchanges with a peer, as long as there are few.
    pub heartbeat_ms: u64,
    /// Time for which a confirmation permits dispatch.
    pub lease_ms: u64,
}

impl MembershipTiming {
    /// Creates the timing that follows from an interval and a lease.
    #[must_use]
    pub const fn new(heartbeat_ms: u64, lease_ms: u64) -> Self {
        Self {
            heartbeat_ms,
            lease_ms,
        }
    }
}

/// What a peer last said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Offset of the record that it folds next.
    pub next_offset: Offset,
    /// Version of the settings that it has in force.
    pub settings_version: Version,
    /// Milliseconds since the log last confirmed its state.
    pub log_age_ms: Option<u64>,
    /// Whether it lacks records that it can't read from the log.
    pub wants_records: bool,
    /// Own clock in milliseconds when it was last heard of, directly or through the log.
    pub heard_ms: u64,
    direct_ms: u64,
    asked_ms: Option<u64>,
    in_flight: bool,
    stamp_ms: Option<u64>,
    suspects: BTreeSet<Incarnation>,
    witnessed: BTreeSet<Incarnation>,
}

impl PeerStatus {
    const fn new(now_ms: u64) -> Self {
        Self {
            next_offset: Offset::new(0),
            settings_version: Version::new(0),
            log_age_ms: None,
            wants_records: false,
            heard_ms: now_ms,
            direct_ms: now_ms,
            asked_ms: None,
            in_flight: false,
            stamp_ms: None,
            suspects: BTreeSet::new(),
            witnessed: BTreeSet::new(),
        }
    }
}

/// An eviction that enough members witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Eviction {
    /// The member that is gone.
    pub gone: Incarnation,
    /// Members that promised not to confirm it any more.
    pub witnesses: BTreeSet<Incarnation>,
}

/// The other entries as one entry sees them; all times are of its own monotonic clock.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Incarnation,
    timing: MembershipTiming,
    permit: Permit,
    log_confirmed_ms: Option<u64>,
    peers: BTreeMap<Incarnation, PeerStatus>,
    evicting: BTreeSet<Incarnation>,
    witnessed: BTreeSet<Incarnation>,
    looked_ms: u64,
}

impl Membership {
    /// Creates the knowledge of a process that knows nobody yet.
    #[must_use]
    pub const fn new(own: Incarnation, timing: MembershipTiming, now_ms: u64) -> Self {
        Self {
            own,
            timing,
            permit: Permit::new(own, timing.lease_ms),
            log_confirmed_ms: None,
            peers: BTreeMap::new(),
            evicting: BTreeSet::new(),
            witnessed: BTreeSet::new(),
            looked_ms: now_ms,
        }
    }

    /// Sets the timing, after a change of the settings.
    pub fn set_timing(&mut self, timing: MembershipTiming) {
        if timing != self.timing {
            self.timing = timing;
            self.permit.set_lease_ms(timing.lease_ms);
        }
    }

    /// Takes over who is a member.
    ///
    /// After a pause of this process nobody is suspected for the time that it didn't run.
    pub fn refresh(&mut self, members: &[Incarnation], now_ms: u64) {
        let slept_ms = now_ms.saturating_sub(self.looked_ms);
        self.looked_ms = self.looked_ms.max(now_ms);
        for &member in members.iter().filter(|&&member| member != self.own) {
            self.peers
                .entry(member)
                .or_insert_with(|| PeerStatus::new(now_ms));
        }
        self.peers.retain(|peer, _| members.contains(peer));
        self.evicting.retain(|gone| members.contains(gone));
        self.witnessed.retain(|gone| members.contains(gone));
        self.permit.retain_members(members);
        if slept_ms > self.timing.lease_ms / 2 {
            for peer in self.peers.values_mut() {
                peer.heard_ms = now_ms;
                peer.direct_ms = now_ms;
            }
        }
    }

    /// Notes that the log had no newer record than the entry has folded, asked at `asked_ms`.
    pub fn confirm_log(&mut self, asked_ms: u64) {
        self.log_confirmed_ms = self.log_confirmed_ms.max(Some(asked_ms));
        self.permit.confirm_log(asked_ms);
    }

    /// Notes that a member wrote to the log.
    pub fn hear_log(&mut self, author: Incarnation, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(&author) {
            peer.heard_ms = peer.heard_ms.max(now_ms);
        }
    }

    /// Returns whether the log confirmed this entry's state within the lease.
    #[must_use]
    pub fn reaches_log(&self, now_ms: u64) -> bool {
        self.log_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms <= self.timing.lease_ms)
    }

    /// Returns the time in milliseconds until which the entry may dispatch.
    #[must_use]
    pub fn valid_until_ms(&self, members: &[Incarnation]) -> u64 {
        self.permit.valid_until_ms(members)
    }

    /// Returns what a peer last said.
    #[must_use]
    pub fn peer(&self, peer: Incarnation) -> Option<&PeerStatus> {
        self.peers.get(&peer)
    }

    /// Returns the peers that are to be asked now.
    ///
    /// One of each two asks: the one with the lower incarnation, or both after silence.
    #[must_use]
    pub fn due(&self, now_ms: u64) -> Vec<Incarnation> {
        let interval_ms = self.interval_ms(now_ms);
        let patience_ms = interval_ms * PATIENCE_INTERVALS;
        self.peers
            .iter()
            .filter(|(_, status)| !status.in_flight)
            .filter(|(_, status)| {
                status
                    .asked_ms
                    .is_none_or(|asked_ms| now_ms.saturating_sub(asked_ms) >= interval_ms)
            })
            .filter(|&(&peer, status)| {
                self.own < peer || now_ms.saturating_sub(status.direct_ms) > patience_ms
            })
            .map(|(&peer, _)| peer)
            .collect()
    }

    /// Returns the message to a peer, and notes that it is asked.
    pub fn ask(&mut self, peer: Incarnation, now_ms: u64) -> Heartbeat {
        if let Some(status) = self.peers.get_mut(&peer) {
            status.asked_ms = Some(now_ms);
            status.in_flight = true;
        }
        self.message_to(peer, now_ms)
    }

    /// Returns the message to a peer as of now, without offsets.
    #[must_use]
    pub fn message_to(&self, peer: Incarnation, now_ms: u64) -> Heartbeat {
        let mut heartbeat = Heartbeat::new(self.own, now_ms);
        let status = self.peers.get(&peer);
        heartbeat.echo_ms = status.and_then(|status| status.stamp_ms);
        heartbeat.confirms = status.is_some() && self.permit.may_confirm(peer);
        heartbeat.log_age_ms = self.log_age_ms(now_ms);
        heartbeat.suspects = self.suspects(now_ms);
        heartbeat.evicting = self.evicting.iter().copied().collect();
        heartbeat.witnessed = self.witnessed.iter().copied().collect();
        heartbeat
    }

    /// Notes that a peer gave no answer.
    pub fn fail(&mut self, peer: Incarnation) {
        if let Some(status) = self.peers.get_mut(&peer) {
            status.in_flight = false;
        }
    }

    /// Takes a message or an answer of a peer, after the records that it brought were folded.
    pub fn take(&mut self, heartbeat: &Heartbeat, own_next: Offset, now_ms: u64) {
        let Some(status) = self.peers.get_mut(&heartbeat.from) else {
            return;
        };
        status.in_flight = false;
        status.heard_ms = now_ms;
        status.direct_ms = now_ms;
        status.stamp_ms = status.stamp_ms.max(Some(heartbeat.stamp_ms));
        status.next_offset = status.next_offset.max(heartbeat.next_offset);
        status.settings_version = status.settings_version.max(heartbeat.settings_version);
        status.log_age_ms = heartbeat.log_age_ms;
        status.wants_records = heartbeat.wants_records;
        status.suspects = heartbeat.suspects.iter().copied().collect();
        status.witnessed = heartbeat.witnessed.iter().copied().collect();
        if heartbeat.confirms
            && own_next >= heartbeat.next_offset
            && let Some(echo_ms) = heartbeat.echo_ms.filter(|&echo_ms| echo_ms <= now_ms)
        {
            self.permit.confirm_peer(heartbeat.from, echo_ms);
        }
        for &gone in &heartbeat.evicting {
            if self.is_suspected(gone, now_ms) {
                self.witness(gone);
            }
        }
    }

    /// Returns whether a member hasn't been heard of for too long.
    #[must_use]
    pub fn is_suspected(&self, member: Incarnation, now_ms: u64) -> bool {
        self.peers
            .get(&member)
            .is_some_and(|status| now_ms.saturating_sub(status.heard_ms) > self.silence_ms(now_ms))
    }

    /// Returns whether at least half of the members haven't heard of a member for too long.
    #[must_use]
    pub fn is_given_up(&self, member: Incarnation, now_ms: u64) -> bool {
        if !self.is_suspected(member, now_ms) {
            return false;
        }
        let others = self
            .peers
            .iter()
            .filter(|&(&peer, status)| {
                !self.is_suspected(peer, now_ms) && status.suspects.contains(&member)
            })
            .count();
        self.are_enough(others + 1)
    }

    /// Returns whether this entry should tell through the log that it runs, because a peer can't
    /// be asked directly.
    #[must_use]
    pub fn is_cut_off_from_peer(&self, now_ms: u64) -> bool {
        let forgotten_ms = self.silence_ms(now_ms) * SILENCES_UNTIL_FORGOTTEN;
        self.peers.values().any(|status| {
            now_ms.saturating_sub(status.direct_ms) > self.timing.lease_ms
                && now_ms.saturating_sub(status.heard_ms) < forgotten_ms
        })
    }

    /// Returns whether a member can't write to the log, as far as it last said.
    #[must_use]
    pub fn is_without_log(&self, member: Incarnation, now_ms: u64) -> bool {
        self.peers.get(&member).is_some_and(|status| {
            let silence_ms = self.silence_ms(now_ms);
            status.log_age_ms.is_some_and(|age_ms| age_ms > silence_ms)
        })
    }

    /// Returns the first member that is heard of and reaches the log: it acts when the duty has
    /// no holder.
    #[must_use]
    pub fn first_live(&self, now_ms: u64) -> Incarnation {
        self.peers
            .keys()
            .copied()
            .find(|&peer| !self.is_suspected(peer, now_ms) && !self.is_without_log(peer, now_ms))
            .map_or(self.own, |peer| peer.min(self.own))
    }

    /// Returns the interval in milliseconds between two exchanges with a peer.
    ///
    /// While the log can't be reached, the permission depends on the peers, so that all are asked
    /// as often as a few would be.
    #[must_use]
    pub fn interval_ms(&self, now_ms: u64) -> u64 {
        let rounds = if self.reaches_log(now_ms) {
            self.peers.len().div_ceil(PEERS_PER_INTERVAL).max(1)
        } else {
            1
        };
        self.timing.heartbeat_ms * rounds as u64
    }

    /// Returns the silence in milliseconds after which a member is suspected.
    #[must_use]
    pub fn silence_ms(&self, now_ms: u64) -> u64 {
        let interval_ms = self.interval_ms(now_ms);
        self.timing.lease_ms + interval_ms + interval_ms / 2
    }

    /// Asks for witnesses of members that are given up, and returns the evictions that have
    /// enough of them.
    pub fn evict(&mut self, now_ms: u64) -> Vec<Eviction> {
        let given_up: BTreeSet<Incarnation> = self
            .peers
            .keys()
            .copied()
            .filter(|&peer| self.is_given_up(peer, now_ms))
            .collect();
        for &gone in &given_up {
            self.witness(gone);
        }
        self.evicting.clone_from(&given_up);
        given_up
            .into_iter()
            .map(|gone| Eviction {
                gone,
                witnesses: self.witnesses_of(gone),
            })
            .filter(|eviction| self.are_enough(eviction.witnesses.len()))
            .collect()
    }

    /// Stops asking for witnesses, because another entry does.
    pub fn stop_evicting(&mut self) {
        self.evicting.clear();
    }

    fn witness(&mut self, gone: Incarnation) {
        self.permit.witness(gone);
        self.witnessed.insert(gone);
    }

    fn witnesses_of(&self, gone: Incarnation) -> BTreeSet<Incarnation> {
        let mut witnesses: BTreeSet<Incarnation> = self
            .peers
            .iter()
            .filter(|(_, status)| status.witnessed.contains(&gone))
            .map(|(&peer, _)| peer)
            .collect();
        witnesses.insert(self.own);
        witnesses.remove(&gone);
        witnesses
    }

    fn suspects(&self, now_ms: u64) -> Vec<Incarnation> {
        self.peers
            .keys()
            .copied()
            .filter(|&peer| self.is_suspected(peer, now_ms))
            .collect()
    }

    /// Returns whether those that are left can't be more than half of the members.
    fn are_enough(&self, counted: usize) -> bool {
        can_evict(counted, self.peers.len() + 1)
    }

    fn log_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.log_confirmed_ms
            .map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms))
    }
}
