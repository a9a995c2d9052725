//! Checks of time limits, intervals and limits of requests.

use std::time::Duration;

use crate::settings::{Fault, Settings};

/// Heartbeats that fit into a dispatch lease at least.
const HEARTBEATS_PER_LEASE: u32 = 2;
/// Longest interval between two looks at the instance list: a leaving instance gets no new work
/// after a few seconds.
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Smallest header block that a listener can be limited to, in bytes.
const MIN_HEADER_BYTES: u32 = 8192;

pub(super) fn check(settings: &Settings, faults: &mut Vec<Fault>) {
    check_zeros(settings, faults);
    check_control(settings, faults);
    check_requests(settings, faults);
    check_maintenance(settings, faults);
    check_deadlines(settings, faults);
}

fn check_zeros(settings: &Settings, faults: &mut Vec<Fault>) {
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
            faults.push(zero(path, "0 ms is no usable time"));
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
            faults.push(zero(path, "0 lets nothing through"));
        }
    }
}

fn zero(path: &str, problem: &str) -> Fault {
    Fault::new(
        path.to_owned(),
        problem.to_owned(),
        "1 or more",
        "give a value above 0; sites/base.json has one that fits",
    )
}

fn check_control(settings: &Settings, faults: &mut Vec<Fault>) {
    let control = &settings.control;
    if control.dispatch_lease_ms < control.heartbeat_ms * HEARTBEATS_PER_LEASE {
        faults.push(Fault::new(
            String::from("/control/dispatch_lease_ms"),
            format!(
                "a lease of {:?} lapses between heartbeats of {:?}",
                control.dispatch_lease_ms, control.heartbeat_ms
            ),
            &format!("at least {HEARTBEATS_PER_LEASE} times control.heartbeat_ms"),
            "lengthen the lease, or shorten the heartbeat",
        ));
    }
    if control.append_delay_ms >= control.dispatch_lease_ms {
        faults.push(Fault::new(
            String::from("/control/append_delay_ms"),
            format!(
                "records wait {:?} and the dispatch lease lapses after {:?}",
                control.append_delay_ms, control.dispatch_lease_ms
            ),
            "below control.dispatch_lease_ms",
            "shorten the delay",
        ));
    }
    if control.list_interval_ms > MAX_LIST_INTERVAL {
        faults.push(Fault::new(
            String::from("/control/list_interval_ms"),
            format!(
                "a leaving instance would get work for {:?}",
                control.list_interval_ms
            ),
            "at most 5000",
            "shorten the interval",
        ));
    }
}

fn check_requests(settings: &Settings, faults: &mut Vec<Fault>) {
    let ratio = settings.requests.retry_budget_ratio;
    if !(0.0..=1.0).contains(&ratio) {
        faults.push(Fault::new(
            String::from("/requests/retry_budget_ratio"),
            format!("{ratio} is no share of the requests"),
            "0 to 1",
            "give the share of requests that may be retried, for example 0.1",
        ));
    }
    let limits = &settings.caller_limits;
    if limits.max_header_bytes < MIN_HEADER_BYTES {
        faults.push(Fault::new(
            String::from("/caller_limits/max_header_bytes"),
            format!("{} bytes are too few", limits.max_header_bytes),
            &format!("{MIN_HEADER_BYTES} or more"),
            "raise the limit",
        ));
    }
}

fn check_maintenance(settings: &Settings, faults: &mut Vec<Fault>) {
    let maintenance = &settings.maintenance;
    if maintenance.return_timeout_ms.is_zero() {
        faults.push(zero(
            "/maintenance/return_timeout_ms",
            "every reboot would count as failed",
        ));
    }
    if maintenance.halt_failures == 0 {
        faults.push(zero(
            "/maintenance/halt_failures",
            "every wave would halt before it begins",
        ));
    }
    if maintenance.halt_failures > maintenance.halt_sample {
        faults.push(Fault::new(
            String::from("/maintenance/halt_failures"),
            format!(
                "{} failures can't come among {} instances, so that no wave ever halts",
                maintenance.halt_failures, maintenance.halt_sample
            ),
            "1 to maintenance.halt_sample",
            "lower it, or raise maintenance.halt_sample",
        ));
    }
    if settings.stop.limit_ms.is_zero() {
        faults.push(zero(
            "/stop/limit_ms",
            "every planned stop would cut the requests in flight",
        ));
    }
}

fn check_deadlines(settings: &Settings, faults: &mut Vec<Fault>) {
    let longest = settings.requests.max_deadline_ms;
    for (service, service_settings) in &settings.services {
        let deadline = service_settings.default_deadline_ms;
        if deadline.is_zero() || deadline > longest {
            faults.push(Fault::new(
                format!("/services/{service}/default_deadline_ms"),
                format!("{deadline:?} can't be the deadline of a request"),
                &format!("1 to {} (requests.max_deadline_ms)", longest.as_millis()),
                "choose a deadline in that range, or raise requests.max_deadline_ms",
            ));
        }
    }
}
