//! Follows the registrations that workers write to the store, while this process owns a shard.
//!
//! The registry grows with the number of workers, and all reads share what the store can send, so
//! that only the processes that need the registrations read them.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{RegistryChange, StoredRecord, decode_registration};
use cyclamentrail_jobs::ReadTimes;
use tokio::time::timeout;

use super::clocks::unix_ms;
use super::process_state::{ProcessState, RegisteredWorkers};
use super::topic_reader::{TopicRead, TopicReader};

/// Topic of the registrations.
const TOPIC: &str = "servers";
/// Time between two reads. Many workers write at the same time, so that each read returns several
/// registrations.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which a new owner waits for the registrations. Without them it still answers
/// callers; the runs of workers that it doesn't know yet wait.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads registrations whenever this process owns a shard, until the process exits.
pub(crate) async fn follow(process: Arc<ProcessState>) {
    loop {
        process.wait_until_owner().await;
        follow_while_owner(&process).await;
        process.workers.send_replace(None);
    }
}

/// Waits until the registrations are known, for at most [`FIRST_READ_TIMEOUT`].
pub(crate) async fn wait_read(process: &ProcessState) {
    let mut workers = process.workers.subscribe();
    let read = workers.wait_for(Option::is_some);
    if timeout(FIRST_READ_TIMEOUT, read).await.is_err() {
        log::warn!(remedy = "check that the store serves this machine"; "registry_not_read");
    }
}

async fn follow_while_owner(process: &ProcessState) {
    let mut topic = TopicReader::new(TOPIC, ReadTimes::waiting(0));
    while process.owns_any() {
        match topic.read(&process.store).await {
            TopicRead::Snapshot(records) => {
                let mut workers = RegisteredWorkers::new();
                apply_records(&mut workers, &records);
                process.workers.send_replace(Some(Arc::new(workers)));
            }
            TopicRead::Update(records) if !records.is_empty() => {
                process.workers.send_modify(|workers| {
                    let workers = workers.get_or_insert_default();
                    apply_records(Arc::make_mut(workers), &records);
                });
            }
            TopicRead::Update(_) => {}
        }
        process.registry_confirmation.confirm(topic.read_sent_ms());
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

fn apply_records(workers: &mut RegisteredWorkers, records: &[StoredRecord]) {
    for record in records {
        match decode_registration(record) {
            RegistryChange::Listed(registration) if !registration.is_plausible(unix_ms()) => {
                log::warn!(
                    worker:% = registration.id, offset = record.offset, started_ms = registration.started_ms,
                    clock_ms = registration.clock_ms, capacity:? = registration.capacity;
                    "registration_implausible"
                );
                workers.remove(&record.key);
            }
            RegistryChange::Listed(registration) => {
                workers.insert(record.key.clone(), *registration);
            }
            RegistryChange::Removed(_) => {
                workers.remove(&record.key);
            }
            RegistryChange::Unreadable(id) => {
                log::warn!(worker:% = id, offset = record.offset; "registration_unreadable");
                workers.remove(&record.key);
            }
        }
    }
}
