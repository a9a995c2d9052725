//! Reporting of tasks that wait long for their start.

use super::{Now, Shard};
use crate::Resources;
use crate::effect::{Decision, Effect, WaitReason};
use crate::job::{Job, JobKey, RunPhase, Task, TaskKey};
use crate::worker::{Worker, WorkerKey};

/// Time between two reports of a waiting task, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 2_000;
/// Age of a job from which its waiting tasks are reported, in milliseconds.
const MIN_AGE_MS: u64 = 6_000;

impl Shard {
    /// Reports the first waiting task of the oldest job that has one.
    pub(super) fn report_long_wait(&mut self, now: Now) {
        if now.boot_ms < self.waits_checked_ms + REPORT_INTERVAL_MS {
            return;
        }
        self.waits_checked_ms = now.boot_ms;
        let oldest = self
            .active
            .iter()
            .filter_map(|&key| Some((key, self.jobs.get(key)?)))
            .filter(|(_, job)| !job.is_aborted() && job.accepted_ms + MIN_AGE_MS < now.unix_ms)
            .filter_map(|(key, job)| Some((job, first_waiting(key, job)?)))
            .min_by_key(|(job, _)| job.accepted_ms);
        let Some((job, (task, reason))) = oldest else {
            return;
        };
        let reason = match reason {
            WaitReason::NoCapacity if self.waits_for_quota(task) => WaitReason::Quota,
            WaitReason::NoCapacity => self.missing_room(now, task),
            reason => reason,
        };
        let decision = Decision::TaskWaiting {
            job: job.id.clone(),
            task,
            age_ms: now.unix_ms.saturating_sub(job.accepted_ms),
            reason,
        };
        self.ready_effects.push(Effect::Log(decision));
    }
}

impl Shard {
    /// Returns what no worker has for a task that waits for room.
    fn missing_room(&self, now: Now, task: TaskKey) -> WaitReason {
        let Some(spec) = self.step_of(task) else {
            return WaitReason::NoCapacity;
        };
        let per_worker = self.tasks_per_worker(task);
        let open: Vec<(WorkerKey, &Worker)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.accepts_tasks(now.boot_ms))
            .collect();
        if open.is_empty() {
            return WaitReason::NoWorker;
        }
        let label = spec.required_label.as_ref();
        let has_label = |(_, worker): &&(WorkerKey, &Worker)| {
            label.is_none_or(|label| worker.has_label(label.as_str()))
        };
        let labelled: Vec<&(WorkerKey, &Worker)> = open.iter().filter(has_label).collect();
        if labelled.is_empty() {
            return WaitReason::Label;
        }
        let demand = spec.reserved_resources();
        let lacks = |amount: fn(&Resources) -> u64| {
            let free = labelled.iter().map(|(_, worker)| worker.free_capacity());
            free.map(|free| amount(&free)).max() < Some(amount(&demand))
        };
        if lacks(|amount| amount.cpu_milli) {
            return WaitReason::Processors;
        }
        if lacks(|amount| amount.memory_mib) {
            return WaitReason::Memory;
        }
        if lacks(|amount| amount.gpus) {
            return WaitReason::Accelerators;
        }
        let mut fitting = labelled
            .iter()
            .filter(|(_, worker)| worker.free_capacity().contains(&demand));
        let is_full = |(key, _): &&(WorkerKey, &Worker)| {
            let count = per_worker.get(key).copied().unwrap_or(0);
            spec.max_per_worker.is_some_and(|limit| count >= limit)
        };
        let has_fitting = fitting.clone().next().is_some();
        if has_fitting && fitting.all(is_full) {
            return WaitReason::WorkerLimit;
        }
        WaitReason::NoCapacity
    }
}

/// Returns the first task of a job that is ready and doesn't run, with what it waits for.
fn first_waiting(key: JobKey, job: &Job) -> Option<(TaskKey, WaitReason)> {
    for occurrence in &job.occurrences {
        for (step, spec) in (0_u32..).zip(&job.spec.steps) {
            if !occurrence.is_step_ready(spec) {
                continue;
            }
            for (index, task) in (0_u32..).zip(&occurrence.steps[step as usize].tasks) {
                if let Some(reason) = wait_reason(task) {
                    let task = TaskKey {
                        job: key,
                        occurrence: occurrence.number,
                        step,
                        index,
                    };
                    return Some((task, reason));
                }
            }
        }
    }
    None
}

/// Returns what a ready task waits for, or `None` if it runs or is done.
fn wait_reason(task: &Task) -> Option<WaitReason> {
    if task.is_done {
        return None;
    }
    match task.placement.map(|placement| placement.phase) {
        None if task.open_start.is_some() => Some(WaitReason::EarlierStart),
        None => Some(WaitReason::NoCapacity),
        Some(RunPhase::Placed) => Some(WaitReason::StartUnsent),
        Some(RunPhase::Sent) => Some(WaitReason::StartUnconfirmed),
        Some(RunPhase::Stopping { .. }) => Some(WaitReason::PreviousRunStopping),
        Some(RunPhase::Running { .. }) => None,
    }
}
