//! Appends records to the log in batches, one batch at a time.

use std::time::Duration;

use cyclamentrail_core::{CodecError, Record, encode_record};
use tokio::sync::mpsc;

use super::platform_client::PlatformError;
use super::{ControlHandle, ControlMessage, PlatformClient};

/// Records waiting for the log at most.
const QUEUE_LENGTH: usize = 4096;
/// Most records of one batch.
const MAX_BATCH: usize = 500;

/// Tells that records were not appended, or that it can't be told.
#[derive(Debug, Clone)]
pub(crate) struct WriteFailed {
    /// Sequence numbers of the records.
    pub(crate) sequences: Vec<u64>,
    /// Whether the records may still have been appended.
    pub(crate) uncertain: bool,
}

/// Queues records for the log.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    queue: mpsc::Sender<Queued>,
}

#[derive(Debug)]
struct Queued {
    sequence: u64,
    bytes: Vec<u8>,
}

impl Writer {
    /// Starts the task that appends; `delay` is how long a batch is gathered.
    pub(crate) fn start(platform: PlatformClient, control: ControlHandle, delay: Duration) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(append_batches(platform, control, receiver, delay));
        Self { queue }
    }

    /// Queues a record; returns whether there was room.
    ///
    /// # Errors
    ///
    /// Returns an error when the record can't be encoded.
    pub(crate) fn queue(&self, record: &Record) -> Result<bool, CodecError> {
        let queued = Queued {
            sequence: record.id.sequence,
            bytes: encode_record(record)?,
        };
        Ok(self.queue.try_send(queued).is_ok())
    }
}

async fn append_batches(
    platform: PlatformClient,
    control: ControlHandle,
    mut receiver: mpsc::Receiver<Queued>,
    delay: Duration,
) {
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
        tokio::time::sleep(delay).await;
        while batch.len() < MAX_BATCH {
            match receiver.try_recv() {
                Ok(queued) => batch.push(queued),
                Err(_) => break,
            }
        }
        let sequences: Vec<u64> = batch.iter().map(|queued| queued.sequence).collect();
        let records = batch.drain(..).map(|queued| queued.bytes).collect();
        if let Err(error) = platform.append(records).await {
            log::warn!(error:% = error, records = sequences.len(); "append_failed");
            let uncertain = !matches!(error, PlatformError::Refused(_));
            let failed = WriteFailed {
                sequences,
                uncertain,
            };
            control.send(ControlMessage::WriteFailed(failed)).await;
        }
    }
}
