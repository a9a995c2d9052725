//! Directory of the queues that lead to each service, or led to it earlier.
//!
//! The owner of a service writes which queues its jobs came by to the topic of the claims: those that
//! the configuration leads to the service, and former ones as long as it has jobs of them. Each process
//! reads it there, so that it finds an accepted job after its queue got another service or name, even
//! if the process was started later.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use cyclamentrail_adapter::{Append, Configuration, StoreError, StoredRecord, keyed_topic};
use cyclamentrail_core::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::claims;
use super::process_state::ProcessState;

/// Prefix of the keys of the directory's records; no shard has such a name.
pub(crate) const QUEUES_PREFIX: &str = "~queues/";

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

/// Queues whose jobs the shard of a service has, as its owner writes them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct QueuesRecord {
    queues: BTreeSet<Queue>,
}

/// Newest record of a service.
#[derive(Debug, Clone, Default)]
struct KnownQueues {
    offset: u64,
    record: QueuesRecord,
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
    services: Mutex<HashMap<ServiceName, KnownQueues>>,
    /// Whether all records were read once.
    is_read: watch::Sender<bool>,
}

impl QueueDirectory {
    /// Returns the services, with their routes, that have or may have jobs of a queue.
    pub(crate) fn holders(&self, host: &str, path_prefix: &str) -> BTreeSet<Holder> {
        let services = self.lock_services();
        let queues = services.iter().flat_map(|(service, known)| {
            let queues = known.record.queues.iter();
            queues.map(move |queue| (service, queue))
        });
        queues
            .filter(|(_, queue)| queue.host == host && queue.path_prefix == path_prefix)
            .map(|(service, queue)| Holder {
                service: service.clone(),
                route: queue.route.clone(),
            })
            .collect()
    }

    /// Returns the services with queues.
    pub(crate) fn services(&self) -> BTreeSet<ServiceName> {
        let services = self.lock_services();
        let with_queues = services
            .iter()
            .filter(|(_, known)| !known.record.queues.is_empty());
        with_queues.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the queues of a service.
    pub(crate) fn queues(&self, service: &ServiceName) -> BTreeSet<Queue> {
        let services = self.lock_services();
        let known = services.get(service);
        known.map_or_else(BTreeSet::new, |known| known.record.queues.clone())
    }

    /// Records that the newest record of each service was read.
    pub(super) fn mark_read(&self) {
        self.is_read.send_replace(true);
    }

    /// Waits until the directory was read once, at most until `deadline`; returns whether it was.
    pub(crate) async fn wait_read(&self, deadline: Instant) -> bool {
        let mut is_read = self.is_read.subscribe();
        let read = is_read.wait_for(|is_read| *is_read);
        matches!(timeout_at(deadline, read).await, Ok(Ok(_)))
    }

    /// Reads a record of the topic of the claims, if it is one of the directory; returns whether it is.
    pub(super) fn apply(&self, record: &StoredRecord) -> bool {
        let Some(service) = record.key.strip_prefix(QUEUES_PREFIX) else {
            return false;
        };
        match rmp_serde::from_slice(&record.value) {
            Ok(queues) => self.insert(&ServiceName::from(service), record.offset, queues),
            Err(error) => {
                log::warn!(service, offset = record.offset, error:% = error; "queues_unreadable");
            }
        }
        true
    }

    /// Records the queues of a service unless a record that was appended later is known.
    fn insert(&self, service: &ServiceName, offset: u64, record: QueuesRecord) {
        let mut services = self.lock_services();
        let known = services.entry(service.clone()).or_default();
        if offset >= known.offset {
            *known = KnownQueues { offset, record };
        }
    }

    fn lock_services(&self) -> MutexGuard<'_, HashMap<ServiceName, KnownQueues>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Writes the queues of a service to the store. An owner that finds another record than its own writes
/// again, so that no record of an earlier owner stays.
///
/// # Errors
///
/// Returns the store's error if the record may not have been appended.
pub(crate) async fn publish(
    process: &ProcessState,
    service: &ServiceName,
    queues: BTreeSet<Queue>,
) -> Result<(), StoreError> {
    let record = QueuesRecord { queues };
    // Serializing this type to memory can't fail.
    let value = rmp_serde::to_vec(&record).unwrap_or_default();
    let topic = keyed_topic(claims::TOPIC);
    let append = Append {
        topic: &topic,
        records: &[(format!("{QUEUES_PREFIX}{service}"), value)],
        writer: None,
    };
    let appended = process.store.append(append).await?;
    let directory = &process.queue_directory;
    directory.insert(service, appended.first_offset, record);
    Ok(())
}
