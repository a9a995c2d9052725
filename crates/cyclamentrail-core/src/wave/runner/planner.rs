//! Orders moves between pools: to pools that are short of instances or that a wave needs to take
//! instances from, and from pools with a surplus.

use std::collections::{BTreeMap, BTreeSet};

use super::super::{MoveReason, WaveRecord};
use super::{
    ActionKey, Condition, ConditionTarget, WaveAction, WaveInput, WaveRunner, maintenance_settings,
    millis,
};
use crate::capacity::{BlockingContract, Capacity, PoolCapacity};
use crate::fleet::InstanceState;
use crate::id::Version;
use crate::name::{InstanceName, PoolName};
use crate::plan::{PlanInput, PlanMethod, plan};
use crate::record::RecordBody;

impl WaveRunner {
    /// Orders at most one move, planned as if the moves under way had finished.
    ///
    /// An operator's move that waits for a contract counts as not made.
    pub(super) fn plan_moves(&mut self, input: &WaveInput<'_>, capacity: &Capacity<'_>) {
        let mut capacity = capacity.clone();
        for (name, order) in input.fleet.waves().moves() {
            let by_operator = matches!(order.reason, MoveReason::Operator { .. });
            if by_operator && capacity.available().contains_key(name) {
                continue;
            }
            capacity.remove_instance(name);
            capacity.add_instance(name, &order.to);
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
        self.planner_work += plan.evaluated_pairs;
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
        self.postpone_advances(presumes);
        self.send(input, ActionKey::DutyVersion(presumes), record.into());
    }

    /// Withdraws the wave advances of this step, which presume the same version as the move's order.
    ///
    /// Otherwise the advance would be folded first and the order rejected as outdated, so a wave
    /// that advances in every step would prevent all moves.
    fn postpone_advances(&mut self, duty_version: Version) {
        let is_advance = |action: &WaveAction| {
            matches!(
                action,
                WaveAction::Submit(RecordBody::Wave(WaveRecord::Advanced { .. }))
            )
        };
        if self.actions.iter().any(is_advance) {
            self.actions.retain(|action| !is_advance(action));
            self.last_sent.remove(&ActionKey::DutyVersion(duty_version));
        }
    }

    /// Returns the pools that need an instance, those with the least slack first.
    fn needs(
        &mut self,
        input: &WaveInput<'_>,
        capacity: &Capacity<'_>,
    ) -> Vec<(PoolName, MoveReason)> {
        let move_after_ms = millis(maintenance_settings(input.fleet).move_after_ms);
        let maintained_counts = maintained_count_by_pool(input);
        let mut needs: Vec<(i64, PoolName, MoveReason)> = Vec::new();
        for (name, pool) in capacity.pools() {
            let in_maintenance =
                i64::from(maintained_counts.get(name).copied().unwrap_or_default());
            let expected_slack = pool.slack() + in_maintenance;
            let is_short = pool.promised > 0 && expected_slack < 0;
            let target = ConditionTarget::Pool(name.clone());
            let short_ms = self.condition_ms(input, target, Condition::ShortOfSlack, is_short);
            if is_short && short_ms >= move_after_ms {
                needs.push((expected_slack, name.clone(), MoveReason::Shortage));
            }
        }
        let blocked_pools = self.blocked_pools.iter().filter(|(name, blocked)| {
            let is_promise = matches!(blocked, BlockingContract::Promise { .. });
            let slack = capacity.pool(name).map_or(1, PoolCapacity::slack);
            let is_maintaining =
                maintained_counts.contains_key(*name) || self.pools_taken_from.contains(*name);
            is_promise && slack <= 0 && !is_maintaining
        });
        for (name, _) in blocked_pools {
            needs.push((0, name.clone(), MoveReason::WaveRoom));
        }
        needs.sort_by(|left, right| (left.0, &left.1).cmp(&(right.0, &right.1)));
        needs.dedup_by(|left, right| left.1 == right.1);
        needs
            .into_iter()
            .map(|(_, pool, reason)| (pool, reason))
            .collect()
    }

    /// Returns the pools that have had a surplus for long enough, if returning it costs less than
    /// keeping it.
    fn surplus(&mut self, input: &WaveInput<'_>, capacity: &Capacity<'_>) -> Vec<PoolName> {
        let settings = capacity.settings();
        let return_after_ms = millis(settings.maintenance.return_after_ms);
        let returning_is_cheaper = settings.cost_weights.borrows_wave_capacity();
        let maintained_pools = unfinished_wave_pools(input);
        let mut surplus = Vec::new();
        for (name, pool) in capacity.pools() {
            let has_surplus = returning_is_cheaper
                && !pool.spare
                && pool.promised > 0
                && pool.slack() > 0
                && pool.unavailable.is_empty()
                && !maintained_pools.contains(name);
            let target = ConditionTarget::Pool(name.clone());
            let surplus_ms = self.condition_ms(input, target, Condition::Surplus, has_surplus);
            if has_surplus && surplus_ms >= return_after_ms {
                surplus.push(name.clone());
            }
        }
        surplus
    }
}

/// Returns the number of instances in maintenance by pool.
fn maintained_count_by_pool(input: &WaveInput<'_>) -> BTreeMap<PoolName, u32> {
    let mut maintained_counts = BTreeMap::new();
    for (_, wave) in input.fleet.waves().waves() {
        for instance in wave
            .in_maintenance
            .keys()
            .filter_map(|name| input.fleet.instance(name))
        {
            *maintained_counts.entry(instance.pool.clone()).or_default() += 1;
        }
    }
    maintained_counts
}

/// Returns the pools with instances that are pending or in maintenance in an unfinished wave.
fn unfinished_wave_pools(input: &WaveInput<'_>) -> BTreeSet<PoolName> {
    let waves = input.fleet.waves().waves();
    let unfinished = waves.filter(|(_, wave)| !wave.is_finished());
    unfinished
        .flat_map(|(_, wave)| wave.pending.iter().chain(wave.in_maintenance.keys()))
        .filter_map(|name| input.fleet.instance(name))
        .map(|instance| instance.pool.clone())
        .collect()
}

/// Returns whether an operator ordered the latest remembered move of an instance; the planner then
/// doesn't move the instance.
fn placed_by_operator(input: &WaveInput<'_>, name: &InstanceName) -> bool {
    let moved = input.fleet.waves().finished_moves();
    let latest = moved.iter().rev().find(|moved| &moved.instance == name);
    latest.is_some_and(|moved| matches!(moved.reason, MoveReason::Operator { .. }))
}

/// Returns the instances that the planner may move, with the pools that the settings list them
/// under.
fn movable(input: &WaveInput<'_>, capacity: &Capacity<'_>) -> BTreeMap<InstanceName, PoolName> {
    let waves = input.fleet.waves();
    let pools = &capacity.settings().pools;
    let mut movable = BTreeMap::new();
    for (home, pool) in pools {
        for name in &pool.instances {
            let is_serving = input
                .fleet
                .instance(name)
                .is_some_and(|instance| instance.state == InstanceState::Serving);
            let is_healthy = input
                .observations
                .get(name)
                .is_some_and(super::InstanceObservation::is_healthy);
            if placed_by_operator(input, name) {
                continue;
            }
            if is_serving
                && is_healthy
                && !waves.moves().contains_key(name)
                && waves.maintenance_step(name).is_none()
            {
                movable.insert(name.clone(), home.clone());
            }
        }
    }
    movable
}
