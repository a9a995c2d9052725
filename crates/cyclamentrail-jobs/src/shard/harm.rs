//! Holding back the tasks that fill a worker when they harm those that serve there.

use super::{Now, Shard};
use crate::effect::{Effect, Note, PaceOrder, Report};
use crate::job::{Phase, TaskKey};
use crate::pacing::WHOLE_PERCENT;
use crate::worker::WorkerKey;

impl Shard {
    /// Takes in the tails that a worker reports, and sets the share of what fills beside them.
    pub(super) fn set_pace(&mut self, now: Now, worker_key: WorkerKey, report: &Report) {
        let filling = self.filling_tasks(worker_key);
        if filling.is_empty() {
            return;
        }
        let worst_percent = self.worst_tail_percent(report);
        let Some(worker) = self.workers.get_mut(worker_key) else {
            return;
        };
        let before = worker.pace.percent();
        let percent = worker.pace.observe(now.boot_ms, worst_percent);
        if percent != before {
            self.ready.push(Effect::Note(Note::Paced {
                worker: worker.registration.id.clone(),
                percent,
                worst_percent: worst_percent.unwrap_or(0),
            }));
        }
        for task in filling {
            self.pace(task, percent);
        }
    }

    /// Takes note of whether a worker holds a run at the share that it was told.
    pub fn pace_done(&mut self, task: TaskKey, run: u32, is_done: bool) {
        if is_done {
            return;
        }
        let placement = self
            .jobs
            .get_mut(task.job)
            .and_then(|job| job.task_mut(task))
            .and_then(|task| task.placement.as_mut())
            .filter(|placement| placement.run == run);
        if let Some(placement) = placement {
            placement.paced_percent = None;
        }
    }

    /// Returns whether a worker has tasks that fill it beside tasks that serve.
    pub(super) fn is_shared(&self, worker: WorkerKey) -> bool {
        let tasks = || self.workers[worker].tasks.iter();
        let fills = |key: &TaskKey| self.step_of(*key).is_some_and(|step| step.fills);
        let serves = |key: &TaskKey| {
            self.step_of(*key)
                .is_some_and(|step| step.target_ms.is_some())
        };
        tasks().any(fills) && tasks().any(serves)
    }

    fn filling_tasks(&self, worker: WorkerKey) -> Vec<TaskKey> {
        self.workers.get(worker).map_or_else(Vec::new, |worker| {
            let fills = |key: &&TaskKey| self.step_of(**key).is_some_and(|step| step.fills);
            worker.tasks.iter().filter(fills).copied().collect()
        })
    }

    /// Returns the worst tail among serving tasks, in percent of its target.
    fn worst_tail_percent(&self, report: &Report) -> Option<u64> {
        report
            .running
            .iter()
            .filter_map(|row| {
                let task = self.task_of(&row.name)?;
                let target_ms = self.step_of(task)?.target_ms?.max(1);
                Some(row.load * u64::from(WHOLE_PERCENT) / target_ms)
            })
            .max()
    }

    fn pace(&mut self, task: TaskKey, percent: u32) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let id = job.id.clone();
        let Some(placement) = job.task_mut(task).and_then(|task| task.placement.as_mut()) else {
            return;
        };
        let is_running = matches!(placement.phase, Phase::Running { .. });
        if !is_running || placement.paced_percent == Some(percent) {
            return;
        }
        placement.paced_percent = Some(percent);
        let (run, worker) = (placement.run, placement.worker);
        self.ready.push(Effect::Pace(PaceOrder {
            target: self.target(worker),
            task,
            job: id,
            run,
            percent,
        }));
    }
}
