//! Start commands that wait until fewer commands to their worker are in flight.
//!
//! Each entry names a run on its worker. A task may be placed elsewhere while its start waits, and the
//! command of another run, to another worker, must not take the place of the one that was counted.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::job::PlacedRun;
use crate::worker::WorkerKey;

/// Largest number of start commands in flight to one worker.
const MAX_STARTS_IN_FLIGHT: usize = 3;

/// Waiting start commands, one queue for each worker.
///
/// ```
/// use cyclamentrail_jobs::{PlacedRun, StartQueues, TaskKey, WorkerKey};
///
/// let task = TaskKey { job: Default::default(), occurrence: 0, step: 0, index: 0 };
/// let run = PlacedRun { worker: WorkerKey::default(), task, run: 1 };
/// let mut queues = StartQueues::default();
/// queues.push(run);
/// assert_eq!(queues.pop(run.worker), Some(run));
/// queues.finish(run);
/// assert!(queues.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct StartQueues {
    queues: HashMap<WorkerKey, StartQueue>,
}

#[derive(Debug, Default)]
struct StartQueue {
    waiting: VecDeque<PlacedRun>,
    /// The runs in `waiting` and `in_flight`.
    known: BTreeSet<PlacedRun>,
    in_flight: BTreeSet<PlacedRun>,
}

impl StartQueue {
    fn may_send(&self) -> bool {
        !self.waiting.is_empty() && self.in_flight.len() < MAX_STARTS_IN_FLIGHT
    }
}

impl StartQueues {
    /// Appends a start to the queue of its worker, unless it waits there already or is in flight.
    pub fn push(&mut self, run: PlacedRun) {
        let queue = self.queues.entry(run.worker).or_default();
        if queue.known.insert(run) {
            queue.waiting.push_back(run);
        }
    }

    /// Removes the next start of a worker from its queue and counts it as in flight until
    /// [`StartQueues::finish`]; `None` if none waits or too many are in flight.
    #[must_use]
    pub fn pop(&mut self, worker: WorkerKey) -> Option<PlacedRun> {
        let queue = self.queues.get_mut(&worker)?;
        if !queue.may_send() {
            return None;
        }
        let run = queue.waiting.pop_front()?;
        queue.in_flight.insert(run);
        Some(run)
    }

    /// Returns the workers that may be sent another start and for which one waits.
    #[must_use]
    pub fn sendable_workers(&self) -> Vec<WorkerKey> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.may_send())
            .map(|(&worker, _)| worker)
            .collect()
    }

    /// Records that the start of a run is no longer in flight, because its outcome is known or it
    /// wasn't sent.
    pub fn finish(&mut self, run: PlacedRun) {
        let Some(queue) = self.queues.get_mut(&run.worker) else {
            return;
        };
        if queue.in_flight.remove(&run) {
            queue.known.remove(&run);
        }
        if queue.known.is_empty() {
            self.queues.remove(&run.worker);
        }
    }

    /// Returns whether no start waits or is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}
