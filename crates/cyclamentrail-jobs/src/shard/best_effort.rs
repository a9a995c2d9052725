//! Limits on the processor share of best-effort tasks that slow down latency-sensitive tasks on the same worker.

use super::restarts::LATE_CALL_MS;
use super::{Now, Shard};
use crate::best_effort_share::FULL_SHARE_PERCENT;
use crate::effect::{CpuShareCommand, Decision, Effect, WorkerReport};
use crate::job::{RunPhase, TaskKey};
use crate::worker::WorkerKey;

/// Time between two commands with an uncertain share, in milliseconds.
const REPEAT_SHARE_MS: u64 = 1_000;

impl Shard {
    /// Updates the share of a worker's best-effort tasks from the tail latencies that the worker
    /// reports.
    pub(super) fn update_share(&mut self, now: Now, worker_key: WorkerKey, report: &WorkerReport) {
        let best_effort = self.best_effort_tasks(worker_key);
        if best_effort.is_empty() {
            return;
        }
        let worst_percent = self.worst_tail_percent(report);
        let Some(worker) = self.workers.get_mut(worker_key) else {
            return;
        };
        let old_percent = worker.best_effort_share.percent();
        let percent = worker.best_effort_share.adjust(now.boot_ms, worst_percent);
        if percent != old_percent {
            self.ready_effects.push(Effect::Log(Decision::ShareChanged {
                worker: worker.registration.id.clone(),
                percent,
                worst_percent: worst_percent.unwrap_or(0),
            }));
        }
        for task in best_effort {
            self.send_share(now, task, percent);
        }
    }

    /// Handles the result of a command that sets a processor share: the share of a run is unknown
    /// unless the worker applied it, and uncertain as long as the worker may still do so.
    pub fn handle_cpu_share_result(&mut self, now: Now, task: TaskKey, run: u32, is_done: bool) {
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
            placement.cpu_share.percent = None;
            placement.cpu_share.uncertain_until_ms = now.boot_ms + LATE_CALL_MS;
        }
    }

    /// Returns whether a worker has both best-effort and latency-sensitive tasks.
    pub(super) fn is_shared(&self, worker: WorkerKey) -> bool {
        let tasks = || self.workers[worker].tasks.iter();
        let is_best_effort =
            |key: &TaskKey| self.step_of(*key).is_some_and(|step| step.is_best_effort);
        let is_latency_sensitive = |key: &TaskKey| {
            self.step_of(*key)
                .is_some_and(|step| step.target_ms.is_some())
        };
        tasks().any(is_best_effort) && tasks().any(is_latency_sensitive)
    }

    fn best_effort_tasks(&self, worker: WorkerKey) -> Vec<TaskKey> {
        self.workers.get(worker).map_or_else(Vec::new, |worker| {
            let is_best_effort =
                |key: &&TaskKey| self.step_of(**key).is_some_and(|step| step.is_best_effort);
            worker
                .tasks
                .iter()
                .filter(is_best_effort)
                .copied()
                .collect()
        })
    }

    /// Returns the worst tail latency among latency-sensitive tasks, in percent of its target.
    fn worst_tail_percent(&self, report: &WorkerReport) -> Option<u64> {
        report
            .running
            .iter()
            .filter_map(|run| {
                let task = self.find_task(&run.id)?;
                let target_ms = self.step_of(task)?.target_ms?.max(1);
                Some(run.load * u64::from(FULL_SHARE_PERCENT) / target_ms)
            })
            .max()
    }

    /// Sends the command that sets the processor share of a run, unless the share was sent before and is
    /// certain; an uncertain one is sent again from time to time.
    fn send_share(&mut self, now: Now, task: TaskKey, percent: u32) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let id = job.id.clone();
        let Some(placement) = job.task_mut(task).and_then(|task| task.placement.as_mut()) else {
            return;
        };
        let is_running = matches!(placement.phase, RunPhase::Running { .. });
        let share = &mut placement.cpu_share;
        let is_fresh = now.boot_ms < share.sent_ms + REPEAT_SHARE_MS;
        let is_certain = now.boot_ms >= share.uncertain_until_ms + REPEAT_SHARE_MS;
        let is_sent = share.percent == Some(percent) && (is_certain || is_fresh);
        if !is_running || is_sent {
            return;
        }
        share.percent = Some(percent);
        share.sent_ms = now.boot_ms;
        let (run, worker) = (placement.run, placement.worker);
        self.learn_share(task, percent);
        self.ready_effects
            .push(Effect::SetCpuShare(CpuShareCommand {
                target: self.target(worker),
                task,
                job: id,
                run,
                share_percent: percent,
            }));
    }
}
