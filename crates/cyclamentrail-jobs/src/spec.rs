//! Jobs as callers submit them: steps, their tasks and the schedule.

use std::sync::Arc;

use cyclamentrail_core::{ImageName, LabelName, RackName};
use serde::{Deserialize, Serialize};

use crate::Resources;

/// Most tasks that one occurrence of a job may have.
pub const MAX_TASKS: usize = 20_000;

/// Description of a step, which is a number of equal tasks that run in parallel.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is a property of its own that callers may combine"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task takes while it runs.
    pub demand: Resources,
    /// Declared duration of a task in milliseconds, a rough estimate.
    pub estimate_ms: u64,
    /// Indices of the steps that must be done before this one starts.
    #[serde(rename = "after")]
    pub predecessors: Vec<u32>,
    /// Whether a task can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks are a gang, which makes progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slower when they run on more than one rack.
    #[serde(rename = "same_rack")]
    pub prefers_one_rack: bool,
    /// Label that the worker must have.
    #[serde(rename = "requires")]
    pub required_label: Option<LabelName>,
    /// Rack of the data, which is preferred.
    #[serde(rename = "affinity")]
    pub preferred_rack: Option<RackName>,
    /// Most tasks of one occurrence on the same worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of a task may execute at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks execute.
    pub image: Option<ImageName>,
    /// Upper bound for the tail of response times of a latency-sensitive task, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether the tasks are best-effort: they use only spare processor time, which isn't counted
    /// against the worker's capacity.
    #[serde(rename = "fills")]
    pub is_best_effort: bool,
    /// Number of tasks of a long-running step that the system may make unavailable at once.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task takes of its worker's counted capacity: its demand,
    /// without the processor for a best-effort task.
    #[must_use]
    pub const fn reserved_resources(&self) -> Resources {
        if self.is_best_effort {
            Resources::new(0, self.demand.memory_mib, self.demand.gpus)
        } else {
            self.demand
        }
    }
}

/// Schedule of a job that repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub repeats: u32,
    /// Unix time at which the first occurrence is due, in milliseconds.
    pub first_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// A job as its caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that is passed to each task.
    pub text: Arc<str>,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// Schedule of the job; without one, the job runs once and at once.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Returns the duration of the longest chain of steps (the critical path) in milliseconds, by
    /// the declared durations.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        self.critical_path_by(|_, step| step.estimate_ms)
    }

    /// Returns the duration of the longest chain of steps (the critical path) in milliseconds,
    /// where `step_ms` gives the duration of a step from its index and description.
    pub fn critical_path_by(&self, step_ms: impl Fn(usize, &StepSpec) -> u64) -> u64 {
        let mut step_ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (index, step) in self.steps.iter().enumerate() {
            let begin_ms = step
                .predecessors
                .iter()
                .filter_map(|&predecessor| step_ends_ms.get(predecessor as usize))
                .copied()
                .max()
                .unwrap_or(0);
            step_ends_ms.push(begin_ms.saturating_add(step_ms(index, step)));
        }
        step_ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns whether the job has a step that runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether the job can be run: it has steps, each step has tasks and comes after its
    /// predecessors, and an occurrence has at most [`MAX_TASKS`] tasks.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        for (index, step) in self.steps.iter().enumerate() {
            let is_ordered = step
                .predecessors
                .iter()
                .all(|&predecessor| (predecessor as usize) < index);
            if step.count == 0 || !is_ordered {
                return false;
            }
        }
        !self.steps.is_empty() && self.task_count() <= MAX_TASKS as u64
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }
}
