//! Follows the topic that operators write: the configuration and the waves.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{
    ApiKeys, CONFIGURATION_KEY, Configuration, HttpClient, Store, StoredRecord, WAVE_PREFIX,
    decode_configuration, decode_wave,
};
use cyclamentrail_jobs::{ConfigurationStep, MAX_READ_LIMIT_MS, NewestConfiguration, ReadTimes};

use super::CONNECT_TIMEOUT;
use super::process_state::{OperatorState, ProcessState};
use super::topic_reader::{TopicRead, TopicReader};

/// Topic of the operators.
const TOPIC: &str = "op";
/// Most lines about faults of one kind for one version of the configuration.
const MAX_FAULT_LINES: usize = 50;

/// Reads the operators' topic until the process exits.
pub(crate) async fn follow(process: Arc<ProcessState>) {
    // Connections of its own: reads that are under way beside each other have one each, and one that
    // is given up closes it.
    let http_client = HttpClient::new(CONNECT_TIMEOUT);
    let timeout = Duration::from_millis(MAX_READ_LIMIT_MS);
    let store = Store::new(http_client, process.settings.store, timeout);
    let times = ReadTimes::confirming(process.revocation.max_age_ms());
    let mut topic = TopicReader::new(TOPIC, times);
    let mut newest = NewestConfiguration::default();
    loop {
        match topic.read(&store).await {
            TopicRead::Snapshot(records) => {
                process
                    .operator_state
                    .send_modify(|operator_state| operator_state.waves.clear());
                if !records.iter().any(|record| record.key == CONFIGURATION_KEY) {
                    newest.read_none();
                }
                apply_records(&process, &mut newest, records);
            }
            TopicRead::Update(records) => apply_records(&process, &mut newest, records),
        }
        // Only now: the records of the read are in force.
        if topic.is_at_end() && newest.is_in_force() {
            process.revocation.confirm(topic.read_sent_ms());
        }
    }
}

fn apply_records(
    process: &ProcessState,
    newest: &mut NewestConfiguration,
    records: Vec<StoredRecord>,
) {
    for record in records {
        if record.key == CONFIGURATION_KEY {
            read_configuration(process, newest, &record);
        } else if record.key.starts_with(WAVE_PREFIX) {
            apply_wave(process, &record);
        }
    }
}

/// Puts the configuration of a record in force unless it is an older one. A record that can't be
/// decoded may have revoked any key, so that the configuration in force isn't confirmed after it.
fn read_configuration(
    process: &ProcessState,
    newest: &mut NewestConfiguration,
    record: &StoredRecord,
) {
    let configuration = decode_configuration(&record.value);
    let version = configuration.as_ref().map(|read| read.version);
    match (newest.read(record.offset, version), configuration) {
        (ConfigurationStep::Apply, Some(mut configuration)) => {
            configuration.offset = record.offset;
            apply_configuration(process, configuration);
        }
        (ConfigurationStep::KeepNewer, _) => {
            log::warn!(offset = record.offset, version = version; "configuration_older");
        }
        (ConfigurationStep::Distrust, _) => {
            log::warn!(offset = record.offset; "configuration_unreadable");
        }
        _ => {}
    }
}

fn apply_configuration(process: &ProcessState, mut configuration: Configuration) {
    log::info!(
        version = configuration.version,
        before = process.configuration().map_or(0, |known| known.version),
        routes = configuration.routes.len(),
        teams = configuration.teams.len(),
        team_faults = configuration.team_faults.len(),
        entry_faults = configuration.entry_faults.len();
        "configuration_in_force"
    );
    report_faults(
        "team_fault",
        &std::mem::take(&mut configuration.team_faults),
    );
    report_faults(
        "entry_fault",
        &std::mem::take(&mut configuration.entry_faults),
    );
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

/// Logs faults of a configuration, up to [`MAX_FAULT_LINES`].
fn report_faults(event: &str, faults: &[impl Display]) {
    for fault in faults.iter().take(MAX_FAULT_LINES) {
        log::warn!(fault:% = fault; "{event}");
    }
    if faults.len() > MAX_FAULT_LINES {
        log::warn!(faults = faults.len() - MAX_FAULT_LINES; "{event}s_left_out");
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
