//! The catalogue of all metrics, with the name, kind, labels and help text of each.

use metrics::Unit;

/// Requests of callers that ended, by service and outcome.
pub(crate) const REQUESTS: &str = "cyclamentrail_requests_total";
/// Seconds from a request's arrival to the head of its response.
pub(crate) const REQUEST_SECONDS: &str = "cyclamentrail_request_seconds";
/// Connections and requests that a listener refused, by reason.
pub(crate) const REFUSED: &str = "cyclamentrail_refused_total";
/// Open connections of a listener.
pub(crate) const CONNECTIONS: &str = "cyclamentrail_connections";
/// Records of the platform's log that were folded, by whether the fold accepted them.
pub(crate) const RECORDS: &str = "cyclamentrail_records_total";
/// Version of the settings in force on this entry.
pub(crate) const SETTINGS_VERSION: &str = "cyclamentrail_settings_version";
/// Offset of the next record of the platform's log to fold.
pub(crate) const APPLIED_OFFSET: &str = "cyclamentrail_applied_offset";
/// Entries that are members of the site, as folded from the platform's log.
pub(crate) const MEMBERS: &str = "cyclamentrail_members";
/// Instances by pool and state.
pub(crate) const INSTANCES: &str = "cyclamentrail_instances";
/// Jobs that were accepted, rejected (by reason) or became final (by state).
pub(crate) const JOBS: &str = "cyclamentrail_jobs_total";
/// Seconds from a job's acceptance until it became final.
pub(crate) const JOB_SECONDS: &str = "cyclamentrail_job_seconds";
/// Completed jobs by whether they kept their objective, and what made them late.
pub(crate) const JOBS_COMPLETED: &str = "cyclamentrail_jobs_completed_total";
/// Runs of tasks by the reported end, by the proof that the run has ended, or as stalled.
pub(crate) const RUNS_ENDED: &str = "cyclamentrail_runs_ended_total";
/// Times that a task was found waiting long after its job was accepted, by what it waits for.
pub(crate) const TASK_WAITS: &str = "cyclamentrail_task_waits_total";
/// Times that a worker was avoided: no task was placed on it for some time.
pub(crate) const WORKERS_AVOIDED: &str = "cyclamentrail_workers_avoided_total";
/// Runs in progress that a worker listed though they weren't assigned to it.
pub(crate) const UNASSIGNED_RUNS: &str = "cyclamentrail_unassigned_runs_total";
/// Jobs that were given up because workers crashed under one of their tasks.
pub(crate) const JOBS_GIVEN_UP: &str = "cyclamentrail_jobs_given_up_total";
/// Completed jobs, by the probability with which they were expected to end on time.
pub(crate) const PROMISES: &str = "cyclamentrail_promises_total";
/// Work that was submitted recently, accepted or not, in whole workers.
pub(crate) const POOL_DEMAND: &str = "cyclamentrail_pool_demand_workers";
/// Accepted work that hasn't started, in seconds of a whole worker.
pub(crate) const POOL_WAITING: &str = "cyclamentrail_pool_waiting_worker_seconds";
/// Jobs that a new owner holds because it can't read one of their records.
pub(crate) const JOBS_HELD: &str = "cyclamentrail_jobs_held_total";
/// Jobs that teams submitted to a service, accepted or rejected (by reason).
pub(crate) const TEAM_JOBS: &str = "cyclamentrail_team_jobs_total";
/// Jobs of teams with tasks that wait for a worker.
pub(crate) const TEAM_WAITING: &str = "cyclamentrail_team_waiting_jobs";
/// Part of a team's cap that its tasks in a service's pool take.
pub(crate) const TEAM_CAP_USED: &str = "cyclamentrail_team_cap_used_ratio";
/// Part of a service's pool that a team's tasks take, and that is due to it.
pub(crate) const TEAM_SHARE: &str = "cyclamentrail_team_share_ratio";
/// Commands to workers, by kind and outcome.
pub(crate) const WORKER_COMMANDS: &str = "cyclamentrail_worker_calls_total";
/// Seconds that calls to workers took, by kind; of a poll, without the time that it may wait.
pub(crate) const WORKER_SECONDS: &str = "cyclamentrail_worker_call_seconds";
/// Start commands that were sent, by whether their worker was known to leave.
pub(crate) const STARTS: &str = "cyclamentrail_starts_total";
/// Seconds since the registrations were read, at each start command.
pub(crate) const REGISTRY_AGE: &str = "cyclamentrail_registry_age_seconds";
/// Calls to the platform's store, by kind and outcome.
pub(crate) const STORE_CALLS: &str = "cyclamentrail_store_calls_total";
/// Seconds that calls to the platform's store took; reads of topics aren't included.
pub(crate) const STORE_SECONDS: &str = "cyclamentrail_store_call_seconds";
/// Seconds from the sending of a successful read of a topic to the end of the next one.
pub(crate) const TOPIC_UNREAD: &str = "cyclamentrail_topic_unread_seconds";
/// Shards that this process took over.
pub(crate) const SHARD_TAKEOVERS: &str = "cyclamentrail_shards_taken_total";
/// Calls to workers that this process sent for owners in other processes, by outcome.
pub(crate) const RELAYED_CALLS: &str = "cyclamentrail_relayed_calls_total";
/// Commands for machines (moves and maintenance), by outcome.
pub(crate) const MACHINE_COMMANDS: &str = "cyclamentrail_machine_orders_total";
/// Changes of teams' allowances, by service and direction.
pub(crate) const ALLOWANCES: &str = "cyclamentrail_quota_allowance_changes_total";
/// Reports to the quota's ledger, by whether a reply came in time.
pub(crate) const QUOTA_REPORTS: &str = "cyclamentrail_quota_reports_total";
/// Teams with tasks that wait for a larger allowance, by service.
pub(crate) const QUOTA_WAITING: &str = "cyclamentrail_quota_waiting_teams";
/// Whether the quota's ledger in this process lends.
pub(crate) const QUOTA_LENDING: &str = "cyclamentrail_quota_ledger_lends";
/// Log lines that were dropped because their reader stalled.
pub(crate) const LINES_DROPPED: &str = "cyclamentrail_log_lines_dropped";
/// Log lines that were omitted because the budget of their shard was used up.
pub(crate) const LINES_OMITTED: &str = "cyclamentrail_log_lines_left_out_total";

/// Calls that weren't served because of their key or their team, by reason.
pub(crate) const CALLERS_REFUSED: &str = "cyclamentrail_callers_refused_total";

/// Kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Value that only rises.
    Counter,
    /// Value that rises and falls.
    Gauge,
    /// Distribution of values over buckets; all histograms measure seconds.
    Histogram,
}

impl MetricKind {
    /// Returns the name of the kind in the Prometheus text format.
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
    /// Name under which the metric is exported.
    pub name: &'static str,
    /// Kind under which the metric is exported.
    pub kind: MetricKind,
    /// Label names; each takes values from a closed set.
    pub labels: &'static [&'static str],
    /// Description of the measured value, exported as the help text.
    pub help: &'static str,
}

/// All metrics that the process exports.
pub const METRICS: &[Metric] = &[
    Metric {
        name: REQUESTS,
        kind: MetricKind::Counter,
        labels: &["service", "outcome"],
        help: "Requests of callers that ended, by service and outcome.",
    },
    Metric {
        name: REQUEST_SECONDS,
        kind: MetricKind::Histogram,
        labels: &["service"],
        help: "Seconds from a request's arrival to the head of its response.",
    },
    Metric {
        name: REFUSED,
        kind: MetricKind::Counter,
        labels: &["listener", "reason"],
        help: "Connections and requests that a listener refused, by reason.",
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
        help: "Records of the platform's log that were folded, by whether the fold accepted them.",
    },
    Metric {
        name: SETTINGS_VERSION,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "Version of the settings in force on this entry.",
    },
    Metric {
        name: APPLIED_OFFSET,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "Offset of the next record of the platform's log to fold.",
    },
    Metric {
        name: MEMBERS,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "Entries that are members of the site, as folded from the platform's log.",
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
        name: JOBS_COMPLETED,
        kind: MetricKind::Counter,
        labels: &["service", "objective"],
        help: "Completed jobs by whether they kept their objective, and what made them late.",
    },
    Metric {
        name: RUNS_ENDED,
        kind: MetricKind::Counter,
        labels: &["service", "how"],
        help: "Runs of tasks by the reported end, by the proof that the run has ended, or as stalled.",
    },
    Metric {
        name: TASK_WAITS,
        kind: MetricKind::Counter,
        labels: &["service", "reason"],
        help: "Times that a task was found waiting long after its job was accepted, by what it waits for.",
    },
    Metric {
        name: WORKERS_AVOIDED,
        kind: MetricKind::Counter,
        labels: &["service"],
        help: "Times that a worker was avoided: no task was placed on it for some time.",
    },
    Metric {
        name: UNASSIGNED_RUNS,
        kind: MetricKind::Counter,
        labels: &["service"],
        help: "Runs in progress that a worker listed though they weren't assigned to it.",
    },
    Metric {
        name: JOBS_GIVEN_UP,
        kind: MetricKind::Counter,
        labels: &["service"],
        help: "Jobs that were given up because workers crashed under one of their tasks.",
    },
    Metric {
        name: JOBS_HELD,
        kind: MetricKind::Counter,
        labels: &["service"],
        help: "Jobs that a new owner holds because it can't read one of their records.",
    },
    Metric {
        name: PROMISES,
        kind: MetricKind::Counter,
        labels: &["service", "promised", "outcome"],
        help: "Completed jobs with learned run times, by the least percentage with which they were expected to end on time.",
    },
    Metric {
        name: POOL_DEMAND,
        kind: MetricKind::Gauge,
        labels: &["service"],
        help: "Work that was submitted recently, accepted or not, in whole workers.",
    },
    Metric {
        name: POOL_WAITING,
        kind: MetricKind::Gauge,
        labels: &["service"],
        help: "Accepted work that hasn't started, in seconds of a whole worker.",
    },
    Metric {
        name: TEAM_JOBS,
        kind: MetricKind::Counter,
        labels: &["service", "team", "outcome"],
        help: "Jobs that teams submitted to a service, accepted or rejected (by reason). Here and below, the label team names 50 teams of a service at most; other stands for the rest, none for jobs without a team.",
    },
    Metric {
        name: TEAM_WAITING,
        kind: MetricKind::Gauge,
        labels: &["service", "team"],
        help: "Jobs of teams with tasks that wait for a worker.",
    },
    Metric {
        name: TEAM_CAP_USED,
        kind: MetricKind::Gauge,
        labels: &["service", "team"],
        help: "Part of a team's cap that its tasks in a service's pool take, 0 without a cap; of other teams, the largest.",
    },
    Metric {
        name: TEAM_SHARE,
        kind: MetricKind::Gauge,
        labels: &["service", "team", "part"],
        help: "Part of a service's pool that a team's tasks take (received), and that is due to it by the weights and its work (due).",
    },
    Metric {
        name: WORKER_COMMANDS,
        kind: MetricKind::Counter,
        labels: &["call", "outcome"],
        help: "Commands to workers, by kind and outcome.",
    },
    Metric {
        name: WORKER_SECONDS,
        kind: MetricKind::Histogram,
        labels: &["call"],
        help: "Seconds that calls to workers took, by kind; of a poll, without the time that it may wait.",
    },
    Metric {
        name: STARTS,
        kind: MetricKind::Counter,
        labels: &["worker"],
        help: "Start commands that were sent, by whether their worker was known to leave.",
    },
    Metric {
        name: REGISTRY_AGE,
        kind: MetricKind::Histogram,
        labels: &[],
        help: "Seconds since the registrations were read, at each start command.",
    },
    Metric {
        name: STORE_CALLS,
        kind: MetricKind::Counter,
        labels: &["call", "topic", "outcome"],
        help: "Calls to the platform's store, by kind and outcome; reads of topics also by topic.",
    },
    Metric {
        name: STORE_SECONDS,
        kind: MetricKind::Histogram,
        labels: &["call"],
        help: "Seconds that calls to the platform's store took; reads of topics aren't included.",
    },
    Metric {
        name: TOPIC_UNREAD,
        kind: MetricKind::Histogram,
        labels: &["topic"],
        help: "Seconds from the sending of a successful read of a topic to the end of the next one.",
    },
    Metric {
        name: SHARD_TAKEOVERS,
        kind: MetricKind::Counter,
        labels: &[],
        help: "Shards that this process took over.",
    },
    Metric {
        name: RELAYED_CALLS,
        kind: MetricKind::Counter,
        labels: &["outcome"],
        help: "Calls to workers that this process took for owners in other processes: sent, or expired before they could be sent.",
    },
    Metric {
        name: MACHINE_COMMANDS,
        kind: MetricKind::Counter,
        labels: &["order", "outcome"],
        help: "Commands for machines (moves and maintenance), by outcome.",
    },
    Metric {
        name: ALLOWANCES,
        kind: MetricKind::Counter,
        labels: &["service", "change"],
        help: "Changes of teams' allowances, by service: raised or lowered.",
    },
    Metric {
        name: QUOTA_REPORTS,
        kind: MetricKind::Counter,
        labels: &["outcome"],
        help: "Reports to the ledger of the teams' quota, by whether a reply came in time.",
    },
    Metric {
        name: QUOTA_WAITING,
        kind: MetricKind::Gauge,
        labels: &["service"],
        help: "Teams with tasks that wait for a larger allowance, as of the last report.",
    },
    Metric {
        name: QUOTA_LENDING,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "1 if the ledger of the teams' quota is in this process and every shard has reported to it, else 0.",
    },
    Metric {
        name: LINES_DROPPED,
        kind: MetricKind::Gauge,
        labels: &[],
        help: "Log lines that were dropped because their reader stalled.",
    },
    Metric {
        name: LINES_OMITTED,
        kind: MetricKind::Counter,
        labels: &[],
        help: "Log lines that were omitted because the budget of their shard was used up.",
    },
    Metric {
        name: CALLERS_REFUSED,
        kind: MetricKind::Counter,
        labels: &["reason"],
        help: "Calls that weren't served because of their key or their team, by reason.",
    },
];

impl Metric {
    /// Registers the metric's unit and help text with the installed recorder.
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
