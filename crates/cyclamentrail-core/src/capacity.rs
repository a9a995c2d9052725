//! Instances that work for each pool, and how many of them its contracts allow to be removed.
//!
//! The contracts of a pool's services promise a number of instances, also after the loss of a
//! failure domain: an instance, a rack or an availability zone, as the contracts demand. The worst
//! domain of a pool is the failure domain with the most available instances of the pool.
//!
//! ```
//! use cyclamentrail_core::Fleet;
//!
//! assert!(Fleet::new().capacity().is_none(), "there are no settings yet");
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::contract::LossCause;
use crate::fleet::{Fleet, Instance, InstanceState};
use crate::name::{InstanceName, PoolName, RackName, ServiceName, ZoneName};
use crate::settings::{FailureDomain, Settings};

mod explain;

pub use explain::{PoolExplanation, ServiceExplanation, explain_pools};

/// A failure domain: a set of instances that fail together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureDomainName {
    /// A single instance.
    Instance(InstanceName),
    /// A rack.
    Rack(RackName),
    /// An availability zone.
    Zone(ZoneName),
}

/// Promised and available instances of one pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolCapacity {
    /// Number of instances that the contracts of the pool's services promise in total.
    pub promised: u32,
    /// Widest failure domain whose loss a contract on the pool has to survive.
    pub survives: FailureDomain,
    /// Whether the pool lends instances to other pools.
    pub spare: bool,
    /// Services that run on the pool.
    pub services: BTreeSet<ServiceName>,
    /// Number of instances that work for the pool.
    pub available: u32,
    /// Number of instances of the pool that don't work for it, by cause.
    pub unavailable: BTreeMap<LossCause, u32>,
    /// Number of instances that work for the pool, by failure domain.
    domains: BTreeMap<FailureDomainName, u32>,
}

/// Promised and available instances of all pools.
#[derive(Debug, Clone)]
pub struct Capacity<'a> {
    settings: &'a Settings,
    /// Availability zone and rack of each instance that the settings list.
    locations: BTreeMap<&'a InstanceName, (&'a ZoneName, &'a RackName)>,
    pools: BTreeMap<PoolName, PoolCapacity>,
    /// Instances that work, with the pools that they work for.
    available: BTreeMap<InstanceName, PoolName>,
}

/// Contract that forbids removing an instance from its pool; the display text says what would
/// allow it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockingContract {
    /// Without the instance, the loss of the worst domain would leave fewer instances than
    /// promised.
    Promise {
        /// Pool that the instance belongs to.
        pool: PoolName,
        /// Services that run on the pool.
        services: BTreeSet<ServiceName>,
        /// Number of instances promised to these services.
        promised: u32,
        /// Number of instances that work for the pool.
        available: u32,
        /// Number of instances in the worst domain, without the instance to be removed.
        worst: u32,
        /// Kind of failure domain whose loss the promise has to survive.
        survives: FailureDomain,
    },
    /// A service has used up its availability budget.
    Budget {
        /// Service whose budget is used up.
        service: ServiceName,
        /// Instance-seconds that were missing in the window.
        spent_instance_s: u64,
        /// Instance-seconds that may be missing in the window.
        budget_instance_s: u64,
    },
}

impl fmt::Display for BlockingContract {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Promise {
                pool,
                services,
                promised,
                available,
                worst,
                ..
            } => {
                let names: Vec<&str> = services.iter().map(ServiceName::as_str).collect();
                let needed = (promised + worst + 1).saturating_sub(*available);
                write!(
                    f,
                    "the contract of {} promises {promised} instances; pool \"{pool}\" has {available} and its worst domain takes {worst}; {needed} more in the pool would free it",
                    names.join(", ")
                )
            }
            Self::Budget {
                service,
                spent_instance_s,
                budget_instance_s,
            } => write!(
                f,
                "service \"{service}\" spent {spent_instance_s} of {budget_instance_s} instance-seconds; the window's passing or a larger budget would free it"
            ),
        }
    }
}

impl Default for PoolCapacity {
    fn default() -> Self {
        Self {
            promised: 0,
            survives: FailureDomain::Instance,
            spare: false,
            services: BTreeSet::new(),
            available: 0,
            unavailable: BTreeMap::new(),
            domains: BTreeMap::new(),
        }
    }
}

impl PoolCapacity {
    /// Returns the largest number of available instances that one failure domain holds.
    #[must_use]
    pub fn worst_domain_loss(&self) -> u32 {
        self.domains.values().copied().max().unwrap_or_default()
    }

    /// Returns how many instances remain beyond the promise when the worst domain is lost; negative
    /// if there are too few.
    #[must_use]
    pub fn slack(&self) -> i64 {
        i64::from(self.available) - i64::from(self.worst_domain_loss()) - i64::from(self.promised)
    }

    /// Returns the smallest number of instances that the contracts need beyond the promise.
    ///
    /// With a reserve of `n`, at most `n` instances of each domain are kept, so the loss of a
    /// domain costs no more than the reserve. The other instances may be lent or returned.
    #[must_use]
    pub fn reserve(&self) -> u32 {
        let beyond_promise = self.available.saturating_sub(self.promised);
        let kept_with = |reserve: u32| -> u32 {
            let counts = self.domains.values();
            counts.map(|&count| count.min(reserve)).sum()
        };
        (0..beyond_promise)
            .find(|&reserve| kept_with(reserve) >= self.promised + reserve)
            .unwrap_or(beyond_promise)
    }

    /// Returns how many instances are missing to fulfil the promise, with no domain lost.
    #[must_use]
    pub const fn shortfall(&self) -> u32 {
        self.promised.saturating_sub(self.available)
    }

    /// Returns the number of instances of a failure domain that work for the pool.
    #[must_use]
    pub fn available_in_domain(&self, domain: &FailureDomainName) -> u32 {
        self.domains.get(domain).copied().unwrap_or_default()
    }

    /// Returns the slack of the pool without one of its instances in a domain.
    #[must_use]
    pub fn slack_without(&self, domain: &FailureDomainName) -> i64 {
        i64::from(self.available)
            - 1
            - i64::from(self.worst_domain_loss_without(domain))
            - i64::from(self.promised)
    }

    /// Returns the slack of the pool with one more instance in a domain.
    #[must_use]
    pub fn slack_with(&self, domain: &FailureDomainName) -> i64 {
        let worst = self
            .worst_domain_loss()
            .max(self.available_in_domain(domain) + 1);
        i64::from(self.available) + 1 - i64::from(worst) - i64::from(self.promised)
    }

    fn worst_domain_loss_without(&self, taken: &FailureDomainName) -> u32 {
        let others = self.domains.iter().filter(|(domain, _)| *domain != taken);
        let worst = others.map(|(_, &count)| count).max().unwrap_or_default();
        worst.max(self.available_in_domain(taken).saturating_sub(1))
    }

    fn add(&mut self, domain: FailureDomainName) {
        self.available += 1;
        *self.domains.entry(domain).or_default() += 1;
    }

    fn remove(&mut self, domain: &FailureDomainName) {
        self.available = self.available.saturating_sub(1);
        if let Some(count) = self.domains.get_mut(domain) {
            *count = count.saturating_sub(1);
        }
    }
}

impl<'a> Capacity<'a> {
    /// Counts the instances of a site; those for which `is_lost` holds count as unavailable.
    pub fn new<'b>(
        settings: &'a Settings,
        instances: impl Iterator<Item = (&'b InstanceName, &'b Instance)>,
        is_lost: impl Fn(&InstanceName) -> bool,
    ) -> Self {
        let mut capacity = Self {
            settings,
            locations: settings.instance_racks(),
            pools: promised_pools(settings),
            available: BTreeMap::new(),
        };
        for (name, instance) in instances {
            capacity.count(name, instance, is_lost(name));
        }
        capacity
    }

    fn count(&mut self, name: &InstanceName, instance: &Instance, lost: bool) {
        let pool = self.pools.entry(instance.pool.clone()).or_default();
        match unavailability_cause(instance, lost) {
            Some(cause) => *pool.unavailable.entry(cause).or_default() += 1,
            None => self.add_instance(name, &instance.pool),
        }
    }

    /// Returns the capacity of each pool.
    #[must_use]
    pub const fn pools(&self) -> &BTreeMap<PoolName, PoolCapacity> {
        &self.pools
    }

    /// Returns the settings that the capacity was computed with.
    #[must_use]
    pub const fn settings(&self) -> &'a Settings {
        self.settings
    }

    /// Returns the capacity of a pool.
    #[must_use]
    pub fn pool(&self, pool: &PoolName) -> Option<&PoolCapacity> {
        self.pools.get(pool)
    }

    /// Returns the available instances with the pools that they work for.
    #[must_use]
    pub const fn available(&self) -> &BTreeMap<InstanceName, PoolName> {
        &self.available
    }

    /// Returns the failure domain of an instance, of the kind that the pool's promise survives.
    #[must_use]
    pub fn domain(&self, instance: &InstanceName, pool: &PoolCapacity) -> FailureDomainName {
        let location = self.locations.get(instance);
        match (pool.survives, location) {
            (FailureDomain::Rack, Some((_, rack))) => FailureDomainName::Rack((*rack).clone()),
            (FailureDomain::Zone, Some((zone, _))) => FailureDomainName::Zone((*zone).clone()),
            _ => FailureDomainName::Instance(instance.clone()),
        }
    }

    /// Returns the availability zone and the rack of an instance; `None` if the settings don't list
    /// the instance.
    #[must_use]
    pub fn location(&self, instance: &InstanceName) -> Option<(&'a ZoneName, &'a RackName)> {
        self.locations.get(instance).copied()
    }

    /// Removes an instance from its pool; returns whether the instance was available.
    pub fn remove_instance(&mut self, instance: &InstanceName) -> bool {
        let Some(name) = self.available.remove(instance) else {
            return false;
        };
        let Some(domain) = self
            .pools
            .get(&name)
            .map(|pool| self.domain(instance, pool))
        else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.remove(&domain);
        }
        true
    }

    /// Counts an instance as available in a pool; an unknown pool is ignored.
    pub fn add_instance(&mut self, instance: &InstanceName, pool: &PoolName) {
        let Some(domain) = self
            .pools
            .get(pool)
            .map(|target| self.domain(instance, target))
        else {
            return;
        };
        if let Some(target) = self.pools.get_mut(pool) {
            target.add(domain);
            self.available.insert(instance.clone(), pool.clone());
        }
    }

    /// Returns the contract that forbids removing an instance from its pool, if any; removing an
    /// unavailable instance is always allowed.
    #[must_use]
    pub fn blocking_contract(&self, instance: &InstanceName) -> Option<BlockingContract> {
        let name = self.available.get(instance)?;
        let pool = self.pools.get(name)?;
        let domain = self.domain(instance, pool);
        let breaks_promise = pool.promised > 0 && pool.slack_without(&domain) < 0;
        breaks_promise.then(|| BlockingContract::Promise {
            pool: name.clone(),
            services: pool.services.clone(),
            promised: pool.promised,
            available: pool.available,
            worst: pool.worst_domain_loss_without(&domain),
            survives: pool.survives,
        })
    }
}

/// Returns the number of available and unavailable instances of each pool, without counting them
/// by failure domain.
pub(crate) fn count_pools<'a>(
    settings: &Settings,
    instances: impl Iterator<Item = (&'a InstanceName, &'a Instance)>,
    is_lost: impl Fn(&InstanceName) -> bool,
) -> BTreeMap<PoolName, PoolCapacity> {
    let mut pools = promised_pools(settings);
    for (name, instance) in instances {
        if let Some(pool) = pools.get_mut(&instance.pool) {
            match unavailability_cause(instance, is_lost(name)) {
                Some(cause) => *pool.unavailable.entry(cause).or_default() += 1,
                None => pool.available += 1,
            }
        }
    }
    pools
}

/// Returns why an instance doesn't work for its pool; `None` if it does.
fn unavailability_cause(instance: &Instance, lost: bool) -> Option<LossCause> {
    match &instance.state {
        _ if lost => Some(LossCause::Lost),
        InstanceState::Serving => None,
        InstanceState::Draining { reason, .. } | InstanceState::Drained { reason } => {
            Some(LossCause::from(reason))
        }
    }
}

/// Returns the pools of the settings with their promises and without instances.
fn promised_pools(settings: &Settings) -> BTreeMap<PoolName, PoolCapacity> {
    let mut pools: BTreeMap<PoolName, PoolCapacity> = BTreeMap::new();
    for (name, pool) in &settings.pools {
        pools.entry(name.clone()).or_default().spare = pool.spare;
    }
    for (service, service_settings) in &settings.services {
        let pool = pools.entry(service_settings.pool.clone()).or_default();
        pool.promised += service_settings.contract.promised_instances;
        pool.survives = pool.survives.max(service_settings.contract.survives);
        pool.services.insert(service.clone());
    }
    pools
}

impl Fleet {
    /// Returns the capacity of the pools; `None` before the first settings are in force.
    #[must_use]
    pub fn capacity(&self) -> Option<Capacity<'_>> {
        let settings = &self.settings()?.settings;
        let lost = |name: &InstanceName| self.waves().lost_instances().contains_key(name);
        Some(Capacity::new(settings, self.instances(), lost))
    }
}
