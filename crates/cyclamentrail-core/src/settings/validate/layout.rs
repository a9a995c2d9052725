//! Checks of zones, racks, instances and pools.

use std::collections::BTreeMap;

use crate::name::{InstanceName, PoolName, RackName, ZoneName};
use crate::settings::{Fault, Settings};

pub(super) fn check(settings: &Settings, faults: &mut Vec<Fault>) {
    check_names(settings, faults);
    check_racks(settings, faults);
    check_pools(settings, faults);
    check_worker(settings, faults);
}

fn check_names(settings: &Settings, faults: &mut Vec<Fault>) {
    let zones = settings.zones.keys().map(|name| ("/zones", name.as_str()));
    let pools = settings.pools.keys().map(|name| ("/pools", name.as_str()));
    let services = settings
        .services
        .keys()
        .map(|name| ("/services", name.as_str()));
    let entries = settings
        .entries
        .keys()
        .map(|name| ("/entries", name.as_str()));
    for (parent, name) in zones.chain(pools).chain(services).chain(entries) {
        check_name(format!("{parent}/{name}"), name, faults);
    }
    for (instance, (zone, rack)) in settings.instance_racks() {
        check_name(
            format!("/zones/{zone}/racks/{rack}"),
            instance.as_str(),
            faults,
        );
    }
}

fn check_name(path: String, name: &str, faults: &mut Vec<Fault>) {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if name.is_empty() || !name.chars().all(allowed) {
        faults.push(Fault::new(
            path,
            format!("name {name:?} can't be used in paths, labels and logs"),
            "ASCII letters, digits, \"-\", \"_\" and \".\", at least one",
            "rename it",
        ));
    }
}

fn check_racks(settings: &Settings, faults: &mut Vec<Fault>) {
    let mut zone_of: BTreeMap<&RackName, &ZoneName> = BTreeMap::new();
    let mut rack_of: BTreeMap<&InstanceName, &RackName> = BTreeMap::new();
    for (zone, zone_settings) in &settings.zones {
        for (rack, instances) in &zone_settings.racks {
            let path = format!("/zones/{zone}/racks/{rack}");
            if let Some(other) = zone_of.insert(rack, zone) {
                faults.push(Fault::new(
                    path.clone(),
                    format!("rack \"{rack}\" stands in zone \"{other}\" too"),
                    "each rack in one availability zone",
                    "take it out of one of the two, or rename one",
                ));
            }
            for instance in instances {
                if let Some(other) = rack_of.insert(instance, rack) {
                    faults.push(Fault::new(
                        path.clone(),
                        format!("instance \"{instance}\" stands in rack \"{other}\" too"),
                        "each instance in one rack",
                        "take it out of one of the two, or rename one",
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
        let path = format!("/pools/{pool}/instances");
        for instance in &pool_settings.instances {
            if let Some(other) = pool_of.insert(instance, pool) {
                faults.push(Fault::new(
                    path.clone(),
                    format!("instance \"{instance}\" is in pool \"{other}\" too"),
                    "each instance in exactly one pool",
                    "take it out of one of the two",
                ));
            }
            if !known.contains_key(instance) {
                faults.push(Fault::new(
                    path.clone(),
                    format!("instance \"{instance}\" stands in no rack"),
                    "instances that a rack under zones lists",
                    "add it to its rack, or take it out of the pool",
                ));
            }
        }
    }
    for (instance, (zone, rack)) in known {
        if !pool_of.contains_key(instance) {
            faults.push(Fault::new(
                format!("/zones/{zone}/racks/{rack}"),
                format!("instance \"{instance}\" is in no pool"),
                "each instance in exactly one pool",
                "add it to a pool, or take it out of the rack",
            ));
        }
    }
}

fn check_worker(settings: &Settings, faults: &mut Vec<Fault>) {
    let worker = &settings.worker;
    for (field, value) in [
        ("cores", u64::from(worker.cores)),
        ("memory_mib", worker.memory_mib),
        ("slots", u64::from(worker.slots)),
        ("connections", u64::from(worker.connections)),
    ] {
        if value == 0 {
            faults.push(Fault::new(
                format!("/worker/{field}"),
                String::from("0 leaves a worker unusable"),
                "1 or more",
                "give the size of one worker",
            ));
        }
    }
    if worker.connections < worker.slots {
        faults.push(Fault::new(
            String::from("/worker/connections"),
            format!(
                "{} connections can't fill {} slots",
                worker.connections, worker.slots
            ),
            "at least worker.slots",
            "raise it, or lower worker.slots",
        ));
    }
}
