//! Satisfies needs one after the other, then swaps the instances of two moves where that lowers
//! the cost.

use super::{Plan, PlanInput, PlannedMove, can_donate, placement_cost};
use crate::capacity::Capacity;
use crate::name::{InstanceName, PoolName};

pub(super) fn satisfy_needs(input: &PlanInput<'_, '_>, capacity: &mut Capacity<'_>) -> Plan {
    let mut plan = Plan::default();
    for (to, reason) in &input.needs {
        let Some((instance, from)) = best_donor(input, to, capacity, &mut plan) else {
            plan.unmet.push(to.clone());
            continue;
        };
        capacity.remove_instance(&instance);
        capacity.add_instance(&instance, to);
        plan.moves.push(PlannedMove {
            instance,
            from,
            to: to.clone(),
            reason: reason.clone(),
        });
    }
    swap_improving_pairs(input.capacity, &mut plan);
    plan
}

/// Returns the best instance for a pool, with the pool that gives the instance up: the pool's own
/// instance first, then the lowest placement cost, then the giving pool with the most slack.
fn best_donor(
    input: &PlanInput<'_, '_>,
    to: &PoolName,
    capacity: &Capacity<'_>,
    plan: &mut Plan,
) -> Option<(InstanceName, PoolName)> {
    let receiver = capacity.pool(to)?;
    let mut best = None;
    for (name, from) in capacity.available() {
        if !input.movable.contains_key(name) || from == to {
            continue;
        }
        let can_lend = capacity.pool(from).is_some_and(|donor| donor.spare);
        if !can_lend && input.movable.get(name) != Some(to) {
            continue;
        }
        plan.evaluated_pairs += 1;
        if !can_donate(input, capacity, name, from, to) {
            continue;
        }
        let Some(placement_cost) = placement_cost(capacity, name, receiver) else {
            continue;
        };
        let is_borrowed = input.movable.get(name) != Some(to);
        let negative_slack = capacity.pool(from).map_or(0, |donor| -donor.slack());
        let key = (is_borrowed, placement_cost, negative_slack);
        if best.as_ref().is_none_or(|(best_key, _, _)| key < *best_key) {
            best = Some((key, name.clone(), from.clone()));
        }
    }
    best.map(|(_, name, from)| (name, from))
}

/// Swaps the instances of two moves out of the same pool where that lowers the sum of their
/// placement costs.
fn swap_improving_pairs(capacity: &Capacity<'_>, plan: &mut Plan) {
    let cost = |instance: &InstanceName, to: &PoolName| {
        let receiver = capacity.pool(to);
        receiver.map_or(0, |receiver| {
            receiver.available_in_domain(&capacity.domain(instance, receiver))
        })
    };
    for first_index in 0..plan.moves.len() {
        for second_index in first_index + 1..plan.moves.len() {
            let (first, second) = (&plan.moves[first_index], &plan.moves[second_index]);
            if first.from != second.from {
                continue;
            }
            plan.evaluated_pairs += 1;
            let now = cost(&first.instance, &first.to) + cost(&second.instance, &second.to);
            let swapped = cost(&second.instance, &first.to) + cost(&first.instance, &second.to);
            if swapped < now {
                let instance = plan.moves[first_index].instance.clone();
                plan.moves[first_index].instance =
                    std::mem::replace(&mut plan.moves[second_index].instance, instance);
            }
        }
    }
}
