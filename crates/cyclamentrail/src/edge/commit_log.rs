//! Makes an owner's records durable in the store, one append at a time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{Append, Store, StoreError, Writer};
use cyclamentrail_jobs::KeyedRecord;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::Instant;

use super::clocks::boot_ms;
use super::confirmation::Confirmation;
use super::process_state::ProcessState;
use super::takeover::{FIRST_SEQUENCE, Takeover};
use crate::metrics;

/// Pause after the first failed append.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Longest pause after a failed append.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time without a response after which an append is sent again on another connection; several times
/// as long as the store usually takes.
const RESEND_AFTER: Duration = Duration::from_millis(350);
/// Most attempts of one append that wait for a response at the same time.
const MAX_ATTEMPTS_IN_FLIGHT: usize = 5;

/// Number of refusals of a single record's content after which the record is left out: a store that is
/// at fault for a moment mustn't cost a job.
const MAX_CONTENT_REFUSALS: u32 = 3;

/// Record with its key.
type Record = (String, Vec<u8>);

/// Appends an owner's records to the topic of its shard, in order and each batch once.
#[derive(Debug, Clone)]
pub(crate) struct CommitLog {
    store: Store,
    topic: Arc<str>,
    epoch: u64,
    sequence: u64,
    max_bytes: usize,
    confirmation: Confirmation,
    /// Keys of records that the store refused for their content.
    refused_keys: Vec<String>,
}

impl CommitLog {
    /// Creates the log of the owner that took over a shard.
    pub(crate) fn new(
        process: &ProcessState,
        takeover: &Takeover,
        confirmation: Confirmation,
    ) -> Self {
        Self {
            store: process.store.clone(),
            topic: Arc::from(takeover.topic.as_str()),
            epoch: takeover.token,
            sequence: FIRST_SEQUENCE,
            max_bytes: process.settings.max_append_bytes,
            confirmation,
            refused_keys: Vec::new(),
        }
    }

    /// Returns the keys of records that the store refused for their content since the last call.
    pub(crate) fn take_refused_keys(&mut self) -> Vec<String> {
        std::mem::take(&mut self.refused_keys)
    }

    /// Appends records and returns the log for the next append; retries until the outcome is known. A
    /// record that the store refuses for its content is left out; see
    /// [`CommitLog::take_refused_keys`].
    ///
    /// # Errors
    ///
    /// Returns the store's error if this process no longer owns the shard.
    pub(crate) async fn append(mut self, records: &[KeyedRecord]) -> Result<Self, StoreError> {
        let mut waiting = VecDeque::from(split_records(records, self.max_bytes));
        while let Some(batch) = waiting.pop_front() {
            match self.append_batch(&batch).await {
                Ok(()) => {}
                Err(error) if error.refuses_content() => {
                    self.split_or_leave_out(batch, &error, &mut waiting);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(self)
    }

    /// Splits a batch that the store refuses for its content, so that the refused record is found, or
    /// leaves out a single record. The order of the records stays.
    fn split_or_leave_out(
        &mut self,
        mut batch: Vec<Record>,
        error: &StoreError,
        waiting: &mut VecDeque<Vec<Record>>,
    ) {
        if batch.len() > 1 {
            let second = batch.split_off(batch.len() / 2);
            waiting.push_front(second);
            waiting.push_front(batch);
            return;
        }
        for (key, value) in batch {
            let bytes = key.len() + value.len();
            log::error!(topic:% = self.topic, key, bytes, error:% = error; "record_refused");
            self.refused_keys.push(key);
        }
    }

    /// Confirms the ownership with an append without records, and returns the log for the next
    /// append.
    ///
    /// # Errors
    ///
    /// Returns the store's error if this process no longer owns the shard.
    pub(crate) async fn confirm(mut self) -> Result<Self, StoreError> {
        self.append_batch(&[]).await?;
        Ok(self)
    }

    const fn writer(&self) -> Writer {
        Writer {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// Appends one batch and retries until its outcome is known.
    ///
    /// Adopts the sequence number that the store expects only if the batch was sent once: after an
    /// attempt with an unknown outcome, the batch may be in the topic already.
    async fn append_batch(&mut self, records: &[(String, Vec<u8>)]) -> Result<(), StoreError> {
        let mut pause = MIN_RETRY_PAUSE;
        let mut may_have_taken_effect = false;
        let mut content_refusals = 0;
        loop {
            let outcome = self.append_with_resends(records).await;
            match outcome.result {
                Ok(sent_ms) => {
                    self.confirmation.confirm(sent_ms);
                    // An append without records doesn't use up a sequence number.
                    self.sequence += u64::from(!records.is_empty());
                    return Ok(());
                }
                Err(StoreError::OutOfSequence { expected })
                    if !may_have_taken_effect && outcome.attempts == 1 =>
                {
                    log::info!(topic:% = self.topic, expected; "sequence_corrected");
                    self.sequence = expected;
                }
                Err(error @ (StoreError::Fenced | StoreError::OutOfSequence { .. })) => {
                    return Err(error);
                }
                Err(error) if error.refuses_content() => {
                    content_refusals += 1;
                    if records.len() > 1 || content_refusals >= MAX_CONTENT_REFUSALS {
                        return Err(error);
                    }
                    tokio::time::sleep(pause).await;
                }
                Err(error) => {
                    may_have_taken_effect |=
                        outcome.attempts > 1 || matches!(error, StoreError::NoResponse(_));
                    log::debug!(topic:% = self.topic, error:% = error; "append_repeated");
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    /// Appends under the current sequence number. The store accepts a sequence number only once, so
    /// that the append can be sent again on another connection while earlier attempts wait for a
    /// response.
    async fn append_with_resends(&self, records: &[(String, Vec<u8>)]) -> AppendOutcome {
        let mut in_flight = FuturesUnordered::new();
        let mut attempts = 0;
        loop {
            if in_flight.len() < MAX_ATTEMPTS_IN_FLIGHT {
                in_flight.push(self.send(records));
                attempts += 1;
            }
            let until = Instant::now() + RESEND_AFTER;
            while let Ok(Some(result)) = tokio::time::timeout_at(until, in_flight.next()).await {
                // A failure without a response is returned only once no other attempt is in flight.
                if in_flight.is_empty() || !matches!(result, Err(StoreError::NoResponse(_))) {
                    return AppendOutcome { result, attempts };
                }
            }
        }
    }

    /// Sends one append; returns when it was sent, on the boot-time clock.
    async fn send(&self, records: &[(String, Vec<u8>)]) -> Result<u64, StoreError> {
        let sent_ms = boot_ms();
        let append = Append {
            topic: &self.topic,
            records,
            writer: Some(self.writer()),
        };
        let sent = Instant::now();
        let result = self.store.append(append).await;
        metrics::count_store_call("append", result.is_ok(), sent.elapsed());
        result.map(|_appended| sent_ms)
    }
}

/// Result of an append, and the number of times that it was sent.
struct AppendOutcome {
    result: Result<u64, StoreError>,
    attempts: u32,
}

/// Splits records into batches that fit into one append of `max_bytes`.
fn split_records(records: &[KeyedRecord], max_bytes: usize) -> Vec<Vec<(String, Vec<u8>)>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for record in records {
        let size = record.key.len() + record.value.len() + 8;
        if bytes + size > max_bytes && !batch.is_empty() {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
        bytes += size;
        batch.push((record.key.clone(), record.value.clone()));
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
