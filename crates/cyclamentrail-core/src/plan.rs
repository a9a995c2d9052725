//! Chooses the instances that move between pools.
//!
//! The planner is given what is asked for (pools that need an instance, pools that hold too much)
//! and answers with moves that break no contract on the way. The same input gives the same plan.
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

/// Ways to match instances with the pools that need them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlanMethod {
    /// Each need in turn takes the best instance left; pairs are swapped while that helps.
    #[default]
    Greedy,
    /// All needs and instances are matched at once at the least cost.
    Assignment,
}

/// What the planner decides on.
#[derive(Debug, Clone)]
pub struct PlanInput<'a, 'b> {
    /// What the pools hold, with moves under way already made.
    pub capacity: &'b Capacity<'a>,
    /// Pools that need one instance each, the most urgent first.
    pub needs: Vec<(PoolName, MoveReason)>,
    /// Pools that may give their surplus to a spare pool.
    pub surplus: Vec<PoolName>,
    /// Instances that may move, with the pool that the settings list them under.
    pub movable: BTreeMap<InstanceName, PoolName>,
    /// How needs and instances are matched.
    pub method: PlanMethod,
}

/// The moves that were chosen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Moves in the order in which they were chosen.
    pub moves: Vec<PlannedMove>,
    /// Pools whose need can't be met.
    pub unmet: Vec<PoolName>,
    /// Pairs of need and instance that were weighed.
    pub work: u64,
}

/// One move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// The instance.
    pub instance: InstanceName,
    /// Pool that it leaves.
    pub from: PoolName,
    /// Pool that it is to belong to.
    pub to: PoolName,
    /// Why it moves.
    pub reason: MoveReason,
}

/// Returns the moves to order now.
#[must_use]
pub fn plan(input: &PlanInput<'_, '_>) -> Plan {
    let mut capacity = input.capacity.clone();
    let mut plan = match input.method {
        PlanMethod::Greedy => greedy::meet_needs(input, &mut capacity),
        PlanMethod::Assignment => assignment::meet_needs(input, &mut capacity),
    };
    for pool in &input.surplus {
        give_surplus(input, pool, &mut capacity, &mut plan);
    }
    plan
}

impl CostWeights {
    /// Returns whether a pool's room for maintenance is lent to it for each wave rather than held
    /// all the time: two moves cost less than one more instance held.
    #[must_use]
    pub fn lends_wave_room(&self) -> bool {
        self.buffer > 2.0 * self.moves
    }
}

/// Returns whether a pool may give an instance to another one, and keeps its promise without it.
fn may_give(
    input: &PlanInput<'_, '_>,
    capacity: &Capacity<'_>,
    instance: &InstanceName,
    from: &PoolName,
    to: &PoolName,
) -> bool {
    let Some(held) = capacity.pool(from) else {
        return false;
    };
    let Some(home) = input.movable.get(instance) else {
        return false;
    };
    let lends = held.spare || home == to;
    lends && from != to && capacity.blocked(instance).is_none()
}

/// Returns how badly an instance fits a pool; `None` when it doesn't help the pool's promise.
fn misfit(capacity: &Capacity<'_>, instance: &InstanceName, to: &PoolCapacity) -> Option<i64> {
    let domain = capacity.domain(instance, to);
    let helps = to.slack_with(&domain) > to.slack();
    helps.then(|| i64::from(to.in_domain(&domain)))
}

fn give_surplus(
    input: &PlanInput<'_, '_>,
    from: &PoolName,
    capacity: &mut Capacity<'_>,
    plan: &mut Plan,
) {
    let spare = capacity.pools().iter().find(|(_, pool)| pool.spare);
    let Some(spare) = spare.map(|(name, _)| name.clone()) else {
        return;
    };
    while let Some(instance) = surplus_instance(input, from, &spare, capacity, plan) {
        capacity.take(&instance);
        capacity.put(&instance, &spare);
        plan.moves.push(PlannedMove {
            instance,
            from: from.clone(),
            to: spare.clone(),
            reason: MoveReason::Surplus,
        });
    }
}

fn surplus_instance(
    input: &PlanInput<'_, '_>,
    from: &PoolName,
    spare: &PoolName,
    capacity: &Capacity<'_>,
    plan: &mut Plan,
) -> Option<InstanceName> {
    let held = capacity.pool(from)?;
    let candidates = capacity
        .available()
        .iter()
        .filter(|(name, pool)| *pool == from && input.movable.contains_key(*name));
    let mut best = None;
    for (name, _) in candidates {
        plan.work += 1;
        if capacity.blocked(name).is_some() {
            continue;
        }
        let domain = capacity.domain(name, held);
        let is_guest = input.movable.get(name) == Some(spare);
        let key = (
            is_guest,
            held.slack_without(&domain),
            held.in_domain(&domain),
        );
        if best.as_ref().is_none_or(|(best_key, _)| key > *best_key) {
            best = Some((key, name.clone()));
        }
    }
    best.map(|(_, name)| name)
}
