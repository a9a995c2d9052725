//! What each pool holds now, and what may be taken from it with the worst domain lost.
//!
//! ```
//! use cyclamentrail_core::Fleet;
//!
//! assert!(Fleet::new().capacity().is_none(), "there are no settings yet");
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::contract::Cause;
use crate::fleet::{Fleet, Instance, InstanceState};
use crate::name::{InstanceName, PoolName, RackName, ServiceName, ZoneName};
use crate::settings::{FailureDomain, Settings};

mod explain;

pub use explain::{PoolExplanation, ServiceExplanation, explain_pools};

/// One set of instances that fail together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainName {
    /// A single instance.
    Instance(InstanceName),
    /// A rack.
    Rack(RackName),
    /// An availability zone.
    Zone(ZoneName),
}

/// What one pool holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolCapacity {
    /// Instances that the services on the pool are promised together.
    pub promised: u32,
    /// Widest failure domain that a service on the pool survives.
    pub survives: FailureDomain,
    /// Whether other pools may borrow from it.
    pub spare: bool,
    /// Services on the pool.
    pub services: BTreeSet<ServiceName>,
    /// Instances that work for the pool.
    pub available: u32,
    /// Instances of the pool that don't, by cause.
    pub out: BTreeMap<Cause, u32>,
    domains: BTreeMap<DomainName, u32>,
}

/// What all pools hold.
#[derive(Debug, Clone)]
pub struct Capacity<'a> {
    settings: &'a Settings,
    racks: BTreeMap<&'a InstanceName, (&'a ZoneName, &'a RackName)>,
    pools: BTreeMap<PoolName, PoolCapacity>,
    available: BTreeMap<InstanceName, PoolName>,
}

/// The contract that keeps an instance where it is, and what would free it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Blocked {
    /// The promise would break if the worst domain were lost.
    Promise {
        /// The pool.
        pool: PoolName,
        /// Services on the pool.
        services: BTreeSet<ServiceName>,
        /// Instances promised to them.
        promised: u32,
        /// Instances that work.
        available: u32,
        /// Instances that the worst domain takes along.
        worst: u32,
        /// Domain that the promise survives.
        survives: FailureDomain,
    },
    /// A service has used up its availability budget.
    Budget {
        /// The service.
        service: ServiceName,
        /// Instance-seconds spent in the window.
        spent_instance_s: u64,
        /// Instance-seconds allowed in the window.
        budget_instance_s: u64,
    },
}

impl fmt::Display for Blocked {
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
            out: BTreeMap::new(),
            domains: BTreeMap::new(),
        }
    }
}

impl PoolCapacity {
    /// Returns the instances that the worst domain takes along.
    #[must_use]
    pub fn worst(&self) -> u32 {
        self.domains.values().copied().max().unwrap_or_default()
    }

    /// Returns what is left above the promise with the worst domain lost; negative when short.
    #[must_use]
    pub fn slack(&self) -> i64 {
        i64::from(self.available) - i64::from(self.worst()) - i64::from(self.promised)
    }

    /// Returns the smallest number of instances that the contract needs beyond the promise, when
    /// those that are kept are chosen well; the rest is free to be lent or given back.
    #[must_use]
    pub fn reserve(&self) -> u32 {
        let extra = self.available.saturating_sub(self.promised);
        let kept = |reserve: u32| -> u32 {
            let counts = self.domains.values();
            counts.map(|&count| count.min(reserve)).sum()
        };
        (0..extra)
            .find(|&reserve| kept(reserve) >= self.promised + reserve)
            .unwrap_or(extra)
    }

    /// Returns how many instances are missing for the promise right now.
    #[must_use]
    pub const fn shortfall(&self) -> u32 {
        self.promised.saturating_sub(self.available)
    }

    /// Returns the instances of a domain that work for the pool.
    #[must_use]
    pub fn in_domain(&self, domain: &DomainName) -> u32 {
        self.domains.get(domain).copied().unwrap_or_default()
    }

    /// Returns the slack after taking an instance of a domain away.
    #[must_use]
    pub fn slack_without(&self, domain: &DomainName) -> i64 {
        i64::from(self.available)
            - 1
            - i64::from(self.worst_without(domain))
            - i64::from(self.promised)
    }

    /// Returns the slack after adding an instance of a domain.
    #[must_use]
    pub fn slack_with(&self, domain: &DomainName) -> i64 {
        let worst = self.worst().max(self.in_domain(domain) + 1);
        i64::from(self.available) + 1 - i64::from(worst) - i64::from(self.promised)
    }

    fn worst_without(&self, taken: &DomainName) -> u32 {
        let others = self.domains.iter().filter(|(domain, _)| *domain != taken);
        let worst = others.map(|(_, &count)| count).max().unwrap_or_default();
        worst.max(self.in_domain(taken).saturating_sub(1))
    }

    fn add(&mut self, domain: DomainName) {
        self.available += 1;
        *self.domains.entry(domain).or_default() += 1;
    }

    fn remove(&mut self, domain: &DomainName) {
        self.available = self.available.saturating_sub(1);
        if let Some(count) = self.domains.get_mut(domain) {
            *count = count.saturating_sub(1);
        }
    }
}

impl<'a> Capacity<'a> {
    /// Creates the capacity of a site from its instances and those that count as lost.
    pub fn new<'b>(
        settings: &'a Settings,
        instances: impl Iterator<Item = (&'b InstanceName, &'b Instance)>,
        is_lost: impl Fn(&InstanceName) -> bool,
    ) -> Self {
        let mut capacity = Self {
            settings,
            racks: settings.instance_racks(),
            pools: promises(settings),
            available: BTreeMap::new(),
        };
        for (name, instance) in instances {
            capacity.count(name, instance, is_lost(name));
        }
        capacity
    }

    fn count(&mut self, name: &InstanceName, instance: &Instance, lost: bool) {
        let pool = self.pools.entry(instance.pool.clone()).or_default();
        match cause_of(instance, lost) {
            Some(cause) => *pool.out.entry(cause).or_default() += 1,
            None => self.put(name, &instance.pool),
        }
    }

    /// Returns the pools.
    #[must_use]
    pub const fn pools(&self) -> &BTreeMap<PoolName, PoolCapacity> {
        &self.pools
    }

    /// Returns the settings that the capacity follows from.
    #[must_use]
    pub const fn settings(&self) -> &'a Settings {
        self.settings
    }

    /// Returns a pool.
    #[must_use]
    pub fn pool(&self, pool: &PoolName) -> Option<&PoolCapacity> {
        self.pools.get(pool)
    }

    /// Returns the instances that work, with their pools.
    #[must_use]
    pub const fn available(&self) -> &BTreeMap<InstanceName, PoolName> {
        &self.available
    }

    /// Returns the domain of an instance that a pool's promise looks at.
    #[must_use]
    pub fn domain(&self, instance: &InstanceName, pool: &PoolCapacity) -> DomainName {
        let place = self.racks.get(instance);
        match (pool.survives, place) {
            (FailureDomain::Rack, Some((_, rack))) => DomainName::Rack((*rack).clone()),
            (FailureDomain::Zone, Some((zone, _))) => DomainName::Zone((*zone).clone()),
            _ => DomainName::Instance(instance.clone()),
        }
    }

    /// Returns the availability zone and the rack of an instance.
    #[must_use]
    pub fn place(&self, instance: &InstanceName) -> Option<(&'a ZoneName, &'a RackName)> {
        self.racks.get(instance).copied()
    }

    /// Takes an instance away; returns whether it worked for a pool.
    pub fn take(&mut self, instance: &InstanceName) -> bool {
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

    /// Gives an instance to a pool.
    pub fn put(&mut self, instance: &InstanceName, pool: &PoolName) {
        let Some(domain) = self.pools.get(pool).map(|held| self.domain(instance, held)) else {
            return;
        };
        if let Some(held) = self.pools.get_mut(pool) {
            held.add(domain);
            self.available.insert(instance.clone(), pool.clone());
        }
    }

    /// Returns the contract that forbids taking an instance, if any; an instance that doesn't
    /// work may always be taken.
    #[must_use]
    pub fn blocked(&self, instance: &InstanceName) -> Option<Blocked> {
        let name = self.available.get(instance)?;
        let pool = self.pools.get(name)?;
        let domain = self.domain(instance, pool);
        let is_short = pool.promised > 0 && pool.slack_without(&domain) < 0;
        is_short.then(|| Blocked::Promise {
            pool: name.clone(),
            services: pool.services.clone(),
            promised: pool.promised,
            available: pool.available,
            worst: pool.worst_without(&domain),
            survives: pool.survives,
        })
    }
}

/// Returns how many instances work in each pool and how many don't, without their places.
pub(crate) fn count_pools<'a>(
    settings: &Settings,
    instances: impl Iterator<Item = (&'a InstanceName, &'a Instance)>,
    is_lost: impl Fn(&InstanceName) -> bool,
) -> BTreeMap<PoolName, PoolCapacity> {
    let mut pools = promises(settings);
    for (name, instance) in instances {
        if let Some(pool) = pools.get_mut(&instance.pool) {
            match cause_of(instance, is_lost(name)) {
                Some(cause) => *pool.out.entry(cause).or_default() += 1,
                None => pool.available += 1,
            }
        }
    }
    pools
}

/// Returns why an instance doesn't work for its pool.
fn cause_of(instance: &Instance, lost: bool) -> Option<Cause> {
    match &instance.state {
        _ if lost => Some(Cause::Lost),
        InstanceState::Serving => None,
        InstanceState::Draining { reason, .. } | InstanceState::Drained { reason } => {
            Some(Cause::from(reason))
        }
    }
}

fn promises(settings: &Settings) -> BTreeMap<PoolName, PoolCapacity> {
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
    /// Returns what the pools hold; `None` before the first settings.
    #[must_use]
    pub fn capacity(&self) -> Option<Capacity<'_>> {
        let settings = &self.settings()?.settings;
        let lost = |name: &InstanceName| self.waves().lost().contains_key(name);
        Some(Capacity::new(settings, self.instances(), lost))
    }
}
