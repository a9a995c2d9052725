//! Follows what the operators write to the store: the configuration and the waves.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{
    CONFIGURATION_KEY, KeyedRow, WAVE_PREFIX, decode_configuration, decode_wave,
};

use super::node::{Node, Orders};
use super::topic::{Read, Topic};

/// The operators' topic.
const TOPIC: &str = "op";
/// How long one read waits for something new; short, so that a connection gone silent doesn't
/// hold back an operator's change.
const WAIT: Duration = Duration::from_secs(1);

/// Follows the operators' topic for as long as the process runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut topic = Topic::new(TOPIC);
    loop {
        match topic.read(&node.store, WAIT).await {
            Read::All(rows) => {
                node.orders.send_modify(|orders| orders.waves.clear());
                take(&node, rows);
            }
            Read::More(rows) => take(&node, rows),
        }
    }
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
