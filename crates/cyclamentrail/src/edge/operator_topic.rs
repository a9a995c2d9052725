//! Follows the topic that operators write: the configuration and the waves.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{
    CONFIGURATION_KEY, StoredRecord, WAVE_PREFIX, decode_configuration, decode_wave,
};

use super::process_state::{OperatorState, ProcessState};
use super::topic_reader::{TopicRead, TopicReader};

/// Topic of the operators.
const TOPIC: &str = "op";
/// Time that one read waits for new records; short, so that a connection that went silent doesn't
/// delay an operator's change.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Reads the operators' topic until the process exits.
pub(crate) async fn follow(process: Arc<ProcessState>) {
    let mut topic = TopicReader::new(TOPIC);
    loop {
        match topic.read(&process.store, READ_WAIT).await {
            TopicRead::Snapshot(records) => {
                process
                    .operator_state
                    .send_modify(|operator_state| operator_state.waves.clear());
                apply_records(&process, records);
            }
            TopicRead::Update(records) => apply_records(&process, records),
        }
    }
}

fn apply_records(process: &ProcessState, records: Vec<StoredRecord>) {
    for record in records {
        if record.key == CONFIGURATION_KEY {
            apply_configuration(process, &record);
        } else if record.key.starts_with(WAVE_PREFIX) {
            apply_wave(process, &record);
        }
    }
}

/// Replaces the configuration if the record holds a newer version.
fn apply_configuration(process: &ProcessState, record: &StoredRecord) {
    let Some(configuration) = decode_configuration(&record.value) else {
        log::warn!(offset = record.offset; "configuration_unreadable");
        return;
    };
    let known_version = process.configuration().map_or(0, |known| known.version);
    if configuration.version <= known_version && known_version > 0 {
        return;
    }
    log::info!(
        version = configuration.version,
        before = known_version,
        routes = configuration.routes.len();
        "configuration_in_force"
    );
    let configuration = Arc::new(configuration);
    process
        .operator_state
        .send_modify(|operator_state| operator_state.configuration = Some(configuration));
}

/// Inserts or replaces a wave, or removes it if its record is empty or unreadable.
fn apply_wave(process: &ProcessState, record: &StoredRecord) {
    let change = |operator_state: &mut OperatorState| match decode_wave(&record.value) {
        Some(wave) => {
            log::info!(wave = wave.number, machines = wave.machines.len(); "wave_asked");
            operator_state.waves.insert(record.key.clone(), wave);
        }
        None => {
            operator_state.waves.remove(&record.key);
        }
    };
    process.operator_state.send_modify(change);
}
