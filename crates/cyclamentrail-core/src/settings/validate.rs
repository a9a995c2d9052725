//! Checks that settings make sense as a whole.

use std::collections::BTreeMap;

use super::{Fault, Settings};
use crate::name::{InstanceName, PoolName, RackName, ZoneName};

/// Returns every fault of the settings.
pub(crate) fn faults(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_racks(settings, &mut faults);
    check_pools(settings, &mut faults);
    check_services(settings, &mut faults);
    faults
}

fn fault(path: String, problem: String, remedy: &str) -> Fault {
    Fault {
        path,
        problem,
        remedy: String::from(remedy),
    }
}

fn check_racks(settings: &Settings, faults: &mut Vec<Fault>) {
    let mut zone_of: BTreeMap<&RackName, &ZoneName> = BTreeMap::new();
    let mut rack_of: BTreeMap<&InstanceName, &RackName> = BTreeMap::new();
    for (zone, zone_settings) in &settings.zones {
        for (rack, instances) in &zone_settings.racks {
            if let Some(other) = zone_of.insert(rack, zone) {
                faults.push(fault(
                    format!("zones.{zone}.racks.{rack}"),
                    format!("rack \"{rack}\" stands in zone \"{other}\" too"),
                    "keep the rack in one availability zone",
                ));
            }
            for instance in instances {
                if let Some(other) = rack_of.insert(instance, rack) {
                    faults.push(fault(
                        format!("zones.{zone}.racks.{rack}"),
                        format!("instance \"{instance}\" stands in rack \"{other}\" too"),
                        "keep the instance in one rack",
                    ));
                }
            }
        }
    }
}

fn check_pools(settings: &Settings, faults: &mut Vec<Fault>) {
    let known = settings.instance_racks();
    let mut pool_of: BTreeMap<&InstanceName, &PoolName> = BTreeMap::new();
    for (pool, pool_settings) in &settings.pools {
        for instance in &pool_settings.instances {
            if let Some(other) = pool_of.insert(instance, pool) {
                faults.push(fault(
                    format!("pools.{pool}.instances"),
                    format!("instance \"{instance}\" is in pool \"{other}\" too"),
                    "keep the instance in one pool",
                ));
            }
            if !known.contains_key(instance) {
                faults.push(fault(
                    format!("pools.{pool}.instances"),
                    format!("instance \"{instance}\" stands in no rack"),
                    "add the instance to a rack under zones",
                ));
            }
        }
    }
}

fn check_services(settings: &Settings, faults: &mut Vec<Fault>) {
    for (service, service_settings) in &settings.services {
        let path = format!("services.{service}");
        let Some(pool) = settings.pools.get(&service_settings.pool) else {
            faults.push(fault(
                format!("{path}.pool"),
                format!("pool \"{}\" does not exist", service_settings.pool),
                "name a pool that is listed under pools",
            ));
            continue;
        };
        let promised = service_settings.contract.promised_instances;
        if (pool.instances.len() as u64) < u64::from(promised) {
            faults.push(fault(
                format!("{path}.contract.promised_instances"),
                format!(
                    "{promised} instances are promised and pool \"{}\" has {}",
                    service_settings.pool,
                    pool.instances.len()
                ),
                "add instances to the pool or lower the promise",
            ));
        }
    }
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
