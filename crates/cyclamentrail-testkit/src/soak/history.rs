//! What clients and workers recorded during a soak.

use std::time::Instant;

use super::keys::{KeyCall, KeyHistory};

/// Response to the only attempt to submit a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submission {
    /// The job was accepted.
    Accepted,
    /// The job was rejected and must never run.
    Rejected,
    /// There was no response, or one that leaves open whether the job runs.
    Unknown,
}

/// One job as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobHistory {
    /// Id of the job.
    pub id: String,
    /// Number of tasks of each step; a step begins after the one before it.
    pub step_tasks: Vec<u32>,
    /// Response to the submission.
    pub submission: Submission,
    /// When a cancel was confirmed.
    pub cancelled: Option<Instant>,
    /// States in the order in which they were first seen; the status code of a response without a
    /// state.
    pub states: Vec<String>,
}

impl JobHistory {
    /// Returns whether the last state is final.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let last = self.states.last().map(String::as_str);
        matches!(last, Some("completed" | "failed" | "cancelled"))
    }
}

/// One run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunHistory {
    /// Name of the task: job, occurrence, step and index, separated by dots.
    pub task: String,
    /// When its start command arrived at the worker, which may have carried it out late.
    pub requested: Instant,
    /// When the run began.
    pub began: Instant,
    /// When the run ended; the end of the worker at the latest.
    pub ended: Instant,
    /// Whether the run completed the task.
    pub is_done: bool,
    /// When an owner acknowledged the end.
    pub acknowledged: Option<Instant>,
}

impl RunHistory {
    /// Returns the id of the job.
    #[must_use]
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }

    /// Returns the number of the step.
    #[must_use]
    pub fn step(&self) -> usize {
        let step = self.task.split('.').nth(2);
        step.and_then(|step| step.parse().ok()).unwrap_or(0)
    }
}

/// One incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerHistory {
    /// Id of the worker.
    pub id: String,
    /// Runs in the order of their beginnings.
    pub runs: Vec<RunHistory>,
    /// When the worker gave notice.
    pub gave_notice: Option<Instant>,
    /// Beginnings and ends of the times in which the incarnation was cut off from all owners.
    pub cuts: Vec<(Instant, Instant)>,
    /// When the incarnation ended.
    pub ended: Instant,
}

impl WorkerHistory {
    /// Returns whether the worker was cut off at some time between two others.
    #[must_use]
    pub fn is_cut_between(&self, from: Instant, until: Instant) -> bool {
        self.cuts.iter().any(|cut| cut.0 <= until && cut.1 >= from)
    }
}

/// Everything that was recorded.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Jobs in the order of their submission.
    pub jobs: Vec<JobHistory>,
    /// Incarnations of the workers.
    pub workers: Vec<WorkerHistory>,
    /// Keys in the order in which they were added.
    pub keys: Vec<KeyHistory>,
    /// Answered calls of clients.
    pub calls: Vec<KeyCall>,
}

impl History {
    /// Returns the keys that were revoked.
    pub fn revoked_keys(&self) -> impl Iterator<Item = &KeyHistory> {
        self.keys.iter().filter(|key| key.revoked.is_some())
    }

    /// Returns the calls whose response had a status.
    pub fn calls_with(&self, status: u16) -> impl Iterator<Item = &KeyCall> {
        self.calls.iter().filter(move |call| call.status == status)
    }

    /// Returns the accepted jobs.
    pub fn accepted_jobs(&self) -> impl Iterator<Item = &JobHistory> {
        let is_accepted = |job: &&JobHistory| job.submission == Submission::Accepted;
        self.jobs.iter().filter(is_accepted)
    }
}
