//! Duties over the platform's machines, maintenance and moves between pools: carries out what the
//! planner decides.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::{
    Append, ListedMachine, MachineCommandOutcome, MachineService, MachineState, WAVE_PREFIX,
    keyed_topic, wave_status_body,
};
use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{
    CommandHold, CommandedMachines, FleetPlanner, FleetState, FleetTiming, KeyedRecord,
    MachineCommand, MachineOutcome, MachineStatus, MaintenanceWave, PoolLoad, Purpose, WaveRecord,
    decode, encode,
};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::clocks::{boot_ms, unix_ms, whole_ms};
use super::commit_log::CommitLog;
use super::confirmation::Confirmation;
use super::internal::call_owner;
use super::messages::{FLEET_SHARD, OwnerCall, OwnerRequest, Reply};
use super::owner::{EVACUATION_LEASE, OwnerMessage};
use super::process_state::ProcessState;
use super::queue_directory::services_with_shard;
use super::quota_ledger::QuotaLedger;
use super::takeover::Takeover;
use crate::metrics;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a request to an owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of a call to the service for machines.
const MACHINE_SERVICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which commands may be sent after the last confirmation by the store.
const DUTY_VALID: Duration = Duration::from_secs(1);
/// Time for which owners surely keep workers empty after a request to do so; they place tasks on
/// these workers again after [`EVACUATION_LEASE`].
const EVACUATION_TRUSTED: Duration = EVACUATION_LEASE.saturating_sub(MACHINE_SERVICE_TIMEOUT);
/// Age of the last confirmation at which another one is requested, in milliseconds.
const CONFIRM_AGE_MS: u64 = 1_500;
/// Time that a new holder waits beyond the pause that the platform requires between two holders, in
/// milliseconds.
const EXTRA_PAUSE_MS: u64 = 500;
/// Key of the record with the first sizes of the pools.
const SIZES_KEY: &str = "sizes";
/// Topic of the wave states that operators read.
const STATUS_TOPIC: &str = "status";
/// Pause after a failed write of a wave's state.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Holds the duties until they are given up or lost.
pub(crate) async fn run(
    process: Arc<ProcessState>,
    takeover: Takeover,
    mut receiver: mpsc::UnboundedReceiver<OwnerMessage>,
) {
    // Requests are handed over from now on: the ledger serves reports also where the platform has no
    // service for machines.
    let confirmation = Confirmation::new(takeover.confirmed_ms, DUTY_VALID);
    process.set_confirmation(FLEET_SHARD, confirmation.clone());
    let mut quota_ledger = QuotaLedger::new(Arc::clone(&process), takeover.token);
    let Some(address) = process.settings.machine_service else {
        return quota_ledger.serve_until_stop(&mut receiver).await;
    };
    let machine_service = MachineService::new(
        process.http_client.with_resets(),
        address,
        MACHINE_SERVICE_TIMEOUT,
    );
    let mut duty = MachineDuty::new(process, machine_service, &takeover, confirmation);
    let mut next_round = Instant::now();
    loop {
        tokio::select! {
            message = receiver.recv() => match message {
                Some(OwnerMessage::Stop) | None => return,
                Some(message) => quota_ledger.handle(message),
            },
            () = tokio::time::sleep_until(next_round) => {
                next_round = Instant::now() + ROUND_INTERVAL;
                // A round waits for the store while the store doesn't respond; reports to the ledger
                // are served, and the duties end at once when they are given up, all the same.
                let holds_duty = tokio::select! {
                    holds_duty = duty.run_round() => holds_duty,
                    () = quota_ledger.serve_until_stop(&mut receiver) => return,
                };
                if !holds_duty {
                    log::info!(token = duty.token; "machine_duty_lost");
                    return;
                }
            }
        }
    }
}

/// State of the holder of the duties.
struct MachineDuty {
    process: Arc<ProcessState>,
    machine_service: MachineService,
    token: u64,
    /// Log for the next append; `None` once an append has failed, which ends the duties.
    commit_log: Option<CommitLog>,
    confirmation: Confirmation,
    planner: FleetPlanner,
    commanded: CommandedMachines,
    /// Whether the first sizes of the pools are stored.
    has_stored_sizes: bool,
    /// Waves whose state was written for operators, and whether they were complete.
    reported: BTreeMap<u64, bool>,
}

impl MachineDuty {
    fn new(
        process: Arc<ProcessState>,
        machine_service: MachineService,
        takeover: &Takeover,
        confirmation: Confirmation,
    ) -> Self {
        let commit_log = CommitLog::new(&process, takeover, confirmation.clone());
        let valid_ms = whole_ms(DUTY_VALID);
        let pause_ms = process.settings.bounds.duty_lease_ms + EXTRA_PAUSE_MS;
        let earlier = CommandedMachines::read(&takeover.records).unwrap_or_else(|error| {
            log::warn!(error:% = error; "commanded_machines_unreadable");
            None
        });
        let until_ms =
            takeover
                .predecessor
                .first_command_ms(takeover.confirmed_ms, valid_ms, pause_ms);
        let hold = earlier.as_ref().map_or_else(
            || CommandHold::all_until(until_ms),
            |earlier| CommandHold::listed_until(until_ms, earlier.machines()),
        );
        let mut planner = FleetPlanner::new(FleetTiming {
            maintenance_ms: process.settings.bounds.maintenance_ms,
        })
        .hold(hold);
        restore_planner(&mut planner, &takeover.records);
        Self {
            commanded: earlier
                .unwrap_or_default()
                .keep_for(valid_ms + pause_ms, boot_ms()),
            process,
            machine_service,
            token: takeover.token,
            commit_log: Some(commit_log),
            confirmation,
            has_stored_sizes: !planner.initial_sizes().is_empty(),
            planner,
            reported: BTreeMap::new(),
        }
    }

    /// Runs one round: plans, has the workers of the chosen machines evacuated, and sends the
    /// commands that are due. Returns whether the duties are still held.
    async fn run_round(&mut self) -> bool {
        let holds_newest_claim = self
            .process
            .owner(FLEET_SHARD)
            .is_some_and(|owner| owner.token == self.token);
        if !holds_newest_claim {
            return false;
        }
        if self.confirmation.age_ms() > CONFIRM_AGE_MS && !self.confirm_duty(&[]).await {
            return false;
        }
        let Some(machines) = self.machine_service.list_machines().await else {
            return true;
        };
        let mut fleet = self.fleet_state(&machines);
        self.request_evacuations(&mut fleet).await;
        self.planner.plan(boot_ms(), &fleet);
        let evacuation = Confirmation::new(boot_ms(), EVACUATION_TRUSTED);
        self.request_evacuations(&mut fleet).await;
        let commands = self.planner.take_commands(boot_ms(), &fleet);
        if !commands.is_empty() && !self.send_commands(commands, &evacuation).await {
            return false;
        }
        self.report_waves(&fleet).await;
        true
    }

    /// Returns the state that the planner decides on, without the loads of the pools.
    fn fleet_state(&self, machines: &[ListedMachine]) -> FleetState {
        let operator_state = self.process.operator_state.borrow();
        let standby = operator_state
            .configuration
            .iter()
            .flat_map(|configuration| configuration.standby_services.iter().cloned())
            .collect();
        let waves = operator_state.waves.values().map(|wave| MaintenanceWave {
            number: wave.number,
            machines: wave.machines.clone(),
            duration_ms: wave.duration_ms,
            max_away: wave.max_away,
        });
        FleetState {
            machines: machines.iter().map(machine_status).collect(),
            loads: BTreeMap::new(),
            standby,
            waves: waves.collect(),
        }
    }

    /// Requests from each service's owner to keep the planned workers empty, and stores the loads
    /// that the owners reply in the state of the fleet.
    async fn request_evacuations(&self, fleet: &mut FleetState) {
        let services: BTreeSet<ServiceName> = self
            .process
            .configuration()
            .map(|configuration| services_with_shard(&self.process, &configuration))
            .unwrap_or_default();
        let calls = services.into_iter().map(|service| async move {
            let load = self.request_evacuation(&service).await;
            (service, load)
        });
        let loads = futures_util::future::join_all(calls).await;
        fleet.loads = loads
            .into_iter()
            .filter_map(|(service, load)| Some((service, load?)))
            .collect();
    }

    /// Requests from the owner of a service to keep the planned workers empty; returns the load of
    /// its pool, if the owner replies in time.
    async fn request_evacuation(&self, service: &ServiceName) -> Option<PoolLoad> {
        let call = OwnerCall {
            service: service.clone(),
            request: OwnerRequest::Evacuate(self.planner.workers_to_evacuate(service)),
        };
        match call_owner(&self.process, call, CALL_TIMEOUT).await? {
            Reply::Load(load) => Some(load.into()),
            _ => None,
        }
    }

    /// Sends commands if the store confirms the duties, as long as the owners surely keep the workers
    /// empty; returns whether the duties are still held.
    async fn send_commands(
        &mut self,
        commands: Vec<MachineCommand>,
        evacuation: &Confirmation,
    ) -> bool {
        if !self.confirm_duty(&commands).await {
            return false;
        }
        let sending = commands.iter().map(|command| async {
            if self.confirmation.is_valid() && evacuation.is_valid() {
                self.send_command(command).await
            } else {
                MachineCommandOutcome::Refused
            }
        });
        let outcomes = futures_util::future::join_all(sending).await;
        let now_ms = boot_ms();
        for (command, outcome) in commands.iter().zip(outcomes) {
            log::info!(
                machine:% = command.machine, purpose:? = command.purpose, outcome:? = outcome,
                token = self.token;
                "machine_ordered"
            );
            metrics::count_machine_command(
                purpose_label(&command.purpose),
                outcome == MachineCommandOutcome::Done,
            );
            if outcome == MachineCommandOutcome::Fenced {
                return false;
            }
            self.planner
                .record_outcome(now_ms, command, planner_outcome(outcome));
        }
        true
    }

    async fn send_command(&self, command: &MachineCommand) -> MachineCommandOutcome {
        let holder = &self.process.settings.machine_name;
        match &command.purpose {
            Purpose::Maintain(wave) => {
                self.machine_service
                    .start_maintenance(&command.machine, *wave, holder, self.token)
                    .await
            }
            Purpose::Move(pool) => {
                self.machine_service
                    .move_machine(&command.machine, pool, holder, self.token)
                    .await
            }
        }
    }

    /// Confirms the duties, and stores for which machines commands are sent, and which ones had their
    /// maintenance in the waves of these commands.
    async fn confirm_duty(&mut self, commands: &[MachineCommand]) -> bool {
        let Some(commit_log) = self.commit_log.take() else {
            return false;
        };
        let waves: BTreeSet<u64> = commands
            .iter()
            .filter_map(|command| match command.purpose {
                Purpose::Maintain(wave) => Some(wave),
                Purpose::Move(_) => None,
            })
            .collect();
        let mut records: Vec<KeyedRecord> = waves
            .into_iter()
            .map(|wave| KeyedRecord {
                key: format!("{WAVE_PREFIX}{wave}"),
                value: encode(&WaveRecord {
                    age_ms: self
                        .planner
                        .wave_first_seen_ms(wave)
                        .map_or(0, |first_seen_ms| boot_ms().saturating_sub(first_seen_ms)),
                    written_ms: unix_ms(),
                    machines: self.planner.maintained_machines(wave),
                }),
            })
            .collect();
        let has_changed = self
            .commanded
            .record(boot_ms(), commands.iter().map(|command| &command.machine));
        if has_changed {
            records.push(self.commanded.to_record());
        }
        if !self.has_stored_sizes && !self.planner.initial_sizes().is_empty() {
            self.has_stored_sizes = true;
            records.push(KeyedRecord {
                key: SIZES_KEY.to_owned(),
                value: encode(self.planner.initial_sizes()),
            });
        }
        let result = if records.is_empty() {
            commit_log.confirm().await
        } else {
            commit_log.append(&records).await
        };
        match result {
            Ok(mut commit_log) => {
                // No command is sent whose record isn't stored.
                let is_stored = commit_log.take_refused_keys().is_empty();
                self.commit_log = Some(commit_log);
                is_stored
            }
            Err(error) => {
                log::info!(error:% = error, token = self.token; "machine_duty_not_confirmed");
                false
            }
        }
    }

    /// Writes the states of the waves whose state has changed, for operators to read.
    async fn report_waves(&mut self, fleet: &FleetState) {
        for wave in &fleet.waves {
            let is_complete = self.planner.is_wave_complete(wave, fleet);
            if self.reported.get(&wave.number) == Some(&is_complete) {
                continue;
            }
            if self.report_wave(wave.number, is_complete).await {
                log::info!(wave = wave.number, is_complete; "wave_told");
                self.reported.insert(wave.number, is_complete);
            }
        }
    }

    /// Writes the state of a wave; returns whether the store accepted the write.
    async fn report_wave(&self, wave: u64, is_complete: bool) -> bool {
        let records = [(
            format!("{WAVE_PREFIX}{wave}"),
            wave_status_body(is_complete),
        )];
        let topic = keyed_topic(STATUS_TOPIC);
        let append = Append {
            topic: &topic,
            records: &records,
            writer: None,
        };
        match self.process.store.append(append).await {
            Ok(_) => true,
            Err(error) => {
                log::debug!(wave, error:% = error; "wave_not_told");
                tokio::time::sleep(RETRY_PAUSE).await;
                false
            }
        }
    }
}

/// Restores the planner from the records of the previous holder. The age of a wave includes the
/// time since its record was written.
fn restore_planner(planner: &mut FleetPlanner, records: &[KeyedRecord]) {
    for record in records {
        if record.key == SIZES_KEY {
            match decode::<BTreeMap<ServiceName, usize>>(&record.value) {
                Ok(sizes) => planner.restore_initial_sizes(sizes),
                Err(error) => log::warn!(key = SIZES_KEY, error:% = error; "record_unreadable"),
            }
        }
        let number = record
            .key
            .strip_prefix(WAVE_PREFIX)
            .and_then(|number| number.parse().ok());
        let Some(number) = number else {
            continue;
        };
        match decode::<WaveRecord>(&record.value) {
            Ok(wave) => {
                let age_ms = wave.age_ms + unix_ms().saturating_sub(wave.written_ms);
                let first_seen_ms = boot_ms().saturating_sub(age_ms);
                planner.restore_maintained(number, first_seen_ms, wave.machines);
            }
            Err(error) => log::warn!(key = record.key, error:% = error; "record_unreadable"),
        }
    }
}

fn machine_status(machine: &ListedMachine) -> MachineStatus {
    MachineStatus {
        name: machine.name.clone(),
        pool: machine.pool.clone(),
        is_up: machine.state == MachineState::Up,
        worker: machine.worker.clone(),
    }
}

/// Returns the label of a command in metrics.
const fn purpose_label(purpose: &Purpose) -> &'static str {
    match purpose {
        Purpose::Maintain(_) => "maintain",
        Purpose::Move(_) => "move",
    }
}

/// Converts the outcome of a command for the planner. A fenced command counts as refused.
const fn planner_outcome(outcome: MachineCommandOutcome) -> MachineOutcome {
    match outcome {
        MachineCommandOutcome::Done => MachineOutcome::Done,
        MachineCommandOutcome::Busy | MachineCommandOutcome::Impossible => {
            MachineOutcome::Unavailable
        }
        MachineCommandOutcome::Refused | MachineCommandOutcome::Fenced => MachineOutcome::NotDone,
        MachineCommandOutcome::NoAnswer => MachineOutcome::NoResponse,
    }
}
