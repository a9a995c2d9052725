//! Makes an owner's records durable, one append at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cyclamentrail_adapter::{Append, Store, StoreError, Writer};
use cyclamentrail_jobs::KeyedRecord;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::Instant;

use super::boot_clock::boot_ms;
use super::node::Node;
use super::takeover::{FIRST_SEQUENCE, Taken};
use crate::metrics;

/// First pause after a failed append.
const MIN_RETRY: Duration = Duration::from_millis(30);
/// Longest pause after a failed append.
const MAX_RETRY: Duration = Duration::from_millis(300);
/// Time without an answer after which an append is sent again on another connection; several
/// times what the store takes.
const REPEAT_AFTER: Duration = Duration::from_millis(350);
/// Most attempts that wait for an answer at once.
const MAX_ATTEMPTS: usize = 5;

/// When the ownership of a shard was last confirmed by the store.
#[derive(Debug, Clone)]
pub(crate) struct Confirmation {
    confirmed_ms: Arc<AtomicU64>,
    valid_ms: u64,
}

impl Confirmation {
    /// Creates a confirmation of a moment, which is valid for a while.
    pub(crate) fn new(confirmed_ms: u64, valid_ms: u64) -> Self {
        Self {
            confirmed_ms: Arc::new(AtomicU64::new(confirmed_ms)),
            valid_ms,
        }
    }

    /// Returns whether orders may be given now.
    pub(crate) fn is_valid(&self) -> bool {
        self.age_ms() < self.valid_ms
    }

    /// Returns the time since the last confirmation in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.confirmed_ms.load(Ordering::Relaxed))
    }

    fn confirm(&self, sent_ms: u64) {
        self.confirmed_ms.fetch_max(sent_ms, Ordering::Relaxed);
    }
}

/// Appends an owner's records in order.
#[derive(Debug, Clone)]
pub(crate) struct CommitLog {
    store: Store,
    topic: Arc<str>,
    epoch: u64,
    sequence: u64,
    max_bytes: usize,
    confirmation: Confirmation,
}

impl CommitLog {
    /// Creates the log of an owner that has taken over.
    pub(crate) fn new(node: &Node, taken: &Taken, confirmation: Confirmation) -> Self {
        Self {
            store: node.store.clone(),
            topic: Arc::from(taken.topic.as_str()),
            epoch: taken.token,
            sequence: FIRST_SEQUENCE,
            max_bytes: node.settings.max_append_bytes,
            confirmation,
        }
    }

    /// Appends records and returns the log for the next ones; tries until the outcome is known.
    ///
    /// # Errors
    ///
    /// Returns why this process no longer owns the shard.
    pub(crate) async fn append(mut self, records: &[KeyedRecord]) -> Result<Self, StoreError> {
        for part in split(records, self.max_bytes) {
            self.append_part(&part).await?;
        }
        Ok(self)
    }

    /// Confirms the ownership without appending anything, and returns the log for the next
    /// records.
    ///
    /// # Errors
    ///
    /// Returns why this process no longer owns the shard.
    pub(crate) async fn confirm(mut self) -> Result<Self, StoreError> {
        self.append_part(&[]).await?;
        Ok(self)
    }

    const fn writer(&self) -> Writer {
        Writer {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    async fn append_part(&mut self, records: &[(String, Vec<u8>)]) -> Result<(), StoreError> {
        let mut pause = MIN_RETRY;
        let mut is_ambiguous = false;
        loop {
            let outcome = self.try_append(records).await;
            match outcome.result {
                Ok(sent_ms) => {
                    self.confirmation.confirm(sent_ms);
                    // An append without records has no place in the sequence.
                    self.sequence += u64::from(!records.is_empty());
                    return Ok(());
                }
                Err(StoreError::OutOfSequence { expected })
                    if !is_ambiguous && outcome.attempts == 1 =>
                {
                    log::info!(topic:% = self.topic, expected; "sequence_corrected");
                    self.sequence = expected;
                }
                Err(error @ (StoreError::Fenced | StoreError::OutOfSequence { .. })) => {
                    return Err(error);
                }
                Err(error) => {
                    is_ambiguous |=
                        outcome.attempts > 1 || matches!(error, StoreError::NoAnswer(_));
                    log::debug!(topic:% = self.topic, error:% = error; "append_repeated");
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY);
                }
            }
        }
    }

    /// Appends under the present sequence number, which the store takes only once however often
    /// it is sent; a connection that stays silent is followed by another one.
    async fn try_append(&self, records: &[(String, Vec<u8>)]) -> Attempted {
        let mut running = FuturesUnordered::new();
        let mut attempts = 0;
        loop {
            if running.len() < MAX_ATTEMPTS {
                running.push(self.send(records));
                attempts += 1;
            }
            let until = Instant::now() + REPEAT_AFTER;
            while let Ok(Some(result)) = tokio::time::timeout_at(until, running.next()).await {
                // What another attempt may still bring goes before a failure without an answer.
                if running.is_empty() || !matches!(result, Err(StoreError::NoAnswer(_))) {
                    return Attempted { result, attempts };
                }
            }
        }
    }

    /// Sends one append; returns when it was sent, on the clock that counts suspension.
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

/// What became of the attempts to append something.
struct Attempted {
    result: Result<u64, StoreError>,
    attempts: u32,
}

/// Splits records into parts that one append takes.
fn split(records: &[KeyedRecord], max_bytes: usize) -> Vec<Vec<(String, Vec<u8>)>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut bytes = 0;
    for record in records {
        let size = record.key.len() + record.value.len() + 8;
        if bytes + size > max_bytes && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += size;
        part.push((record.key.clone(), record.value.clone()));
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}
