//! Checks of names, zones, racks, instances, pools and the size of workers.

use std::collections::BTreeMap;

use crate::name::{InstanceName, PoolName, RackName, ZoneName};
use crate::settings::{Settings, SettingsFault};

pub(super) fn check(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    check_names(settings, faults);
    check_rack_membership(settings, faults);
    check_pool_membership(settings, faults);
    check_worker_size(settings, faults);
}

fn check_names(settings: &Settings, faults: &mut Vec<SettingsFault>) {
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

fn check_name(path: String, name: &str, faults: &mut Vec<SettingsFault>) {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if name.is_empty() || !name.chars().all(allowed) {
        faults.push(SettingsFault::new(
            path,
            format!("name {name:?} can't be used in paths, labels and logs"),
            "ASCII letters, digits, \"-\", \"_\" and \".\", at least one",
            "rename it",
        ));
    }
}

fn check_rack_membership(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let mut zone_by_rack: BTreeMap<&RackName, &ZoneName> = BTreeMap::new();
    let mut rack_by_instance: BTreeMap<&InstanceName, &RackName> = BTreeMap::new();
    for (zone, zone_settings) in &settings.zones {
        for (rack, instances) in &zone_settings.racks {
            let path = format!("/zones/{zone}/racks/{rack}");
            if let Some(other) = zone_by_rack.insert(rack, zone) {
                faults.push(SettingsFault::new(
                    path.clone(),
                    format!("rack \"{rack}\" is also listed in zone \"{other}\""),
                    "each rack in exactly one availability zone",
                    "remove it from one of the two zones, or rename one rack",
                ));
            }
            for instance in instances {
                if let Some(other) = rack_by_instance.insert(instance, rack) {
                    faults.push(SettingsFault::new(
                        path.clone(),
                        format!("instance \"{instance}\" is also listed in rack \"{other}\""),
                        "each instance in exactly one rack",
                        "remove it from one of the two racks, or rename one instance",
                    ));
                }
            }
        }
    }
}

fn check_pool_membership(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let racked_instances = settings.instance_racks();
    let mut pool_by_instance: BTreeMap<&InstanceName, &PoolName> = BTreeMap::new();
    for (pool, pool_settings) in &settings.pools {
        let path = format!("/pools/{pool}/instances");
        for instance in &pool_settings.instances {
            if let Some(other) = pool_by_instance.insert(instance, pool) {
                faults.push(SettingsFault::new(
                    path.clone(),
                    format!("instance \"{instance}\" is also listed in pool \"{other}\""),
                    "each instance in exactly one pool",
                    "remove it from one of the two pools",
                ));
            }
            if !racked_instances.contains_key(instance) {
                faults.push(SettingsFault::new(
                    path.clone(),
                    format!("instance \"{instance}\" isn't listed in any rack"),
                    "instances that a rack under zones lists",
                    "add it to its rack, or remove it from the pool",
                ));
            }
        }
    }
    for (instance, (zone, rack)) in racked_instances {
        if !pool_by_instance.contains_key(instance) {
            faults.push(SettingsFault::new(
                format!("/zones/{zone}/racks/{rack}"),
                format!("instance \"{instance}\" isn't listed in any pool"),
                "each instance in exactly one pool",
                "add it to a pool, or remove it from the rack",
            ));
        }
    }
}

fn check_worker_size(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let worker = &settings.worker;
    for (field, value) in [
        ("cores", u64::from(worker.cores)),
        ("memory_mib", worker.memory_mib),
        ("slots", u64::from(worker.slots)),
        ("connections", u64::from(worker.connections)),
    ] {
        if value == 0 {
            faults.push(SettingsFault::new(
                format!("/worker/{field}"),
                String::from("the value is 0, so that workers can't serve requests"),
                "1 or more",
                "set the value to the size of one worker",
            ));
        }
    }
    if worker.connections < worker.slots {
        faults.push(SettingsFault::new(
            String::from("/worker/connections"),
            format!(
                "{} connections are too few to use {} slots",
                worker.connections, worker.slots
            ),
            "at least worker.slots",
            "raise it, or lower worker.slots",
        ));
    }
}
