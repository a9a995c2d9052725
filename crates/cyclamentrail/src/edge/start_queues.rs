//! Start commands that wait until fewer commands to their worker are in flight.

use std::collections::{HashMap, VecDeque};

use cyclamentrail_jobs::{PlacedRun, WorkerKey};

/// Largest number of start commands in flight to one worker.
const MAX_STARTS_IN_FLIGHT: usize = 3;

/// Waiting start commands, one queue for each worker.
#[derive(Debug, Default)]
pub(crate) struct StartQueues {
    queues: HashMap<WorkerKey, StartQueue>,
}

#[derive(Debug, Default)]
struct StartQueue {
    waiting: VecDeque<PlacedRun>,
    in_flight: usize,
}

impl StartQueues {
    /// Appends a start to the queue of its worker, unless the run is queued already.
    pub(crate) fn push(&mut self, run: PlacedRun) {
        let queue = self.queues.entry(run.worker).or_default();
        if !queue.waiting.contains(&run) {
            queue.waiting.push_back(run);
        }
    }

    /// Removes the next start of a worker from its queue and counts it as in flight; `None` if none
    /// waits or too many are in flight.
    pub(crate) fn pop(&mut self, worker: WorkerKey) -> Option<PlacedRun> {
        let queue = self.queues.get_mut(&worker)?;
        if queue.in_flight >= MAX_STARTS_IN_FLIGHT {
            return None;
        }
        let run = queue.waiting.pop_front()?;
        queue.in_flight += 1;
        Some(run)
    }

    /// Returns the workers that may be sent another start and for which one waits.
    pub(crate) fn sendable_workers(&self) -> Vec<WorkerKey> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .filter(|(_, queue)| queue.in_flight < MAX_STARTS_IN_FLIGHT)
            .map(|(&worker, _)| worker)
            .collect()
    }

    /// Records that a start is no longer in flight, because its outcome is known or it wasn't sent.
    pub(crate) fn finish_start(&mut self, worker: WorkerKey) {
        if let Some(queue) = self.queues.get_mut(&worker) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
            if queue.in_flight == 0 && queue.waiting.is_empty() {
                self.queues.remove(&worker);
            }
        }
    }
}
