//! Moves of machines between pools.

use std::collections::BTreeMap;

use cyclamentrail_core::ServiceName;

use super::{FleetPlanner, FleetView, Forecast, MachineView, PoolLoad, Purpose, SETTLING_MS};

/// Time from the decision to a move until the machine works, in milliseconds.
const LEAD_MS: u64 = 2_000;
/// Time over which a move has to be of use, in milliseconds.
const USE_MS: u64 = 2_500;
/// Time in which waiting work should be done, in milliseconds.
const DRAIN_MS: u64 = 1_500;
/// What is needed beyond the expected demand, in percent: tasks don't fill workers exactly.
const HEADROOM_PERCENT: u64 = 120;
/// Time for which a pool must have had too many machines before some are switched off.
const SURPLUS_MS: u64 = 4_000;
/// Machines that a pool keeps in any case.
const MIN_MACHINES: usize = 2;
/// Part of its first size that a pool keeps for a rise in its demand, in percent.
const RESERVE_PERCENT: usize = 60;

/// What a pool has and needs.
#[derive(Debug, Clone)]
struct Balance {
    pool: ServiceName,
    has: usize,
    needs: usize,
    /// Machines that could be given away, those with the least work first.
    donors: Vec<MachineView>,
}

impl FleetPlanner {
    pub(super) fn plan_moves(&mut self, now_ms: u64, view: &FleetView) {
        if view.standby.is_empty() && view.loads.len() < 2 {
            return;
        }
        let has_workers = |load: &PoolLoad| !load.workers.is_empty();
        if !view.loads.values().all(has_workers) {
            return;
        }
        self.note_sizes(view);
        let mut balances = self.balances(now_ms, view);
        let mut off = self.switched_off(now_ms, view);
        balances.sort_by_key(|balance| balance.has.saturating_sub(balance.needs));
        let short: Vec<(ServiceName, usize)> = balances
            .iter()
            .filter(|balance| balance.needs > balance.has)
            .map(|balance| (balance.pool.clone(), balance.needs - balance.has))
            .collect();
        for (pool, count) in short {
            for _ in 0..count {
                let Some(machine) = off.pop().or_else(|| next_donor(&mut balances)) else {
                    return;
                };
                self.take(now_ms, &machine, Purpose::Move(pool.clone()), view);
            }
        }
        self.switch_off_surplus(now_ms, view, balances);
    }

    fn note_sizes(&mut self, view: &FleetView) {
        if !self.first_sizes.is_empty() {
            return;
        }
        for machine in &view.machines {
            *self.first_sizes.entry(machine.pool.clone()).or_default() += 1;
        }
    }

    fn balances(&mut self, now_ms: u64, view: &FleetView) -> Vec<Balance> {
        let mut balances = Vec::new();
        for (pool, load) in &view.loads {
            if view.standby.contains(pool) {
                continue;
            }
            let forecast = self.forecasts.entry(pool.clone()).or_default();
            forecast.observe(now_ms, load.demand_milli);
            let first_size = self.first_sizes.get(pool).copied().unwrap_or(0);
            let reserve = (first_size * RESERVE_PERCENT / 100).max(MIN_MACHINES);
            let needs = needed(now_ms, load, forecast).max(reserve);
            balances.push(self.balance(now_ms, pool, needs, load, view));
        }
        balances
    }

    fn balance(
        &self,
        now_ms: u64,
        pool: &ServiceName,
        needs: usize,
        load: &PoolLoad,
        view: &FleetView,
    ) -> Balance {
        let tasks: BTreeMap<_, _> = load
            .workers
            .iter()
            .map(|one| (&one.worker, (one.long_running, one.tasks)))
            .collect();
        let load_of = |machine: &MachineView| {
            machine
                .worker
                .as_ref()
                .and_then(|worker| tasks.get(worker))
                .copied()
        };
        let mut has = 0;
        let mut donors = Vec::new();
        for machine in view.machines.iter().filter(|one| one.pool == *pool) {
            let is_free = self.is_free(now_ms, machine);
            has += usize::from(is_free || self.is_starting(now_ms, machine));
            let is_untied = load_of(machine).is_some_and(|(long_running, _)| long_running == 0);
            if is_free && is_untied {
                donors.push(machine.clone());
            }
        }
        // A machine that has its maintenance doesn't count, so that another one takes its place.
        has += self
            .leaving
            .values()
            .filter(|leaving| leaving.purpose == Purpose::Move(pool.clone()))
            .count();
        // The last ones are taken first: the idle, then those without long-running tasks.
        donors.sort_by_key(|machine| std::cmp::Reverse(load_of(machine)));
        Balance {
            pool: pool.clone(),
            has,
            needs,
            donors,
        }
    }

    /// Returns whether a machine isn't up because the fleet has just started.
    fn is_starting(&self, now_ms: u64, machine: &MachineView) -> bool {
        let is_early = self
            .begun_ms
            .is_some_and(|begun_ms| now_ms < begun_ms + SETTLING_MS);
        is_early && !machine.is_up && !self.leaving.contains_key(&machine.machine)
    }

    fn switched_off(&self, now_ms: u64, view: &FleetView) -> Vec<MachineView> {
        view.machines
            .iter()
            .filter(|one| view.standby.contains(&one.pool) && self.is_free(now_ms, one))
            .cloned()
            .collect()
    }

    fn switch_off_surplus(&mut self, now_ms: u64, view: &FleetView, balances: Vec<Balance>) {
        let Some(standby) = view.standby.first().cloned() else {
            return;
        };
        for mut balance in balances {
            let surplus = balance.has.saturating_sub(balance.needs);
            if surplus == 0 {
                self.surplus_since_ms.remove(&balance.pool);
                continue;
            }
            let since_ms = *self
                .surplus_since_ms
                .entry(balance.pool.clone())
                .or_insert(now_ms);
            if now_ms < since_ms + SURPLUS_MS {
                continue;
            }
            for _ in 0..surplus {
                let Some(machine) = balance.donors.pop() else {
                    break;
                };
                self.take(now_ms, &machine, Purpose::Move(standby.clone()), view);
            }
        }
    }
}

/// Takes the least busy machine of the pool that has the most to spare.
fn next_donor(balances: &mut [Balance]) -> Option<MachineView> {
    let donor = balances
        .iter_mut()
        .filter(|balance| balance.has > balance.needs && !balance.donors.is_empty())
        .max_by_key(|balance| balance.has - balance.needs)?;
    donor.has -= 1;
    donor.donors.pop()
}

/// Returns how many machines a pool needs in the time that a move made now would be of use.
fn needed(now_ms: u64, load: &PoolLoad, forecast: &Forecast) -> usize {
    let present = forecast.expect_milli(now_ms, 0).max(load.demand_milli);
    let soon = forecast.expect_milli(now_ms, LEAD_MS);
    let later = forecast.expect_milli(now_ms, LEAD_MS + USE_MS / 2);
    let waiting_milli = load.waiting_ms * 1_000 / DRAIN_MS;
    let running_milli = load.running_milli.saturating_sub(load.long_running_milli);
    let expected = present.max(soon).max(later);
    let short_milli = (expected + waiting_milli).max(running_milli);
    let milli = load.long_running_milli + short_milli * HEADROOM_PERCENT / 100;
    usize::try_from(milli.div_ceil(1_000)).unwrap_or(usize::MAX)
}
