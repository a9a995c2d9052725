//! All metrics with their kinds, units and labels.

use metrics::Unit;

/// Requests of callers that ended.
pub(crate) const REQUESTS: &str = "cyclamentrail_requests_total";
/// Time from a request's arrival to the head of its answer.
pub(crate) const REQUEST_SECONDS: &str = "cyclamentrail_request_seconds";
/// Connections and requests that a listener refused.
pub(crate) const REFUSED: &str = "cyclamentrail_refused_total";
/// Open connections of a listener.
pub(crate) const CONNECTIONS: &str = "cyclamentrail_connections";
/// Records of the log that were folded.
pub(crate) const RECORDS: &str = "cyclamentrail_records_total";
/// Version of the settings in force.
pub(crate) const SETTINGS_VERSION: &str = "cyclamentrail_settings_version";
/// Offset of the next record to fold.
pub(crate) const APPLIED_OFFSET: &str = "cyclamentrail_applied_offset";
/// Entries that are members.
pub(crate) const MEMBERS: &str = "cyclamentrail_members";
/// Instances by pool and state.
pub(crate) const INSTANCES: &str = "cyclamentrail_instances";
/// Jobs that were accepted, rejected (by reason) or became final (by state).
pub(crate) const JOBS: &str = "cyclamentrail_jobs_total";
/// Seconds from a job's acceptance until it became final.
pub(crate) const JOB_SECONDS: &str = "cyclamentrail_job_seconds";
/// Runs of tasks that ended, by how, or by what shows that they are gone.
pub(crate) const RUNS_ENDED: &str = "cyclamentrail_runs_ended_total";
/// Looks that found a task waiting for long, by what it waits for.
pub(crate) const TASK_WAITS: &str = "cyclamentrail_task_waits_total";
/// Times that a worker got nothing for a while.
pub(crate) const WORKERS_AVOIDED: &str = "cyclamentrail_workers_avoided_total";
/// Work that arrives, in whole workers.
pub(crate) const POOL_DEMAND: &str = "cyclamentrail_pool_demand_workers";
/// Accepted work that hasn't started, in seconds of a whole worker.
pub(crate) const POOL_WAITING: &str = "cyclamentrail_pool_waiting_worker_seconds";
/// Orders to workers.
pub(crate) const WORKER_CALLS: &str = "cyclamentrail_worker_calls_total";
/// Calls of the platform's store.
pub(crate) const STORE_CALLS: &str = "cyclamentrail_store_calls_total";
/// Seconds that calls of the platform's store took.
pub(crate) const STORE_SECONDS: &str = "cyclamentrail_store_call_seconds";
/// Shards that this process took over.
pub(crate) const SHARDS_TAKEN: &str = "cyclamentrail_shards_taken_total";
/// Orders for machines: moves and maintenance.
pub(crate) const MACHINE_ORDERS: &str = "cyclamentrail_machine_orders_total";
/// Log lines that were dropped because their reader stalled.
pub(crate) const LINES_DROPPED: &str = "cyclamentrail_log_lines_dropped";
/// Log lines that the budget left out.
pub(crate) const LINES_LEFT_OUT: &str = "cyclamentrail_log_lines_left_out_total";

/// Kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Only rises.
    Counter,
    /// Rises and falls.
    Gauge,
    /// Counts values by size.
    Histogram,
}

impl MetricKind {
    /// Returns the name that the exporter gives the kind.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// One metric of the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Exported name.
    pub name: &'static str,
    /// Kind.
    pub kind: MetricKind,
    /// Label names; each takes values from a closed set.
    pub labels: &'static [&'static str],
    /// What it measures.
    pub help: &'static str,
}

/// All metrics that the process exports.
pub const METRICS: &[Metric] = &[
    Metric {
        name: REQUESTS,
        kind: MetricKind::Counter,
        labels: &["service", "outcome"],
        help: "Requests of callers that ended.",
    },
    Metric {
        name: REQUEST_SECONDS,
        kind: MetricKind::Histogram,
        labels: &["service"],
        help: "Seconds from a request's arrival to the head of its answer.",
    },
    Metric {
        name: REFUSED,
        kind: MetricKind::Counter,
        labels: &["listener", "reason"],
        help: "Connections and requests that a listener refused.",
    },
    Metric {
        name: CONNECTIONS,
        kind: MetricKind::Gauge,
        labels: &["listener"],
        help: "Open connections of a listener.",
    },
    Metric {
        name: RECORDS,
        kind: MetricKind::Counter,
        labels: &["result"],
        help: "Records of the log that were folded.",
    },
    Metric {
        name: SETTINGS_VERSION,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "Version of the settings in force.",
    },
    Metric {
        name: APPLIED_OFFSET,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "Offset of the next record to fold.",
    },
    Metric {
        name: MEMBERS,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "Entries that are members.",
    },
    Metric {
        name: INSTANCES,
        kind: MetricKind::Gauge,
        labels: &["pool", "state"],
        help: "Instances by pool and state.",
    },
    Metric {
        name: JOBS,
        kind: MetricKind::Counter,
        labels: &["service", "outcome"],
        help: "Jobs that were accepted, rejected (by reason) or became final (by state).",
    },
    Metric {
        name: JOB_SECONDS,
        kind: MetricKind::Histogram,
        labels: &["service", "outcome"],
        help: "Seconds from a job's acceptance until it became final.",
    },
    Metric {
        name: RUNS_ENDED,
        kind: MetricKind::Counter,
        labels: &["service", "how"],
        help: "Runs of tasks that ended, by how, or by what shows that they are gone.",
    },
    Metric {
        name: TASK_WAITS,
        kind: MetricKind::Counter,
        labels: &["service", "reason"],
        help: "Looks that found a task waiting for long, by what it waits for.",
    },
    Metric {
        name: WORKERS_AVOIDED,
        kind: MetricKind::Counter,
        labels: &["service"],
        help: "Times that a worker got nothing for a while.",
    },
    Metric {
        name: POOL_DEMAND,
        kind: MetricKind::Gauge,
        labels: &["service"],
        help: "Work that arrives, in whole workers.",
    },
    Metric {
        name: POOL_WAITING,
        kind: MetricKind::Gauge,
        labels: &["service"],
        help: "Accepted work that hasn't started, in seconds of a whole worker.",
    },
    Metric {
        name: WORKER_CALLS,
        kind: MetricKind::Counter,
        labels: &["call", "outcome"],
        help: "Orders to workers.",
    },
    Metric {
        name: STORE_CALLS,
        kind: MetricKind::Counter,
        labels: &["call", "outcome"],
        help: "Calls of the platform's store.",
    },
    Metric {
        name: STORE_SECONDS,
        kind: MetricKind::Histogram,
        labels: &["call"],
        help: "Seconds that calls of the platform's store took.",
    },
    Metric {
        name: SHARDS_TAKEN,
        kind: MetricKind::Counter,
        labels: &[],
        help: "Shards that this process took over.",
    },
    Metric {
        name: MACHINE_ORDERS,
        kind: MetricKind::Counter,
        labels: &["order", "outcome"],
        help: "Orders for machines: moves and maintenance.",
    },
    Metric {
        name: LINES_DROPPED,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "Log lines that were dropped because their reader stalled.",
    },
    Metric {
        name: LINES_LEFT_OUT,
        kind: MetricKind::Counter,
        labels: &[],
        help: "Log lines that the budget left out.",
    },
];

impl Metric {
    /// Tells the recorder what the metric measures.
    pub(crate) fn describe(&self) {
        match self.kind {
            MetricKind::Counter => {
                metrics::describe_counter!(self.name, Unit::Count, self.help);
            }
            MetricKind::Gauge => metrics::describe_gauge!(self.name, Unit::Count, self.help),
            MetricKind::Histogram => {
                metrics::describe_histogram!(self.name, Unit::Seconds, self.help);
            }
        }
    }
}
