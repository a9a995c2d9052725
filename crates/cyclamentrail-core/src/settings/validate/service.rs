//! Checks of services, contracts and the weights of costs.

use std::collections::BTreeMap;

use crate::name::{RackName, ServiceName, ZoneName};
use crate::settings::{FailureDomain, Fault, PoolSettings, ServiceSettings, Settings};

/// Shortest time in seconds for which maintenance takes an instance away.
const SHORTEST_MAINTENANCE_S: u64 = 60;

pub(super) fn check(settings: &Settings, faults: &mut Vec<Fault>) {
    for (service, service_settings) in &settings.services {
        check_figures(service, service_settings, faults);
        match settings.pools.get(&service_settings.pool) {
            Some(pool) => check_contract(settings, service, service_settings, pool, faults),
            None => faults.push(Fault::new(
                format!("/services/{service}/pool"),
                format!("pool \"{}\" does not exist", service_settings.pool),
                "a name under pools",
                "correct the name, or add the pool",
            )),
        }
    }
    check_weights(settings, faults);
}

fn check_figures(service: &ServiceName, settings: &ServiceSettings, faults: &mut Vec<Fault>) {
    for (field, value) in [
        ("mean_work_ms", settings.mean_work_ms),
        ("mean_rate_per_s", settings.mean_rate_per_s),
    ] {
        if !value.is_finite() || value <= 0.0 {
            faults.push(Fault::new(
                format!("/services/{service}/{field}"),
                format!("{value} is no usable mean"),
                "a number above 0",
                "give the measured mean, or an estimate",
            ));
        }
    }
}

fn check_contract(
    settings: &Settings,
    service: &ServiceName,
    service_settings: &ServiceSettings,
    pool: &PoolSettings,
    faults: &mut Vec<Fault>,
) {
    let contract = &service_settings.contract;
    let path = format!("/services/{service}/contract");
    let promised = u64::from(contract.promised_instances);
    let size = pool.instances.len() as u64;
    if promised == 0 {
        faults.push(Fault::new(
            format!("{path}/promised_instances"),
            String::from("0 instances are promised"),
            "1 or more",
            "promise what the service needs",
        ));
        return;
    }
    if size < promised {
        faults.push(Fault::new(
            format!("{path}/promised_instances"),
            format!(
                "{promised} instances are promised and pool \"{}\" has {size}",
                service_settings.pool
            ),
            "at most the instances of the service's pool",
            "add instances to the pool, or lower the promise",
        ));
        return;
    }
    let lost = worst_loss(settings, pool, contract.survives);
    if size.saturating_sub(lost) < promised {
        faults.push(Fault::new(
            format!("{path}/survives"),
            format!(
                "the worst loss takes {lost} of {size} instances of pool \"{}\" and leaves less than the {promised} promised",
                service_settings.pool
            ),
            "a failure domain whose loss leaves the promise",
            "spread the pool over more racks and zones, add instances, or lower the promise",
        ));
    }
    check_budget(&path, service_settings, size, faults);
}

fn check_budget(path: &str, settings: &ServiceSettings, size: u64, faults: &mut Vec<Fault>) {
    let contract = &settings.contract;
    let promised = u64::from(contract.promised_instances);
    if contract.window_s == 0 {
        faults.push(Fault::new(
            format!("{path}/window_s"),
            String::from("0 is no window"),
            "1 or more seconds",
            "give the length of the window that the budget holds for",
        ));
        return;
    }
    let needed = size.saturating_mul(SHORTEST_MAINTENANCE_S);
    if size == promised && contract.budget_instance_s < needed {
        faults.push(Fault::new(
            format!("{path}/budget_instance_s"),
            format!(
                "no wave can ever meet {} instance-seconds: all {size} instances of the pool are promised",
                contract.budget_instance_s
            ),
            &format!("at least {needed} (one minute an instance), or a pool above the promise"),
            "raise the budget, add instances to the pool, or lower the promise",
        ));
    }
    let whole = promised.saturating_mul(contract.window_s);
    if contract.budget_instance_s >= whole {
        faults.push(Fault::new(
            format!("{path}/budget_instance_s"),
            format!(
                "{} instance-seconds allow the whole promise to be missing for the whole window",
                contract.budget_instance_s
            ),
            &format!("below {whole} (promised_instances times window_s)"),
            "lower the budget",
        ));
    }
}

/// Returns how many instances of a pool the loss of one failure domain takes at most.
fn worst_loss(settings: &Settings, pool: &PoolSettings, domain: FailureDomain) -> u64 {
    let racks = settings.instance_racks();
    let mut by_rack: BTreeMap<&RackName, u64> = BTreeMap::new();
    let mut by_zone: BTreeMap<&ZoneName, u64> = BTreeMap::new();
    for instance in &pool.instances {
        if let Some((zone, rack)) = racks.get(instance) {
            *by_rack.entry(rack).or_default() += 1;
            *by_zone.entry(zone).or_default() += 1;
        }
    }
    let worst = match domain {
        FailureDomain::Instance => pool.instances.first().map(|_| 1),
        FailureDomain::Rack => by_rack.into_values().max(),
        FailureDomain::Zone => by_zone.into_values().max(),
    };
    worst.unwrap_or_default()
}

fn check_weights(settings: &Settings, faults: &mut Vec<Fault>) {
    let weights = settings.cost_weights;
    let all = [
        ("buffer", weights.buffer),
        ("roll_out", weights.roll_out),
        ("moves", weights.moves),
    ];
    for (field, weight) in all {
        if !weight.is_finite() || weight < 0.0 {
            faults.push(Fault::new(
                format!("/cost_weights/{field}"),
                format!("{weight} is no weight"),
                "0 or more",
                "give a weight relative to the other two",
            ));
        }
    }
    if all.iter().all(|(_, weight)| *weight == 0.0) {
        faults.push(Fault::new(
            String::from("/cost_weights"),
            String::from("all weights are 0, so that every plan costs the same"),
            "at least one weight above 0",
            "weigh at least one cost",
        ));
    }
}
