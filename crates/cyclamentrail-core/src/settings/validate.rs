//! Checks of settings across their fields, which types and the schema can't express.

use std::collections::BTreeMap;

use super::{Settings, SettingsFault};
use crate::name::{InstanceName, PoolName, RackName, ZoneName};

mod layout;
mod process;
mod service;
mod timing;

/// Returns all faults of the settings; empty when the settings are valid.
pub(crate) fn find_faults(settings: &Settings) -> Vec<SettingsFault> {
    let mut faults = Vec::new();
    layout::check(settings, &mut faults);
    service::check(settings, &mut faults);
    timing::check(settings, &mut faults);
    process::check(settings, &mut faults);
    faults
}

impl Settings {
    /// Maps each instance to the pool that the settings list it in.
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

    /// Maps each instance to its availability zone and rack.
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
