//! Checks of services, their contracts and the cost weights.

use crate::name::{PoolName, ServiceName};
use crate::settings::{PoolSettings, ServiceSettings, Settings, SettingsFault};

/// Shortest time in seconds that maintenance takes an instance out of service.
const MIN_MAINTENANCE_S: u64 = 1;

pub(super) fn check(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    for (service, service_settings) in &settings.services {
        check_load(service, service_settings, faults);
        match settings.pools.get(&service_settings.pool) {
            Some(pool) => check_contract(settings, service, service_settings, pool, faults),
            None => faults.push(SettingsFault::new(
                format!("/services/{service}/pool"),
                format!("pool \"{}\" does not exist", service_settings.pool),
                "a name under pools",
                "correct the name, or add the pool",
            )),
        }
    }
    check_weights(settings, faults);
}

fn check_load(service: &ServiceName, settings: &ServiceSettings, faults: &mut Vec<SettingsFault>) {
    for (field, value) in [
        ("mean_work_ms", settings.mean_work_ms),
        ("mean_rate_per_s", settings.mean_rate_per_s),
    ] {
        if !value.is_finite() || value <= 0.0 {
            faults.push(SettingsFault::new(
                format!("/services/{service}/{field}"),
                format!("{value} is not a finite number above 0"),
                "a number above 0",
                "set the measured mean, or an estimate",
            ));
        }
    }
}

fn check_contract(
    settings: &Settings,
    service: &ServiceName,
    service_settings: &ServiceSettings,
    pool: &PoolSettings,
    faults: &mut Vec<SettingsFault>,
) {
    let contract = &service_settings.contract;
    let path = format!("/services/{service}/contract");
    let promised = u64::from(contract.promised_instances);
    let pool_size = pool.instances.len() as u64;
    if pool_size < promised {
        faults.push(SettingsFault::new(
            format!("{path}/promised_instances"),
            format!(
                "{promised} instances are promised but pool \"{}\" has {pool_size}",
                service_settings.pool
            ),
            "at most the instances of the service's pool",
            "add instances to the pool, or lower the promise",
        ));
        return;
    }
    check_budget(&path, settings, service_settings, pool_size, faults);
}

fn check_budget(
    path: &str,
    settings: &Settings,
    service_settings: &ServiceSettings,
    pool_size: u64,
    faults: &mut Vec<SettingsFault>,
) {
    let contract = &service_settings.contract;
    let promised = u64::from(contract.promised_instances);
    if contract.window_s == 0 {
        faults.push(SettingsFault::new(
            format!("{path}/window_s"),
            String::from("the window is 0 s long"),
            "1 or more seconds",
            "set the length of the window that the budget applies to",
        ));
        return;
    }
    let needed_instance_s = pool_size.saturating_mul(MIN_MAINTENANCE_S);
    let can_borrow = has_spare_lender(settings, &service_settings.pool);
    if pool_size == promised && !can_borrow && contract.budget_instance_s < needed_instance_s {
        faults.push(SettingsFault::new(
            format!("{path}/budget_instance_s"),
            format!(
                "no wave can stay within {} instance-seconds: all {pool_size} instances of the pool are promised, and no spare pool can lend one",
                contract.budget_instance_s
            ),
            &format!("at least {needed_instance_s} (one second per instance), a pool larger than the promise, or a spare pool"),
            "raise the budget, add instances to the pool, or lower the promise",
        ));
    }
}

/// Returns whether some other pool is spare and has instances to lend.
fn has_spare_lender(settings: &Settings, pool: &PoolName) -> bool {
    settings
        .pools
        .iter()
        .any(|(name, other)| other.spare && name != pool && !other.instances.is_empty())
}

fn check_weights(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let weights = settings.cost_weights;
    let weights_by_field = [
        ("buffer", weights.buffer),
        ("roll_out", weights.roll_out),
        ("moves", weights.moves),
    ];
    for (field, weight) in weights_by_field {
        if !weight.is_finite() || weight < 0.0 {
            faults.push(SettingsFault::new(
                format!("/cost_weights/{field}"),
                format!("{weight} is not a finite number of 0 or more"),
                "0 or more",
                "set a weight relative to the other two",
            ));
        }
    }
    if weights_by_field.iter().all(|(_, weight)| *weight == 0.0) {
        faults.push(SettingsFault::new(
            String::from("/cost_weights"),
            String::from("all weights are 0, so that all plans have the same cost"),
            "at least one weight above 0",
            "set at least one weight above 0",
        ));
    }
}
