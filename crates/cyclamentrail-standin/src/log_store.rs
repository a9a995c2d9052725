//! The in-memory log behind the log service.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use cyclamentrail_core::Offset;
use cyclamentrail_platform::{LogRecord, ReadResponse};
use tokio::sync::watch;

/// An append-only log in memory with named streams of records.
#[derive(Debug, Default)]
pub struct LogStore {
    streams: Mutex<BTreeMap<String, Stream>>,
    /// Number of appends to all streams.
    append_count: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first record that isn't trimmed.
    oldest: u64,
    records: VecDeque<LogRecord>,
}

impl Stream {
    fn head(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

impl LogStore {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends records to a stream, creating it if needed, and returns the offset of the first one.
    pub fn append(&self, stream: &str, records: Vec<Vec<u8>>) -> Offset {
        let appended_ms = now_ms();
        let mut streams = self.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.head();
        for bytes in records {
            let offset = Offset::new(stream.head());
            stream.records.push_back(LogRecord {
                offset,
                appended_ms,
                bytes,
            });
        }
        drop(streams);
        self.append_count.send_modify(|count| *count += 1);
        Offset::new(first)
    }

    /// Returns the offset of the next record to be appended to a stream; 0 for an unknown stream.
    #[must_use]
    pub fn head(&self, stream: &str) -> Offset {
        Offset::new(self.lock().get(stream).map_or(0, Stream::head))
    }

    /// Reads at most `max` records of a stream from an offset on.
    ///
    /// Returns no records if the stream is unknown or trimmed beyond the offset.
    #[must_use]
    pub fn read(&self, stream: &str, from: Offset, max: usize) -> ReadResponse {
        let streams = self.lock();
        let Some(stream) = streams.get(stream) else {
            return ReadResponse {
                oldest: Offset::default(),
                head: Offset::default(),
                records: Vec::new(),
            };
        };
        let records = match from.get().checked_sub(stream.oldest) {
            Some(skipped) => stream
                .records
                .iter()
                .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
                .take(max)
                .cloned()
                .collect(),
            None => Vec::new(),
        };
        ReadResponse {
            oldest: Offset::new(stream.oldest),
            head: Offset::new(stream.head()),
            records,
        }
    }

    /// Removes all records of a stream below an offset, as the platform's retention does.
    pub fn trim(&self, stream: &str, below: Offset) {
        let mut streams = self.lock();
        let Some(stream) = streams.get_mut(stream) else {
            return;
        };
        while stream.oldest < below.get() && stream.records.pop_front().is_some() {
            stream.oldest += 1;
        }
    }

    /// Returns a receiver that is notified of each append to any stream.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.append_count.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}
