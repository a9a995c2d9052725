//! Machines of the site, which the planner moves between pools, and their faults.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{InstanceName, ServiceName, WorkerId};
use cyclamentrail_jobs::{
    FleetPlanner, FleetState, FleetTiming, MachineOutcome, MachineStatus, Purpose,
};

use super::owner::{Owner, PoolWorker, RunFault};
use super::{START_BOOT_MS, START_UNIX_MS, clocks, pool_indices};
use crate::lab::Description;
use crate::lab::worker::{SimulatedWorker, registration};

/// Name of the pool of machines that are switched off.
const STANDBY: &str = "standby";
/// Time until owners read that a worker has started or is gone, in milliseconds.
const REGISTRY_DELAY_MS: u64 = 100;
/// Time until the registration of a lost worker expires, in milliseconds.
const REGISTRATION_EXPIRY_MS: u64 = 4_500;
/// Time for which a machine is away for maintenance, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;

/// A machine of the site.
#[derive(Debug)]
struct Machine {
    name: InstanceName,
    /// Index of the pool; `None` while the machine is switched off.
    pool: Option<usize>,
    /// Time at which the machine is up, in milliseconds.
    up_ms: u64,
    /// Id of the worker that runs.
    worker: Option<WorkerId>,
    incarnations: u32,
    is_lost: bool,
}

/// Change of the registry that an owner reads later.
#[derive(Debug)]
enum Notice {
    /// The worker of the machine with an index has started.
    Started(usize),
    /// A worker isn't listed any more.
    Gone(usize, WorkerId),
}

/// Parts of the machines that have a fault, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct FaultyParts {
    pub(super) lost: f64,
    pub(super) slow: f64,
    pub(super) failing: f64,
}

/// All machines, with the planner that moves them.
#[derive(Debug)]
pub(super) struct Machines<'a> {
    description: &'a Description,
    pools: BTreeMap<ServiceName, usize>,
    all: Vec<Machine>,
    planner: FleetPlanner,
    notices: Vec<(u64, Notice)>,
    /// Moves so far.
    pub(super) moves: u32,
}

impl<'a> Machines<'a> {
    /// Creates the machines of a site; their workers start with the first step.
    pub(super) fn new(description: &'a Description) -> Self {
        let mut pools: Vec<Option<usize>> = Vec::new();
        for (index, pool) in description.pools.iter().enumerate() {
            pools.extend((0..pool.machines).map(|_| Some(index)));
        }
        pools.extend((0..description.standby_machines).map(|_| None));
        let machine = |(index, pool): (usize, Option<usize>)| Machine {
            name: InstanceName::from(format!("m{index}").as_str()),
            pool,
            up_ms: 0,
            worker: None,
            incarnations: 0,
            is_lost: false,
        };
        Self {
            description,
            pools: pool_indices(description),
            all: pools.into_iter().enumerate().map(machine).collect(),
            planner: FleetPlanner::new(FleetTiming {
                maintenance_ms: MAINTENANCE_MS,
            }),
            notices: Vec::new(),
            moves: 0,
        }
    }

    /// Returns the number of machines that aren't switched off.
    pub(super) fn in_pools(&self) -> usize {
        let in_pool = |machine: &&Machine| machine.pool.is_some();
        self.all.iter().filter(in_pool).count()
    }

    /// Starts the workers of machines that have come up, and tells owners what the registry shows.
    pub(super) fn advance(&mut self, now_ms: u64, owners: &mut [Owner<'_>]) {
        for index in 0..self.all.len() {
            let machine = &self.all[index];
            let is_up = machine.up_ms <= now_ms && !machine.is_lost;
            if let (true, None, Some(pool)) = (is_up, &machine.worker, machine.pool) {
                self.start_worker(now_ms, index, &mut owners[pool]);
            }
        }
        let due: Vec<(u64, Notice)> = self
            .notices
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, notice) in due {
            self.deliver(now_ms, notice, owners);
        }
    }

    /// Runs a round of the planner, and carries out its commands.
    pub(super) fn plan(&mut self, now_ms: u64, owners: &mut [Owner<'_>]) {
        let boot_ms = START_BOOT_MS + now_ms;
        let mut fleet = self.fleet_state(now_ms, owners);
        self.planner.plan(boot_ms, &fleet);
        self.evacuate(now_ms, owners);
        for (pool, &index) in &self.pools {
            let load = owners[index].shard.load(clocks(now_ms));
            fleet.loads.insert(pool.clone(), load);
        }
        for command in self.planner.take_commands(boot_ms, &fleet) {
            let outcome = match &command.purpose {
                Purpose::Move(pool) => self.move_machine(now_ms, &command.machine, pool, owners),
                Purpose::Maintain(_) => MachineOutcome::Unavailable,
            };
            self.planner.record_outcome(boot_ms, &command, outcome);
        }
    }

    /// Sets which parts of the machines are lost, slow or failing. Lost machines are taken from one end
    /// of an order of all machines and the others from its other end, so that few are both.
    pub(super) fn set_faults(&mut self, now_ms: u64, parts: FaultyParts, owners: &mut [Owner<'_>]) {
        let count = self.all.len();
        // Neighbours in the list, which are in one pool, are far apart in the order.
        let rank = |index: usize| (index % 4) * count / 4 + index / 4;
        let is_within = |rank: usize, part: f64| (rank as f64) < part * count as f64;
        for index in 0..count {
            let is_lost = is_within(rank(index), parts.lost);
            if is_lost != self.all[index].is_lost {
                self.all[index].is_lost = is_lost;
                if is_lost {
                    self.lose(now_ms, index, owners);
                }
            }
            let reverse_rank = count - 1 - rank(index);
            let fault = if is_within(reverse_rank, parts.failing) {
                RunFault::Failing
            } else if is_within(reverse_rank, parts.slow) {
                RunFault::Slow
            } else {
                RunFault::None
            };
            self.set_run_fault(index, fault, owners);
        }
    }

    fn set_run_fault(&self, index: usize, fault: RunFault, owners: &mut [Owner<'_>]) {
        let machine = &self.all[index];
        if let (Some(pool), Some(id)) = (machine.pool, &machine.worker)
            && let Some(pool_worker) = owners[pool].workers.get_mut(id)
        {
            pool_worker.fault = fault;
        }
    }

    fn lose(&mut self, now_ms: u64, index: usize, owners: &mut [Owner<'_>]) {
        let machine = &mut self.all[index];
        if let (Some(pool), Some(id)) = (machine.pool, machine.worker.take()) {
            owners[pool].workers.remove(&id);
            let notice = Notice::Gone(pool, id);
            self.notices.push((now_ms + REGISTRATION_EXPIRY_MS, notice));
        }
    }

    fn start_worker(&mut self, now_ms: u64, index: usize, owner: &mut Owner<'_>) {
        let machine = &mut self.all[index];
        let Some(pool) = machine.pool else {
            return;
        };
        machine.incarnations += 1;
        let registration = registration(
            index,
            machine.incarnations,
            &self.description.pools[pool],
            START_UNIX_MS + now_ms,
        );
        machine.worker = Some(registration.id.clone());
        let pool_worker = PoolWorker {
            worker: SimulatedWorker::new(registration.clone()),
            fault: RunFault::None,
        };
        owner.workers.insert(registration.id, pool_worker);
        self.notices
            .push((now_ms + REGISTRY_DELAY_MS, Notice::Started(index)));
    }

    fn deliver(&self, now_ms: u64, notice: Notice, owners: &mut [Owner<'_>]) {
        match notice {
            Notice::Started(index) => {
                let machine = &self.all[index];
                if let (Some(pool), Some(id)) = (machine.pool, &machine.worker)
                    && let Some(pool_worker) = owners[pool].workers.get(id)
                {
                    let mut registration = pool_worker.worker.registration.clone();
                    registration.clock_ms = START_BOOT_MS + now_ms;
                    owners[pool].shard.register(clocks(now_ms), registration);
                }
            }
            Notice::Gone(pool, id) => owners[pool].shard.unregister(&id),
        }
    }

    fn fleet_state(&self, now_ms: u64, owners: &mut [Owner<'_>]) -> FleetState {
        let standby = ServiceName::from(STANDBY);
        let name_of = |pool: usize| ServiceName::from(self.description.pools[pool].name.as_str());
        let status = |machine: &Machine| MachineStatus {
            name: machine.name.clone(),
            pool: machine.pool.map_or_else(|| standby.clone(), name_of),
            is_up: machine.up_ms <= now_ms && !machine.is_lost,
            worker: machine.worker.clone(),
        };
        let mut fleet = FleetState {
            machines: self.all.iter().map(status).collect(),
            standby: BTreeSet::from([standby.clone()]),
            ..FleetState::default()
        };
        for (pool, &index) in &self.pools {
            let load = owners[index].shard.load(clocks(now_ms));
            fleet.loads.insert(pool.clone(), load);
        }
        fleet
    }

    /// Has the owners empty the workers of reserved machines, and no others.
    fn evacuate(&self, now_ms: u64, owners: &mut [Owner<'_>]) {
        for (pool, &index) in &self.pools {
            let leaving = self.planner.workers_to_evacuate(pool);
            let owner = &mut owners[index];
            let ids: Vec<WorkerId> = owner.workers.keys().cloned().collect();
            for id in ids {
                let is_leaving = leaving.contains(&id);
                owner.shard.set_evacuating(clocks(now_ms), &id, is_leaving);
            }
        }
    }

    fn move_machine(
        &mut self,
        now_ms: u64,
        name: &InstanceName,
        pool: &ServiceName,
        owners: &mut [Owner<'_>],
    ) -> MachineOutcome {
        let target = self.pools.get(pool).copied();
        let move_ms = (self.description.move_s * 1_000.0) as u64;
        let named = self.all.iter().position(|machine| machine.name == *name);
        let Some(index) = named.filter(|&index| !self.all[index].is_lost) else {
            return MachineOutcome::Unavailable;
        };
        let machine = &mut self.all[index];
        if let (Some(pool), Some(id)) = (machine.pool, machine.worker.take()) {
            owners[pool].workers.remove(&id);
            self.notices
                .push((now_ms + REGISTRY_DELAY_MS, Notice::Gone(pool, id)));
        }
        machine.pool = target;
        machine.up_ms = now_ms + move_ms;
        self.moves += 1;
        MachineOutcome::Done
    }
}
