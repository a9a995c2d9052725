//! Explains the size of each pool and the use of its services' availability budgets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Capacity, PoolCapacity};
use crate::contract::LossCause;
use crate::fleet::Fleet;
use crate::name::{PoolName, ServiceName};
use crate::settings::FailureDomain;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Capacity of a pool and the reason for its size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolExplanation {
    /// Number of instances promised to the services on the pool.
    pub promised: u32,
    /// Number of instances that work for the pool.
    pub available: u32,
    /// Number of available instances in the worst domain.
    pub worst: u32,
    /// Kind of failure domain whose loss the promise survives.
    pub survives: FailureDomain,
    /// Instances beyond the promise when the worst domain is lost; negative if there are too few.
    pub slack: i64,
    /// Number of instances that don't work for the pool, by cause.
    #[serde(rename = "out")]
    pub unavailable: BTreeMap<LossCause, u32>,
    /// Sentence that says what the instances of the pool are needed for.
    pub buffer_reason: String,
    /// Budgets of the services on the pool.
    pub services: BTreeMap<ServiceName, ServiceExplanation>,
}

/// Availability budget of a service and its use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceExplanation {
    /// Instance-seconds that may be missing in the window.
    pub budget_instance_s: u64,
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Instance-milliseconds that were missing in the window, by cause.
    pub spent_instance_ms: BTreeMap<LossCause, u64>,
}

/// Returns the explanation of each pool; empty before the first settings are in force.
#[must_use]
pub fn explain_pools(fleet: &Fleet) -> BTreeMap<PoolName, PoolExplanation> {
    let Some(capacity) = fleet.capacity() else {
        return BTreeMap::new();
    };
    let pools = capacity.pools().iter();
    pools
        .map(|(name, pool)| (name.clone(), explain_pool(fleet, &capacity, pool)))
        .collect()
}

fn explain_pool(fleet: &Fleet, capacity: &Capacity<'_>, pool: &PoolCapacity) -> PoolExplanation {
    let services = pool.services.iter();
    PoolExplanation {
        promised: pool.promised,
        available: pool.available,
        worst: pool.worst_domain_loss(),
        survives: pool.survives,
        slack: pool.slack(),
        unavailable: pool.unavailable.clone(),
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
    let worst = pool.worst_domain_loss();
    let slack = pool.slack();
    let borrows = capacity.settings().cost_weights.borrows_wave_capacity();
    let use_of_slack = match (pool.spare, borrows) {
        (true, _) => "may be lent to pools that need more",
        (false, true) => {
            "go back to a spare pool and are borrowed for each wave, since two moves cost less than keeping them"
        }
        (false, false) => "are kept for waves, since keeping them costs less than two moves",
    };
    format!(
        "{} promised, {worst} for the loss of the worst domain, and {slack} that {use_of_slack}",
        pool.promised
    )
}
