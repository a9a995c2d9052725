//! Folds records and snapshots into the agreed state.

use cyclamentrail_core::{
    Applied, Fleet, Offset, PassedRecord, RecordBody, RecordId, RejectionKind, Version,
    decode_record,
};
use cyclamentrail_platform::ReadAnswer;

use super::{Actor, Standing};
use crate::{clock, metrics};

impl Actor {
    /// Takes an answer of the log.
    pub(super) fn take_records(&mut self, answer: &ReadAnswer, asked_ms: u64) {
        self.snapshot.oldest = answer.oldest;
        let before = self.fleet.next_offset();
        for record in &answer.records {
            self.fold_next(record.offset, record.appended_ms, &record.bytes);
        }
        if self.fleet.next_offset() >= answer.head {
            self.membership.confirm_log(asked_ms);
            self.join_or_start();
        }
        self.after_fold(before);
    }

    /// Folds records that a peer passed on.
    pub(super) fn take_passed(&mut self, records: &[PassedRecord]) {
        let before = self.fleet.next_offset();
        for record in records {
            self.fold_next(record.offset, record.appended_ms, &record.bytes);
        }
        self.after_fold(before);
    }

    /// Takes a snapshot over, unless it is older than what this process holds.
    pub(super) fn take_snapshot(&mut self, fleet: Fleet) {
        if fleet.next_offset() <= self.fleet.next_offset() {
            return;
        }
        log::info!(from:% = self.fleet.next_offset(), to:% = fleet.next_offset(); "snapshot_taken");
        let before = self.fleet.next_offset();
        self.snapshot.newest = self.snapshot.newest.max(fleet.next_offset());
        self.fleet = fleet;
        self.snapshot.settings_version = self.settings_version();
        self.history.clear();
        self.view_stale = true;
        self.after_fold(before);
    }

    fn after_fold(&mut self, before: Offset) {
        if self.fleet.next_offset() > before {
            self.parts.folded.send_replace(self.fleet.next_offset());
            self.notice_eviction();
            self.tell_writer();
            self.refresh_members(clock::now_ms());
            self.publish_if_stale();
            self.claims.wake_changed(&self.fleet);
            self.release_drained();
        }
        self.publish_permit();
    }

    fn tell_writer(&self) {
        let own = self.parts.identity.incarnation;
        let last = self
            .fleet
            .member(own)
            .map_or(0, |member| member.last_sequence);
        self.parts.writer.folded(RecordId::new(own, last));
    }

    /// Folds a record if it is the next one; the log numbers its records without gaps.
    fn fold_next(&mut self, offset: Offset, appended_ms: u64, bytes: &[u8]) {
        if offset != self.fleet.next_offset() {
            return;
        }
        self.history.push(PassedRecord {
            offset,
            appended_ms,
            bytes: bytes.to_vec(),
        });
        let record = match decode_record(bytes) {
            Ok(record) => record,
            Err(error) => {
                log::warn!(offset:% = offset, error:% = error; "record_skipped");
                if let Err(reason) = self.fleet.skip(offset, appended_ms) {
                    log::error!(offset:% = offset, reason:% = reason; "record_out_of_order");
                }
                return;
            }
        };
        let applied = self.fleet.apply(offset, appended_ms, &record);
        metrics::count_record(matches!(applied, Applied::Accepted));
        let version = self.fleet.settings().map(|accepted| accepted.version);
        self.parts.shared.changes().note(
            (offset, appended_ms),
            record.body.as_ref(),
            &applied,
            version.unwrap_or_default(),
        );
        self.view_stale |= applied == Applied::Accepted && changes_view(record.body.as_ref());
        if let Applied::Rejected(rejection) = &applied {
            log::info!(offset:% = offset, author:% = record.id.author, reason:% = rejection.kind; "record_rejected");
        }
        if record.id.author == self.parts.identity.incarnation {
            self.note_own(&applied);
        }
        self.membership.hear_log(record.id.author, clock::now_ms());
        self.settle(record.id, applied);
    }

    /// Notes from an own record whether this incarnation is or was a member.
    fn note_own(&mut self, applied: &Applied) {
        let used = match applied {
            Applied::Accepted => true,
            Applied::Rejected(rejection) => {
                matches!(rejection.kind, RejectionKind::Departed { .. })
            }
        };
        if used && self.standing != Standing::Leaving {
            self.standing = Standing::Member;
        }
    }

    /// Joins once the state is as new as the log's head; the first entry brings the settings.
    fn join_or_start(&mut self) {
        if self.standing == Standing::Leaving {
            return;
        }
        let own = self.parts.identity.incarnation;
        if self.fleet.member(own).is_none() {
            if self.standing == Standing::Outside {
                self.standing = Standing::Joining;
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

/// Returns whether a record changes what traffic routes by; claims come too often to
/// build a view for each.
const fn changes_view(body: Option<&RecordBody>) -> bool {
    !matches!(
        body,
        None | Some(RecordBody::Claim(_) | RecordBody::DutyClaimed { .. } | RecordBody::EntryAlive)
    )
}
