//! The fleet duty: who holds it, and what its holder does.

use std::collections::BTreeSet;

use cyclamentrail_core::{InstanceName, Offset, RecordBody};

use super::super::ControlMessage;
use super::super::duty::{DutyAction, World};
use super::super::wave_duty::WaveDuty;
use super::{Actor, Standing, timing_of};
use crate::clock;

/// Time in milliseconds after which the newest snapshot is written anew, so that retention never
/// takes the last one.
const SNAPSHOT_AGE_MS: u64 = 600_000;
/// Changes of the settings between two snapshots at most; to fold one takes far longer than to
/// fold any other record.
const SNAPSHOT_CHANGES: u64 = 50;
/// Shortest time in milliseconds between two snapshots.
const SNAPSHOT_PAUSE_MS: u64 = 1000;

impl Actor {
    /// Does what is due of the duty, or claims it when its holder is gone.
    pub(super) fn step_duty(&mut self, now_ms: u64) {
        let own = self.parts.identity.incarnation;
        if self.standing != Standing::Member || !self.membership.reaches_log(now_ms) {
            self.duty = WaveDuty::default();
            self.membership.stop_evicting();
            return;
        }
        let holder = self.fleet.duty().holder;
        if holder == Some(own) {
            self.evict_silent(now_ms);
            self.run_duty();
            self.write_snapshot(now_ms);
            return;
        }
        self.duty = WaveDuty::default();
        let vacant = holder.is_none_or(|holder| {
            self.membership.is_given_up(holder, now_ms)
                || self.membership.is_without_log(holder, now_ms)
        });
        if vacant && self.membership.first_live(now_ms) == own {
            self.claim_duty(now_ms);
        } else {
            self.membership.stop_evicting();
        }
    }

    fn claim_duty(&mut self, now_ms: u64) {
        let term = self.fleet.duty().term;
        let retry_ms = timing_of(self.settings()).lease_ms;
        let waits = self.claimed.is_some_and(|(claimed, at_ms)| {
            claimed == term && now_ms.saturating_sub(at_ms) < retry_ms
        });
        if !waits {
            self.claimed = Some((term, now_ms));
            self.submit(RecordBody::DutyClaimed { presumes: term }, None);
        }
    }

    fn run_duty(&mut self) {
        let now_ms = clock::now_ms();
        if !self.duty.is_due(self.fleet.next_offset(), now_ms) {
            return;
        }
        let failing = self.failing_instances();
        let world = World {
            fleet: &self.fleet,
            list: &self.list,
            failing: &failing,
            now_ms,
        };
        for action in self.duty.step(&world) {
            match action {
                DutyAction::Submit(body) => self.submit(body, None),
                DutyAction::Reboot(instance) => self.reboot(instance),
            }
        }
    }

    /// Returns the instances that this process no longer sends work to, since they failed it.
    fn failing_instances(&self) -> BTreeSet<InstanceName> {
        let ejected = self.links.iter().filter(|(_, link)| link.is_ejected());
        ejected.map(|(name, _)| name.clone()).collect()
    }

    fn reboot(&self, instance: InstanceName) {
        let platform = self.parts.platform.clone();
        tokio::spawn(async move {
            if let Err(error) = platform.reboot(&instance).await {
                log::warn!(instance:% = instance, error:% = error; "reboot_failed");
            }
        });
    }

    fn write_snapshot(&mut self, now_ms: u64) {
        if self.snapshot.writing.is_some() || !self.is_snapshot_due(now_ms) {
            return;
        }
        self.snapshot.writing = Some(self.settings_version());
        self.snapshot.tried_ms = now_ms;
        let fleet = self.fleet.clone();
        let store = self.parts.snapshots.clone();
        let control = self.parts.control.clone();
        tokio::spawn(async move {
            let covered = store.write(&fleet).await;
            control.send(ControlMessage::SnapshotWritten(covered)).await;
        });
    }

    fn is_snapshot_due(&self, now_ms: u64) -> bool {
        let since_ms = now_ms.saturating_sub(self.snapshot.tried_ms);
        let next = self.fleet.next_offset().get();
        let (newest, oldest) = (self.snapshot.newest.get(), self.snapshot.oldest.get());
        let changes = self
            .settings_version()
            .get()
            .saturating_sub(self.snapshot.settings_version.get());
        let many = next.saturating_sub(newest) >= self.settings().control.snapshot_records
            || changes >= SNAPSHOT_CHANGES;
        // Retention has taken records and comes near those that the newest snapshot needs.
        let half_kept = oldest + next.saturating_sub(oldest) / 2;
        let expiring = oldest > 0 && newest <= half_kept && next > newest;
        since_ms >= SNAPSHOT_AGE_MS || (since_ms >= SNAPSHOT_PAUSE_MS && (many || expiring))
    }

    /// Takes note of a snapshot that this process tried to write.
    pub(super) fn note_snapshot(&mut self, covered: Option<Offset>) {
        let version = self.snapshot.writing.take().unwrap_or_default();
        if let Some(covered) = covered {
            self.snapshot.newest = self.snapshot.newest.max(covered);
            self.snapshot.settings_version = self.snapshot.settings_version.max(version);
        }
    }
}
