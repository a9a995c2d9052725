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
            TopicRead::Snapshot(rows) => {
                let mut workers = RegisteredWorkers::new();
                apply_rows(&mut workers, &rows);
                process.workers.send_replace(Arc::new(workers));
            }
            TopicRead::Update(rows) if !rows.is_empty() => process
                .workers
                .send_modify(|workers| apply_rows(Arc::make_mut(workers), &rows)),
            TopicRead::Update(_) => {}
        }
        let owns_any = process.owns_any();
        tokio::time::sleep(if owns_any {
            OWNER_READ_INTERVAL
        } else {
            IDLE_READ_INTERVAL
        })
        .await;
    }
}

fn apply_rows(workers: &mut RegisteredWorkers, rows: &[StoredRecord]) {
    for row in rows {
        match decode_registration(row) {
            RegistryChange::Listed(registration) => {
                workers.insert(row.key.clone(), *registration);
            }
            RegistryChange::Removed(_) => {
                workers.remove(&row.key);
            }
            RegistryChange::Unreadable(id) => {
                log::warn!(worker:% = id, offset = row.offset; "registration_unreadable");
                workers.remove(&row.key);
            }
        }
    }
}
