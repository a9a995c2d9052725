//! Checks of time limits, intervals and request limits.

use std::time::Duration;

use crate::settings::{Settings, SettingsFault};

/// Smallest number of heartbeat intervals in a dispatch lease, so that heartbeats can renew it in
/// time.
const MIN_HEARTBEATS_PER_LEASE: u32 = 2;
/// Longest interval between two reads of the instance list. A leaving instance may receive new work
/// until the next read, and must receive none after a few seconds.
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Smallest limit in bytes of a request's header that a listener supports.
const MIN_HEADER_BYTES: u32 = 8192;

pub(super) fn check(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    check_nonzero(settings, faults);
    check_control(settings, faults);
    check_requests(settings, faults);
    check_maintenance(settings, faults);
    check_default_deadlines(settings, faults);
}

fn check_nonzero(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let control = &settings.control;
    let requests = &settings.requests;
    let limits = &settings.caller_limits;
    for (path, time) in [
        ("/control/heartbeat_ms", control.heartbeat_ms),
        ("/control/dispatch_lease_ms", control.dispatch_lease_ms),
        ("/control/list_interval_ms", control.list_interval_ms),
        ("/control/platform_timeout_ms", control.platform_timeout_ms),
        ("/requests/max_deadline_ms", requests.max_deadline_ms),
        ("/requests/connect_timeout_ms", requests.connect_timeout_ms),
        ("/requests/key_memory_ms", requests.key_memory_ms),
        ("/caller_limits/header_timeout_ms", limits.header_timeout_ms),
        ("/caller_limits/body_timeout_ms", limits.body_timeout_ms),
    ] {
        if time.is_zero() {
            faults.push(zero_fault(path, "the time is 0 ms"));
        }
    }
    for (path, count) in [
        ("/control/snapshot_records", control.snapshot_records),
        (
            "/caller_limits/max_connections",
            u64::from(limits.max_connections),
        ),
        (
            "/caller_limits/max_requests",
            u64::from(limits.max_requests),
        ),
        ("/requests/max_body_bytes", requests.max_body_bytes),
    ] {
        if count == 0 {
            faults.push(zero_fault(path, "the limit is 0"));
        }
    }
}

fn zero_fault(path: &str, problem: &str) -> SettingsFault {
    SettingsFault::new(
        path.to_owned(),
        problem.to_owned(),
        "1 or more",
        "set a value above 0; sites/base.json holds a suitable one",
    )
}

fn check_control(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let control = &settings.control;
    if control.dispatch_lease_ms < control.heartbeat_ms * MIN_HEARTBEATS_PER_LEASE {
        faults.push(SettingsFault::new(
            String::from("/control/dispatch_lease_ms"),
            format!(
                "a lease of {:?} expires between heartbeats that are {:?} apart",
                control.dispatch_lease_ms, control.heartbeat_ms
            ),
            &format!("at least {MIN_HEARTBEATS_PER_LEASE} times control.heartbeat_ms"),
            "lengthen the lease, or shorten the heartbeat interval",
        ));
    }
    if control.append_delay_ms >= control.dispatch_lease_ms {
        faults.push(SettingsFault::new(
            String::from("/control/append_delay_ms"),
            format!(
                "records wait up to {:?} but the dispatch lease expires after {:?}",
                control.append_delay_ms, control.dispatch_lease_ms
            ),
            "below control.dispatch_lease_ms",
            "shorten the delay",
        ));
    }
    if control.list_interval_ms > MAX_LIST_INTERVAL {
        faults.push(SettingsFault::new(
            String::from("/control/list_interval_ms"),
            format!(
                "a leaving instance would receive new work for up to {:?}",
                control.list_interval_ms
            ),
            "at most 5000",
            "shorten the interval",
        ));
    }
}

fn check_requests(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let ratio = settings.requests.retry_budget_ratio;
    if !(0.0..=1.0).contains(&ratio) {
        faults.push(SettingsFault::new(
            String::from("/requests/retry_budget_ratio"),
            format!("{ratio} is not a share between 0 and 1"),
            "0 to 1",
            "set the share of requests that may be retried, for example 0.1",
        ));
    }
    let limits = &settings.caller_limits;
    if limits.max_header_bytes < MIN_HEADER_BYTES {
        faults.push(SettingsFault::new(
            String::from("/caller_limits/max_header_bytes"),
            format!("{} bytes are too few", limits.max_header_bytes),
            &format!("{MIN_HEADER_BYTES} or more"),
            "raise the limit",
        ));
    }
}

fn check_maintenance(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let maintenance = &settings.maintenance;
    if maintenance.return_timeout_ms.is_zero() {
        faults.push(zero_fault(
            "/maintenance/return_timeout_ms",
            "every reboot would count as failed",
        ));
    }
    if maintenance.halt_failures == 0 {
        faults.push(zero_fault(
            "/maintenance/halt_failures",
            "every wave would be halted at its start",
        ));
    }
    if maintenance.halt_failures > maintenance.halt_sample {
        faults.push(SettingsFault::new(
            String::from("/maintenance/halt_failures"),
            format!(
                "{} failures can't occur among {} instances, so that no wave is ever halted",
                maintenance.halt_failures, maintenance.halt_sample
            ),
            "1 to maintenance.halt_sample",
            "lower it, or raise maintenance.halt_sample",
        ));
    }
    if settings.stop.limit_ms.is_zero() {
        faults.push(zero_fault(
            "/stop/limit_ms",
            "every planned stop would abort the requests in flight",
        ));
    }
}

fn check_default_deadlines(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let max_deadline = settings.requests.max_deadline_ms;
    for (service, service_settings) in &settings.services {
        let deadline = service_settings.default_deadline_ms;
        if deadline.is_zero() || deadline > max_deadline {
            faults.push(SettingsFault::new(
                format!("/services/{service}/default_deadline_ms"),
                format!("a default deadline of {deadline:?} is outside the allowed range"),
                &format!(
                    "1 to {} (requests.max_deadline_ms)",
                    max_deadline.as_millis()
                ),
                "choose a deadline in that range, or raise requests.max_deadline_ms",
            ));
        }
    }
}
