//! Measures the two methods of the planner on the same needs.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use cyclamentrail_core::{
    Capacity, InstanceName, MoveReason, Plan, PlanInput, PlanMethod, PoolName, plan,
};
use cyclamentrail_standin::VirtualSite;
use serde::Serialize;
use serde_json::Value;

/// Counted results of one planning call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlannerFigures {
    /// Pools that needed one more instance.
    pub needs: usize,
    /// Moves planned.
    pub moves: usize,
    /// Needs for which no instance was found.
    pub unmet: usize,
    /// Pairs of need and instance that the planner evaluated.
    pub work: u64,
    /// Sum over all moves of the target pool's available instances that share a failure domain with
    /// the moved instance; lower is a better spread.
    pub misfit: u64,
}

/// Plans one more instance for each of the first `needs` serving pools.
///
/// Up to two available instances are removed from each of these pools before planning.
///
/// # Errors
///
/// Returns an error when no settings are in force after `document` was applied.
pub fn measure_planner(
    document: &Value,
    needs: usize,
    method: PlanMethod,
) -> Result<PlannerFigures> {
    let site = VirtualSite::new(document);
    let mut capacity = site.fleet.capacity().context("no settings are in force")?;
    let short_pools = serving_pools(&capacity, needs);
    for pool in &short_pools {
        let held = capacity
            .available()
            .iter()
            .filter(|(_, held)| *held == pool);
        let lost: Vec<InstanceName> = held.map(|(name, _)| name.clone()).take(2).collect();
        for name in &lost {
            capacity.remove_instance(name);
        }
    }
    let input = PlanInput {
        needs: short_pools
            .into_iter()
            .map(|pool| (pool, MoveReason::Shortage))
            .collect(),
        surplus: Vec::new(),
        movable: home_pools(&capacity),
        capacity: &capacity,
        method,
    };
    Ok(figures(&input, &plan(&input)))
}

fn figures(input: &PlanInput<'_, '_>, plan: &Plan) -> PlannerFigures {
    let misfit = plan.moves.iter().filter_map(|planned| {
        let pool = input.capacity.pool(&planned.to)?;
        let domain = input.capacity.domain(&planned.instance, pool);
        Some(u64::from(pool.available_in_domain(&domain)))
    });
    PlannerFigures {
        needs: input.needs.len(),
        moves: plan.moves.len(),
        unmet: plan.unmet.len(),
        work: plan.evaluated_pairs,
        misfit: misfit.sum(),
    }
}

fn serving_pools(capacity: &Capacity<'_>, needs: usize) -> Vec<PoolName> {
    let serving = capacity.pools().iter().filter(|(_, pool)| !pool.spare);
    serving.map(|(name, _)| name.clone()).take(needs).collect()
}

/// Returns the pool that lists each instance in the settings.
fn home_pools(capacity: &Capacity<'_>) -> BTreeMap<InstanceName, PoolName> {
    let pools = capacity.settings().pools.iter();
    pools
        .flat_map(|(pool, listed)| {
            listed
                .instances
                .iter()
                .map(|name| (name.clone(), pool.clone()))
        })
        .collect()
}
