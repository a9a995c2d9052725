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
