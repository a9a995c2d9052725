//! The fleet duty: claiming it, and the work of its holder.
//!
//! One entry holds the duty at a time. The holder evicts unresponsive members, runs maintenance
//! waves and writes snapshots.

use std::collections::BTreeSet;

use cyclamentrail_core::{InstanceName, Offset, RecordBody};

use super::super::ControlMessage;
use super::super::duty_action::{DutyAction, DutyInput};
use super::super::wave_duty::WaveDuty;
use super::{Actor, MemberState, membership_timing};
use crate::clock;

/// Longest time in milliseconds between two snapshots, so that retention never deletes the last
/// one.
const MAX_SNAPSHOT_AGE_MS: u64 = 600_000;
/// Number of settings changes after which a snapshot is due; folding a settings change takes far
/// longer than folding any other record.
const SNAPSHOT_SETTINGS_CHANGES: u64 = 50;
/// Shortest time in milliseconds between two snapshots.
const MIN_SNAPSHOT_INTERVAL_MS: u64 = 1000;

impl Actor {
    /// Runs the duty when this process holds it; claims the duty when its holder was given up or
    /// can't reach the log.
    pub(super) fn update_duty(&mut self, now_ms: u64) {
        let own = self.parts.identity.incarnation;
        if self.member_state != MemberState::Member || !self.membership.reaches_log(now_ms) {
            self.wave_duty = WaveDuty::default();
            self.membership.withdraw_evictions();
            return;
        }
        let holder = self.fleet.duty().holder;
        if holder == Some(own) {
            self.evict_unresponsive(now_ms);
            self.run_duty_step();
            self.write_snapshot(now_ms);
            return;
        }
        self.wave_duty = WaveDuty::default();
        let holder_unavailable = holder.is_none_or(|holder| {
            self.membership.is_suspected_by_half(holder, now_ms)
                || self.membership.cannot_reach_log(holder, now_ms)
        });
        if holder_unavailable && self.membership.lowest_live_member(now_ms) == own {
            self.claim_duty(now_ms);
        } else {
            self.membership.withdraw_evictions();
        }
    }

    /// Submits a claim of the duty, at most one per dispatch lease for the same term
    /// unless the last one failed.
    fn claim_duty(&mut self, now_ms: u64) {
        let term = self.fleet.duty().term;
        let retry_ms = membership_timing(self.settings()).lease_ms;
        let is_claim_pending = self.duty_claim.is_some_and(|(claimed_term, claimed_ms)| {
            claimed_term == term && now_ms.saturating_sub(claimed_ms) < retry_ms
        });
        if !is_claim_pending {
            self.duty_claim = Some((term, now_ms));
            self.submit(RecordBody::DutyClaimed { presumes: term }, None);
        }
    }

    fn run_duty_step(&mut self) {
        let now_ms = clock::now_ms();
        if !self.wave_duty.is_due(self.fleet.next_offset(), now_ms) {
            return;
        }
        let failing = self.failing_instances();
        let input = DutyInput {
            fleet: &self.fleet,
            list: &self.instance_list,
            failing: &failing,
            now_ms,
        };
        for action in self.wave_duty.step(&input) {
            match action {
                DutyAction::Submit(body) => self.submit(body, None),
                DutyAction::Reboot(instance) => self.reboot(instance),
            }
        }
    }

    /// Returns the instances that this process ejected, because they failed its requests, and sends
    /// no work to.
    fn failing_instances(&self) -> BTreeSet<InstanceName> {
        let ejected = self.links.iter().filter(|(_, link)| link.is_ejected());
        ejected.map(|(name, _)| name.clone()).collect()
    }

    /// Requests a reboot from the platform in a task; a failure is logged.
    fn reboot(&self, instance: InstanceName) {
        let platform = self.parts.platform.clone();
        tokio::spawn(async move {
            if let Err(error) = platform.reboot(&instance).await {
                log::warn!(instance:% = instance, error:% = error; "reboot_failed");
            }
        });
    }

    /// Writes a snapshot in a task if one is due and none is being written.
    fn write_snapshot(&mut self, now_ms: u64) {
        if self.snapshot.writing_version.is_some() || !self.is_snapshot_due(now_ms) {
            return;
        }
        self.snapshot.writing_version = Some(self.settings_version());
        self.snapshot.attempted_ms = now_ms;
        let fleet = self.fleet.clone();
        let store = self.parts.snapshots.clone();
        let control = self.parts.control.clone();
        tokio::spawn(async move {
            let next_uncovered = store.write(&fleet).await;
            control
                .send(ControlMessage::SnapshotResult(next_uncovered))
                .await;
        });
    }

    fn is_snapshot_due(&self, now_ms: u64) -> bool {
        let since_ms = now_ms.saturating_sub(self.snapshot.attempted_ms);
        let next = self.fleet.next_offset().get();
        let (next_uncovered, oldest) = (
            self.snapshot.next_uncovered.get(),
            self.snapshot.oldest_record.get(),
        );
        let changes = self
            .settings_version()
            .get()
            .saturating_sub(self.snapshot.settings_version.get());
        let is_far_behind = next.saturating_sub(next_uncovered)
            >= self.settings().control.snapshot_records
            || changes >= SNAPSHOT_SETTINGS_CHANGES;
        // The log has deleted old records, and will soon delete the first record that the newest
        // snapshot doesn't cover.
        let middle = oldest + next.saturating_sub(oldest) / 2;
        let nears_retention = oldest > 0 && next_uncovered <= middle && next > next_uncovered;
        since_ms >= MAX_SNAPSHOT_AGE_MS
            || (since_ms >= MIN_SNAPSHOT_INTERVAL_MS && (is_far_behind || nears_retention))
    }

    /// Handles the result of writing a snapshot; `None` when it wasn't written.
    pub(super) fn handle_snapshot_result(&mut self, next_uncovered: Option<Offset>) {
        let version = self.snapshot.writing_version.take().unwrap_or_default();
        if let Some(next_uncovered) = next_uncovered {
            self.snapshot.next_uncovered = self.snapshot.next_uncovered.max(next_uncovered);
            self.snapshot.settings_version = self.snapshot.settings_version.max(version);
        }
    }
}
