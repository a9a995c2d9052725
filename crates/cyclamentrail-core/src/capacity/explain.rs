//! Tells what each pool holds, why, and what its services have spent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Capacity, PoolCapacity};
use crate::contract::Cause;
use crate::fleet::Fleet;
use crate::name::{PoolName, ServiceName};
use crate::settings::FailureDomain;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// What a pool holds, and why this much.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolExplanation {
    /// Instances promised to the services on the pool.
    pub promised: u32,
    /// Instances that work for the pool.
    pub available: u32,
    /// Instances that the worst domain takes along.
    pub worst: u32,
    /// Domain that the promise survives.
    pub survives: FailureDomain,
    /// Instances that may be taken away now; negative when the pool is short.
    pub slack: i64,
    /// Instances that don't work, by cause.
    pub out: BTreeMap<Cause, u32>,
    /// Why the pool holds this much.
    pub buffer_reason: String,
    /// The accounts of the services on the pool.
    pub services: BTreeMap<ServiceName, ServiceExplanation>,
}

/// What a service has spent of its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceExplanation {
    /// Instance-seconds that may be missing in the window.
    pub budget_instance_s: u64,
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Instance-milliseconds spent in the window, by cause.
    pub spent_instance_ms: BTreeMap<Cause, u64>,
}

/// Returns what each pool holds; empty before the first settings.
#[must_use]
pub fn explain_pools(fleet: &Fleet) -> BTreeMap<PoolName, PoolExplanation> {
    let Some(capacity) = fleet.capacity() else {
        return BTreeMap::new();
    };
    let pools = capacity.pools().iter();
    pools
        .map(|(name, pool)| (name.clone(), explanation(fleet, &capacity, pool)))
        .collect()
}

fn explanation(fleet: &Fleet, capacity: &Capacity<'_>, pool: &PoolCapacity) -> PoolExplanation {
    let services = pool.services.iter();
    PoolExplanation {
        promised: pool.promised,
        available: pool.available,
        worst: pool.worst(),
        survives: pool.survives,
        slack: pool.slack(),
        out: pool.out.clone(),
        buffer_reason: buffer_reason(capacity, pool),
        services: services
            .filter_map(|name| Some((name.clone(), explain_service(fleet, capacity, name)?)))
            .collect(),
    }
}

fn explain_service(
    fleet: &Fleet,
    capacity: &Capacity<'_>,
    name: &ServiceName,
) -> Option<ServiceExplanation> {
    let contract = &capacity.settings().services.get(name)?.contract;
    let window_ms = contract.window_s.saturating_mul(MS_PER_S);
    let accounts = fleet.waves().accounts();
    Some(ServiceExplanation {
        budget_instance_s: contract.budget_instance_s,
        window_s: contract.window_s,
        spent_instance_ms: accounts.spent_by_cause_ms(name, fleet.clock_ms(), window_ms),
    })
}

fn buffer_reason(capacity: &Capacity<'_>, pool: &PoolCapacity) -> String {
    let worst = pool.worst();
    let room = pool.slack();
    let lends = capacity.settings().cost_weights.lends_wave_room();
    let rest = match (pool.spare, lends) {
        (true, _) => "are lent to pools that need them",
        (false, true) => {
            "are room that goes back to a spare pool, since two moves cost less than holding it"
        }
        (false, false) => "are room for waves, since holding it costs less than two moves",
    };
    format!(
        "{} promised, {worst} for the loss of the worst domain, and {room} that {rest}",
        pool.promised
    )
}
