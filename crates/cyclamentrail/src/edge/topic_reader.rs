//! Reads a compacted topic of the store: first the newest record of each key, then each later
//! record.

use std::time::Duration;

use cyclamentrail_adapter::{Store, StoreError, StoredRecord, keyed_topic};
use cyclamentrail_jobs::{ReadEnd, ReadTimes};

use super::clocks::boot_ms;
use crate::metrics;

mod failed_reads;

use failed_reads::FailedReads;

/// Pause before a failed read is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Records that one read returned.
#[derive(Debug)]
pub(crate) enum TopicRead {
    /// The newest record of each key; replaces everything that was read before.
    Snapshot(Vec<StoredRecord>),
    /// Records that were appended since the previous read.
    Update(Vec<StoredRecord>),
}

/// Reader of a topic, with its position.
#[derive(Debug)]
pub(crate) struct TopicReader {
    /// Name of the topic without the store's prefix.
    topic: &'static str,
    name: String,
    /// Offset of the next record; `None` before a snapshot is read.
    next_offset: Option<u64>,
    /// Boot time in milliseconds at which the last successful read was sent; 0 before the first.
    read_sent_ms: u64,
    /// Whether the last successful read returned all records that the topic had.
    is_at_end: bool,
    /// Reads in a row that failed or were slow.
    failures: u32,
    /// Reads that failed since the last successful one.
    failed_reads: FailedReads,
}

impl TopicReader {
    /// Creates a reader at the start of the topic; its first read returns a snapshot.
    pub(crate) fn new(topic: &'static str) -> Self {
        Self {
            topic,
            name: keyed_topic(topic),
            next_offset: None,
            read_sent_ms: 0,
            is_at_end: false,
            failures: 0,
            failed_reads: FailedReads::default(),
        }
    }

    /// Reads the next records and repeats failed reads until one succeeds. A read waits up to
    /// `wait` for new records. The next read is a snapshot if the store no longer has the records
    /// at the reader's position.
    pub(crate) async fn read(&mut self, store: &Store, wait: Duration) -> TopicRead {
        loop {
            let sent_ms = boot_ms();
            let read = self.try_read(store, wait).await;
            metrics::count_topic_read(self.topic, read.is_ok());
            match read {
                Ok(read) => {
                    self.record_success(sent_ms);
                    return read;
                }
                Err(StoreError::RecordsDeleted { .. }) => self.next_offset = None,
                Err(error) => {
                    self.record_failure(sent_ms, &error);
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Reads the next records as [`TopicReader::read`] does, but gives up a read in time for another
    /// one, if what was read may be relied on for `max_age_ms` milliseconds.
    pub(crate) async fn read_within(&mut self, store: &Store, max_age_ms: u64) -> TopicRead {
        loop {
            let times = ReadTimes::new(max_age_ms, self.failures);
            let sent_ms = boot_ms();
            let read = self.try_read_within(store, times).await;
            metrics::count_topic_read(self.topic, read.is_ok());
            match read {
                Ok(read) => {
                    self.record_success(sent_ms);
                    let took_ms = boot_ms().saturating_sub(sent_ms);
                    self.failures = times.failures_after(ReadEnd::Returned(took_ms));
                    return read;
                }
                Err(StoreError::RecordsDeleted { .. }) => self.next_offset = None,
                Err(error) => {
                    self.record_failure(sent_ms, &error);
                    if matches!(error, StoreError::NoResponse(_)) {
                        self.failures = times.failures_after(ReadEnd::NoResponse);
                        // A connection that is reset fails at once, a silent one has taken its time.
                        let took = Duration::from_millis(boot_ms().saturating_sub(sent_ms));
                        tokio::time::sleep(RETRY_INTERVAL.saturating_sub(took)).await;
                    } else {
                        self.failures = times.failures_after(ReadEnd::Refused);
                        tokio::time::sleep(RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }

    async fn try_read_within(
        &mut self,
        store: &Store,
        times: ReadTimes,
    ) -> Result<TopicRead, StoreError> {
        let read = self.try_read(store, Duration::from_millis(times.wait_ms));
        tokio::time::timeout(Duration::from_millis(times.limit_ms), read)
            .await
            .unwrap_or_else(|_elapsed| {
                let limit_ms = times.limit_ms;
                Err(StoreError::NoResponse(format!("none within {limit_ms} ms")))
            })
    }

    /// Returns whether the last successful read returned all records that the topic had.
    pub(crate) const fn is_at_end(&self) -> bool {
        self.is_at_end
    }

    /// Returns the boot time in milliseconds at which the last successful read was sent; 0 before
    /// the first.
    pub(crate) const fn read_sent_ms(&self) -> u64 {
        self.read_sent_ms
    }

    /// Records a successful read that was sent at `sent_ms`. If reads before it had failed, logs for
    /// how long nothing was read, and how these reads failed.
    fn record_success(&mut self, sent_ms: u64) {
        let unread_ms = match self.read_sent_ms {
            0 => 0,
            earlier_ms => boot_ms().saturating_sub(earlier_ms),
        };
        self.read_sent_ms = sent_ms;
        metrics::record_topic_unread(self.topic, Duration::from_millis(unread_ms));
        let failed = std::mem::take(&mut self.failed_reads);
        if failed.any() {
            log::info!(
                topic = self.topic, unread_ms, unanswered = failed.unanswered, refused = failed.refused,
                longest_ms = failed.longest_ms;
                "topic_read_again"
            );
        }
    }

    /// Records a failed read that was sent at `sent_ms`; logs the first one after a successful read.
    fn record_failure(&mut self, sent_ms: u64, error: &StoreError) {
        let took_ms = boot_ms().saturating_sub(sent_ms);
        if !self.failed_reads.any() {
            log::warn!(topic = self.topic, took_ms, error:% = error; "topic_unread");
        }
        self.failed_reads.record(took_ms, error);
    }

    async fn try_read(&mut self, store: &Store, wait: Duration) -> Result<TopicRead, StoreError> {
        if let Some(from) = self.next_offset {
            let page = store.read(&self.name, from, wait).await?;
            if page.has_more && page.next_offset == from {
                // The record at this position is cut off or too large for a page; it may be read as
                // the newest of its key.
                self.next_offset = None;
                return Err(StoreError::MalformedResponse(
                    "a page without the record it begins with",
                ));
            }
            self.next_offset = Some(page.next_offset);
            self.is_at_end = !page.has_more;
            return Ok(TopicRead::Update(page.records));
        }
        let page = store.read_newest(&self.name).await?;
        if page.has_more {
            return Err(StoreError::MalformedResponse(
                "newest records that lack a page",
            ));
        }
        self.next_offset = Some(page.end_offset);
        self.is_at_end = true;
        Ok(TopicRead::Snapshot(page.records))
    }
}
