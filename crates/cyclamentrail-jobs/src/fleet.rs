//! The duties over machines: maintenance waves, and moves between pools.
//!
//! Answers demand that comes by turns: a pool whose queue asks for more than it holds gets
//! machines that others don't need, and machines that nobody needs are switched off. Maintenance
//! goes to machines that are idle first.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{InstanceName, ServiceName, WorkerId};

mod forecast;
mod moves;
mod waves;

pub use forecast::Forecast;
pub use waves::WaveOrder;

/// Time for which the worker of a machine that was ordered away is kept empty, in milliseconds;
/// its registration may outlive it.
const LEAVING_MS: u64 = 6_000;
/// Time without progress after which a machine that doesn't become empty is let go, in
/// milliseconds.
const GIVE_UP_MS: u64 = 6_000;
/// Time after the duties were taken up in which machines may still be starting, in milliseconds.
const SETTLING_MS: u64 = 4_000;

/// Time for which a machine that couldn't be taken isn't tried again, in milliseconds.
const REST_MS: u64 = 3_000;

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineView {
    /// The machine.
    pub machine: InstanceName,
    /// Its pool.
    pub pool: ServiceName,
    /// Whether it runs a worker.
    pub is_up: bool,
    /// Its worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// What is placed on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerLoad {
    /// The worker.
    pub worker: WorkerId,
    /// Tasks that are placed there.
    pub tasks: u32,
    /// Those of them that run until their job is cancelled.
    pub long_running: u32,
}

/// What a pool's owner says of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Work that arrived in the last moments, in thousandths of a worker.
    pub demand_milli: u64,
    /// Work that is accepted and hasn't started, in milliseconds of a whole worker.
    pub waiting_ms: u64,
    /// Capacity that is taken by what runs, in thousandths of a worker.
    pub running_milli: u64,
    /// Capacity that is taken by long-running tasks, in thousandths of a worker.
    pub long_running_milli: u64,
    /// The workers.
    pub workers: Vec<WorkerLoad>,
}

/// What a machine is taken from its pool for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// Maintenance in a wave, by the wave's number.
    Maintain(u64),
    /// A move to another pool.
    Move(ServiceName),
}

/// An order for a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineTask {
    /// The machine.
    pub machine: InstanceName,
    /// What is to be done with it.
    pub purpose: Purpose,
}

/// What became of an order for a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineOutcome {
    /// It is done, or was done before.
    Done,
    /// It can't be done.
    Impossible,
    /// It wasn't done, and can be ordered again.
    Refused,
    /// Nobody answered; it may be done later.
    NoAnswer,
}

/// Bounds that the duties keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetTiming {
    /// Time that a machine is away for maintenance, in milliseconds.
    pub maintenance_ms: u64,
}

/// A machine that is taken from its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Leaving {
    purpose: Purpose,
    pool: ServiceName,
    worker: Option<WorkerId>,
    /// When it was taken, or last had fewer tasks than before.
    progress_ms: u64,
    /// Fewest tasks that were seen on its worker.
    fewest_tasks: u32,
    ordered_ms: Option<u64>,
    /// Whether an order was ever given, so that it may be carried out at any time.
    may_be_away: bool,
    done_ms: Option<u64>,
}

impl Leaving {
    /// Returns how many tasks its worker has, if its owner says so.
    fn tasks_in(&self, view: &FleetView) -> Option<u32> {
        let worker = self.worker.as_ref()?;
        let load = view.loads.get(&self.pool)?;
        let known = load.workers.iter().find(|one| one.worker == *worker)?;
        Some(known.tasks)
    }

    /// Takes note of how many tasks its worker has, if its owner said so.
    const fn observe(&mut self, now_ms: u64, tasks: Option<u32>) {
        if let Some(tasks) = tasks
            && tasks < self.fewest_tasks
        {
            self.fewest_tasks = tasks;
            self.progress_ms = now_ms;
        }
    }

    /// Returns whether its worker doesn't become empty.
    const fn is_stuck(&self, now_ms: u64) -> bool {
        self.ordered_ms.is_none() && now_ms >= self.progress_ms + GIVE_UP_MS
    }
}

/// A worker whose machine was ordered away.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Departed {
    pool: ServiceName,
    until_ms: u64,
}

/// The state of a moment that the duties decide from.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// All machines.
    pub machines: Vec<MachineView>,
    /// The load of each pool whose owner answered.
    pub loads: BTreeMap<ServiceName, PoolLoad>,
    /// Pools whose machines are switched off.
    pub standby: BTreeSet<ServiceName>,
    /// The waves that the operators ask for.
    pub waves: Vec<WaveOrder>,
}

/// Decides which machines are taken from their pools, and for what.
#[derive(Debug)]
pub struct FleetPlanner {
    timing: FleetTiming,
    leaving: BTreeMap<InstanceName, Leaving>,
    /// Machines that had their maintenance, by wave.
    maintained: BTreeMap<u64, BTreeSet<InstanceName>>,
    /// Workers of machines that were ordered away, and until when they may still be registered.
    departed: BTreeMap<WorkerId, Departed>,
    /// Machines that were refused, and until when they aren't tried again.
    resting: BTreeMap<InstanceName, u64>,
    /// When each wave was first seen.
    seen_ms: BTreeMap<u64, u64>,
    /// Since when a pool has had more machines than it needs.
    surplus_since_ms: BTreeMap<ServiceName, u64>,
    forecasts: BTreeMap<ServiceName, Forecast>,
    /// Machines that each pool had when the duties were taken up.
    first_sizes: BTreeMap<ServiceName, usize>,
    /// When the first plan was made, on our clock in milliseconds.
    begun_ms: Option<u64>,
}

impl FleetPlanner {
    /// Creates a planner that knows of nothing under way.
    #[must_use]
    pub const fn new(timing: FleetTiming) -> Self {
        Self {
            timing,
            leaving: BTreeMap::new(),
            maintained: BTreeMap::new(),
            departed: BTreeMap::new(),
            resting: BTreeMap::new(),
            seen_ms: BTreeMap::new(),
            surplus_since_ms: BTreeMap::new(),
            forecasts: BTreeMap::new(),
            first_sizes: BTreeMap::new(),
            begun_ms: None,
        }
    }

    /// Takes in that machines had their maintenance in a wave, which was first seen at a moment
    /// of our clock in milliseconds.
    pub fn restore_maintained(
        &mut self,
        wave: u64,
        seen_ms: u64,
        machines: impl IntoIterator<Item = InstanceName>,
    ) {
        self.seen_ms.insert(wave, seen_ms);
        self.maintained.entry(wave).or_default().extend(machines);
    }

    /// Takes in how many machines the operators gave to each pool.
    pub fn restore_sizes(&mut self, sizes: impl IntoIterator<Item = (ServiceName, usize)>) {
        self.first_sizes.extend(sizes);
    }

    /// Returns how many machines the operators gave to each pool, once that is known.
    #[must_use]
    pub const fn sizes(&self) -> &BTreeMap<ServiceName, usize> {
        &self.first_sizes
    }

    /// Returns the machines that had their maintenance in a wave.
    #[must_use]
    pub fn maintained(&self, wave: u64) -> Vec<InstanceName> {
        self.maintained
            .get(&wave)
            .map(|machines| machines.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns when a wave was first seen, on our clock in milliseconds.
    #[must_use]
    pub fn seen_ms(&self, wave: u64) -> Option<u64> {
        self.seen_ms.get(&wave).copied()
    }

    /// Decides what to take from which pool next.
    pub fn plan(&mut self, now_ms: u64, view: &FleetView) {
        self.begun_ms.get_or_insert(now_ms);
        self.forget_finished(now_ms, view);
        self.plan_waves(now_ms, view);
        self.plan_moves(now_ms, view);
    }

    /// Returns the workers of a pool that its owner should keep empty.
    #[must_use]
    pub fn evacuations(&self, pool: &ServiceName) -> Vec<WorkerId> {
        let departed = self
            .departed
            .iter()
            .filter(|(_, departed)| departed.pool == *pool)
            .map(|(worker, _)| worker.clone());
        self.leaving
            .values()
            .filter(|leaving| leaving.pool == *pool)
            .filter_map(|leaving| leaving.worker.clone())
            .chain(departed)
            .collect()
    }

    /// Returns the orders for machines whose workers are empty, and takes note of them.
    pub fn take_orders(&mut self, now_ms: u64, view: &FleetView) -> Vec<MachineTask> {
        let mut room = self.maintenance_room(view);
        let mut orders = Vec::new();
        for (machine, leaving) in &mut self.leaving {
            let tasks = leaving.tasks_in(view);
            leaving.observe(now_ms, tasks);
            // A worker that its owner doesn't know may still run something.
            let is_empty = leaving.worker.is_none() || tasks == Some(0);
            if leaving.ordered_ms.is_some() || !is_empty || !room.admit(leaving) {
                continue;
            }
            leaving.ordered_ms = Some(now_ms);
            leaving.may_be_away = true;
            if let Some(worker) = leaving.worker.clone() {
                let departed = Departed {
                    pool: leaving.pool.clone(),
                    until_ms: now_ms + LEAVING_MS,
                };
                self.departed.insert(worker, departed);
            }
            orders.push(MachineTask {
                machine: machine.clone(),
                purpose: leaving.purpose.clone(),
            });
        }
        orders
    }

    /// Takes note of what became of an order.
    pub fn finish_order(&mut self, now_ms: u64, task: &MachineTask, outcome: MachineOutcome) {
        let Some(leaving) = self.leaving.get_mut(&task.machine) else {
            return;
        };
        match outcome {
            MachineOutcome::Done => {
                leaving.done_ms = Some(now_ms);
                if let Purpose::Maintain(wave) = task.purpose {
                    self.maintained
                        .entry(wave)
                        .or_default()
                        .insert(task.machine.clone());
                }
            }
            MachineOutcome::Refused | MachineOutcome::NoAnswer => leaving.ordered_ms = None,
            MachineOutcome::Impossible => {
                if let Some(worker) = self
                    .leaving
                    .remove(&task.machine)
                    .and_then(|leaving| leaving.worker)
                {
                    self.departed.remove(&worker);
                }
                self.resting.insert(task.machine.clone(), now_ms + REST_MS);
            }
        }
    }

    /// Returns whether a machine is taken for something.
    #[must_use]
    pub fn is_leaving(&self, machine: &InstanceName) -> bool {
        self.leaving.contains_key(machine)
    }

    fn take(&mut self, now_ms: u64, machine: &MachineView, purpose: Purpose, view: &FleetView) {
        let mut leaving = Leaving {
            purpose,
            pool: machine.pool.clone(),
            worker: machine.worker.clone(),
            progress_ms: now_ms,
            fewest_tasks: u32::MAX,
            ordered_ms: None,
            may_be_away: false,
            done_ms: None,
        };
        let tasks = leaving.tasks_in(view);
        leaving.observe(now_ms, tasks);
        self.leaving.insert(machine.machine.clone(), leaving);
    }

    fn is_free(&self, now_ms: u64, machine: &MachineView) -> bool {
        machine.is_up
            && !self.leaving.contains_key(&machine.machine)
            && self
                .resting
                .get(&machine.machine)
                .is_none_or(|&until| until <= now_ms)
    }

    fn forget_finished(&mut self, now_ms: u64, view: &FleetView) {
        self.departed
            .retain(|_, departed| now_ms < departed.until_ms);
        let away_ms = self.timing.maintenance_ms;
        let given_up: Vec<InstanceName> = self
            .leaving
            .iter()
            .filter(|(_, leaving)| leaving.is_stuck(now_ms))
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in given_up {
            self.leaving.remove(&machine);
            self.resting.insert(machine, now_ms + REST_MS);
        }
        self.leaving.retain(|name, leaving| {
            let listed = view.machines.iter().find(|one| one.machine == *name);
            match leaving.done_ms {
                Some(done_ms) => {
                    let is_back = listed.is_some_and(|one| {
                        one.is_up && (leaving.worker.is_none() || one.worker != leaving.worker)
                    });
                    let is_due = now_ms >= done_ms + away_ms.min(LEAVING_MS);
                    !(is_back && is_due) && now_ms < done_ms + 2 * LEAVING_MS
                }
                None if leaving.ordered_ms.is_some() => true,
                None => listed.is_some_and(|one| one.worker == leaving.worker),
            }
        });
    }
}
