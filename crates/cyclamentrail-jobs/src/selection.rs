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
use crate::{RecentLoss, Resources, StepSpec};

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

/// Cost of a worker that may have been lost with another, in thousandths of a whole worker: it decides
/// between equal workers only.
const DOUBT_PENALTY: u64 = 1;

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
    /// Last loss of a worker, if it casts doubt on others.
    pub recent_loss: Option<RecentLoss>,
    /// The only worker that may run the task, or `None` if any may.
    pub only_worker: Option<WorkerKey>,
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
            recent_loss: None,
            only_worker: None,
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

    /// Returns the cost of placing the task on a worker, in thousandths of a whole worker; `None` if the
    /// worker isn't permitted or has no room for the task now.
    #[must_use]
    pub fn cost_with_room(&self, key: WorkerKey, worker: &Worker) -> Option<u64> {
        let is_permitted = self
            .granted_workers
            .is_none_or(|granted| granted.contains(&key))
            && self.only_worker.is_none_or(|only| only == key);
        let has_room = worker.free_capacity().contains(&self.demand);
        (has_room && is_permitted && self.is_suitable(worker)).then(|| self.cost(key, worker))
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
        let is_doubtful = self
            .recent_loss
            .is_some_and(|loss| loss.casts_doubt_on(worker));
        let doubt = if is_doubtful { DOUBT_PENALTY } else { 0 };
        let run_times = self.run_time_costs.and_then(|costs| costs.get(&key));
        unused
            + run_times.copied().unwrap_or(0)
            + other_rack
            + pinning
            + same_step
            + limited
            + doubt
            + u64::from(worker.failure_score) * FAILURE_PENALTY
    }
}

/// Returns the worker with the lowest cost among those that have room for the task now.
#[must_use]
pub fn select_worker<'a>(
    request: &PlacementRequest<'_>,
    workers: impl Iterator<Item = (WorkerKey, &'a Worker)>,
) -> Option<WorkerKey> {
    Candidates::new(request, workers).cheapest()
}

/// Workers that have room for a task of a step, with the cost of each.
///
/// Answers turns of large pools: the tasks of a step have the same demands and preferences, so that
/// all workers are looked at once for a step, and only the chosen one again for each task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Candidates {
    /// Workers and their costs; `None` once a worker has no room for another task.
    costs: Vec<(WorkerKey, Option<u64>)>,
}

impl Candidates {
    /// Finds the workers that may get a task.
    pub(crate) fn new<'a>(
        request: &PlacementRequest<'_>,
        workers: impl Iterator<Item = (WorkerKey, &'a Worker)>,
    ) -> Self {
        let costs = workers
            .map(|(key, worker)| (key, request.cost_with_room(key, worker)))
            .filter(|(_, cost)| cost.is_some());
        Self {
            costs: costs.collect(),
        }
    }

    /// Returns the worker with the lowest cost.
    pub(crate) fn cheapest(&self) -> Option<WorkerKey> {
        let open = self
            .costs
            .iter()
            .filter_map(|&(key, cost)| Some((cost?, key)));
        open.min_by_key(|&(cost, _)| cost).map(|(_, key)| key)
    }

    /// Sets the cost of a worker that has got a task; `None` if it may get no other.
    pub(crate) fn update(&mut self, key: WorkerKey, cost: Option<u64>) {
        let known = self.costs.iter_mut().find(|(other, _)| *other == key);
        if let Some((_, known)) = known {
            *known = cost;
        }
    }
}
