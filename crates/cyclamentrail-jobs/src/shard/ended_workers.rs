//! Workers whose known incarnation has ended while calls to it may be under way.
//!
//! Another incarnation's response to one call proves the end. It doesn't tell which starts had been
//! carried out before: each run whose start has no result yet keeps its worker until it has one, so
//! that a start that was rejected isn't taken for a run that was lost.

use super::{Now, Shard};
use crate::effect::EndProof;
use crate::job::{RunPhase, TaskKey};
use crate::worker::WorkerKey;

impl Shard {
    /// Frees the runs of ended workers whose starts have results by now.
    pub(super) fn settle_ended_workers(&mut self, now: Now) {
        for key in self.ended_workers.clone() {
            self.settle_ended_worker(now, key);
        }
    }

    /// Counts the crash of an ended worker against its runs and frees them, except those whose start
    /// has no result yet.
    pub(super) fn settle_ended_worker(&mut self, now: Now, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            self.ended_workers.remove(&key);
            return;
        };
        let (open, over): (Vec<TaskKey>, Vec<TaskKey>) = worker
            .tasks
            .iter()
            .partition(|&&task| self.awaits_start_result(now, task));
        if open.is_empty() {
            self.ended_workers.remove(&key);
        } else {
            self.ended_workers.insert(key);
        }
        let given_up = self.record_crash(now, key, &open);
        for task in over {
            self.release(task, Some(EndProof::WorkerRestarted));
        }
        self.remove_if_unused(key);
        self.give_up(given_up);
    }

    /// Returns whether the only start command of a run may still get a response.
    fn awaits_start_result(&self, now: Now, task: TaskKey) -> bool {
        self.placement_of(task).is_some_and(|placement| {
            let is_unconfirmed =
                matches!(placement.phase, RunPhase::Sent | RunPhase::Stopping { .. })
                    && !placement.has_begun;
            is_unconfirmed
                && !placement.may_start_late
                && now.boot_ms < placement.start_under_way_until_ms
        })
    }
}
