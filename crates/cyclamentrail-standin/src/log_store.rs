//! An append-only log in memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use cyclamentrail_core::Offset;
use cyclamentrail_platform::{LogRecord, ReadResponse};
use tokio::sync::watch;

/// Streams of records with offsets.
#[derive(Debug, Default)]
pub struct LogStore {
    streams: Mutex<BTreeMap<String, Stream>>,
    appends: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Stream {
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

    /// Appends records and returns the offset of the first.
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
        self.appends.send_modify(|count| *count += 1);
        Offset::new(first)
    }

    /// Returns the offset that the next record of a stream will get.
    #[must_use]
    pub fn head(&self, stream: &str) -> Offset {
        Offset::new(self.lock().get(stream).map_or(0, Stream::head))
    }

    /// Reads records from an offset on.
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
            Some(skip) => stream
                .records
                .iter()
                .skip(usize::try_from(skip).unwrap_or(usize::MAX))
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

    /// Drops all records of a stream below an offset, as the platform's retention does.
    pub fn trim(&self, stream: &str, below: Offset) {
        let mut streams = self.lock();
        let Some(stream) = streams.get_mut(stream) else {
            return;
        };
        while stream.oldest < below.get() && stream.records.pop_front().is_some() {
            stream.oldest += 1;
        }
    }

    /// Returns a receiver that changes with each append to any stream.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.appends.subscribe()
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
