//! Appends records to the log in batches, one batch at a time, in the order of their ids.
//!
//! A batch whose response was lost is appended again until its records are folded, the log
//! acknowledges them, or they expire; the fold ignores the copies. Records that the log refused at
//! their first attempt were not appended and fail at once: their author decides anew.

use std::time::Duration;

use cyclamentrail_core::{CodecError, Incarnation, Record, RecordId, encode_record};
use rand::Rng as _;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::backoff::Backoff;
use super::log_health::LogHealth;
use super::platform_client::PlatformError;
use super::{ControlHandle, ControlMessage, PlatformClient};

/// Capacity of the queue of records that wait for the log.
const QUEUE_LENGTH: usize = 4096;
/// Largest number of records in one batch.
const MAX_BATCH: usize = 500;
/// Time after which a queued record is no longer appended.
const RECORD_TTL: Duration = Duration::from_secs(5);
/// Longest random delay of the first batch after an outage, so that the entries don't all append
/// at once.
const RECOVERY_JITTER: Duration = Duration::from_millis(500);

/// Records that the writer gave up.
#[derive(Debug, Clone)]
pub(crate) struct WriteFailure {
    /// Ids of the records.
    pub(crate) ids: Vec<RecordId>,
    /// Whether the records may still have been appended.
    pub(crate) uncertain: bool,
}

/// Queue of records for the log; one task appends them.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    queue: mpsc::Sender<QueuedRecord>,
    health: LogHealth,
    folded: watch::Sender<RecordId>,
}

#[derive(Debug)]
struct QueuedRecord {
    id: RecordId,
    bytes: Vec<u8>,
    expires: Instant,
    /// Whether an append of the record may have taken effect.
    attempted: bool,
}

impl Writer {
    /// Starts the task that appends; `batch_delay` is the time for which each batch is collected.
    pub(crate) fn start(
        platform: PlatformClient,
        control: ControlHandle,
        batch_delay: Duration,
    ) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE_LENGTH);
        let (folded, folded_receiver) = watch::channel(RecordId::new(Incarnation::default(), 0));
        let health = control.health().clone();
        let appender = Appender {
            platform,
            control,
            health: health.clone(),
            folded: folded_receiver,
        };
        tokio::spawn(appender.run(receiver, batch_delay));
        Self {
            queue,
            health,
            folded,
        }
    }

    /// Queues a record; returns whether the log can be reached and the queue had room.
    ///
    /// # Errors
    ///
    /// Returns an error when the record can't be encoded.
    pub(crate) fn queue(&self, record: &Record) -> Result<bool, CodecError> {
        if self.health.is_down() {
            return Ok(false);
        }
        let queued = QueuedRecord {
            id: record.id,
            bytes: encode_record(record)?,
            expires: Instant::now() + RECORD_TTL,
            attempted: false,
        };
        Ok(self.queue.try_send(queued).is_ok())
    }

    /// Sets the last record of this process that was folded; records up to it and those of a former
    /// incarnation are no longer appended.
    pub(crate) fn set_folded(&self, last: RecordId) {
        self.folded.send_if_modified(|folded| {
            let is_changed = *folded != last;
            *folded = last;
            is_changed
        });
    }
}

/// State of the task that appends.
struct Appender {
    platform: PlatformClient,
    control: ControlHandle,
    health: LogHealth,
    folded: watch::Receiver<RecordId>,
}

impl Appender {
    /// Collects records into batches and appends them until the queue is closed.
    async fn run(self, mut receiver: mpsc::Receiver<QueuedRecord>, batch_delay: Duration) {
        let mut batch = Vec::new();
        let mut was_down = false;
        while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
            tokio::time::sleep(batch_delay).await;
            while batch.len() < MAX_BATCH {
                match receiver.try_recv() {
                    Ok(queued) => batch.push(queued),
                    Err(_) => break,
                }
            }
            if was_down {
                let fraction = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(RECOVERY_JITTER.mul_f64(fraction)).await;
            }
            was_down = !self.append_batch(std::mem::take(&mut batch)).await;
        }
    }

    /// Appends a batch; returns whether the first attempt succeeded.
    async fn append_batch(&self, mut batch: Vec<QueuedRecord>) -> bool {
        let mut backoff = Backoff::new();
        let mut is_first_attempt = true;
        loop {
            self.discard_folded(&mut batch);
            self.fail_expired(&mut batch).await;
            if batch.is_empty() {
                return is_first_attempt;
            }
            let records = batch.iter().map(|queued| queued.bytes.clone()).collect();
            let Err(error) = self.platform.append(records).await else {
                return is_first_attempt;
            };
            log::warn!(error:% = error, records = batch.len(); "append_failed");
            is_first_attempt = false;
            let is_refused = matches!(error, PlatformError::Refused(_));
            let pause = backoff.next_pause();
            if is_refused {
                self.health.mark_down(pause);
                let (attempted, unattempted) =
                    batch.into_iter().partition(|queued| queued.attempted);
                batch = attempted;
                self.report_failure(unattempted, false).await;
            }
            for queued in &mut batch {
                queued.attempted = true;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Drops records that are folded already and those of a former incarnation.
    fn discard_folded(&self, batch: &mut Vec<QueuedRecord>) {
        let folded = *self.folded.borrow();
        batch.retain(|queued| {
            let is_former_incarnation =
                queued.id.author != folded.author && folded.author.get() != 0;
            !is_former_incarnation
                && (queued.id.author != folded.author || queued.id.sequence > folded.sequence)
        });
    }

    /// Removes expired records and reports them to the control thread.
    async fn fail_expired(&self, batch: &mut Vec<QueuedRecord>) {
        let now = Instant::now();
        let (expired, kept): (Vec<QueuedRecord>, Vec<QueuedRecord>) =
            batch.drain(..).partition(|queued| queued.expires <= now);
        *batch = kept;
        let (attempted, unattempted) = expired.into_iter().partition(|queued| queued.attempted);
        self.report_failure(attempted, true).await;
        self.report_failure(unattempted, false).await;
    }

    async fn report_failure(&self, records: Vec<QueuedRecord>, uncertain: bool) {
        if records.is_empty() {
            return;
        }
        let ids = records.iter().map(|queued| queued.id).collect();
        let failure = WriteFailure { ids, uncertain };
        self.control
            .send(ControlMessage::WriteFailed(failure))
            .await;
    }
}
