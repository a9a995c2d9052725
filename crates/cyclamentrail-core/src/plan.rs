//! Chooses the instances that move between pools.
//!
//! The planner gets the pools that need an instance and the pools that have a surplus, and returns
//! moves that keep every contract while they are carried out. The same input gives the same plan.
//!
//! ```
//! use cyclamentrail_core::PlanMethod;
//!
//! assert_eq!(PlanMethod::default(), PlanMethod::Greedy);
//! ```

use std::collections::BTreeMap;

use crate::capacity::{Capacity, PoolCapacity};
use crate::name::{InstanceName, PoolName};
use crate::settings::CostWeights;
use crate::wave::MoveReason;

mod assignment;
mod greedy;

/// Method of matching instances with the pools that need them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlanMethod {
    /// Each need in turn gets the best remaining instance; then pairs of moves swap their instances
    /// if that lowers the cost.
    #[default]
    Greedy,
    /// All needs and instances are matched at once with the least total cost (Hungarian algorithm).
    Assignment,
}

/// Input of the planner.
#[derive(Debug, Clone)]
pub struct PlanInput<'a, 'b> {
    /// Capacity of the pools as if the moves under way had finished.
    pub capacity: &'b Capacity<'a>,
    /// Pools that need one instance each, with the reason; the most urgent first.
    pub needs: Vec<(PoolName, MoveReason)>,
    /// Pools that return their surplus to a spare pool.
    pub surplus: Vec<PoolName>,
    /// Instances that may move, with their home pools: the pools that the settings list them under.
    pub movable: BTreeMap<InstanceName, PoolName>,
    /// Method of matching needs and instances.
    pub method: PlanMethod,
}

/// Output of the planner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Moves in the order in which they were chosen.
    pub moves: Vec<PlannedMove>,
    /// Pools whose need no instance can satisfy.
    pub unmet: Vec<PoolName>,
    /// Number of pairs of need and instance that the planner evaluated; with
    /// [`PlanMethod::Assignment`] each read of a pair's weight counts.
    pub evaluated_pairs: u64,
}

/// Move of one instance between pools.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Instance that moves.
    pub instance: InstanceName,
    /// Pool that the instance leaves.
    pub from: PoolName,
    /// Pool that the instance moves to.
    pub to: PoolName,
    /// Reason for the move.
    pub reason: MoveReason,
}

/// Returns the moves to order now.
#[must_use]
pub fn plan(input: &PlanInput<'_, '_>) -> Plan {
    let mut capacity = input.capacity.clone();
    let mut plan = match input.method {
        PlanMethod::Greedy => greedy::satisfy_needs(input, &mut capacity),
        PlanMethod::Assignment => assignment::satisfy_needs(input, &mut capacity),
    };
    for pool in &input.surplus {
        return_surplus(input, pool, &mut capacity, &mut plan);
    }
    plan
}

impl CostWeights {
    /// Returns whether a pool borrows the extra instance that maintenance needs for each wave,
    /// rather than keeping one permanently: two moves cost less than one more instance in the pool.
    #[must_use]
    pub fn borrows_wave_capacity(&self) -> bool {
        self.buffer > 2.0 * self.moves
    }
}

/// Returns whether a pool may give an instance to another pool and keeps its promise without the
/// instance.
///
/// Only spare pools lend instances; any pool returns an instance to its home pool.
fn can_donate(
    input: &PlanInput<'_, '_>,
    capacity: &Capacity<'_>,
    instance: &InstanceName,
    from: &PoolName,
    to: &PoolName,
) -> bool {
    let Some(donor) = capacity.pool(from) else {
        return false;
    };
    let Some(home_pool) = input.movable.get(instance) else {
        return false;
    };
    let can_lend = donor.spare || home_pool == to;
    can_lend && from != to && capacity.blocking_contract(instance).is_none()
}

/// Returns the cost of placing an instance in a pool: the number of instances that the pool already
/// has in the same failure domain. `None` if the instance wouldn't raise the slack of the pool.
fn placement_cost(
    capacity: &Capacity<'_>,
    instance: &InstanceName,
    to: &PoolCapacity,
) -> Option<i64> {
    let domain = capacity.domain(instance, to);
    let helps = to.slack_with(&domain) > to.slack();
    helps.then(|| i64::from(to.available_in_domain(&domain)))
}

/// Plans moves to the first spare pool as long as the pool keeps its promise without them.
fn return_surplus(
    input: &PlanInput<'_, '_>,
    from: &PoolName,
    capacity: &mut Capacity<'_>,
    plan: &mut Plan,
) {
    let spare = capacity.pools().iter().find(|(_, pool)| pool.spare);
    let Some(spare) = spare.map(|(name, _)| name.clone()) else {
        return;
    };
    while let Some(instance) = best_surplus_instance(input, from, &spare, capacity, plan) {
        capacity.remove_instance(&instance);
        capacity.add_instance(&instance, &spare);
        plan.moves.push(PlannedMove {
            instance,
            from: from.clone(),
            to: spare.clone(),
            reason: MoveReason::Surplus,
        });
    }
}

/// Returns the instance that a pool gives up first: one borrowed from the spare pool, then the one
/// that leaves the most slack, then one in the domain with the most instances.
fn best_surplus_instance(
    input: &PlanInput<'_, '_>,
    from: &PoolName,
    spare: &PoolName,
    capacity: &Capacity<'_>,
    plan: &mut Plan,
) -> Option<InstanceName> {
    let donor = capacity.pool(from)?;
    let candidates = capacity
        .available()
        .iter()
        .filter(|(name, pool)| *pool == from && input.movable.contains_key(*name));
    let mut best = None;
    for (name, _) in candidates {
        plan.evaluated_pairs += 1;
        if capacity.blocking_contract(name).is_some() {
            continue;
        }
        let domain = capacity.domain(name, donor);
        let is_borrowed = input.movable.get(name) == Some(spare);
        let key = (
            is_borrowed,
            donor.slack_without(&domain),
            donor.available_in_domain(&domain),
        );
        if best.as_ref().is_none_or(|(best_key, _)| key > *best_key) {
            best = Some((key, name.clone()));
        }
    }
    best.map(|(_, name)| name)
}
