//! Reads a compacted topic of the store: first the newest record of each key, then each later
//! record.

use std::pin::Pin;
use std::time::Duration;

use cyclamentrail_adapter::{Store, StoreError, StoredRecord, keyed_topic};
use cyclamentrail_jobs::{PlannedRead, ReadPlan, ReadTimes, replaced_read};
use futures_util::future::select_all;
use tokio::time::{Instant, timeout_at};

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

/// Response to a read.
#[derive(Debug)]
struct Fetched {
    read: TopicRead,
    /// Offset at which the next read starts.
    next_offset: u64,
    /// Whether the topic had no more records.
    is_at_end: bool,
}

/// Read that waits for its response.
struct ReadInFlight<'a> {
    planned: PlannedRead,
    /// Boot time in milliseconds at which the read was sent.
    sent_ms: u64,
    response: Pin<Box<dyn Future<Output = Result<Fetched, StoreError>> + Send + 'a>>,
}

/// Reader of a topic, with its position.
#[derive(Debug)]
pub(crate) struct TopicReader {
    /// Name of the topic without the store's prefix.
    topic: &'static str,
    name: String,
    plan: ReadPlan,
    /// Offset of the next record; `None` before a snapshot is read.
    next_offset: Option<u64>,
    /// Boot time in milliseconds at which the last successful read was sent; 0 before the first.
    read_sent_ms: u64,
    /// Whether the last successful read returned all records that the topic had.
    is_at_end: bool,
    /// Reads that failed since the last successful one.
    failed_reads: FailedReads,
}

impl TopicReader {
    /// Creates a reader at the start of the topic; its first read returns a snapshot.
    pub(crate) fn new(topic: &'static str, times: ReadTimes) -> Self {
        Self {
            topic,
            name: keyed_topic(topic),
            plan: ReadPlan::new(times),
            next_offset: None,
            read_sent_ms: 0,
            is_at_end: false,
            failed_reads: FailedReads::default(),
        }
    }

    /// Reads the next records and repeats failed reads until one succeeds. The next read is a
    /// snapshot if the store no longer has the records at the reader's position.
    pub(crate) async fn read(&mut self, store: &Store) -> TopicRead {
        loop {
            let begun = Instant::now();
            match self.read_hedged(store).await {
                Ok(fetched) => {
                    self.next_offset = Some(fetched.next_offset);
                    self.is_at_end = fetched.is_at_end;
                    return fetched.read;
                }
                Err(StoreError::RecordsDeleted { .. }) => {
                    self.next_offset = None;
                    continue;
                }
                // The record that can't be read may be read as the newest of its key.
                Err(StoreError::MalformedResponse(_)) => self.next_offset = None,
                Err(_logged) => {}
            }
            // A connection that is reset fails at once, a silent one has taken its time.
            tokio::time::sleep_until(begun + RETRY_INTERVAL).await;
        }
    }

    /// Returns whether the last successful read returned all records that the topic had.
    pub(crate) const fn is_at_end(&self) -> bool {
        self.is_at_end
    }

    /// Returns the offset up to which all records are read; 0 before the first read.
    pub(crate) fn position(&self) -> u64 {
        self.next_offset.unwrap_or(0)
    }

    /// Returns the boot time in milliseconds at which the last successful read was sent; 0 before
    /// the first.
    pub(crate) const fn read_sent_ms(&self) -> u64 {
        self.read_sent_ms
    }

    /// Reads from the reader's position; sends another read, on another connection, while the ones
    /// under way get no response. Returns the first success, or the last failure once no read is under
    /// way.
    async fn read_hedged(&mut self, store: &Store) -> Result<Fetched, StoreError> {
        let name = self.name.clone();
        let mut in_flight = Vec::new();
        loop {
            if let Some(index) = replaced_read(in_flight.len()) {
                self.record_unanswered(&in_flight.remove(index));
            }
            let planned = self.plan.next_read();
            in_flight.push(ReadInFlight {
                planned,
                sent_ms: boot_ms(),
                response: Box::pin(fetch(store, &name, self.next_offset, planned.wait_ms)),
            });
            let until = Instant::now() + Duration::from_millis(planned.hedge_after_ms);
            while let Some((read, result)) = next_response(&mut in_flight, until).await {
                match result {
                    Ok(fetched) => {
                        for unanswered in &in_flight {
                            self.record_unanswered(unanswered);
                        }
                        self.record_success(&read);
                        return Ok(fetched);
                    }
                    Err(error) => {
                        self.record_failure(read.sent_ms, &error);
                        let is_gone = matches!(error, StoreError::RecordsDeleted { .. });
                        if is_gone || in_flight.is_empty() {
                            return Err(error);
                        }
                    }
                }
            }
        }
    }

    /// Records a successful read. If reads before it had failed, logs for how long nothing was read,
    /// and how these reads failed.
    fn record_success(&mut self, read: &ReadInFlight) {
        let now_ms = boot_ms();
        let unread_ms = match self.read_sent_ms {
            0 => 0,
            earlier_ms => now_ms.saturating_sub(earlier_ms),
        };
        self.read_sent_ms = read.sent_ms;
        self.plan
            .record_success(read.planned, now_ms.saturating_sub(read.sent_ms));
        metrics::count_topic_read(self.topic, true);
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

    /// Records a read that is given up without a response.
    fn record_unanswered(&mut self, read: &ReadInFlight) {
        let error = StoreError::NoResponse(String::from("given up for another read"));
        self.record_failure(read.sent_ms, &error);
    }

    /// Records a failed read that was sent at `sent_ms`; logs the first one after a successful read.
    fn record_failure(&mut self, sent_ms: u64, error: &StoreError) {
        metrics::count_topic_read(self.topic, false);
        let took_ms = boot_ms().saturating_sub(sent_ms);
        if !self.failed_reads.any() {
            log::warn!(topic = self.topic, took_ms, error:% = error; "topic_unread");
        }
        self.failed_reads.record(took_ms, error);
    }
}

/// Waits until `until` for a response; removes its read from those under way. `None` if there is none
/// by then.
async fn next_response<'a>(
    in_flight: &mut Vec<ReadInFlight<'a>>,
    until: Instant,
) -> Option<(ReadInFlight<'a>, Result<Fetched, StoreError>)> {
    let responses = in_flight.iter_mut().map(|read| &mut read.response);
    let (result, index, _) = timeout_at(until, select_all(responses)).await.ok()?;
    Some((in_flight.remove(index), result))
}

/// Reads the records of a topic from an offset on, or the newest record of each key if there is none.
async fn fetch(
    store: &Store,
    topic: &str,
    from_offset: Option<u64>,
    wait_ms: u64,
) -> Result<Fetched, StoreError> {
    let Some(from_offset) = from_offset else {
        return fetch_newest(store, topic).await;
    };
    let wait = Duration::from_millis(wait_ms);
    let page = store.read(topic, from_offset, wait).await?;
    if page.has_more && page.next_offset == from_offset {
        // The record at this position is cut off or too large for a page.
        return Err(StoreError::MalformedResponse(
            "a page without the record it begins with",
        ));
    }
    Ok(Fetched {
        read: TopicRead::Update(page.records),
        next_offset: page.next_offset,
        is_at_end: !page.has_more,
    })
}

async fn fetch_newest(store: &Store, topic: &str) -> Result<Fetched, StoreError> {
    let page = store.read_all_newest(topic).await?;
    Ok(Fetched {
        read: TopicRead::Snapshot(page.records),
        next_offset: page.end_offset,
        is_at_end: true,
    })
}
