//! Follows a compacted topic of the store: the newest record of each key, then each change.

use std::time::Duration;

use cyclamentrail_adapter::{KeyedRow, Store, StoreError, keyed_topic};

use crate::metrics;

/// Time after which the store is asked again when it gave no answer.
const RETRY: Duration = Duration::from_millis(150);

/// What was read of a topic.
#[derive(Debug)]
pub(crate) enum Read {
    /// The newest record of each key; what was known before is void.
    All(Vec<KeyedRow>),
    /// Records that were added since.
    More(Vec<KeyedRow>),
}

/// A topic and how far it was read.
#[derive(Debug)]
pub(crate) struct Topic {
    name: String,
    next: Option<u64>,
}

impl Topic {
    /// Creates a topic of which nothing was read.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: keyed_topic(name),
            next: None,
        }
    }

    /// Reads on, for as long as it takes; each read waits up to `wait` for something new.
    pub(crate) async fn read(&mut self, store: &Store, wait: Duration) -> Read {
        loop {
            let read = self.try_read(store, wait).await;
            metrics::count_topic_read(read.is_ok());
            match read {
                Ok(read) => return read,
                Err(StoreError::Expired { .. }) => self.next = None,
                Err(error) => {
                    log::debug!(topic = self.name.as_str(), error:% = error; "topic_not_read");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    async fn try_read(&mut self, store: &Store, wait: Duration) -> Result<Read, StoreError> {
        if let Some(from) = self.next {
            let page = store.read(&self.name, from, wait).await?;
            self.next = Some(page.next);
            return Ok(Read::More(page.rows));
        }
        let page = store.all_newest(&self.name).await?;
        self.next = Some(page.end);
        Ok(Read::All(page.rows))
    }
}
