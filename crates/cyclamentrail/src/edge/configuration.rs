//! Follows what the operators write to the store: the configuration and the waves.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{
    CONFIGURATION_KEY, KeyedRow, StoreError, WAVE_PREFIX, decode_configuration, decode_wave,
    keyed_topic,
};

use super::node::{Node, Orders};

/// The operators' topic.
const TOPIC: &str = "op";
/// Time after which the store is asked again when it gave no answer.
const RETRY: Duration = Duration::from_millis(150);
/// How long one read waits for something new; short, so that a connection gone silent doesn't
/// hold back an operator's change.
const WAIT: Duration = Duration::from_secs(1);

/// Follows the operators' topic for as long as the process runs.
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
            Err(error) => {
                log::debug!(topic = topic.as_str(), error:% = error; "topic_not_read");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

async fn read_all(node: &Node, topic: &str) -> Result<u64, StoreError> {
    let page = node.store.all_newest(topic).await?;
    node.orders.send_modify(|orders| orders.waves.clear());
    take(node, page.rows);
    Ok(page.end)
}

async fn read_on(node: &Node, topic: &str, from: u64) -> Result<u64, StoreError> {
    let page = node.store.read(topic, from, WAIT).await?;
    take(node, page.rows);
    Ok(page.next)
}

fn take(node: &Node, rows: Vec<KeyedRow>) {
    for row in rows {
        if row.key == CONFIGURATION_KEY {
            take_configuration(node, &row);
        } else if row.key.starts_with(WAVE_PREFIX) {
            take_wave(node, &row);
        }
    }
}

fn take_configuration(node: &Node, row: &KeyedRow) {
    let Some(configuration) = decode_configuration(&row.value) else {
        log::warn!(offset = row.offset; "configuration_unreadable");
        return;
    };
    let known = node.configuration().map_or(0, |known| known.version);
    if configuration.version <= known && known > 0 {
        return;
    }
    log::info!(
        version = configuration.version,
        before = known,
        routes = configuration.routes.len();
        "configuration_in_force"
    );
    let configuration = Arc::new(configuration);
    node.orders
        .send_modify(|orders| orders.configuration = Some(configuration));
}

fn take_wave(node: &Node, row: &KeyedRow) {
    let change = |orders: &mut Orders| match decode_wave(&row.value) {
        Some(wave) => {
            log::info!(wave = wave.number, machines = wave.machines.len(); "wave_asked");
            orders.waves.insert(row.key.clone(), wave);
        }
        None => {
            orders.waves.remove(&row.key);
        }
    };
    node.orders.send_modify(change);
}
