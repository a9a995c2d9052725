//! What a caller hands in: a job, its steps and when they are due.

use std::sync::Arc;

use cyclamentrail_core::{ImageName, LabelName, RackName};
use serde::{Deserialize, Serialize};

use crate::Resources;

/// Most tasks that one occurrence of a job may have.
pub const MAX_TASKS: usize = 20_000;

/// One step: tasks that run beside each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is a property of its own that callers may combine"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes while it runs.
    pub demand: Resources,
    /// Rough duration of a task in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the steps that must be done first.
    pub after: Vec<u32>,
    /// Whether a task can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks only work when all of them are present.
    pub gang: bool,
    /// Whether the tasks slow down when they are on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub requires: Option<LabelName>,
    /// Rack where the data is.
    pub affinity: Option<RackName>,
    /// Most tasks of one occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run.
    pub image: Option<ImageName>,
    /// Bound of the tail of the response times of a serving task, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether the tasks use only processor that others leave, so that it isn't counted.
    pub fills: bool,
    /// Tasks of a long-running step that the system may make unavailable at once.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// Returns what a task takes of its worker's counted capacity.
    #[must_use]
    pub const fn counted(&self) -> Resources {
        if self.fills {
            Resources::new(0, self.demand.memory_mib, self.demand.gpus)
        } else {
            self.demand
        }
    }
}

/// When a job that repeats is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many times the steps run.
    pub repeats: u32,
    /// Unix time of the first occurrence in milliseconds.
    pub first_ms: u64,
    /// Time between two occurrences in milliseconds.
    pub interval_ms: u64,
}

/// A job as its caller hands it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that each task is started with.
    pub text: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps are due; at once and only once if left out.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Returns the time of the longest chain of steps in milliseconds, by the declared times.
    #[must_use]
    pub fn chain_ms(&self) -> u64 {
        self.chain_by(|_, step| step.estimate_ms)
    }

    /// Returns the time of the longest chain of steps in milliseconds, where a step takes what
    /// `step_ms` says of its index and description.
    pub fn chain_by(&self, step_ms: impl Fn(usize, &StepSpec) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (index, step) in self.steps.iter().enumerate() {
            let begin = step
                .after
                .iter()
                .filter_map(|&other| ends.get(other as usize))
                .copied()
                .max()
                .unwrap_or(0);
            ends.push(begin.saturating_add(step_ms(index, step)));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns whether all steps run until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether the job can be run at all: every step has tasks and comes after its
    /// predecessors, and the whole is of a size that can be kept.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        let mut tasks = 0_usize;
        for (index, step) in self.steps.iter().enumerate() {
            tasks = tasks.saturating_add(step.count as usize);
            let ordered = step.after.iter().all(|&other| (other as usize) < index);
            if step.count == 0 || !ordered {
                return false;
            }
        }
        !self.steps.is_empty() && tasks <= MAX_TASKS
    }
}
