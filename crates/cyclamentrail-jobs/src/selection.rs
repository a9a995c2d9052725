//! Selects a worker for a task.
//!
//! Tasks go to the workers with the least spare capacity, so that whole workers stay free for
//! large tasks and for other pools. They go near their data, and away from workers that fail the
//! tasks that they start. Long-running tasks share few workers, because each of them pins its
//! worker to the pool.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{LabelName, RackName};

use crate::best_effort_share::FULL_SHARE_PERCENT;
use crate::worker::{Worker, WorkerKey};
use crate::{Resources, StepSpec};

/// Cost of a whole unused worker; the costs below are in thousandths of it.
const WHOLE_WORKER: u64 = 1_000;
/// Cost of pinning another worker with a long-running task, in thousandths of a whole worker.
const NEWLY_PINNED_PENALTY: u64 = 4_000;
/// Cost of placing other tasks on a pinned worker, in thousandths of a whole worker; its spare
/// capacity is kept for long-running tasks that start again.
const PINNED_PENALTY: u64 = 1_200;
/// Cost of each long-running task of the same step on the worker, in thousandths of a whole
/// worker. A worker that fails then ends few of the step's tasks, and a worker that is to be
/// emptied has few tasks that have to move one after the other.
const SAME_STEP_PENALTY: u64 = 2_500;
/// Cost of a worker that isn't on the preferred rack, in thousandths of a whole worker.
const OTHER_RACK_PENALTY: u64 = 2_000;
/// Cost of placing a best-effort task on a worker whose best-effort tasks are limited, in
/// thousandths of a whole worker.
const LIMITED_PENALTY: u64 = 3_000;
/// Cost of each recent failure of the worker, in thousandths of a whole worker.
const FAILURE_PENALTY: u64 = 300;

/// Requirements and preferences of a task that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Capacity that the task takes.
    pub demand: Resources,
    /// Label that the worker must have.
    pub required_label: Option<&'a LabelName>,
    /// Rack that is preferred.
    pub preferred_rack: Option<&'a RackName>,
    /// Whether the task runs until its job is cancelled.
    pub is_long_running: bool,
    /// Whether the task is best-effort and uses only spare processor time.
    pub is_best_effort: bool,
    /// Workers that are pinned by long-running tasks, or `None` if pinning doesn't matter.
    pub pinned_workers: Option<&'a BTreeSet<WorkerKey>>,
    /// Number of tasks of the same step on each worker, or `None` if it doesn't matter.
    pub same_step_counts: Option<&'a BTreeMap<WorkerKey, u32>>,
    /// Workers that the queue's policy permits to run the task, or `None` if the queue has no
    /// policy.
    pub granted_workers: Option<&'a BTreeSet<WorkerKey>>,
    /// Additional costs of workers by the learned run times, in thousandths of a whole worker;
    /// `None` if these aren't used.
    pub run_time_costs: Option<&'a BTreeMap<WorkerKey, u64>>,
}

impl<'a> From<&'a StepSpec> for PlacementRequest<'a> {
    fn from(step: &'a StepSpec) -> Self {
        Self {
            demand: step.reserved_resources(),
            required_label: step.required_label.as_ref(),
            preferred_rack: step.preferred_rack.as_ref(),
            is_long_running: step.long_running,
            is_best_effort: step.is_best_effort,
            pinned_workers: None,
            same_step_counts: None,
            granted_workers: None,
            run_time_costs: None,
        }
    }
}

impl PlacementRequest<'_> {
    /// Returns whether the worker has the required label and, when empty, enough capacity for the
    /// task.
    #[must_use]
    pub fn is_suitable(&self, worker: &Worker) -> bool {
        worker.registration.capacity.contains(&self.demand)
            && self
                .required_label
                .is_none_or(|label| worker.has_label(label.as_str()))
    }

    /// Returns the cost of placing the task on a worker, in thousandths of a whole worker; the
    /// lowest cost wins.
    #[must_use]
    pub fn cost(&self, key: WorkerKey, worker: &Worker) -> u64 {
        let capacity = &worker.registration.capacity;
        let load = worker
            .used_capacity
            .saturating_add(&self.demand)
            .dominant_share_milli(capacity);
        let unused = WHOLE_WORKER.saturating_sub(load);
        let is_pinned = self
            .pinned_workers
            .is_some_and(|pinned| pinned.contains(&key));
        let pinning = match (self.is_long_running, is_pinned) {
            (true, false) if self.pinned_workers.is_some() => NEWLY_PINNED_PENALTY,
            (false, true) => PINNED_PENALTY,
            _ => 0,
        };
        let other_rack = match self.preferred_rack {
            Some(rack) if !worker.is_on_rack(rack) => OTHER_RACK_PENALTY,
            _ => 0,
        };
        let same_step = match self.same_step_counts.and_then(|counts| counts.get(&key)) {
            Some(&count) if self.is_long_running => u64::from(count) * SAME_STEP_PENALTY,
            _ => 0,
        };
        let is_limited =
            self.is_best_effort && worker.best_effort_share.percent() < FULL_SHARE_PERCENT;
        let limited = if is_limited { LIMITED_PENALTY } else { 0 };
        let run_times = self.run_time_costs.and_then(|costs| costs.get(&key));
        unused
            + run_times.copied().unwrap_or(0)
            + other_rack
            + pinning
            + same_step
            + limited
            + u64::from(worker.failure_score) * FAILURE_PENALTY
    }
}

/// Returns the worker with the lowest cost among those that have room for the task now.
#[must_use]
pub fn select_worker<'a>(
    request: &PlacementRequest<'_>,
    workers: impl Iterator<Item = (WorkerKey, &'a Worker)>,
) -> Option<WorkerKey> {
    workers
        .filter(|(key, _)| {
            request
                .granted_workers
                .is_none_or(|granted| granted.contains(key))
        })
        .filter(|(_, worker)| {
            request.is_suitable(worker) && worker.free_capacity().contains(&request.demand)
        })
        .min_by_key(|(key, worker)| request.cost(*key, worker))
        .map(|(key, _)| key)
}
