//! Records the metrics of the process, which are exported in the Prometheus text format.
//!
//! Label values come from closed sets (services, pools, outcomes, reasons, and at most 50 configured
//! teams of a service), never from requests, callers or instances, so that the number of time series
//! stays bounded.

use std::sync::OnceLock;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderValue};
use cyclamentrail_core::{Fleet, InstanceState, ServiceName};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::body::Shortage;
use crate::headers;
use crate::timer::Ticks;

mod catalog;
mod jobs;
mod teams;

pub(crate) use catalog::{
    APPLIED_OFFSET, CONNECTIONS, INSTANCES, MEMBERS, RECORDS, REFUSED, REQUEST_SECONDS, REQUESTS,
    SETTINGS_VERSION,
};
pub use catalog::{METRICS, Metric, MetricKind};
pub(crate) use jobs::{
    count_caller_refusal, count_decision, count_machine_command, count_omitted_lines,
    count_quota_report, count_relayed_calls, count_start, count_store_call, count_takeover,
    count_topic_read, count_worker_command, record_topic_unread, record_worker_call,
    set_dropped_lines, set_pool_load, set_quota_lending, set_quota_waiting,
};
pub(crate) use teams::{count_team_jobs, set_team_gauges};

/// Value of the label `service` for requests to a service that isn't in the settings.
const UNKNOWN_SERVICE_LABEL: &str = "none";
/// Upper bounds of the buckets of all histograms, in seconds.
const SECONDS_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 30.0, 600.0,
];

static RECORDER_HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Reason why a listener refused a connection or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The listener has as many open connections as its limit allows.
    Connections,
    /// The listener serves as many requests as its limit allows.
    Requests,
    /// The header of the request is larger than the limit.
    HeaderSize,
    /// The header of the request didn't arrive completely in time.
    HeaderTimeout,
    /// The received bytes aren't a valid HTTP request.
    Malformed,
    /// The token of the request is missing or wrong.
    Token,
    /// The client didn't read its responses in time.
    Unread,
    /// The body of the request was turned away in favour of others.
    Body(Shortage),
}

impl Refusal {
    const fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Requests => "requests",
            Self::HeaderSize => "header_size",
            Self::HeaderTimeout => "header_timeout",
            Self::Malformed => "malformed",
            Self::Token => "token",
            Self::Unread => "unread",
            Self::Body(shortage) => shortage.as_str(),
        }
    }
}

/// Installs the metrics recorder of this process at the first call, and returns its handle.
pub(crate) fn recorder_handle() -> PrometheusHandle {
    RECORDER_HANDLE.get_or_init(install_recorder).clone()
}

fn install_recorder() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    // Every histogram measures seconds.
    let builder = builder
        .set_buckets_for_metric(Matcher::Suffix(String::from("_seconds")), &SECONDS_BUCKETS)
        .unwrap_or_default();
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("metrics_recorder_kept");
    }
    for metric in METRICS {
        metric.describe();
    }
    handle
}

/// Drains recorded histogram values into their buckets at each tick, so that they don't use more and
/// more memory between scrapes.
pub(crate) async fn run_upkeep(mut ticks: Ticks) {
    loop {
        ticks.next().await;
        recorder_handle().run_upkeep();
    }
}

/// Counts a request that ended and records its duration; `service` is `None` for a request to a
/// service that isn't in the settings.
pub(crate) fn count_request(
    service: Option<&ServiceName>,
    headers: &HeaderMap,
    duration: Duration,
) {
    let service = service.map_or_else(|| String::from(UNKNOWN_SERVICE_LABEL), ToString::to_string);
    let outcome = outcome_label(headers);
    metrics::counter!(REQUESTS, "service" => service.clone(), "outcome" => outcome).increment(1);
    metrics::histogram!(REQUEST_SECONDS, "service" => service).record(duration.as_secs_f64());
}

/// Returns the value of the label `outcome` for a response with these headers.
fn outcome_label(headers: &HeaderMap) -> &'static str {
    let value = headers.get(headers::OUTCOME).map(HeaderValue::as_bytes);
    match value {
        Some(b"answered") => "answered",
        Some(b"not-run") => "not-run",
        Some(b"unknown") => "unknown",
        _ => "other",
    }
}

/// Counts a connection or request that a listener refused.
pub(crate) fn count_refusal(listener: &'static str, refusal: Refusal) {
    metrics::counter!(REFUSED, "listener" => listener, "reason" => refusal.label()).increment(1);
}

/// Counts a record of the platform's log that the fold accepted or rejected.
pub(crate) fn count_record(accepted: bool) {
    let result = if accepted { "accepted" } else { "rejected" };
    metrics::counter!(RECORDS, "result" => result).increment(1);
}

/// Sets the gauges for the settings version, log offset, members and instances of the folded state.
#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
pub(crate) fn set_fleet_gauges(fleet: &Fleet) {
    let version = fleet
        .settings()
        .map_or(0, |accepted| accepted.version.get());
    metrics::gauge!(SETTINGS_VERSION).set(version as f64);
    metrics::gauge!(APPLIED_OFFSET).set(fleet.next_offset().get() as f64);
    metrics::gauge!(MEMBERS).set(fleet.members().count() as f64);
    let pools = fleet
        .settings()
        .map(|accepted| accepted.settings.pools.keys())
        .into_iter()
        .flatten();
    for pool in pools {
        for state in ["serving", "draining", "drained"] {
            let count = fleet
                .instances()
                .filter(|(_, instance)| {
                    instance.pool == *pool && state_label(&instance.state) == state
                })
                .count();
            let pool = pool.to_string();
            metrics::gauge!(INSTANCES, "pool" => pool, "state" => state).set(count as f64);
        }
    }
}

const fn state_label(state: &InstanceState) -> &'static str {
    match state {
        InstanceState::Serving => "serving",
        InstanceState::Draining { .. } => "draining",
        InstanceState::Drained { .. } => "drained",
    }
}
