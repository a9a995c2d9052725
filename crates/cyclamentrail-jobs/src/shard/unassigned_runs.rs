//! Runs in progress that a worker lists though they aren't assigned to it.
//!
//! A start that was carried out late begins such a run, or one that was given up goes on. It takes
//! capacity, and each lease of the worker keeps it going: it is stopped unless its task waits for a
//! placement and the run ends by itself.

use std::collections::BTreeMap;

use super::{Now, STOP_RETRY_MS, Shard};
use crate::Resources;
use crate::effect::{ActiveRun, Decision, Effect, StopCommand, TaskRunId};
use crate::job::{Job, TaskKey};
use crate::worker::WorkerKey;

impl Shard {
    /// Logs each unassigned run that a report lists for the first time, and stops those whose tasks need
    /// no further run.
    pub(super) fn handle_unassigned(&mut self, now: Now, key: WorkerKey, running: &[ActiveRun]) {
        let listed: Vec<(TaskKey, u32)> = running
            .iter()
            .filter_map(|active_run| self.unassigned_run(key, &active_run.id))
            .collect();
        let Some(worker) = self.workers.get_mut(key) else {
            // An unlisted worker is removed with the last of its runs.
            return;
        };
        let known = std::mem::take(&mut worker.unassigned_runs);
        let mut unassigned = BTreeMap::new();
        for run in listed {
            let stop_ms = known.get(&run).copied();
            if stop_ms.is_none() {
                self.log_unassigned(key, run);
            }
            let stop_ms = self.stop_unassigned(now, key, run, stop_ms.unwrap_or(0));
            unassigned.insert(run, stop_ms);
        }
        let demands = unassigned
            .keys()
            .filter_map(|&(task, _)| self.step_of(task));
        let demand = demands.fold(Resources::default(), |sum, step| {
            sum.saturating_add(&step.reserved_resources())
        });
        let worker = &mut self.workers[key];
        worker.unassigned_runs = unassigned;
        worker.unassigned_demand = demand;
    }

    /// Returns the task and number of a listed run that isn't assigned to its worker.
    fn unassigned_run(&self, key: WorkerKey, id: &TaskRunId) -> Option<(TaskKey, u32)> {
        let task = self.find_task(id)?;
        let is_assigned = self.placement_on(key, task, id.run).is_some();
        (!is_assigned).then_some((task, id.run))
    }

    /// Stops an unassigned run whose last stop was sent at `stop_ms`, if it is due and its task doesn't
    /// wait; returns the time of the last stop on the owner's boot clock in milliseconds.
    fn stop_unassigned(
        &mut self,
        now: Now,
        key: WorkerKey,
        (task, run): (TaskKey, u32),
        stop_ms: u64,
    ) -> u64 {
        let is_over = self.jobs.get(task.job).is_none_or(Job::is_aborted);
        let is_due = stop_ms == 0 || now.boot_ms >= stop_ms + STOP_RETRY_MS;
        let Some(job) = self.jobs.get(task.job) else {
            return stop_ms;
        };
        if !is_due || (self.is_waiting(task) && !is_over && self.ends_alone(task)) {
            return stop_ms;
        }
        self.ready_effects.push(Effect::Stop(StopCommand {
            target: self.target(key),
            task,
            job: job.id.clone(),
            run,
        }));
        now.boot_ms
    }

    /// Returns whether a run of a task ends by itself, without others of its step.
    fn ends_alone(&self, task: TaskKey) -> bool {
        self.step_of(task)
            .is_some_and(|step| !step.long_running && !step.gang)
    }

    fn log_unassigned(&mut self, key: WorkerKey, (task, run): (TaskKey, u32)) {
        let Some(job) = self.jobs.get(task.job) else {
            return;
        };
        self.ready_effects
            .push(Effect::Log(Decision::RunUnassigned {
                job: job.id.clone(),
                task,
                run,
                worker: self.workers[key].registration.id.clone(),
            }));
    }
}
