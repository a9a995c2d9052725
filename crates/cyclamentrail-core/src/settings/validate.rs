//! Checks that settings make sense as a whole.

use std::collections::BTreeMap;

use super::{Fault, Settings};
use crate::name::{InstanceName, PoolName, RackName, ZoneName};

mod layout;
mod process;
mod service;
mod timing;

/// Returns every fault of the settings.
pub(crate) fn faults(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    layout::check(settings, &mut faults);
    service::check(settings, &mut faults);
    timing::check(settings, &mut faults);
    process::check(settings, &mut faults);
    faults
}

impl Settings {
    /// Returns the pool that each instance starts in.
    #[must_use]
    pub fn pool_instances(&self) -> BTreeMap<&InstanceName, &PoolName> {
        let mut pools = BTreeMap::new();
        for (pool, pool_settings) in &self.pools {
            for instance in &pool_settings.instances {
                pools.insert(instance, pool);
            }
        }
        pools
    }

    /// Returns the rack of each instance.
    #[must_use]
    pub fn instance_racks(&self) -> BTreeMap<&InstanceName, (&ZoneName, &RackName)> {
        let mut racks = BTreeMap::new();
        for (zone, zone_settings) in &self.zones {
            for (rack, instances) in &zone_settings.racks {
                for instance in instances {
                    racks.insert(instance, (zone, rack));
                }
            }
        }
        racks
    }
}
