//! Chooses the instances that a wave takes out of service next.

use std::collections::{BTreeMap, BTreeSet};

use super::{Wave, Waves};
use crate::capacity::{BlockingContract, Capacity, FailureDomainName};
use crate::name::{InstanceName, PoolName};

/// Instances that a wave takes now, and the contracts that make the others wait.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) taken: Vec<InstanceName>,
    pub(super) blocked_pools: BTreeMap<PoolName, BlockingContract>,
}

/// Removes as many pending instances from `capacity` as the contracts allow and returns them.
///
/// Instances that don't work are taken first, since they cost no capacity. Among the others, those
/// in a failure domain that already has instances in maintenance are preferred, so that the wave
/// finishes one domain before it begins the next.
pub(super) fn choose(
    wave: &Wave,
    waves: &Waves,
    capacity: &mut Capacity<'_>,
    clock_ms: u64,
    may_take: impl Fn(&InstanceName) -> bool,
) -> Batch {
    let mut batch = Batch::default();
    let mut by_pool: BTreeMap<PoolName, BTreeSet<InstanceName>> = BTreeMap::new();
    for name in wave.pending.iter().filter(|name| may_take(name)) {
        match capacity.available().get(name) {
            Some(pool) => {
                by_pool
                    .entry(pool.clone())
                    .or_default()
                    .insert(name.clone());
            }
            None => batch.taken.push(name.clone()),
        }
    }
    for (pool, pending) in by_pool {
        if let Some(blocked) = exhausted_budget(&pool, waves, capacity, clock_ms) {
            batch.blocked_pools.insert(pool, blocked);
            continue;
        }
        take_from_pool(&pool, pending, wave, capacity, &mut batch);
    }
    batch
}

/// Takes the pending instances of one pool until a contract forbids the next one.
fn take_from_pool(
    pool: &PoolName,
    mut pending: BTreeSet<InstanceName>,
    wave: &Wave,
    capacity: &mut Capacity<'_>,
    batch: &mut Batch,
) {
    while let Some(next) = best_candidate(pool, &pending, wave, capacity) {
        if let Some(blocked) = capacity.blocking_contract(&next) {
            batch.blocked_pools.insert(pool.clone(), blocked);
            return;
        }
        capacity.remove_instance(&next);
        pending.remove(&next);
        batch.taken.push(next);
    }
}

/// Returns the pending instance whose removal leaves the most slack; ties go to the domain with the
/// most instances in maintenance, then to the one with the most available instances.
fn best_candidate(
    pool: &PoolName,
    pending: &BTreeSet<InstanceName>,
    wave: &Wave,
    capacity: &Capacity<'_>,
) -> Option<InstanceName> {
    let pool_capacity = capacity.pool(pool)?;
    let mut maintained_by_domain: BTreeMap<FailureDomainName, u32> = BTreeMap::new();
    for maintained in wave.in_maintenance.keys() {
        *maintained_by_domain
            .entry(capacity.domain(maintained, pool_capacity))
            .or_default() += 1;
    }
    let key = |name: &&InstanceName| {
        let domain = capacity.domain(name, pool_capacity);
        let maintained_in_domain = maintained_by_domain
            .get(&domain)
            .copied()
            .unwrap_or_default();
        (
            pool_capacity.slack_without(&domain),
            maintained_in_domain,
            pool_capacity.available_in_domain(&domain),
        )
    };
    pending.iter().rev().max_by_key(key).cloned()
}

/// Returns the first service on a pool whose availability budget is used up, as a blocking contract.
fn exhausted_budget(
    pool: &PoolName,
    waves: &Waves,
    capacity: &Capacity<'_>,
    clock_ms: u64,
) -> Option<BlockingContract> {
    let accounts = waves.accounts();
    let services = &capacity.settings().services;
    let pool_capacity = capacity.pool(pool)?;
    pool_capacity.services.iter().find_map(|name| {
        let contract = &services.get(name)?.contract;
        let is_exhausted = accounts.is_exhausted(name, contract, clock_ms);
        is_exhausted.then(|| BlockingContract::Budget {
            service: name.clone(),
            spent_instance_s: accounts.spent_ms(name, clock_ms, contract.window_s * 1000) / 1000,
            budget_instance_s: contract.budget_instance_s,
        })
    })
}
