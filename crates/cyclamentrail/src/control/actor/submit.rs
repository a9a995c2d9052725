//! Records that this process writes, and what becomes of them.

use std::time::Duration;

use cyclamentrail_core::{Applied, FORMAT, Record, RecordBody, RecordId, RejectionKind};
use tokio::time::Instant;

use super::super::SubmitError;
use super::super::writer::WriteFailed;
use super::{Actor, Pending, Reply, Standing};

/// Time after which a submitter is told that the outcome isn't known.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(7);

impl Actor {
    /// Queues a record for the log; `reply` hears what the fold made of it.
    pub(super) fn submit(&mut self, body: RecordBody, reply: Option<Reply>) {
        self.sequence += 1;
        let id = RecordId::new(self.parts.identity.incarnation, self.sequence);
        let record = Record {
            format: FORMAT.min(self.fleet.agreed_format()),
            id,
            body: Some(body),
        };
        match self.parts.writer.queue(&record) {
            Ok(true) => {
                let due = Instant::now() + SUBMIT_TIMEOUT;
                self.pending.insert(id, Pending { reply, due });
            }
            Ok(false) => {
                self.forget_intents();
                refuse(reply, SubmitError::LogDown);
            }
            Err(error) => {
                log::error!(error:% = error; "record_not_encoded");
                refuse(reply, SubmitError::LogDown);
            }
        }
    }

    /// Tells the submitter of a record what the fold made of it.
    pub(super) fn settle(&mut self, id: RecordId, applied: Applied) {
        let result = match applied {
            Applied::Accepted => Ok(()),
            Applied::Rejected(rejection) if rejection.kind == RejectionKind::Duplicate => return,
            Applied::Rejected(rejection) => Err(SubmitError::Rejected(rejection.kind)),
        };
        if let Some(Pending {
            reply: Some(reply), ..
        }) = self.pending.remove(&id)
        {
            drop(reply.send(result));
        }
    }

    /// Takes note that the writer gave records up.
    pub(super) fn fail_writes(&mut self, failed: &WriteFailed) {
        for id in &failed.ids {
            let error = if failed.uncertain {
                SubmitError::Uncertain
            } else {
                SubmitError::LogDown
            };
            if let Some(pending) = self.pending.remove(id) {
                refuse(pending.reply, error);
            }
        }
        self.forget_intents();
    }

    /// Gives up waiting for records that the fold doesn't show.
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
                refuse(pending.reply, SubmitError::Uncertain);
            }
        }
        self.forget_intents();
    }

    /// Lets everything that this process wrote of its own accord be written again.
    pub(super) fn forget_intents(&mut self) {
        if self.standing == Standing::Joining {
            self.standing = Standing::Outside;
        }
        self.claimed = None;
        self.released.clear();
    }
}

fn refuse(reply: Option<Reply>, error: SubmitError) {
    if let Some(reply) = reply {
        drop(reply.send(Err(error)));
    }
}
