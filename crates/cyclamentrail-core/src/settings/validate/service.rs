//! Checks of services, contracts and the weights of costs.

use crate::name::{PoolName, ServiceName};
use crate::settings::{Fault, PoolSettings, ServiceSettings, Settings};

/// Shortest time in seconds for which maintenance takes an instance away.
const SHORTEST_MAINTENANCE_S: u64 = 1;

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
    check_budget(&path, settings, service_settings, size, faults);
}

fn check_budget(
    path: &str,
    settings: &Settings,
    service_settings: &ServiceSettings,
    size: u64,
    faults: &mut Vec<Fault>,
) {
    let contract = &service_settings.contract;
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
    let lends = may_borrow(settings, &service_settings.pool);
    if size == promised && !lends && contract.budget_instance_s < needed {
        faults.push(Fault::new(
            format!("{path}/budget_instance_s"),
            format!(
                "no wave can ever meet {} instance-seconds: all {size} instances of the pool are promised and no spare pool lends one",
                contract.budget_instance_s
            ),
            &format!("at least {needed} (one second an instance), a pool above the promise, or a spare pool"),
            "raise the budget, add instances to the pool, or lower the promise",
        ));
    }
}

/// Returns whether another pool may lend an instance while one is away.
fn may_borrow(settings: &Settings, pool: &PoolName) -> bool {
    settings
        .pools
        .iter()
        .any(|(name, other)| other.spare && name != pool && !other.instances.is_empty())
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
