//! Which worker gets a task.
//!
//! Tasks fill the workers that are busy already, so that whole workers stay free for large tasks
//! and for other pools; near their data, and away from workers that fail what they start.
//! Long-running tasks share few workers, because each of them ties its worker to the pool.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{LabelName, RackName};

use crate::pacing::WHOLE_PERCENT;
use crate::worker::{Worker, WorkerKey};
use crate::{Resources, StepSpec};

/// A whole worker, in thousandths.
const WHOLE_WORKER: u64 = 1_000;
/// What counts against tying another worker with a long-running task, in thousandths of a whole
/// worker.
const UNTIED_PENALTY: u64 = 4_000;
/// What counts against filling a worker with long-running tasks, whose room is kept for those
/// that start again, in thousandths of a whole worker.
const TIED_PENALTY: u64 = 1_200;
/// What counts against a worker for each long-running task of the same step, in thousandths of a
/// whole worker: one that fails takes few of them with it, and few have to be moved one after the
/// other when it is to be empty.
const SAME_STEP_PENALTY: u64 = 2_500;
/// What counts against a worker off the wanted rack, in thousandths of a whole worker.
const REMOTE_PENALTY: u64 = 2_000;
/// What counts against a worker on which tasks that fill are held back, for another such task,
/// in thousandths of a whole worker.
const HELD_BACK_PENALTY: u64 = 3_000;
/// What counts against a worker for each failure in a row, in thousandths of a whole worker.
const STRIKE_PENALTY: u64 = 300;

/// What a step asks of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// What the task takes.
    pub demand: Resources,
    /// Label that the worker must have.
    pub requires: Option<&'a LabelName>,
    /// Rack that it had better be on.
    pub rack: Option<&'a RackName>,
    /// Whether the task runs until its job is cancelled.
    pub is_long_running: bool,
    /// Whether the task uses only what others leave.
    pub fills: bool,
    /// Workers with long-running tasks, if that matters.
    pub tied: Option<&'a BTreeSet<WorkerKey>>,
    /// Tasks of the same step that each worker has, if that matters.
    pub same_step: Option<&'a BTreeMap<WorkerKey, u32>>,
    /// Workers that may run the task, where a policy decides it.
    pub granted: Option<&'a BTreeSet<WorkerKey>>,
}

impl<'a> From<&'a StepSpec> for Wish<'a> {
    fn from(step: &'a StepSpec) -> Self {
        Self {
            demand: step.counted(),
            requires: step.requires.as_ref(),
            rack: step.affinity.as_ref(),
            is_long_running: step.long_running,
            fills: step.fills,
            tied: None,
            same_step: None,
            granted: None,
        }
    }
}

impl Wish<'_> {
    /// Returns whether a worker could ever hold the task.
    #[must_use]
    pub fn suits(&self, worker: &Worker) -> bool {
        worker.registration.capacity.contains(&self.demand)
            && self
                .requires
                .is_none_or(|label| worker.has_label(label.as_str()))
    }

    /// Returns what speaks against a worker; less is better.
    #[must_use]
    pub fn cost(&self, key: WorkerKey, worker: &Worker) -> u64 {
        let capacity = &worker.registration.capacity;
        let load = worker.used.plus(&self.demand).dominant_milli(capacity);
        let empty = WHOLE_WORKER.saturating_sub(load);
        let is_tied = self.tied.is_some_and(|tied| tied.contains(&key));
        let other = match (self.is_long_running, is_tied) {
            (true, false) if self.tied.is_some() => UNTIED_PENALTY,
            (false, true) => TIED_PENALTY,
            _ => 0,
        };
        let remote = match self.rack {
            Some(rack) if !worker.is_on(rack) => REMOTE_PENALTY,
            _ => 0,
        };
        let same_step = match self.same_step.and_then(|counts| counts.get(&key)) {
            Some(&count) if self.is_long_running => u64::from(count) * SAME_STEP_PENALTY,
            _ => 0,
        };
        let is_held_back = self.fills && worker.pace.percent() < WHOLE_PERCENT;
        let held_back = if is_held_back { HELD_BACK_PENALTY } else { 0 };
        empty + remote + other + same_step + held_back + u64::from(worker.strikes) * STRIKE_PENALTY
    }
}

/// Returns the best of the workers that can take a task now.
#[must_use]
pub fn choose<'a>(
    wish: &Wish<'_>,
    workers: impl Iterator<Item = (WorkerKey, &'a Worker)>,
) -> Option<WorkerKey> {
    workers
        .filter(|(key, _)| wish.granted.is_none_or(|granted| granted.contains(key)))
        .filter(|(_, worker)| wish.suits(worker) && worker.free().contains(&wish.demand))
        .min_by_key(|(key, worker)| wish.cost(*key, worker))
        .map(|(key, _)| key)
}
