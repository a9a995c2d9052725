//! Plans the duties over machines: maintenance waves and moves between pools.
//!
//! Demand comes in bursts. A pool that needs more workers than it has is given machines that other
//! pools don't need, and machines that no pool needs are switched off. Maintenance takes idle
//! machines first.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{InstanceName, ServiceName, WorkerId};

mod command_hold;
mod commanded_machines;
mod forecast;
mod index;
mod moves;
mod pool_sizes;
mod wave_record;
mod waves;

pub use command_hold::CommandHold;
pub use commanded_machines::CommandedMachines;
pub use forecast::Forecast;
use index::FleetIndex;
use pool_sizes::PoolSizes;
pub use wave_record::WaveRecord;
pub use waves::MaintenanceWave;

/// Time for which no tasks are placed on the worker of a machine that was sent a command, in
/// milliseconds; its registration may be listed for longer than it runs.
const DEPARTED_KEPT_MS: u64 = 6_000;
/// Time without progress after which the reservation of a machine that doesn't become empty is
/// dropped, in milliseconds.
const STUCK_TIMEOUT_MS: u64 = 6_000;
/// Time after the first plan in which machines may still be booting, in milliseconds.
const STARTUP_MS: u64 = 4_000;
/// Time for which a machine isn't reserved again after its reservation failed, in milliseconds.
const RETRY_DELAY_MS: u64 = 3_000;

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineStatus {
    /// Name of the machine.
    pub name: InstanceName,
    /// Pool that the machine belongs to.
    pub pool: ServiceName,
    /// Whether the machine is up, so that it can run a worker.
    pub is_up: bool,
    /// Id of the machine's worker, if there is one.
    pub worker: Option<WorkerId>,
}

/// Number of tasks on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTaskCounts {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Number of tasks that are placed on the worker.
    pub tasks: u32,
    /// Number of these tasks that run until their job is cancelled.
    pub long_running_tasks: u32,
}

/// Load of a pool, as its shard's owner reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Work that was submitted recently, whether it was accepted or not, per time; in thousandths
    /// of a worker.
    pub demand_milli: u64,
    /// Work that is accepted and hasn't started, in milliseconds of a whole worker.
    pub waiting_work_ms: u64,
    /// Capacity that placed tasks take, in thousandths of a worker.
    pub running_milli: u64,
    /// Part of that capacity that long-running tasks take, in thousandths of a worker.
    pub long_running_milli: u64,
    /// Workers of the pool with their numbers of tasks.
    pub workers: Vec<WorkerTaskCounts>,
}

/// Purpose for which a machine is taken from its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// Maintenance in the wave of this number.
    Maintain(u64),
    /// Move to this pool.
    Move(ServiceName),
}

/// Command to the platform that concerns a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineCommand {
    /// Name of the machine.
    pub machine: InstanceName,
    /// What the platform is to do with the machine.
    pub purpose: Purpose,
}

/// Outcome of a command that concerns a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineOutcome {
    /// The platform carried out the command, now or at an earlier call.
    Done,
    /// The platform can't carry out the command on this machine at present; the planner drops the
    /// reservation.
    Unavailable,
    /// The platform didn't carry out the command, which may be sent again.
    NotDone,
    /// The platform didn't respond; it may still carry out the command later.
    NoResponse,
}

/// Durations that the planner relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetTiming {
    /// Time for which a machine is away for maintenance, in milliseconds.
    pub maintenance_ms: u64,
}

/// Reservation of a machine for maintenance or a move; its worker gets no new tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reservation {
    /// What the machine is reserved for.
    purpose: Purpose,
    /// Pool of the machine at the time of the reservation.
    pool: ServiceName,
    /// Worker of the machine at the time of the reservation.
    worker: Option<WorkerId>,
    /// Time of the reservation, or of the last drop in `min_tasks`.
    progress_ms: u64,
    /// Lowest number of tasks that was reported for the worker; `u32::MAX` without a report.
    min_tasks: u32,
    /// Time of the command in flight or carried out; `None` while none has been sent or the last
    /// one has to be sent again.
    commanded_ms: Option<u64>,
    /// Whether a command was ever sent, so that the machine may leave at any time.
    was_commanded: bool,
    /// Time at which the command was carried out.
    done_ms: Option<u64>,
}

impl Reservation {
    /// Returns the number of tasks on the worker, or `None` if the owner of its shard doesn't
    /// report it.
    fn task_count(&self, index: &FleetIndex<'_>) -> Option<u32> {
        let counts = index.task_counts(&self.pool, self.worker.as_ref())?;
        Some(counts.tasks)
    }

    /// Records the number of tasks on the worker, if it was reported.
    const fn observe(&mut self, now_ms: u64, tasks: Option<u32>) {
        if let Some(tasks) = tasks
            && tasks < self.min_tasks
        {
            self.min_tasks = tasks;
            self.progress_ms = now_ms;
        }
    }

    /// Returns whether the number of tasks hasn't dropped for [`STUCK_TIMEOUT_MS`], so that the
    /// worker isn't expected to become empty.
    const fn has_stalled(&self, now_ms: u64) -> bool {
        self.commanded_ms.is_none() && now_ms >= self.progress_ms + STUCK_TIMEOUT_MS
    }
}

/// Worker of a machine that was sent a command.
#[derive(Debug, Clone, PartialEq, Eq)]
struct DepartedWorker {
    /// Pool of the worker.
    pool: ServiceName,
    /// Time until which no tasks are placed on the worker.
    until_ms: u64,
}

/// State of machines, pools and waves that a plan is made from.
#[derive(Debug, Clone, Default)]
pub struct FleetState {
    /// All machines that the platform lists.
    pub machines: Vec<MachineStatus>,
    /// Load of each pool whose shard's owner responded.
    pub loads: BTreeMap<ServiceName, PoolLoad>,
    /// Pools whose machines are switched off.
    pub standby: BTreeSet<ServiceName>,
    /// Maintenance waves that operators requested.
    pub waves: Vec<MaintenanceWave>,
}

/// Decides which machines are taken from their pools, and for which purpose.
#[derive(Debug)]
pub struct FleetPlanner {
    timing: FleetTiming,
    /// Machines that are taken for maintenance or a move.
    reservations: BTreeMap<InstanceName, Reservation>,
    /// Machines that have had their maintenance, by the number of the wave.
    maintained_machines: BTreeMap<u64, BTreeSet<InstanceName>>,
    /// Workers of machines that were sent a command; their registrations may still be listed.
    departed_workers: BTreeMap<WorkerId, DepartedWorker>,
    /// Time until which a machine isn't reserved again after its reservation failed.
    retry_ms: BTreeMap<InstanceName, u64>,
    /// Time at which each wave was first seen.
    wave_first_seen_ms: BTreeMap<u64, u64>,
    /// Time since which a pool has had more machines than it requires.
    surplus_since_ms: BTreeMap<ServiceName, u64>,
    /// Forecast of each pool's demand.
    forecasts: BTreeMap<ServiceName, Forecast>,
    /// Number of machines that the operators gave to each pool: its size when the duties were
    /// first taken on.
    initial_sizes: BTreeMap<ServiceName, usize>,
    /// Commands that wait because the previous holder may still send some.
    hold: CommandHold,
    /// Time of the first plan on this process's boot clock, in milliseconds.
    first_plan_ms: Option<u64>,
}

impl FleetPlanner {
    /// Creates a planner without reservations and history.
    #[must_use]
    pub const fn new(timing: FleetTiming) -> Self {
        Self {
            timing,
            reservations: BTreeMap::new(),
            maintained_machines: BTreeMap::new(),
            departed_workers: BTreeMap::new(),
            retry_ms: BTreeMap::new(),
            wave_first_seen_ms: BTreeMap::new(),
            surplus_since_ms: BTreeMap::new(),
            forecasts: BTreeMap::new(),
            initial_sizes: BTreeMap::new(),
            hold: CommandHold::none(),
            first_plan_ms: None,
        }
    }

    /// Sets which commands have to wait; machines are reserved and their workers evacuated meanwhile.
    #[must_use]
    pub fn hold(mut self, hold: CommandHold) -> Self {
        self.hold = hold;
        self
    }

    /// Restores the progress of a wave from the previous holder of the duties: the machines that
    /// have had their maintenance, and the time at which the wave was first seen, on this
    /// process's boot clock in milliseconds.
    pub fn restore_maintained(
        &mut self,
        wave: u64,
        first_seen_ms: u64,
        machines: impl IntoIterator<Item = InstanceName>,
    ) {
        self.wave_first_seen_ms.insert(wave, first_seen_ms);
        self.maintained_machines
            .entry(wave)
            .or_default()
            .extend(machines);
    }

    /// Restores the number of machines that the operators gave to each pool, as the previous
    /// holder of the duties recorded it.
    pub fn restore_initial_sizes(&mut self, sizes: impl IntoIterator<Item = (ServiceName, usize)>) {
        self.initial_sizes.extend(sizes);
    }

    /// Returns the number of machines that the operators gave to each pool; empty until it is
    /// known.
    #[must_use]
    pub const fn initial_sizes(&self) -> &BTreeMap<ServiceName, usize> {
        &self.initial_sizes
    }

    /// Returns the machines that have had their maintenance in a wave.
    #[must_use]
    pub fn maintained_machines(&self, wave: u64) -> Vec<InstanceName> {
        self.maintained_machines
            .get(&wave)
            .map(|machines| machines.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the time at which a wave was first seen, on this process's boot clock in
    /// milliseconds.
    #[must_use]
    pub fn wave_first_seen_ms(&self, wave: u64) -> Option<u64> {
        self.wave_first_seen_ms.get(&wave).copied()
    }

    /// Reserves machines for waves and moves, and drops reservations that are finished or have
    /// failed.
    pub fn plan(&mut self, now_ms: u64, fleet: &FleetState) {
        self.first_plan_ms.get_or_insert(now_ms);
        let index = FleetIndex::from(fleet);
        self.drop_finished(now_ms, &index);
        self.plan_waves(now_ms, fleet, &index);
        self.plan_moves(now_ms, fleet, &index);
    }

    /// Returns the workers of a pool that its shard's owner has to empty and keep empty.
    #[must_use]
    pub fn workers_to_evacuate(&self, pool: &ServiceName) -> Vec<WorkerId> {
        let departed = self
            .departed_workers
            .iter()
            .filter(|(_, departed)| departed.pool == *pool)
            .map(|(worker, _)| worker.clone());
        self.reservations
            .values()
            .filter(|reservation| reservation.pool == *pool)
            .filter_map(|reservation| reservation.worker.clone())
            .chain(departed)
            .collect()
    }

    /// Returns the commands for reserved machines whose workers are empty, as far as their wave
    /// has a free place, and records them as sent.
    pub fn take_commands(&mut self, now_ms: u64, fleet: &FleetState) -> Vec<MachineCommand> {
        let index = FleetIndex::from(fleet);
        let mut slots = self.maintenance_slots(fleet, &index);
        let mut commands = Vec::new();
        for (machine, reservation) in &mut self.reservations {
            let task_count = reservation.task_count(&index);
            reservation.observe(now_ms, task_count);
            // A worker without a reported load may still run tasks, so it doesn't count as empty.
            let is_empty = reservation.worker.is_none() || task_count == Some(0);
            let may_command = self.hold.allows(now_ms, machine, &reservation.purpose);
            if reservation.commanded_ms.is_some() || !is_empty || !may_command {
                continue;
            }
            if !slots.acquire(reservation) {
                continue;
            }
            reservation.commanded_ms = Some(now_ms);
            reservation.was_commanded = true;
            if let Some(worker) = reservation.worker.clone() {
                let departed = DepartedWorker {
                    pool: reservation.pool.clone(),
                    until_ms: now_ms + DEPARTED_KEPT_MS,
                };
                self.departed_workers.insert(worker, departed);
            }
            commands.push(MachineCommand {
                machine: machine.clone(),
                purpose: reservation.purpose.clone(),
            });
        }
        commands
    }

    /// Records the outcome of a command.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        command: &MachineCommand,
        outcome: MachineOutcome,
    ) {
        let Some(reservation) = self.reservations.get_mut(&command.machine) else {
            return;
        };
        match outcome {
            MachineOutcome::Done => {
                reservation.done_ms = Some(now_ms);
                if let Purpose::Maintain(wave) = command.purpose {
                    self.maintained_machines
                        .entry(wave)
                        .or_default()
                        .insert(command.machine.clone());
                }
            }
            MachineOutcome::NotDone | MachineOutcome::NoResponse => reservation.commanded_ms = None,
            MachineOutcome::Unavailable => {
                if let Some(worker) = self
                    .reservations
                    .remove(&command.machine)
                    .and_then(|reservation| reservation.worker)
                {
                    self.departed_workers.remove(&worker);
                }
                self.retry_ms
                    .insert(command.machine.clone(), now_ms + RETRY_DELAY_MS);
            }
        }
    }

    /// Returns whether a machine is reserved for maintenance or a move.
    #[must_use]
    pub fn is_leaving(&self, machine: &InstanceName) -> bool {
        self.reservations.contains_key(machine)
    }

    fn reserve(
        &mut self,
        now_ms: u64,
        machine: &MachineStatus,
        purpose: Purpose,
        index: &FleetIndex<'_>,
    ) {
        let mut reservation = Reservation {
            purpose,
            pool: machine.pool.clone(),
            worker: machine.worker.clone(),
            progress_ms: now_ms,
            min_tasks: u32::MAX,
            commanded_ms: None,
            was_commanded: false,
            done_ms: None,
        };
        let task_count = reservation.task_count(index);
        reservation.observe(now_ms, task_count);
        self.reservations.insert(machine.name.clone(), reservation);
    }

    /// Returns whether a machine can be reserved.
    fn is_available(&self, now_ms: u64, machine: &MachineStatus) -> bool {
        machine.is_up
            && !self.reservations.contains_key(&machine.name)
            && self
                .retry_ms
                .get(&machine.name)
                .is_none_or(|&retry_ms| retry_ms <= now_ms)
    }

    /// Drops reservations whose machine is back with a new worker, has left the platform's list or
    /// doesn't become empty. A machine that doesn't return from its maintenance or move stays
    /// reserved for twice [`DEPARTED_KEPT_MS`].
    fn drop_finished(&mut self, now_ms: u64, index: &FleetIndex<'_>) {
        self.departed_workers
            .retain(|_, departed| now_ms < departed.until_ms);
        let maintenance_ms = self.timing.maintenance_ms;
        let stuck: Vec<InstanceName> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.has_stalled(now_ms))
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in stuck {
            self.reservations.remove(&machine);
            self.retry_ms.insert(machine, now_ms + RETRY_DELAY_MS);
        }
        self.reservations.retain(|name, reservation| {
            let listed = index.machine(name);
            match reservation.done_ms {
                Some(done_ms) => {
                    let is_back = listed.is_some_and(|machine| {
                        machine.is_up
                            && (reservation.worker.is_none()
                                || machine.worker != reservation.worker)
                    });
                    // The list may be older than the command: unless a new worker shows that the
                    // machine has moved, it counts as away for as long as this takes.
                    let has_moved = matches!(reservation.purpose, Purpose::Move(_))
                        && reservation.worker.is_some();
                    let is_due =
                        has_moved || now_ms >= done_ms + maintenance_ms.min(DEPARTED_KEPT_MS);
                    !(is_back && is_due) && now_ms < done_ms + 2 * DEPARTED_KEPT_MS
                }
                None if reservation.commanded_ms.is_some() => true,
                None => listed.is_some_and(|machine| machine.worker == reservation.worker),
            }
        });
    }
}
