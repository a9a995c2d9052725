//! Heartbeats, the permission to dispatch, evictions and joining again.

use std::sync::PoisonError;

use cyclamentrail_core::{
    FORMAT, Heartbeat, Incarnation, LeaveReason, Membership, PassedRecord, RecordBody,
};

use super::super::ControlMessage;
use super::super::identity::Identity;
use super::super::in_force::{InForce, MemberInForce};
use super::{Actor, EvictionTry, Standing, timing_of};
use crate::clock;

/// Pause in milliseconds before an eviction that had no effect is written again.
const EVICTION_PAUSE_MS: u64 = 500;
/// Longest such pause in milliseconds.
const LONGEST_EVICTION_PAUSE_MS: u64 = 60_000;

impl Actor {
    /// Takes over the members of the agreed state.
    pub(super) fn refresh_members(&mut self, now_ms: u64) {
        let timing = timing_of(self.settings());
        self.membership.set_timing(timing);
        let members = self.member_ids();
        self.membership.refresh(&members, now_ms);
        let addresses = self
            .fleet
            .members()
            .filter(|&(member, _)| member != self.parts.identity.incarnation)
            .map(|(_, member)| member.peer_address)
            .collect();
        let mut shared = self
            .parts
            .peer_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if self.fleet.members().next().is_some() {
            *shared = addresses;
        }
    }

    /// Publishes until when traffic may dispatch.
    pub(super) fn publish_permit(&self) {
        let readable = self.fleet.used_format() <= FORMAT;
        let until_ms = if readable && self.fleet.settings().is_some() {
            self.membership.valid_until_ms(&self.member_ids())
        } else {
            0
        };
        self.parts.shared.permit_until(until_ms);
    }

    /// Sends a heartbeat to each peer that is due.
    pub(super) fn send_heartbeats(&mut self, now_ms: u64) {
        for peer in self.membership.due(now_ms) {
            let Some(address) = self.fleet.member(peer).map(|member| member.peer_address) else {
                continue;
            };
            let mut heartbeat = self.membership.ask(peer, now_ms);
            self.fill(&mut heartbeat, now_ms);
            heartbeat.records = self.records_for(peer);
            let client = self.parts.peers.clone();
            let control = self.parts.control.clone();
            tokio::spawn(async move {
                let answer = client.heartbeat(address, &heartbeat).await.map(Box::new);
                control
                    .send(ControlMessage::HeartbeatAnswered { peer, answer })
                    .await;
            });
        }
    }

    /// Takes a peer's heartbeat and returns the answer.
    pub(super) fn answer_heartbeat(&mut self, heartbeat: &Heartbeat) -> Heartbeat {
        let now_ms = clock::now_ms();
        self.take_heartbeat(heartbeat, now_ms);
        let mut answer = self.membership.message_to(heartbeat.from, now_ms);
        self.fill(&mut answer, now_ms);
        if heartbeat.wants_records {
            answer.records = self.history.from(heartbeat.next_offset);
        }
        answer
    }

    /// Takes a peer's answer to a heartbeat.
    pub(super) fn take_answer(&mut self, peer: Incarnation, answer: Option<&Heartbeat>) {
        match answer {
            Some(answer) if answer.from == peer => {
                self.take_heartbeat(answer, clock::now_ms());
            }
            _ => self.membership.fail(peer),
        }
    }

    fn take_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        self.take_passed(&heartbeat.records);
        let own_next = self.fleet.next_offset();
        self.membership.take(heartbeat, own_next, now_ms);
        self.watch_lag(heartbeat, now_ms);
        self.publish_permit();
    }

    /// Returns records that a peer asked for in its last message.
    fn records_for(&self, peer: Incarnation) -> Vec<PassedRecord> {
        match self.membership.peer(peer) {
            Some(status) if status.wants_records => self.history.from(status.next_offset),
            _ => Vec::new(),
        }
    }

    fn fill(&self, heartbeat: &mut Heartbeat, now_ms: u64) {
        heartbeat.next_offset = self.fleet.next_offset();
        heartbeat.settings_version = self.settings_version();
        heartbeat.wants_records = self.lacks_log(now_ms);
    }

    /// Notices that this process was evicted, and starts anew as another incarnation.
    pub(super) fn notice_eviction(&mut self) {
        let own = self.parts.identity.incarnation;
        if self.standing == Standing::Leaving {
            return;
        }
        if self.fleet.member(own).is_some() {
            self.standing = Standing::Member;
            return;
        }
        if self.standing != Standing::Member {
            return;
        }
        self.standing = Standing::Outside;
        let incarnation = Identity::fresh_incarnation();
        log::warn!(old:% = own, new:% = incarnation; "evicted_joins_again");
        self.parts.identity.incarnation = incarnation;
        self.sequence = 0;
        let timing = timing_of(self.settings());
        self.membership = Membership::new(incarnation, timing, clock::now_ms());
        self.forget_intents();
        self.drop_links();
        self.parts.shared.permit_until(0);
    }

    /// Writes that this process runs, while a peer can't be asked directly.
    pub(super) fn show_alive(&mut self, now_ms: u64) {
        let period_ms = timing_of(self.settings()).lease_ms;
        let due = now_ms.saturating_sub(self.alive_ms) >= period_ms;
        if due
            && self.standing == Standing::Member
            && self.membership.reaches_log(now_ms)
            && self.membership.is_cut_off_from_peer(now_ms)
        {
            self.alive_ms = now_ms;
            self.submit(RecordBody::EntryAlive, None);
        }
    }

    /// Evicts members that enough others haven't heard of.
    pub(super) fn evict_silent(&mut self, now_ms: u64) {
        let fleet = &self.fleet;
        self.evictions
            .retain(|&gone, _| fleet.member(gone).is_some());
        for eviction in self.membership.evict(now_ms) {
            let gone = eviction.gone;
            if !self.may_evict(gone, now_ms) {
                continue;
            }
            log::warn!(member:% = gone, witnesses = eviction.witnesses.len(); "member_evicted");
            let body = RecordBody::EntryLeft {
                incarnation: gone,
                reason: LeaveReason::Evicted {
                    witnesses: eviction.witnesses,
                },
            };
            self.submit(body, None);
        }
    }

    /// Returns whether an eviction is due; the fold may refuse it for as long as a majority that
    /// the member could count on isn't known to be gone.
    fn may_evict(&mut self, gone: Incarnation, now_ms: u64) -> bool {
        let pause_ms = match self.evictions.get(&gone) {
            Some(tried) if now_ms < tried.written_ms + tried.pause_ms => return false,
            Some(tried) => (tried.pause_ms * 2).min(LONGEST_EVICTION_PAUSE_MS),
            None => EVICTION_PAUSE_MS,
        };
        let tried = EvictionTry {
            written_ms: now_ms,
            pause_ms,
        };
        self.evictions.insert(gone, tried);
        true
    }

    /// Returns which members have the settings in force.
    pub(super) fn in_force(&self) -> InForce {
        let now_ms = clock::now_ms();
        let accepted = self.fleet.settings();
        let version = self.settings_version();
        let members: Vec<MemberInForce> = self
            .fleet
            .members()
            .map(|(incarnation, member)| {
                let own = incarnation == self.parts.identity.incarnation;
                let status = self.membership.peer(incarnation);
                MemberInForce {
                    entry: member.entry.clone(),
                    incarnation,
                    live: own || !self.membership.is_suspected(incarnation, now_ms),
                    settings_version: match status {
                        Some(status) if !own => status.settings_version,
                        _ => version,
                    },
                    next_offset: match status {
                        Some(status) if !own => status.next_offset,
                        _ => self.fleet.next_offset(),
                    },
                    heard_ms_ago: status.map_or(0, |status| now_ms.saturating_sub(status.heard_ms)),
                }
            })
            .collect();
        InForce {
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

    /// Returns the members' incarnations.
    pub(super) fn member_ids(&self) -> Vec<Incarnation> {
        self.fleet
            .members()
            .map(|(incarnation, _)| incarnation)
            .collect()
    }
}
