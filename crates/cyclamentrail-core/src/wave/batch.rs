//! Chooses the instances that a wave takes now.

use std::collections::{BTreeMap, BTreeSet};

use super::{Wave, Waves};
use crate::capacity::{Blocked, Capacity, DomainName};
use crate::name::{InstanceName, PoolName};

/// Instances to take, and why others wait.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) taken: Vec<InstanceName>,
    pub(super) waits: BTreeMap<PoolName, Blocked>,
}

/// Takes as many pending instances as the contracts allow out of `capacity`.
///
/// An instance that doesn't work costs nothing and goes first; then those of the domain that the
/// wave is already in, so that one domain is finished before the next is begun.
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
        if let Some(blocked) = exhausted(&pool, waves, capacity, clock_ms) {
            batch.waits.insert(pool, blocked);
            continue;
        }
        take_from_pool(&pool, pending, wave, capacity, &mut batch);
    }
    batch
}

fn take_from_pool(
    pool: &PoolName,
    mut pending: BTreeSet<InstanceName>,
    wave: &Wave,
    capacity: &mut Capacity<'_>,
    batch: &mut Batch,
) {
    while let Some(next) = best(pool, &pending, wave, capacity) {
        if let Some(blocked) = capacity.blocking_contract(&next) {
            batch.waits.insert(pool.clone(), blocked);
            return;
        }
        capacity.take(&next);
        pending.remove(&next);
        batch.taken.push(next);
    }
}

fn best(
    pool: &PoolName,
    pending: &BTreeSet<InstanceName>,
    wave: &Wave,
    capacity: &Capacity<'_>,
) -> Option<InstanceName> {
    let held = capacity.pool(pool)?;
    let mut begun: BTreeMap<DomainName, u32> = BTreeMap::new();
    for open in wave.open.keys() {
        *begun.entry(capacity.domain(open, held)).or_default() += 1;
    }
    let key = |name: &&InstanceName| {
        let domain = capacity.domain(name, held);
        let in_hand = begun.get(&domain).copied().unwrap_or_default();
        (
            held.slack_without(&domain),
            in_hand,
            held.in_domain(&domain),
        )
    };
    pending.iter().rev().max_by_key(key).cloned()
}

fn exhausted(
    pool: &PoolName,
    waves: &Waves,
    capacity: &Capacity<'_>,
    clock_ms: u64,
) -> Option<Blocked> {
    let accounts = waves.accounts();
    let services = &capacity.settings().services;
    let held = capacity.pool(pool)?;
    held.services.iter().find_map(|name| {
        let contract = &services.get(name)?.contract;
        let exhausted = accounts.is_exhausted(name, contract, clock_ms);
        exhausted.then(|| Blocked::Budget {
            service: name.clone(),
            spent_instance_s: accounts.spent_ms(name, clock_ms, contract.window_s * 1000) / 1000,
            budget_instance_s: contract.budget_instance_s,
        })
    })
}
