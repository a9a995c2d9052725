//! Orders moves when they pay.

use std::collections::{BTreeMap, BTreeSet};

use super::super::{MoveReason, WaveRecord};
use super::{Mark, Subject, Thing, WaveAction, WaveInput, WaveRunner, limits, millis};
use crate::capacity::{Blocked, Capacity, PoolCapacity};
use crate::fleet::InstanceState;
use crate::id::Version;
use crate::name::{InstanceName, PoolName};
use crate::plan::{PlanInput, PlanMethod, plan};
use crate::record::RecordBody;

impl WaveRunner {
    pub(super) fn plan_moves(&mut self, input: &WaveInput<'_>, capacity: &Capacity<'_>) {
        let mut capacity = capacity.clone();
        for (name, order) in input.fleet.waves().moves() {
            let by_operator = matches!(order.reason, MoveReason::Operator { .. });
            if by_operator && capacity.available().contains_key(name) {
                continue;
            }
            capacity.take(name);
            capacity.put(name, &order.to);
        }
        let needs = self.needs(input, &capacity);
        let surplus = self.surplus(input, &capacity);
        if needs.is_empty() && surplus.is_empty() {
            return;
        }
        let plan = plan(&PlanInput {
            capacity: &capacity,
            needs,
            surplus,
            movable: movable(input, &capacity),
            method: PlanMethod::Greedy,
        });
        self.planner_work += plan.work;
        let Some(planned) = plan.moves.into_iter().next() else {
            return;
        };
        let presumes = input.fleet.waves().duty_version();
        let record = WaveRecord::MoveOrdered {
            presumes,
            instance: planned.instance,
            to: planned.to,
            reason: planned.reason,
        };
        self.put_off_advances(presumes);
        self.send(input, Subject::Step(presumes), record.into());
    }

    /// Takes back this step's advances, which would make a move's order stale; a wave that
    /// advances at each step would otherwise keep every move from being ordered.
    fn put_off_advances(&mut self, step: Version) {
        let is_advance = |action: &WaveAction| {
            matches!(
                action,
                WaveAction::Submit(RecordBody::Wave(WaveRecord::Advanced { .. }))
            )
        };
        if self.actions.iter().any(is_advance) {
            self.actions.retain(|action| !is_advance(action));
            self.sent.remove(&Subject::Step(step));
        }
    }

    /// Returns the pools that need an instance, the shortest first.
    fn needs(
        &mut self,
        input: &WaveInput<'_>,
        capacity: &Capacity<'_>,
    ) -> Vec<(PoolName, MoveReason)> {
        let move_after_ms = millis(limits(input.fleet).move_after_ms);
        let open = open_by_pool(input);
        let mut needs: Vec<(i64, PoolName, MoveReason)> = Vec::new();
        for (name, pool) in capacity.pools() {
            let returning = i64::from(open.get(name).copied().unwrap_or_default());
            let lacking = pool.slack() + returning;
            let is_short = pool.promised > 0 && lacking < 0;
            let thing = Thing::Pool(name.clone());
            let short_ms = self.held_ms(input, thing, Mark::Short, is_short);
            if is_short && short_ms >= move_after_ms {
                needs.push((lacking, name.clone(), MoveReason::Shortage));
            }
        }
        let stuck = self.waits.iter().filter(|(name, blocked)| {
            let is_promise = matches!(blocked, Blocked::Promise { .. });
            let slack = capacity.pool(name).map_or(1, PoolCapacity::slack);
            let in_hand = open.contains_key(*name) || self.taking.contains(*name);
            is_promise && slack <= 0 && !in_hand
        });
        for (name, _) in stuck {
            needs.push((0, name.clone(), MoveReason::WaveRoom));
        }
        needs.sort_by(|left, right| (left.0, &left.1).cmp(&(right.0, &right.1)));
        needs.dedup_by(|left, right| left.1 == right.1);
        needs
            .into_iter()
            .map(|(_, pool, reason)| (pool, reason))
            .collect()
    }

    /// Returns the pools that have held too much for long enough, when giving it back pays.
    fn surplus(&mut self, input: &WaveInput<'_>, capacity: &Capacity<'_>) -> Vec<PoolName> {
        let settings = capacity.settings();
        let return_after_ms = millis(settings.maintenance.return_after_ms);
        let pays = settings.cost_weights.borrows_wave_capacity();
        let busy = busy_pools(input);
        let mut surplus = Vec::new();
        for (name, pool) in capacity.pools() {
            let gives = pays
                && !pool.spare
                && pool.promised > 0
                && pool.slack() > 0
                && pool.unavailable.is_empty()
                && !busy.contains(name);
            let thing = Thing::Pool(name.clone());
            let held_ms = self.held_ms(input, thing, Mark::Surplus, gives);
            if gives && held_ms >= return_after_ms {
                surplus.push(name.clone());
            }
        }
        surplus
    }
}

/// Returns how many instances of each pool waves have in hand.
fn open_by_pool(input: &WaveInput<'_>) -> BTreeMap<PoolName, u32> {
    let mut open = BTreeMap::new();
    for (_, wave) in input.fleet.waves().waves() {
        for instance in wave
            .open
            .keys()
            .filter_map(|name| input.fleet.instance(name))
        {
            *open.entry(instance.pool.clone()).or_default() += 1;
        }
    }
    open
}

/// Returns the pools that an unfinished wave still has to maintain.
fn busy_pools(input: &WaveInput<'_>) -> BTreeSet<PoolName> {
    let waves = input.fleet.waves().waves();
    let unfinished = waves.filter(|(_, wave)| !wave.is_finished());
    unfinished
        .flat_map(|(_, wave)| wave.pending.iter().chain(wave.open.keys()))
        .filter_map(|name| input.fleet.instance(name))
        .map(|instance| instance.pool.clone())
        .collect()
}

/// Returns whether an operator made the latest move of an instance; the planner leaves it there.
fn placed_by_operator(input: &WaveInput<'_>, name: &InstanceName) -> bool {
    let moved = input.fleet.waves().moved();
    let latest = moved.iter().rev().find(|moved| &moved.instance == name);
    latest.is_some_and(|moved| matches!(moved.reason, MoveReason::Operator { .. }))
}

/// Returns the instances that may move, with the pools that the settings list them under.
fn movable(input: &WaveInput<'_>, capacity: &Capacity<'_>) -> BTreeMap<InstanceName, PoolName> {
    let waves = input.fleet.waves();
    let pools = &capacity.settings().pools;
    let mut movable = BTreeMap::new();
    for (home, pool) in pools {
        for name in &pool.instances {
            let serves = input
                .fleet
                .instance(name)
                .is_some_and(|instance| instance.state == InstanceState::Serving);
            let well = input.seen.get(name).is_some_and(super::Seen::is_well);
            if placed_by_operator(input, name) {
                continue;
            }
            if serves
                && well
                && !waves.moves().contains_key(name)
                && waves.open_step(name).is_none()
            {
                movable.insert(name.clone(), home.clone());
            }
        }
    }
    movable
}
