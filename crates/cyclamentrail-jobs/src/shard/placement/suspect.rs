//! Selection of workers for tasks under which workers crashed.

use super::{Now, PlacementPass, Shard, StepPlacement};
use crate::job::TaskKey;
use crate::selection::select_worker;
use crate::shard::isolation::SuspectTask;
use crate::worker::WorkerKey;

impl Shard {
    /// Returns what is known of a suspect task; `None` if the task isn't suspect.
    pub(super) fn suspect_task(&self, now: Now, key: TaskKey) -> Option<SuspectTask> {
        let suspicion = self.suspicion(key)?;
        Some(SuspectTask {
            job: key.job,
            suspicion,
            is_long_running: self.is_long_running(key),
            is_overdue: self.is_overdue(now, key, suspicion),
        })
    }

    /// Returns the worker for a suspect task: one that is kept apart, or, for a task that has waited for
    /// long enough, one with other tasks.
    pub(super) fn select_for_suspect(
        &self,
        now: Now,
        suspect: SuspectTask,
        step: &StepPlacement,
        pass: &PlacementPass,
    ) -> Option<WorkerKey> {
        let open = self.open_workers(now, &step.spec, &step.per_worker);
        let apart = open.filter(|(key, worker)| pass.isolation.admits(suspect, *key, worker));
        let apart = select_worker(&step.request(pass), apart);
        if apart.is_none() && suspect.is_overdue {
            return self.select_beside_others(now, suspect, step, pass);
        }
        apart
    }

    /// Returns the worker with the fewest tasks that has room for an overdue suspect task, if possible one
    /// without suspect tasks.
    fn select_beside_others(
        &self,
        now: Now,
        suspect: SuspectTask,
        step: &StepPlacement,
        pass: &PlacementPass,
    ) -> Option<WorkerKey> {
        let request = step.request(pass);
        self.open_workers(now, &step.spec, &step.per_worker)
            .filter(|(key, worker)| request.cost_with_room(*key, worker).is_some())
            .filter(|(key, _)| {
                suspect.is_long_running || pass.isolation.admits_beside_others(suspect, *key)
            })
            .min_by_key(|(key, worker)| (pass.isolation.has_suspects(*key), worker.tasks.len()))
            .map(|(key, _)| key)
    }
}
