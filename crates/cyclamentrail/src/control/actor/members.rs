//! Heartbeats, the permit to dispatch, evictions and rejoining after an eviction.

use std::sync::PoisonError;

use cyclamentrail_core::{
    Heartbeat, Incarnation, LeaveReason, Membership, RECORD_FORMAT, RecordBody, RelayedRecord,
};

use super::super::ControlMessage;
use super::super::identity::Identity;
use super::super::settings_status::{MemberSettingsStatus, SettingsStatus};
use super::{Actor, EvictionAttempt, MemberState, membership_timing};
use crate::clock;

/// Pause in milliseconds before an eviction that had no effect is submitted for the second time;
/// doubled after each attempt.
const FIRST_EVICTION_PAUSE_MS: u64 = 500;
/// Longest pause in milliseconds between two attempts at one eviction.
const MAX_EVICTION_PAUSE_MS: u64 = 60_000;

impl Actor {
    /// Applies the members and the timing of the agreed state to heartbeats and peer addresses.
    pub(super) fn refresh_members(&mut self, now_ms: u64) {
        let timing = membership_timing(self.settings());
        self.membership.set_timing(timing);
        let members = self.member_ids();
        self.membership.update_members(&members, now_ms);
        let addresses = self
            .fleet
            .members()
            .filter(|&(member, _)| member != self.parts.identity.incarnation)
            .map(|(_, member)| member.peer_address)
            .collect();
        let mut shared_addresses = self
            .parts
            .peer_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if self.fleet.members().next().is_some() {
            *shared_addresses = addresses;
        }
    }

    /// Publishes the time until which traffic may dispatch; 0 when the records' format is newer
    /// than this build or the site has no settings.
    pub(super) fn publish_permit(&self) {
        let is_format_readable = self.fleet.used_format() <= RECORD_FORMAT;
        let until_ms = if is_format_readable && self.fleet.settings().is_some() {
            self.membership.valid_until_ms(&self.member_ids())
        } else {
            0
        };
        self.parts.shared.permit_dispatch_until(until_ms);
    }

    /// Sends a heartbeat to each peer that is due for one.
    pub(super) fn send_heartbeats(&mut self, now_ms: u64) {
        for peer in self.membership.peers_due(now_ms) {
            let Some(address) = self.fleet.member(peer).map(|member| member.peer_address) else {
                continue;
            };
            let mut heartbeat = self.membership.begin_exchange(peer, now_ms);
            self.fill_status(&mut heartbeat, now_ms);
            heartbeat.records = self.requested_records(peer);
            let client = self.parts.peers.clone();
            let control = self.parts.control.clone();
            tokio::spawn(async move {
                let response = client.heartbeat(address, &heartbeat).await.map(Box::new);
                control
                    .send(ControlMessage::HeartbeatResult { peer, response })
                    .await;
            });
        }
    }

    /// Applies a peer's heartbeat and returns the response.
    pub(super) fn handle_heartbeat(&mut self, heartbeat: &Heartbeat) -> Heartbeat {
        let now_ms = clock::now_ms();
        self.apply_heartbeat(heartbeat, now_ms);
        let mut response = self.membership.heartbeat_for(heartbeat.from, now_ms);
        self.fill_status(&mut response, now_ms);
        if heartbeat.wants_records {
            response.records = self.record_history.since(heartbeat.next_offset);
        }
        response
    }

    /// Applies a peer's response to a heartbeat; one that is missing or from another incarnation
    /// counts as a failure of the peer.
    pub(super) fn handle_heartbeat_result(
        &mut self,
        peer: Incarnation,
        response: Option<&Heartbeat>,
    ) {
        match response {
            Some(response) if response.from == peer => {
                self.apply_heartbeat(response, clock::now_ms());
            }
            _ => self.membership.record_no_response(peer),
        }
    }

    fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        self.fold_peer_records(&heartbeat.records);
        let own_next = self.fleet.next_offset();
        self.membership
            .handle_heartbeat(heartbeat, own_next, now_ms);
        self.update_lag(heartbeat, now_ms);
        self.publish_permit();
    }

    /// Returns the records that a peer requested in its last heartbeat.
    fn requested_records(&self, peer: Incarnation) -> Vec<RelayedRecord> {
        match self.membership.peer(peer) {
            Some(status) if status.wants_records => self.record_history.since(status.next_offset),
            _ => Vec::new(),
        }
    }

    /// Sets the position in the log, the settings version and the request for records.
    fn fill_status(&self, heartbeat: &mut Heartbeat, now_ms: u64) {
        heartbeat.next_offset = self.fleet.next_offset();
        heartbeat.settings_version = self.settings_version();
        heartbeat.wants_records = self.is_log_out_of_reach(now_ms);
    }

    /// Checks whether this incarnation was evicted; if so, drops its links and permit and prepares
    /// to join as a new incarnation.
    pub(super) fn rejoin_if_evicted(&mut self) {
        let own = self.parts.identity.incarnation;
        if self.member_state == MemberState::Leaving {
            return;
        }
        if self.fleet.member(own).is_some() {
            self.member_state = MemberState::Member;
            return;
        }
        if self.member_state != MemberState::Member {
            return;
        }
        self.member_state = MemberState::Outside;
        let incarnation = Identity::new_incarnation();
        log::warn!(old:% = own, new:% = incarnation; "evicted_joins_again");
        self.parts.identity.incarnation = incarnation;
        self.last_sequence = 0;
        let timing = membership_timing(self.settings());
        self.membership = Membership::new(incarnation, timing, clock::now_ms());
        self.allow_resubmission();
        self.drop_links();
        self.parts.shared.permit_dispatch_until(0);
    }

    /// Submits an [`RecordBody::EntryAlive`] record once per dispatch lease while a peer can't be
    /// reached directly, so that the other members don't evict this process.
    pub(super) fn write_alive_record(&mut self, now_ms: u64) {
        let period_ms = membership_timing(self.settings()).lease_ms;
        let is_due = now_ms.saturating_sub(self.alive_written_ms) >= period_ms;
        if is_due
            && self.member_state == MemberState::Member
            && self.membership.reaches_log(now_ms)
            && self.membership.is_cut_off_from_peer(now_ms)
        {
            self.alive_written_ms = now_ms;
            self.submit(RecordBody::EntryAlive, None);
        }
    }

    /// Submits the eviction of members that enough others have had no heartbeat from.
    pub(super) fn evict_unresponsive(&mut self, now_ms: u64) {
        let fleet = &self.fleet;
        self.evictions
            .retain(|&evicted, _| fleet.member(evicted).is_some());
        for eviction in self.membership.propose_evictions(now_ms) {
            let evicted = eviction.evicted;
            if !self.begin_eviction_attempt(evicted, now_ms) {
                continue;
            }
            log::warn!(member:% = evicted, witnesses = eviction.witnesses.len(); "member_evicted");
            let body = RecordBody::EntryLeft {
                incarnation: evicted,
                reason: LeaveReason::Evicted {
                    witnesses: eviction.witnesses,
                },
            };
            self.submit(body, None);
        }
    }

    /// Returns whether an eviction is due, and records the attempt if so.
    ///
    /// Attempts repeat because the fold may reject an eviction for as long as a majority that the
    /// member could rely on isn't known to be gone.
    fn begin_eviction_attempt(&mut self, evicted: Incarnation, now_ms: u64) -> bool {
        let pause_ms = match self.evictions.get(&evicted) {
            Some(previous) if now_ms < previous.submitted_ms + previous.pause_ms => return false,
            Some(previous) => (previous.pause_ms * 2).min(MAX_EVICTION_PAUSE_MS),
            None => FIRST_EVICTION_PAUSE_MS,
        };
        let attempt = EvictionAttempt {
            submitted_ms: now_ms,
            pause_ms,
        };
        self.evictions.insert(evicted, attempt);
        true
    }

    /// Returns the settings version in force here and on each member.
    pub(super) fn settings_status(&self) -> SettingsStatus {
        let now_ms = clock::now_ms();
        let accepted = self.fleet.settings();
        let version = self.settings_version();
        let members: Vec<MemberSettingsStatus> = self
            .fleet
            .members()
            .map(|(incarnation, member)| {
                let is_own = incarnation == self.parts.identity.incarnation;
                let status = self.membership.peer(incarnation);
                MemberSettingsStatus {
                    entry: member.entry.clone(),
                    incarnation,
                    live: is_own || !self.membership.is_suspected(incarnation, now_ms),
                    settings_version: match status {
                        Some(status) if !is_own => status.settings_version,
                        _ => version,
                    },
                    next_offset: match status {
                        Some(status) if !is_own => status.next_offset,
                        _ => self.fleet.next_offset(),
                    },
                    heard_ms_ago: status
                        .map_or(0, |status| now_ms.saturating_sub(status.last_heard_ms)),
                }
            })
            .collect();
        SettingsStatus {
            version,
            offset: accepted.map(|accepted| accepted.offset).unwrap_or_default(),
            operator: accepted
                .map(|accepted| accepted.operator.clone())
                .unwrap_or_default(),
            everywhere: members
                .iter()
                .all(|member| !member.live || member.settings_version >= version),
            members,
        }
    }

    /// Returns the incarnations of all members.
    pub(super) fn member_ids(&self) -> Vec<Incarnation> {
        self.fleet
            .members()
            .map(|(incarnation, _)| incarnation)
            .collect()
    }
}
