//! Appends records to the log in batches, one batch at a time, in the order of their ids.
//!
//! A batch whose answer was lost is appended again until the fold shows it, the log takes it, or
//! its records are too old; the fold drops the copies. A batch that the log refuses was not
//! appended and isn't tried again: whoever wrote it decides anew.

use std::time::Duration;

use cyclamentrail_core::{CodecError, Incarnation, Record, RecordId, encode_record};
use rand::Rng as _;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::backoff::Backoff;
use super::log_health::LogHealth;
use super::platform_client::PlatformError;
use super::{ControlHandle, ControlMessage, PlatformClient};

/// Records waiting for the log at most.
const QUEUE_LENGTH: usize = 4096;
/// Most records of one batch.
const MAX_BATCH: usize = 500;
/// Time after which a record isn't appended again.
const RECORD_LIFE: Duration = Duration::from_secs(5);
/// Longest pause of the first batch after an outage, so that entries don't come all at once.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Tells that records were not appended, or that it can't be told.
#[derive(Debug, Clone)]
pub(crate) struct WriteFailed {
    /// The records.
    pub(crate) ids: Vec<RecordId>,
    /// Whether the records may still have been appended.
    pub(crate) uncertain: bool,
}

/// Queues records for the log.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    queue: mpsc::Sender<Queued>,
    health: LogHealth,
    folded: watch::Sender<RecordId>,
}

#[derive(Debug)]
struct Queued {
    id: RecordId,
    bytes: Vec<u8>,
    expires: Instant,
    tried: bool,
}

impl Writer {
    /// Starts the task that appends; `delay` is how long a batch is gathered.
    pub(crate) fn start(platform: PlatformClient, control: ControlHandle, delay: Duration) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE_LENGTH);
        let (folded, seen) = watch::channel(RecordId::new(Incarnation::default(), 0));
        let health = control.health().clone();
        let appender = Appender {
            platform,
            control,
            health: health.clone(),
            folded: seen,
        };
        tokio::spawn(appender.run(receiver, delay));
        Self {
            queue,
            health,
            folded,
        }
    }

    /// Queues a record; returns whether there was room and the log can be reached.
    ///
    /// # Errors
    ///
    /// Returns an error when the record can't be encoded.
    pub(crate) fn queue(&self, record: &Record) -> Result<bool, CodecError> {
        if self.health.is_down() {
            return Ok(false);
        }
        let queued = Queued {
            id: record.id,
            bytes: encode_record(record)?,
            expires: Instant::now() + RECORD_LIFE,
            tried: false,
        };
        Ok(self.queue.try_send(queued).is_ok())
    }

    /// Tells how far the fold shows this process's records; older ones and those of a former
    /// incarnation aren't appended any more.
    pub(crate) fn folded(&self, last: RecordId) {
        self.folded.send_if_modified(|folded| {
            let newer = *folded != last;
            *folded = last;
            newer
        });
    }
}

struct Appender {
    platform: PlatformClient,
    control: ControlHandle,
    health: LogHealth,
    folded: watch::Receiver<RecordId>,
}

impl Appender {
    async fn run(self, mut receiver: mpsc::Receiver<Queued>, delay: Duration) {
        let mut batch = Vec::new();
        let mut was_down = false;
        while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
            tokio::time::sleep(delay).await;
            while batch.len() < MAX_BATCH {
                match receiver.try_recv() {
                    Ok(queued) => batch.push(queued),
                    Err(_) => break,
                }
            }
            if was_down {
                let spread = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(RETURN_SPREAD.mul_f64(spread)).await;
            }
            was_down = !self.append_batch(std::mem::take(&mut batch)).await;
        }
    }

    /// Appends a batch; returns whether the log took it at the first try.
    async fn append_batch(&self, mut batch: Vec<Queued>) -> bool {
        let mut backoff = Backoff::new();
        let mut first = true;
        loop {
            self.drop_folded(&mut batch);
            self.drop_expired(&mut batch).await;
            if batch.is_empty() {
                return first;
            }
            let records = batch.iter().map(|queued| queued.bytes.clone()).collect();
            let Err(error) = self.platform.append(records).await else {
                return first;
            };
            log::warn!(error:% = error, records = batch.len(); "append_failed");
            first = false;
            let refused = matches!(error, PlatformError::Refused(_));
            let pause = backoff.pause();
            if refused {
                self.health.down(pause);
                let (tried, untried) = batch.into_iter().partition(|queued| queued.tried);
                batch = tried;
                self.fail(untried, false).await;
            }
            for queued in &mut batch {
                queued.tried = true;
            }
            tokio::time::sleep(pause).await;
        }
    }

    fn drop_folded(&self, batch: &mut Vec<Queued>) {
        let folded = *self.folded.borrow();
        batch.retain(|queued| {
            let dead = queued.id.author != folded.author && folded.author.get() != 0;
            !dead && (queued.id.author != folded.author || queued.id.sequence > folded.sequence)
        });
    }

    async fn drop_expired(&self, batch: &mut Vec<Queued>) {
        let now = Instant::now();
        let (expired, kept): (Vec<Queued>, Vec<Queued>) =
            batch.drain(..).partition(|queued| queued.expires <= now);
        *batch = kept;
        let (tried, untried) = expired.into_iter().partition(|queued| queued.tried);
        self.fail(tried, true).await;
        self.fail(untried, false).await;
    }

    async fn fail(&self, records: Vec<Queued>, uncertain: bool) {
        if records.is_empty() {
            return;
        }
        let ids = records.iter().map(|queued| queued.id).collect();
        let failed = WriteFailed { ids, uncertain };
        self.control.send(ControlMessage::WriteFailed(failed)).await;
    }
}
