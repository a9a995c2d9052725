//! Jobs and the progress of their tasks.

use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName};
use slotmap::new_key_type;

use crate::worker::WorkerKey;
use crate::{JobSpec, Schedule, StepSpec};

new_key_type! {
    /// Key of a job in its shard.
    pub struct JobKey;
}

/// What callers are told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Accepted; nothing has started.
    Queued,
    /// Something has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed as often as its route allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns the name in logs and labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns whether nothing of the job will be started any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Names one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
}

/// How far an order to start a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Placed; the order hasn't been sent yet.
    Placed,
    /// Sent at least once; whether the worker has it isn't known.
    Sent,
    /// The worker has it; since when, on our clock in milliseconds.
    Running {
        /// When the worker confirmed it.
        since_ms: u64,
    },
    /// It is being stopped.
    Stopping {
        /// When the worker confirmed the order, on our clock in milliseconds.
        confirmed_ms: Option<u64>,
    },
}

/// Where a run of a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerKey,
    /// Number of the run, from 1.
    pub run: u32,
    /// How far it has come.
    pub phase: Phase,
    /// Whether an order to start it may still be carried out although nobody answered.
    pub is_ambiguous: bool,
    /// Share in percent at which the worker was told to let it work, if that is known.
    pub paced_percent: Option<u32>,
    /// Progress in percent that the worker last reported.
    pub percent: u32,
    /// When the progress last changed, on our clock in milliseconds.
    pub progress_ms: u64,
}

/// One task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// Whether a run has ended well.
    pub is_done: bool,
    /// Highest number of a run so far.
    pub run: u32,
    /// Numbers of the runs that failed; a worker may list the same end to two owners.
    pub failed_runs: Vec<u32>,
    /// Where the next run resumes; empty for the beginning.
    pub checkpoint: Arc<str>,
    /// The present run.
    pub placement: Option<Placement>,
}

impl Task {
    /// Counts a run that failed, once.
    pub fn count_failure(&mut self, run: u32) {
        if !self.failed_runs.contains(&run) {
            self.failed_runs.push(run);
        }
    }

    /// Returns how many runs failed.
    #[must_use]
    pub fn failures(&self) -> u32 {
        u32::try_from(self.failed_runs.len()).unwrap_or(u32::MAX)
    }
}

/// The tasks of one step of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepProgress {
    /// The tasks by index.
    pub tasks: Vec<Task>,
}

impl StepProgress {
    /// Creates a step of which nothing has run.
    #[must_use]
    pub fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); spec.count as usize],
        }
    }

    /// Returns whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.is_done)
    }
}

/// One occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Occurrence {
    /// Its number, from 0.
    pub number: u32,
    /// Its steps by index.
    pub steps: Vec<StepProgress>,
}

impl Occurrence {
    /// Creates an occurrence of which nothing has run.
    #[must_use]
    pub fn new(number: u32, spec: &JobSpec) -> Self {
        Self {
            number,
            steps: spec.steps.iter().map(StepProgress::new).collect(),
        }
    }

    /// Returns whether a step's predecessors are all done.
    #[must_use]
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        step.after
            .iter()
            .all(|&other| self.steps[other as usize].is_done())
    }

    /// Returns whether everything is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepProgress::is_done)
    }

    /// Returns whether a run of any task may still be on a worker.
    #[must_use]
    pub fn has_placements(&self) -> bool {
        self.steps
            .iter()
            .flat_map(|step| &step.tasks)
            .any(|task| task.placement.is_some())
    }
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its route.
    pub route: RouteName,
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// Unix time of its acceptance in milliseconds.
    pub accepted_ms: u64,
    /// Whether its caller cancelled it.
    pub is_cancelled: bool,
    /// Whether a task failed too often.
    pub is_failed: bool,
    /// Whether anything was ever started.
    pub has_started: bool,
    /// Occurrences that are due and not done, or whose runs haven't all ended.
    pub occurrences: Vec<Occurrence>,
    /// Number of the next occurrence that will become due.
    pub next_occurrence: u32,
    /// What callers are told; follows the state once that is durable.
    pub shown: JobState,
    /// Unix time at which it became final, in milliseconds.
    pub ended_ms: Option<u64>,
}

impl Job {
    /// Creates an accepted job.
    #[must_use]
    pub fn new(id: JobId, route: RouteName, spec: Arc<JobSpec>, accepted_ms: u64) -> Self {
        Self {
            id,
            route,
            spec,
            accepted_ms,
            is_cancelled: false,
            is_failed: false,
            has_started: false,
            occurrences: Vec::new(),
            next_occurrence: 0,
            shown: JobState::Queued,
            ended_ms: None,
        }
    }

    /// Returns how many times the steps run.
    #[must_use]
    pub fn repeats(&self) -> u32 {
        self.spec
            .schedule
            .map_or(1, |schedule| schedule.repeats.max(1))
    }

    /// Returns the Unix time in milliseconds at which the next occurrence is due, if there is one.
    #[must_use]
    pub fn next_due_ms(&self) -> Option<u64> {
        if self.next_occurrence >= self.repeats() || self.is_over() {
            return None;
        }
        Some(self.due_ms(self.next_occurrence))
    }

    /// Returns the Unix time in milliseconds at which an occurrence is due.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.spec
            .schedule
            .map_or(self.accepted_ms, |schedule: Schedule| {
                schedule.first_ms + u64::from(occurrence) * schedule.interval_ms
            })
    }

    /// Returns whether nothing more is to be started, whatever is still running.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_cancelled || self.is_failed
    }

    /// Returns the state that the progress amounts to.
    #[must_use]
    pub fn state(&self) -> JobState {
        if self.is_cancelled {
            JobState::Cancelled
        } else if self.is_failed {
            JobState::Failed
        } else if self.next_occurrence >= self.repeats()
            && self.occurrences.iter().all(Occurrence::is_done)
        {
            JobState::Completed
        } else if self.has_started {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    /// Returns whether a run of any task may still be on a worker.
    #[must_use]
    pub fn has_placements(&self) -> bool {
        self.occurrences.iter().any(Occurrence::has_placements)
    }

    /// Returns an occurrence by its number.
    #[must_use]
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.iter().find(|one| one.number == number)
    }

    /// Returns a task.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.occurrence(key.occurrence)?
            .steps
            .get(key.step as usize)?
            .tasks
            .get(key.index as usize)
    }

    /// Returns a task to be changed.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.occurrences
            .iter_mut()
            .find(|one| one.number == key.occurrence)?
            .steps
            .get_mut(key.step as usize)?
            .tasks
            .get_mut(key.index as usize)
    }
}
