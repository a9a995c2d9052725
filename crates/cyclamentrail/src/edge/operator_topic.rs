//! Follows the topic that operators write: the configuration and the waves.

use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{
    ApiKeys, CONFIGURATION_KEY, HttpClient, Store, StoredRecord, TeamFault, WAVE_PREFIX,
    decode_configuration, decode_wave,
};
use cyclamentrail_jobs::MAX_READ_LIMIT_MS;

use super::CONNECT_TIMEOUT;
use super::process_state::{OperatorState, ProcessState};
use super::topic_reader::{TopicRead, TopicReader};

/// Topic of the operators.
const TOPIC: &str = "op";
/// Most lines about faults of teams for one version of the configuration.
const MAX_FAULT_LINES: usize = 50;

/// Reads the operators' topic until the process exits.
pub(crate) async fn follow(process: Arc<ProcessState>) {
    // Connections of its own: a read that was given up closes its connection, and the next one
    // can't be given another connection that went silent at the same time.
    let http_client = HttpClient::new(CONNECT_TIMEOUT);
    let timeout = Duration::from_millis(MAX_READ_LIMIT_MS);
    let store = Store::new(http_client, process.settings.store, timeout);
    let mut topic = TopicReader::new(TOPIC);
    loop {
        let read = topic
            .read_within(&store, process.revocation.max_age_ms())
            .await;
        match read {
            TopicRead::Snapshot(records) => {
                process
                    .operator_state
                    .send_modify(|operator_state| operator_state.waves.clear());
                apply_records(&process, records);
            }
            TopicRead::Update(records) => apply_records(&process, records),
        }
        // Only now: the records of the read are in force.
        if topic.is_at_end() {
            process.revocation.confirm(topic.read_sent_ms());
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
    let Some(mut configuration) = decode_configuration(&record.value) else {
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
        routes = configuration.routes.len(),
        teams = configuration.teams.len(),
        team_faults = configuration.team_faults.len();
        "configuration_in_force"
    );
    report_faults(&std::mem::take(&mut configuration.team_faults));
    let api_keys = Arc::new(ApiKeys::new(&configuration.teams));
    for team in &mut configuration.teams {
        team.keys = Vec::new();
    }
    let configuration = Arc::new(configuration);
    process.operator_state.send_modify(|operator_state| {
        operator_state.configuration = Some(configuration);
        operator_state.api_keys = api_keys;
    });
}

/// Logs the faults of a configuration's teams, up to [`MAX_FAULT_LINES`].
fn report_faults(faults: &[TeamFault]) {
    for fault in faults.iter().take(MAX_FAULT_LINES) {
        log::warn!(fault:% = fault; "team_fault");
    }
    if faults.len() > MAX_FAULT_LINES {
        log::warn!(faults = faults.len() - MAX_FAULT_LINES; "team_faults_left_out");
    }
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
