//! Follows the workers' registrations in the store.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{
    KeyedRow, RegistryChange, StoreError, decode_registration, keyed_topic,
};

use super::node::{Node, Workers};

/// The workers' topic.
const TOPIC: &str = "servers";
/// Time between two reads of a process that owns a shard; many workers write at once, so each
/// read takes in several.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads of a process that owns nothing.
const IDLE_INTERVAL: Duration = Duration::from_millis(800);

/// Follows the registry for as long as the process runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let topic = keyed_topic(TOPIC);
    let mut next: Option<u64> = None;
    loop {
        let result = match next {
            None => read_all(&node, &topic).await,
            Some(from) => read_on(&node, &topic, from).await,
        };
        match result {
            Ok(end) => next = Some(end),
            Err(StoreError::Expired { .. }) => next = None,
            Err(error) => log::debug!(topic = topic.as_str(), error:% = error; "topic_not_read"),
        }
        let owns = node.owns_any();
        tokio::time::sleep(if owns { INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

async fn read_all(node: &Node, topic: &str) -> Result<u64, StoreError> {
    let page = node.store.all_newest(topic).await?;
    let mut workers = Workers::new();
    take(&mut workers, &page.rows);
    node.workers.send_replace(Arc::new(workers));
    Ok(page.end)
}

async fn read_on(node: &Node, topic: &str, from: u64) -> Result<u64, StoreError> {
    let page = node.store.read(topic, from, Duration::ZERO).await?;
    if !page.rows.is_empty() {
        node.workers
            .send_modify(|workers| take(Arc::make_mut(workers), &page.rows));
    }
    Ok(page.next)
}

fn take(workers: &mut Workers, rows: &[KeyedRow]) {
    for row in rows {
        match decode_registration(row) {
            RegistryChange::Listed(registration) => {
                workers.insert(row.key.clone(), *registration);
            }
            RegistryChange::Gone(_) => {
                workers.remove(&row.key);
            }
            RegistryChange::Unreadable(id) => {
                log::warn!(worker:% = id, offset = row.offset; "registration_unreadable");
                workers.remove(&row.key);
            }
        }
    }
}
