//! Moves of machines between pools.

use cyclamentrail_core::ServiceName;

use super::{
    FleetIndex, FleetPlanner, FleetState, Forecast, MachineStatus, PoolLoad, Purpose, STARTUP_MS,
};

/// Time from the decision to move a machine until it works in its new pool, in milliseconds.
const MOVE_DURATION_MS: u64 = 2_000;
/// Time over which a moved machine has to be of use, in milliseconds.
const PAYBACK_MS: u64 = 2_500;
/// Time in which waiting work should be done, in milliseconds.
const BACKLOG_TARGET_MS: u64 = 1_500;
/// Machines that are required for the expected demand, in percent of it; above 100, because tasks
/// don't fill workers exactly.
const HEADROOM_PERCENT: u64 = 120;
/// Time for which a pool must have had too many machines before some are switched off, in
/// milliseconds.
const SURPLUS_DELAY_MS: u64 = 2_500;
/// Divisor of a pool's surplus that gives the number of machines that one plan switches off. A machine
/// that is being switched off serves nobody for a while, and when one queue's turn ends, that of
/// another often begins.
const SURPLUS_DIVISOR: usize = 8;
/// Machines that a pool keeps in any case.
const MIN_POOL_MACHINES: usize = 2;
/// Part of its initial size that a pool keeps for a rise in its demand, in percent.
const RESERVE_PERCENT: usize = 60;

/// Machines that a pool has and requires.
#[derive(Debug, Clone)]
struct PoolBalance {
    pool: ServiceName,
    /// Number of machines that work for the pool, are starting or are moving to it.
    supply: usize,
    /// Number of machines that the pool requires.
    required: usize,
    /// Machines that may leave the pool, the one with the fewest tasks last.
    donors: Vec<MachineStatus>,
}

impl FleetPlanner {
    /// Moves machines to the pools that have too few, first from the standby pools and then from
    /// pools that have too many, and switches off machines that no pool requires. Nothing is moved
    /// if there is neither a standby pool nor a second pool, or while a pool has no workers.
    pub(super) fn plan_moves(&mut self, now_ms: u64, fleet: &FleetState, index: &FleetIndex<'_>) {
        if fleet.standby.is_empty() && fleet.loads.len() < 2 {
            return;
        }
        let has_workers = |load: &PoolLoad| !load.workers.is_empty();
        if !fleet.loads.values().all(has_workers) {
            return;
        }
        self.record_initial_sizes(fleet);
        let mut balances = self.balances(now_ms, fleet, index);
        let mut switched_off = self.standby_machines(now_ms, fleet);
        balances.sort_by_key(|balance| balance.supply.saturating_sub(balance.required));
        let shortages: Vec<(ServiceName, usize)> = balances
            .iter()
            .filter(|balance| balance.required > balance.supply)
            .map(|balance| (balance.pool.clone(), balance.required - balance.supply))
            .collect();
        for (pool, count) in shortages {
            for _ in 0..count {
                let Some(machine) = switched_off.pop().or_else(|| take_donor(&mut balances)) else {
                    return;
                };
                self.reserve(now_ms, &machine, Purpose::Move(pool.clone()), index);
            }
        }
        self.switch_off_surplus(now_ms, fleet, index, balances);
    }

    /// Records how many machines each pool has at first, unless that is known.
    fn record_initial_sizes(&mut self, fleet: &FleetState) {
        if !self.initial_sizes.is_empty() {
            return;
        }
        for machine in &fleet.machines {
            *self.initial_sizes.entry(machine.pool.clone()).or_default() += 1;
        }
    }

    fn balances(
        &mut self,
        now_ms: u64,
        fleet: &FleetState,
        index: &FleetIndex<'_>,
    ) -> Vec<PoolBalance> {
        let mut balances = Vec::new();
        for (pool, load) in &fleet.loads {
            if fleet.standby.contains(pool) {
                continue;
            }
            let forecast = self.forecasts.entry(pool.clone()).or_default();
            forecast.observe(now_ms, load.demand_milli);
            let initial_size = self.initial_sizes.get(pool).copied().unwrap_or(0);
            let reserve_size = (initial_size * RESERVE_PERCENT / 100).max(MIN_POOL_MACHINES);
            let required = required_machines(now_ms, load, forecast).max(reserve_size);
            balances.push(self.balance(now_ms, pool, required, fleet, index));
        }
        balances
    }

    fn balance(
        &self,
        now_ms: u64,
        pool: &ServiceName,
        required: usize,
        fleet: &FleetState,
        index: &FleetIndex<'_>,
    ) -> PoolBalance {
        let tasks_of = |machine: &MachineStatus| {
            let counts = index.task_counts(pool, machine.worker.as_ref())?;
            Some((counts.long_running_tasks, counts.tasks))
        };
        let mut supply = 0;
        let mut donors = Vec::new();
        for machine in fleet
            .machines
            .iter()
            .filter(|machine| machine.pool == *pool)
        {
            let is_available = self.is_available(now_ms, machine);
            supply += usize::from(is_available || self.is_starting(now_ms, machine));
            let is_unpinned = tasks_of(machine).is_some_and(|(long_running, _)| long_running == 0);
            if is_available && is_unpinned {
                donors.push(machine.clone());
            }
        }
        // Machines in maintenance aren't part of the supply, so that other machines replace them.
        supply += self
            .reservations
            .values()
            .filter(|reservation| reservation.purpose == Purpose::Move(pool.clone()))
            .count();
        // Donors are taken from the end, where the machine with the fewest tasks is.
        donors.sort_by_cached_key(|machine| std::cmp::Reverse(tasks_of(machine)));
        PoolBalance {
            pool: pool.clone(),
            supply,
            required,
            donors,
        }
    }

    /// Returns whether a machine isn't up yet because the planner has just started, when machines
    /// may still be booting.
    fn is_starting(&self, now_ms: u64, machine: &MachineStatus) -> bool {
        let is_startup = self
            .first_plan_ms
            .is_some_and(|first_plan_ms| now_ms < first_plan_ms + STARTUP_MS);
        is_startup && !machine.is_up && !self.reservations.contains_key(&machine.name)
    }

    /// Returns the available machines of the standby pools.
    fn standby_machines(&self, now_ms: u64, fleet: &FleetState) -> Vec<MachineStatus> {
        fleet
            .machines
            .iter()
            .filter(|machine| {
                fleet.standby.contains(&machine.pool) && self.is_available(now_ms, machine)
            })
            .cloned()
            .collect()
    }

    /// Moves machines to the standby pool from pools that have had too many for some time, a part of
    /// the surplus in each plan.
    fn switch_off_surplus(
        &mut self,
        now_ms: u64,
        fleet: &FleetState,
        index: &FleetIndex<'_>,
        balances: Vec<PoolBalance>,
    ) {
        let Some(standby) = fleet.standby.first().cloned() else {
            return;
        };
        for mut balance in balances {
            let surplus = balance.supply.saturating_sub(balance.required);
            if surplus == 0 {
                self.surplus_since_ms.remove(&balance.pool);
                continue;
            }
            let since_ms = *self
                .surplus_since_ms
                .entry(balance.pool.clone())
                .or_insert(now_ms);
            if now_ms < since_ms + SURPLUS_DELAY_MS {
                continue;
            }
            for _ in 0..surplus.div_ceil(SURPLUS_DIVISOR) {
                let Some(machine) = balance.donors.pop() else {
                    break;
                };
                self.reserve(now_ms, &machine, Purpose::Move(standby.clone()), index);
            }
        }
    }
}

/// Removes the machine with the fewest tasks from the pool with the largest surplus, and returns
/// it.
fn take_donor(balances: &mut [PoolBalance]) -> Option<MachineStatus> {
    let donor = balances
        .iter_mut()
        .filter(|balance| balance.supply > balance.required && !balance.donors.is_empty())
        .max_by_key(|balance| balance.supply - balance.required)?;
    donor.supply -= 1;
    donor.donors.pop()
}

/// Returns how many machines a pool requires for its current demand, its backlog and the demand
/// that is expected until a machine moved now has been of use.
fn required_machines(now_ms: u64, load: &PoolLoad, forecast: &Forecast) -> usize {
    let current = forecast.predict_milli(now_ms, 0).max(load.demand_milli);
    let at_arrival = forecast.predict_milli(now_ms, MOVE_DURATION_MS);
    let during_payback = forecast.predict_milli(now_ms, MOVE_DURATION_MS + PAYBACK_MS / 2);
    let backlog_milli = load.waiting_work_ms * 1_000 / BACKLOG_TARGET_MS;
    let running_milli = load.running_milli.saturating_sub(load.long_running_milli);
    let expected = current.max(at_arrival).max(during_payback);
    let finite_milli = (expected + backlog_milli).max(running_milli);
    let required_milli = load.long_running_milli + finite_milli * HEADROOM_PERCENT / 100;
    usize::try_from(required_milli.div_ceil(1_000)).unwrap_or(usize::MAX)
}
