//! Reads a compacted topic of the store: first the newest record of each key, then each later
//! record.

use std::time::Duration;

use cyclamentrail_adapter::{Store, StoreError, StoredRecord, keyed_topic};

use super::clocks::boot_ms;
use crate::metrics;

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
}

impl TopicReader {
    /// Creates a reader at the start of the topic; its first read returns a snapshot.
    pub(crate) fn new(topic: &'static str) -> Self {
        Self {
            topic,
            name: keyed_topic(topic),
            next_offset: None,
            read_sent_ms: 0,
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
                    self.read_sent_ms = sent_ms;
                    return read;
                }
                Err(StoreError::RecordsDeleted { .. }) => self.next_offset = None,
                Err(error) => {
                    log::debug!(topic = self.name.as_str(), error:% = error; "topic_not_read");
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Returns the boot time in milliseconds at which the last successful read was sent; 0 before
    /// the first.
    pub(crate) const fn read_sent_ms(&self) -> u64 {
        self.read_sent_ms
    }

    async fn try_read(&mut self, store: &Store, wait: Duration) -> Result<TopicRead, StoreError> {
        if let Some(from) = self.next_offset {
            let page = store.read(&self.name, from, wait).await?;
            self.next_offset = Some(page.next_offset);
            return Ok(TopicRead::Update(page.records));
        }
        let page = store.read_newest(&self.name).await?;
        self.next_offset = Some(page.end_offset);
        Ok(TopicRead::Snapshot(page.records))
    }
}
