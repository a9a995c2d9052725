//! Directory of the queues that lead to each service, or led to it earlier.
//!
//! The owner of a service writes which queues its jobs came by to the topic of the claims: those that
//! the configuration leads to the service, and former ones as long as it has jobs of them. Each process
//! reads it there, so that it finds an accepted job after its queue got another service or name, even
//! if the process was started later.
//!
//! Each record has a key of its own, and a service has the queues of all of its records. An owner
//! deletes earlier records only after a later one of its own is stored. So a record that the store
//! appends late, of this owner or an earlier one, adds queues at most and hides none.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamentrail_adapter::{Append, Configuration, StoreError, StoredRecord, keyed_topic};
use cyclamentrail_core::{RouteName, ServiceName};
use cyclamentrail_jobs::QueueId;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::claims;
use super::process_state::ProcessState;

/// Prefix of the keys of the directory's records; no shard has such a name.
const RECORD_PREFIX: &str = "~queue-set/";
/// Prefix of the keys of an earlier version, which has one record a service.
const SINGLE_RECORD_PREFIX: &str = "~queues/";

/// Queue, as its callers and its jobs know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Queue {
    /// Host name of the requests, without a port.
    pub(crate) host: String,
    /// Prefix of the paths of the requests.
    pub(crate) path_prefix: String,
    /// Route under which the jobs stand.
    pub(crate) route: RouteName,
}

impl Queue {
    /// Returns the queue as callers know it, without the name of its route.
    pub(crate) fn id(&self) -> QueueId {
        QueueId {
            host: Arc::from(self.host.as_str()),
            path_prefix: Arc::from(self.path_prefix.as_str()),
        }
    }
}

/// Queues whose jobs the shard of a service has, as its owner writes them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct QueuesRecord {
    queues: BTreeSet<Queue>,
}

/// Name of a record of the directory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RecordName {
    pub(crate) service: ServiceName,
    /// Fencing token of the owner; 0 for a record of a version that names no owner.
    pub(crate) token: u64,
    /// Number of the record among those of the owner, from 1.
    pub(crate) number: u64,
}

impl RecordName {
    fn key(&self) -> String {
        match self {
            Self {
                service, token: 0, ..
            } => format!("{SINGLE_RECORD_PREFIX}{service}"),
            Self {
                service,
                token,
                number,
            } => format!("{RECORD_PREFIX}{service}/{token}.{number}"),
        }
    }

    /// Returns the name that a key says; `None` for a key of another kind.
    fn parse(key: &str) -> Option<Self> {
        if let Some(service) = key.strip_prefix(SINGLE_RECORD_PREFIX) {
            return Some(Self {
                service: ServiceName::from(service),
                token: 0,
                number: 0,
            });
        }
        let (service, name) = key.strip_prefix(RECORD_PREFIX)?.rsplit_once('/')?;
        let (token, number) = name.split_once('.')?;
        Some(Self {
            service: ServiceName::from(service),
            token: token.parse().ok()?,
            number: number.parse().ok()?,
        })
    }
}

/// Newest value of a record.
#[derive(Debug, Clone, Default)]
struct KnownQueues {
    offset: u64,
    /// `None` if the record is deleted.
    record: Option<QueuesRecord>,
}

/// A service that has jobs of a queue, and the route under which these stand there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Holder {
    pub(crate) service: ServiceName,
    pub(crate) route: RouteName,
}

/// Queues of all services, as they are in the store.
#[derive(Debug, Default)]
pub(crate) struct QueueDirectory {
    records: Mutex<BTreeMap<RecordName, KnownQueues>>,
    /// Whether all records were read once.
    is_read: watch::Sender<bool>,
    /// Offset up to which all records of the topic are read.
    position: watch::Sender<u64>,
}

impl QueueDirectory {
    /// Returns the services, with their routes, that have or may have jobs of a queue.
    pub(crate) fn holders(&self, host: &str, path_prefix: &str) -> BTreeSet<Holder> {
        let records = self.lock_records();
        let is_same = |queue: &&Queue| queue.host == host && queue.path_prefix == path_prefix;
        let queues = records.iter().flat_map(|(name, known)| {
            let queues = known.queues().filter(is_same);
            queues.map(move |queue| (&name.service, queue))
        });
        queues
            .map(|(service, queue)| Holder {
                service: service.clone(),
                route: queue.route.clone(),
            })
            .collect()
    }

    /// Returns the services, other than `service`, that have or may have jobs of a queue.
    pub(crate) fn other_services(
        &self,
        host: &str,
        path_prefix: &str,
        service: &ServiceName,
    ) -> BTreeSet<ServiceName> {
        let records = self.lock_records();
        let others = records
            .iter()
            .filter(|(name, known)| name.service != *service && known.has(host, path_prefix));
        others.map(|(name, _)| name.service.clone()).collect()
    }

    /// Returns whether a service has or may have jobs of a queue.
    pub(crate) fn is_named(&self, host: &str, path_prefix: &str, service: &ServiceName) -> bool {
        let records = self.lock_records();
        let mut named = records.iter();
        named.any(|(name, known)| name.service == *service && known.has(host, path_prefix))
    }

    /// Returns the services with queues.
    pub(crate) fn services(&self) -> BTreeSet<ServiceName> {
        let records = self.lock_records();
        let with_queues = records
            .iter()
            .filter(|(_, known)| known.queues().next().is_some());
        with_queues.map(|(name, _)| name.service.clone()).collect()
    }

    /// Returns the queues of a service.
    pub(crate) fn queues(&self, service: &ServiceName) -> BTreeSet<Queue> {
        let records = self.lock_records();
        let own = records.iter().filter(|(name, _)| name.service == *service);
        own.flat_map(|(_, known)| known.queues().cloned()).collect()
    }

    /// Returns the names of a service's records.
    pub(crate) fn record_names(&self, service: &ServiceName) -> Vec<RecordName> {
        let records = self.lock_records();
        let own = records
            .iter()
            .filter(|(name, known)| name.service == *service && known.record.is_some());
        own.map(|(name, _)| name.clone()).collect()
    }

    /// Records that the newest record of each service was read.
    pub(super) fn mark_read(&self) {
        self.is_read.send_replace(true);
    }

    /// Sets the offset up to which all records of the topic are read.
    pub(super) fn set_position(&self, position: u64) {
        self.position.send_replace(position);
    }

    /// Waits until the directory was read once, at most until `deadline`; returns whether it was.
    pub(crate) async fn wait_read(&self, deadline: Instant) -> bool {
        if *self.is_read.borrow() {
            return true;
        }
        let mut is_read = self.is_read.subscribe();
        let read = is_read.wait_for(|is_read| *is_read);
        matches!(timeout_at(deadline, read).await, Ok(Ok(_)))
    }

    /// Waits until all records up to the one at an offset are read, at most until `deadline`; returns
    /// whether they are.
    pub(crate) async fn wait_position(&self, offset: u64, deadline: Instant) -> bool {
        let mut position = self.position.subscribe();
        let read = position.wait_for(|position| *position > offset);
        matches!(timeout_at(deadline, read).await, Ok(Ok(_)))
    }

    /// Reads a record of the topic of the claims, if it is one of the directory; returns whether it is.
    pub(super) fn apply(&self, record: &StoredRecord) -> bool {
        let Some(name) = RecordName::parse(&record.key) else {
            return false;
        };
        if record.value.is_empty() {
            self.insert(name, record.offset, None);
            return true;
        }
        match rmp_serde::from_slice(&record.value) {
            Ok(queues) => self.insert(name, record.offset, Some(queues)),
            Err(error) => {
                log::warn!(key = record.key, offset = record.offset, error:% = error; "queues_unreadable");
            }
        }
        true
    }

    /// Sets a record unless a value that was appended later is known.
    fn insert(&self, name: RecordName, offset: u64, record: Option<QueuesRecord>) {
        let mut records = self.lock_records();
        let known = records.entry(name).or_default();
        if offset >= known.offset {
            *known = KnownQueues { offset, record };
        }
    }

    fn lock_records(&self) -> MutexGuard<'_, BTreeMap<RecordName, KnownQueues>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KnownQueues {
    fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.record.iter().flat_map(|record| &record.queues)
    }

    fn has(&self, host: &str, path_prefix: &str) -> bool {
        let mut queues = self.queues();
        queues.any(|queue| queue.host == host && queue.path_prefix == path_prefix)
    }
}

/// Returns the services that have a shard: those of the routes, and those with jobs of former routes.
pub(crate) fn services_with_shard(
    process: &ProcessState,
    configuration: &Configuration,
) -> BTreeSet<ServiceName> {
    let routes = configuration.routes.iter();
    let mut services = process.queue_directory.services();
    services.extend(routes.map(|route| route.config.service.clone()));
    services
}

/// Writes the queues of a service to the store; returns the offset of the record.
///
/// # Errors
///
/// Returns the store's error if the record may not have been appended.
pub(crate) async fn publish(
    process: &ProcessState,
    name: &RecordName,
    queues: BTreeSet<Queue>,
) -> Result<u64, StoreError> {
    let record = QueuesRecord { queues };
    // Serializing this type to memory can't fail.
    let value = rmp_serde::to_vec(&record).unwrap_or_default();
    let offset = append(process, vec![(name.key(), value)]).await?;
    let directory = &process.queue_directory;
    directory.insert(name.clone(), offset, Some(record));
    Ok(offset)
}

/// Deletes the records of a service that one of its own has replaced.
///
/// # Errors
///
/// Returns the store's error if the deletions may not have been appended.
pub(crate) async fn delete_replaced(
    process: &ProcessState,
    replacement: &RecordName,
) -> Result<(), StoreError> {
    let mut names = process.queue_directory.record_names(&replacement.service);
    names.retain(|name| name < replacement);
    if names.is_empty() {
        return Ok(());
    }
    let records = names.iter().map(|name| (name.key(), Vec::new())).collect();
    let offset = append(process, records).await?;
    for (name, offset) in names.into_iter().zip(offset..) {
        process.queue_directory.insert(name, offset, None);
    }
    Ok(())
}

async fn append(
    process: &ProcessState,
    records: Vec<(String, Vec<u8>)>,
) -> Result<u64, StoreError> {
    let topic = keyed_topic(claims::TOPIC);
    let append = Append {
        topic: &topic,
        records: &records,
        writer: None,
    };
    let appended = process.store.append(append).await?;
    Ok(appended.first_offset)
}
