//! Follows the registrations that workers write to the store.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{RegistryChange, StoredRecord, decode_registration};

use super::process_state::{ProcessState, RegisteredWorkers};
use super::topic_reader::{TopicRead, TopicReader};

/// Topic of the registrations.
const TOPIC: &str = "servers";
/// Time between two reads while the process owns a shard. Many workers write at the same time, so
/// that each read returns several registrations.
const OWNER_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads while the process owns no shard.
const IDLE_READ_INTERVAL: Duration = Duration::from_millis(800);

/// Reads registrations until the process exits.
pub(crate) async fn follow(process: Arc<ProcessState>) {
    let mut topic = TopicReader::new(TOPIC);
    loop {
        match topic.read(&process.store, Duration::ZERO).await {
            TopicRead::Snapshot(records) => {
                let mut workers = RegisteredWorkers::new();
                apply_records(&mut workers, &records);
                process.workers.send_replace(Arc::new(workers));
            }
            TopicRead::Update(records) if !records.is_empty() => process
                .workers
                .send_modify(|workers| apply_records(Arc::make_mut(workers), &records)),
            TopicRead::Update(_) => {}
        }
        process.registry_confirmation.confirm(topic.read_sent_ms());
        let owns_any = process.owns_any();
        tokio::time::sleep(if owns_any {
            OWNER_READ_INTERVAL
        } else {
            IDLE_READ_INTERVAL
        })
        .await;
    }
}

fn apply_records(workers: &mut RegisteredWorkers, records: &[StoredRecord]) {
    for record in records {
        match decode_registration(record) {
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
