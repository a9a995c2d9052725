//! Satisfies all needs at once by a matching with the least total cost.

use std::cell::Cell;

use pathfinding::kuhn_munkres::{Weights, kuhn_munkres};

use super::{Plan, PlanInput, PlannedMove, can_donate, placement_cost};
use crate::capacity::Capacity;
use crate::name::{InstanceName, PoolName};

/// Weight of a pair that isn't allowed; far below the weight of any allowed pair.
const FORBIDDEN_WEIGHT: i64 = -1_000_000;

pub(super) fn satisfy_needs(input: &PlanInput<'_, '_>, capacity: &mut Capacity<'_>) -> Plan {
    let mut plan = Plan::default();
    if input.needs.is_empty() {
        return plan;
    }
    let donors: Vec<(InstanceName, PoolName)> = capacity
        .available()
        .iter()
        .filter(|(name, from)| {
            let spare = capacity.pool(from).is_some_and(|pool| pool.spare);
            spare && input.movable.contains_key(*name)
        })
        .map(|(name, from)| (name.clone(), from.clone()))
        .collect();
    let table = CostTable::new(input, capacity, &donors);
    if donors.is_empty() {
        plan.unmet = input.needs.iter().map(|(pool, _)| pool.clone()).collect();
        return plan;
    }
    let (_, columns) = kuhn_munkres(&table);
    plan.evaluated_pairs = table.reads.get();
    for ((to, reason), column) in input.needs.iter().zip(columns) {
        let donor = donors.get(column);
        let donor = donor.filter(|(name, from)| can_donate(input, capacity, name, from, to));
        let Some((instance, from)) = donor else {
            plan.unmet.push(to.clone());
            continue;
        };
        capacity.remove_instance(instance);
        capacity.add_instance(instance, to);
        plan.moves.push(PlannedMove {
            instance: instance.clone(),
            from: from.clone(),
            to: to.clone(),
            reason: reason.clone(),
        });
    }
    plan
}

/// Weights of all pairs: one row for each need, one column for each instance that may be lent.
///
/// Columns of forbidden pairs are added if there are fewer instances than needs, since the
/// matching requires a column for every row.
struct CostTable {
    rows: usize,
    columns: usize,
    weights: Vec<i64>,
    /// Number of weights read or computed; the measure of the planner's work.
    reads: Cell<u64>,
}

impl CostTable {
    fn new(
        input: &PlanInput<'_, '_>,
        capacity: &Capacity<'_>,
        donors: &[(InstanceName, PoolName)],
    ) -> Self {
        let rows = input.needs.len();
        let columns = donors.len().max(rows);
        let mut weights = vec![FORBIDDEN_WEIGHT; rows * columns];
        for (row, (to, _)) in input.needs.iter().enumerate() {
            let Some(receiver) = capacity.pool(to) else {
                continue;
            };
            for (column, (name, from)) in donors.iter().enumerate() {
                let cost = placement_cost(capacity, name, receiver);
                if let Some(placement_cost) =
                    cost.filter(|_| can_donate(input, capacity, name, from, to))
                {
                    weights[row * columns + column] = -placement_cost;
                }
            }
        }
        let reads = Cell::new((rows * donors.len()) as u64);
        Self {
            rows,
            columns,
            weights,
            reads,
        }
    }
}

impl Weights<i64> for CostTable {
    fn rows(&self) -> usize {
        self.rows
    }

    fn columns(&self) -> usize {
        self.columns
    }

    fn at(&self, row: usize, col: usize) -> i64 {
        self.reads.set(self.reads.get() + 1);
        self.weights[row * self.columns + col]
    }

    fn neg(&self) -> Self {
        Self {
            rows: self.rows,
            columns: self.columns,
            weights: self.weights.iter().map(|weight| -weight).collect(),
            reads: self.reads.clone(),
        }
    }
}
