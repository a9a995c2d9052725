//! Submission of this process's records and the report of their results.

use std::time::Duration;

use cyclamentrail_core::{FoldOutcome, RECORD_FORMAT, Record, RecordBody, RecordId, RejectionKind};
use tokio::time::Instant;

use super::super::SubmitError;
use super::super::writer::WriteFailure;
use super::{Actor, MemberState, PendingRecord, SubmitReply};

/// Time after which a submitter gets [`SubmitError::Uncertain`] for a record that isn't folded.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(7);

impl Actor {
    /// Queues a record for the log; the result of folding it is sent to `reply`.
    pub(super) fn submit(&mut self, body: RecordBody, reply: Option<SubmitReply>) {
        self.last_sequence += 1;
        let id = RecordId::new(self.parts.identity.incarnation, self.last_sequence);
        let record = Record {
            format: RECORD_FORMAT.min(self.fleet.agreed_format()),
            id,
            body: Some(body),
        };
        match self.parts.writer.queue(&record) {
            Ok(true) => {
                let due = Instant::now() + SUBMIT_TIMEOUT;
                self.pending.insert(id, PendingRecord { reply, due });
            }
            Ok(false) => {
                self.allow_resubmission();
                reply_error(reply, SubmitError::LogDown);
            }
            Err(error) => {
                log::error!(error:% = error; "record_not_encoded");
                reply_error(reply, SubmitError::LogDown);
            }
        }
    }

    /// Sends the result of folding a record to its submitter; a duplicate is ignored.
    pub(super) fn report_outcome(&mut self, id: RecordId, outcome: FoldOutcome) {
        let result = match outcome {
            FoldOutcome::Accepted => Ok(()),
            FoldOutcome::Rejected(rejection) if rejection.kind == RejectionKind::Duplicate => {
                return;
            }
            FoldOutcome::Rejected(rejection) => Err(SubmitError::Rejected(rejection.kind)),
        };
        if let Some(PendingRecord {
            reply: Some(reply), ..
        }) = self.pending.remove(&id)
        {
            drop(reply.send(result));
        }
    }

    /// Reports the failure of records that the writer gave up.
    pub(super) fn handle_write_failure(&mut self, failure: &WriteFailure) {
        for id in &failure.ids {
            let error = if failure.uncertain {
                SubmitError::Uncertain
            } else {
                SubmitError::LogDown
            };
            if let Some(pending) = self.pending.remove(id) {
                reply_error(pending.reply, error);
            }
        }
        self.allow_resubmission();
    }

    /// Reports records as uncertain that weren't folded in time.
    pub(super) fn expire_pending(&mut self) {
        let now = Instant::now();
        let expired: Vec<RecordId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.due <= now)
            .map(|(&id, _)| id)
            .collect();
        if expired.is_empty() {
            return;
        }
        for id in expired {
            if let Some(pending) = self.pending.remove(&id) {
                reply_error(pending.reply, SubmitError::Uncertain);
            }
        }
        self.allow_resubmission();
    }

    /// Clears the marks of join, duty claim and release records that were submitted without a
    /// reply, so that lost ones are submitted again.
    pub(super) fn allow_resubmission(&mut self) {
        if self.member_state == MemberState::Joining {
            self.member_state = MemberState::Outside;
        }
        self.duty_claim = None;
        self.release_written.clear();
    }
}

fn reply_error(reply: Option<SubmitReply>, error: SubmitError) {
    if let Some(reply) = reply {
        drop(reply.send(Err(error)));
    }
}
