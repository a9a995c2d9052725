//! Starts that wait for a free connection to their worker.

use std::collections::{HashMap, VecDeque};

use cyclamentrail_jobs::{TaskKey, WorkerKey};

/// Starts that are on their way to one worker at once.
const MAX_IN_FLIGHT: usize = 3;

/// The starts of each worker, in order.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    lanes: HashMap<WorkerKey, Lane>,
}

#[derive(Debug, Default)]
struct Lane {
    waiting: VecDeque<TaskKey>,
    in_flight: usize,
}

impl Lanes {
    /// Adds a start behind those that wait.
    pub(crate) fn push(&mut self, worker: WorkerKey, task: TaskKey) {
        let lane = self.lanes.entry(worker).or_default();
        if !lane.waiting.contains(&task) {
            lane.waiting.push_back(task);
        }
    }

    /// Takes the next start of a worker that may be sent now.
    pub(crate) fn pop(&mut self, worker: WorkerKey) -> Option<TaskKey> {
        let lane = self.lanes.get_mut(&worker)?;
        if lane.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        let task = lane.waiting.pop_front()?;
        lane.in_flight += 1;
        Some(task)
    }

    /// Takes note that a start has ended or wasn't sent.
    pub(crate) fn finish(&mut self, worker: WorkerKey) {
        if let Some(lane) = self.lanes.get_mut(&worker) {
            lane.in_flight = lane.in_flight.saturating_sub(1);
            if lane.in_flight == 0 && lane.waiting.is_empty() {
                self.lanes.remove(&worker);
            }
        }
    }
}
