//! Outcomes of calls to workers, and what a worker reports of its runs.

use std::sync::Arc;

use cyclamentrail_core::JobId;
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The run completed the task.
    Done,
    /// The run failed, because of the task or of its worker.
    Failed,
    /// The run was stopped by command.
    Stopped,
    /// The worker ended the run because its lease had expired.
    LeaseExpired,
    /// The run ended because another member of its gang did.
    GangBroken,
    /// The run ended because its gang wasn't complete in time.
    GangIncomplete,
}

impl EndKind {
    /// Returns the kind as it is written in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
        }
    }
}

/// Whether a completed job kept its objective, and what made it late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job completed within its objective.
    OnTime,
    /// The job waited longer for its first start than its slack.
    LateByWaiting,
    /// The job's first task started in time, but a run was repeated: it failed, was stopped or was
    /// lost with its worker.
    LateByRepetition,
    /// Tasks of the job waited between its steps, or took longer than expected.
    LateByRunning,
}

impl Timeliness {
    /// Returns the value as it is written in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::LateByWaiting => "late_waiting",
            Self::LateByRepetition => "late_repeated",
            Self::LateByRunning => "late_running",
        }
    }
}

/// Identifies a run in a worker's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRunId {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
    /// Number of the run, from 1.
    pub run: u32,
}

/// Run that a worker reports as executing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// Identity of the run.
    pub id: TaskRunId,
    /// Newest checkpoint of the run; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress of the run, in percent.
    pub progress_percent: u32,
    /// Tail of response times in milliseconds for a latency-sensitive task, processor use in
    /// thousandths of a core for any other.
    pub load: u64,
}

/// Ended run that a worker reports until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Sequence number of the entry, which counts the ended runs of this incarnation of the
    /// worker.
    pub sequence: u64,
    /// Identity of the run.
    pub id: TaskRunId,
    /// How the run ended.
    pub end: EndKind,
    /// Last checkpoint of the run; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Response of a worker to a poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Start time of the incarnation that responded, as Unix time in milliseconds, if the response
    /// has one.
    pub started_ms: Option<u64>,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs that are executing.
    pub running: Vec<ActiveRun>,
    /// Runs that have ended and aren't acknowledged yet; the earliest of them if `may_lack_ends`.
    pub ended: Vec<EndedRun>,
    /// Whether further runs may have ended, because the worker lists only so many ends at a time. A run
    /// that isn't listed is then not known to be gone. Left out if the list is whole, as processes of
    /// earlier versions don't know the field.
    #[serde(default, skip_serializing_if = "is_false")]
    pub may_lack_ends: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// Outcome of a command to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The worker carried out the command; with a reading of its clock in milliseconds, if the
    /// response has one.
    Done(Option<u64>),
    /// The worker rejected the command; with a reading of its clock in milliseconds, if the
    /// response has one.
    Rejected(CommandRejection, Option<u64>),
    /// The worker responded that it is overloaded or unhealthy, and didn't carry out the command.
    Unhealthy,
    /// Another incarnation of the worker responded and didn't carry out the command.
    OtherIncarnation,
    /// The worker didn't respond, or responded with an unexpected status; it may still carry out
    /// the command later.
    NoResponse,
    /// The command wasn't sent, so that it is never carried out.
    NotSent,
    /// The command was given to a relay that was too late to send it, so that it is never carried
    /// out. Tells nothing about the worker.
    Expired,
    /// The command was given to a relay that has been lost; the worker may have carried it out, or
    /// may still do so. Tells nothing about the worker.
    RelayLost,
}

/// Reason for which a worker rejected a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandRejection {
    /// The command's fencing token is lower than one that the worker has seen.
    StaleToken,
    /// The worker has already seen this run or a later run of the same task.
    StaleRun,
    /// The command's lease had already expired.
    LeaseExpired,
    /// The worker lacks free capacity for the task.
    NoCapacity,
    /// The policy's ticket isn't valid.
    InvalidTicket,
    /// The worker couldn't parse the command, or gave an unknown reason.
    Malformed,
}

/// Outcome of a worker poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollOutcome {
    /// The worker responded.
    Report(WorkerReport),
    /// The worker has seen a higher fencing token and rejected the poll.
    StaleToken,
    /// Another incarnation of the worker responded.
    OtherIncarnation,
    /// The worker didn't respond, or its response can't be parsed.
    NoResponse,
    /// The poll wasn't sent.
    NotSent,
}
