//! Looks at the assignments of tasks' runs to workers.

use super::Shard;
use crate::job::{JobKey, Placement, StepProgress, TaskKey};
use crate::worker::WorkerKey;

impl Shard {
    /// Returns the worker that a task is placed on.
    #[must_use]
    pub fn worker_of(&self, task: TaskKey) -> Option<WorkerKey> {
        self.placement_of(task).map(|placement| placement.worker)
    }

    /// Returns the progress of a task's step for changes, if its occurrence is still kept.
    pub(super) fn step_progress_mut(&mut self, task: TaskKey) -> Option<&mut StepProgress> {
        let job = self.jobs.get_mut(task.job)?;
        let occurrence = job.occurrence_mut(task.occurrence)?;
        occurrence.steps.get_mut(task.step as usize)
    }

    /// Returns whether a task isn't done and isn't placed.
    pub(super) fn is_waiting(&self, key: TaskKey) -> bool {
        self.jobs
            .get(key.job)
            .and_then(|job| job.task(key))
            .is_some_and(|task| !task.is_done && task.placement.is_none())
    }

    /// Returns the tasks of a job whose runs are assigned to workers.
    pub(super) fn placed_tasks(&self, key: JobKey) -> Vec<TaskKey> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        job.tasks(key)
            .filter(|(_, task)| task.placement.is_some())
            .map(|(task_key, _)| task_key)
            .collect()
    }

    /// Returns the assignment of a task's run, if it has one.
    pub(super) fn placement_of(&self, task: TaskKey) -> Option<Placement> {
        self.jobs.get(task.job)?.task(task)?.placement
    }

    /// Returns the assignment of a task's run for changes, if it has one.
    pub(super) fn placement_of_mut(&mut self, task: TaskKey) -> Option<&mut Placement> {
        let task = self.jobs.get_mut(task.job)?.task_mut(task)?;
        task.placement.as_mut()
    }
}
