//! What a placement pass knows, and the steps that it places.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::RackName;

use crate::job::{JobKey, TaskKey};
use crate::selection::PlacementRequest;
use crate::shard::isolation::Isolation;
use crate::shard::quota::StepLimit;
use crate::worker::WorkerKey;
use crate::{RecentLoss, RoomIndex, StepSpec};

/// Number of tasks that a pass places, unless a gang has more; the next round goes on.
const MAX_PLACED_TASKS: usize = 1_024;

/// A step with tasks to place whose preceding steps are done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(in crate::shard) struct ReadyStep {
    pub(in crate::shard) job: JobKey,
    pub(in crate::shard) occurrence: u32,
    pub(in crate::shard) step: u32,
}

/// What a placement pass has found out so far.
#[derive(Debug, Default)]
pub(in crate::shard) struct PlacementPass {
    /// Room on the workers that may get tasks that aren't suspect.
    pub(in crate::shard) room: RoomIndex,
    /// Number of times that it looked at a worker.
    pub(in crate::shard) looks: u64,
    /// Number of tasks that were placed.
    pub(in crate::shard) placed: usize,
    /// Workers with long-running tasks.
    pub(in crate::shard) pinned: BTreeSet<WorkerKey>,
    /// Workers that are kept apart for suspect tasks.
    pub(in crate::shard) isolation: Isolation,
    /// Last loss of a worker, if it casts doubt on others.
    pub(in crate::shard) recent_loss: Option<RecentLoss>,
}

impl PlacementPass {
    /// Returns whether the pass has to end.
    pub(in crate::shard) const fn is_over(&self) -> bool {
        self.placed >= MAX_PLACED_TASKS
    }
}

/// A step whose tasks are being placed, one after the other.
#[derive(Debug)]
pub(in crate::shard) struct StepPlacement {
    pub(in crate::shard) spec: StepSpec,
    /// Rack that its tasks prefer.
    pub(in crate::shard) rack: Option<RackName>,
    /// Number of its tasks on each worker.
    pub(in crate::shard) per_worker: BTreeMap<WorkerKey, u32>,
    /// Additional costs of workers by the learned run times.
    pub(in crate::shard) run_time_costs: Option<BTreeMap<WorkerKey, u64>>,
    /// Quota that limits its tasks, if any does.
    pub(in crate::shard) limit: Option<StepLimit>,
    /// Workers that the queue's policy permits, if it has one.
    pub(in crate::shard) granted: Option<BTreeSet<WorkerKey>>,
    /// The only worker that may run the task that is being placed, if it isn't free to run on others.
    pub(in crate::shard) only_worker: Option<WorkerKey>,
}

impl StepPlacement {
    /// Returns the request for the next task.
    pub(in crate::shard) fn request<'a>(&'a self, pass: &'a PlacementPass) -> PlacementRequest<'a> {
        PlacementRequest {
            preferred_rack: self.rack.as_ref(),
            pinned_workers: Some(&pass.pinned),
            same_step_counts: Some(&self.per_worker),
            granted_workers: self.granted.as_ref(),
            run_time_costs: self.run_time_costs.as_ref(),
            recent_loss: pass.recent_loss,
            only_worker: self.only_worker,
            ..PlacementRequest::from(&self.spec)
        }
    }
}

impl ReadyStep {
    pub(in crate::shard) const fn task(self, index: u32) -> TaskKey {
        TaskKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}
