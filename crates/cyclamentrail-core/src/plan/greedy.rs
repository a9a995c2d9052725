//! Meets needs one after the other, then swaps pairs while that helps.

use super::{Plan, PlanInput, PlannedMove, may_give, misfit};
use crate::capacity::Capacity;
use crate::name::{InstanceName, PoolName};

pub(super) fn meet_needs(input: &PlanInput<'_, '_>, capacity: &mut Capacity<'_>) -> Plan {
    let mut plan = Plan::default();
    for (to, reason) in &input.needs {
        let Some((instance, from)) = best_donor(input, to, capacity, &mut plan) else {
            plan.unmet.push(to.clone());
            continue;
        };
        capacity.take(&instance);
        capacity.put(&instance, to);
        plan.moves.push(PlannedMove {
            instance,
            from,
            to: to.clone(),
            reason: reason.clone(),
        });
    }
    repair(input.capacity, &mut plan);
    plan
}

fn best_donor(
    input: &PlanInput<'_, '_>,
    to: &PoolName,
    capacity: &Capacity<'_>,
    plan: &mut Plan,
) -> Option<(InstanceName, PoolName)> {
    let needy = capacity.pool(to)?;
    let mut best = None;
    for (name, from) in capacity.available() {
        if !input.movable.contains_key(name) || from == to {
            continue;
        }
        let lends = capacity.pool(from).is_some_and(|held| held.spare);
        if !lends && input.movable.get(name) != Some(to) {
            continue;
        }
        plan.work += 1;
        if !may_give(input, capacity, name, from, to) {
            continue;
        }
        let Some(misfit) = misfit(capacity, name, needy) else {
            continue;
        };
        let guest = input.movable.get(name) != Some(to);
        let slack = capacity.pool(from).map_or(0, |held| -held.slack());
        let key = (guest, misfit, slack);
        if best.as_ref().is_none_or(|(best_key, _, _)| key < *best_key) {
            best = Some((key, name.clone(), from.clone()));
        }
    }
    best.map(|(_, name, from)| (name, from))
}

/// Swaps the instances of two moves out of the same pool while both pools together fit better.
fn repair(capacity: &Capacity<'_>, plan: &mut Plan) {
    let cost = |instance: &InstanceName, to: &PoolName| {
        let needy = capacity.pool(to);
        needy.map_or(0, |needy| {
            needy.in_domain(&capacity.domain(instance, needy))
        })
    };
    for left in 0..plan.moves.len() {
        for right in left + 1..plan.moves.len() {
            let (first, second) = (&plan.moves[left], &plan.moves[right]);
            if first.from != second.from {
                continue;
            }
            plan.work += 1;
            let now = cost(&first.instance, &first.to) + cost(&second.instance, &second.to);
            let swapped = cost(&second.instance, &first.to) + cost(&first.instance, &second.to);
            if swapped < now {
                let instance = plan.moves[left].instance.clone();
                plan.moves[left].instance =
                    std::mem::replace(&mut plan.moves[right].instance, instance);
            }
        }
    }
}
