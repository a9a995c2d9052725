//! Folding of records and adoption of snapshots into the agreed state.

use cyclamentrail_core::{
    Fleet, FoldOutcome, Offset, RecordBody, RecordId, RejectionKind, RelayedRecord, Version,
    decode_record,
};
use cyclamentrail_platform::ReadResponse;

use super::{Actor, MemberState};
use crate::{clock, metrics};

impl Actor {
    /// Folds the records of a log read; joins once the state is as new as the log's head.
    pub(super) fn handle_records(&mut self, response: &ReadResponse, requested_ms: u64) {
        self.snapshot.oldest_record = response.oldest;
        let offset_before = self.fleet.next_offset();
        for record in &response.records {
            self.fold_next(record.offset, record.appended_ms, &record.bytes);
        }
        if self.fleet.next_offset() >= response.head {
            self.membership.record_log_confirmation(requested_ms);
            self.join_or_submit_settings();
        }
        self.after_fold(offset_before);
    }

    /// Folds records that a peer sent with a heartbeat.
    pub(super) fn fold_peer_records(&mut self, records: &[RelayedRecord]) {
        let offset_before = self.fleet.next_offset();
        for record in records {
            self.fold_next(record.offset, record.appended_ms, &record.bytes);
        }
        self.after_fold(offset_before);
    }

    /// Replaces the agreed state by a snapshot, unless the snapshot is not newer.
    pub(super) fn adopt_snapshot(&mut self, fleet: Fleet) {
        if fleet.next_offset() <= self.fleet.next_offset() {
            return;
        }
        log::info!(from:% = self.fleet.next_offset(), to:% = fleet.next_offset(); "snapshot_taken");
        let offset_before = self.fleet.next_offset();
        self.snapshot.next_uncovered = self.snapshot.next_uncovered.max(fleet.next_offset());
        self.fleet = fleet;
        self.snapshot.settings_version = self.settings_version();
        self.record_history.clear();
        self.view_stale = true;
        self.after_fold(offset_before);
    }

    /// Updates everything that depends on the agreed state if that advanced from `offset_before`;
    /// publishes the permit in any case.
    fn after_fold(&mut self, offset_before: Offset) {
        if self.fleet.next_offset() > offset_before {
            self.parts
                .next_offset
                .send_replace(self.fleet.next_offset());
            self.rejoin_if_evicted();
            self.notify_writer();
            self.refresh_members(clock::now_ms());
            self.publish_if_stale();
            self.claim_table.wake_changed(&self.fleet);
            self.release_drained();
        }
        self.publish_permit();
    }

    /// Sends the writer the last folded record of this incarnation.
    fn notify_writer(&self) {
        let own = self.parts.identity.incarnation;
        let last = self
            .fleet
            .member(own)
            .map_or(0, |member| member.last_sequence);
        self.parts.writer.set_folded(RecordId::new(own, last));
    }

    /// Folds a record if it is the next one, and ignores it otherwise; the log numbers its records
    /// without gaps.
    fn fold_next(&mut self, offset: Offset, appended_ms: u64, bytes: &[u8]) {
        if offset != self.fleet.next_offset() {
            return;
        }
        self.record_history.push(RelayedRecord {
            offset,
            appended_ms,
            bytes: bytes.to_vec(),
        });
        let record = match decode_record(bytes) {
            Ok(record) => record,
            Err(error) => {
                log::warn!(offset:% = offset, error:% = error; "record_skipped");
                if let Err(reason) = self.fleet.skip_record(offset, appended_ms) {
                    log::error!(offset:% = offset, reason:% = reason; "record_out_of_order");
                }
                return;
            }
        };
        let outcome = self.fleet.fold_record(offset, appended_ms, &record);
        metrics::count_record(matches!(outcome, FoldOutcome::Accepted));
        let version = self.fleet.settings().map(|accepted| accepted.version);
        self.parts.shared.change_history().record(
            (offset, appended_ms),
            record.body.as_ref(),
            &outcome,
            version.unwrap_or_default(),
        );
        self.view_stale |= outcome == FoldOutcome::Accepted && changes_view(record.body.as_ref());
        if let FoldOutcome::Rejected(rejection) = &outcome {
            log::info!(offset:% = offset, author:% = record.id.author, reason:% = rejection.kind; "record_rejected");
        }
        if record.id.author == self.parts.identity.incarnation {
            self.update_own_membership(&outcome);
        }
        self.membership
            .record_log_write(record.id.author, clock::now_ms());
        self.report_outcome(record.id, outcome);
    }

    /// Updates the member state from the result of a record that this incarnation wrote: an
    /// accepted one shows that it is a member, a rejection as departed that it was one.
    fn update_own_membership(&mut self, outcome: &FoldOutcome) {
        let was_member = match outcome {
            FoldOutcome::Accepted => true,
            FoldOutcome::Rejected(rejection) => {
                matches!(rejection.kind, RejectionKind::Departed { .. })
            }
        };
        if was_member && self.member_state != MemberState::Leaving {
            self.member_state = MemberState::Member;
        }
    }

    /// Submits a join record while this incarnation isn't a member; as a member, submits the start
    /// settings if the site has none.
    fn join_or_submit_settings(&mut self) {
        if self.member_state == MemberState::Leaving {
            return;
        }
        let own = self.parts.identity.incarnation;
        if self.fleet.member(own).is_none() {
            if self.member_state == MemberState::Outside {
                self.member_state = MemberState::Joining;
                let body = self.parts.identity.joined();
                self.submit(body, None);
            }
            return;
        }
        if self.fleet.settings().is_none() && self.pending.is_empty() {
            let body = RecordBody::SettingsChanged {
                presumes: Version::default(),
                patch: self.parts.start_document.clone(),
                operator: format!("entry {}", self.parts.identity.entry),
            };
            self.submit(body, None);
        }
    }
}

/// Returns whether a record changes the view that traffic routes from; claims are too frequent to
/// build a view for each.
const fn changes_view(body: Option<&RecordBody>) -> bool {
    !matches!(
        body,
        None | Some(RecordBody::Claim(_) | RecordBody::DutyClaimed { .. } | RecordBody::EntryAlive)
    )
}
