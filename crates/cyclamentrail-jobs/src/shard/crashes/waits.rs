//! Waits of suspect tasks for a worker of their own, each of which has an end.
//!
//! A task whose wait is over may share a worker, or run beside tasks that aren't suspect (see
//! [`crate::shard::isolation`]): the weaker the evidence against it, the sooner.

use std::collections::BTreeMap;

use super::{Now, Shard, Suspicion};
use crate::effect::{Decision, Effect};
use crate::job::TaskKey;
use crate::worker::WorkerKey;

/// Time for which a weak suspect waits for a worker of its own, in milliseconds.
const WEAK_WAIT_MS: u64 = 1_000;
/// The same for a possible suspect.
const POSSIBLE_WAIT_MS: u64 = 2_000;
/// The same for a likely suspect, and for a long-running one from the loss of its worker.
const LIKELY_WAIT_MS: u64 = 4_000;

impl Shard {
    /// Notes since when each suspect task waits whose preceding steps are done.
    pub(in crate::shard) fn note_suspect_waits(&mut self, now: Now) {
        if self.crashes.suspects.is_empty() {
            self.crashes.waits_since_ms.clear();
            return;
        }
        let earlier = std::mem::take(&mut self.crashes.waits_since_ms);
        let suspects = self.crashes.suspects.keys();
        let waiting = suspects.filter(|&&task| self.is_waiting(task) && self.is_ready(task));
        let since_ms = |task| earlier.get(task).copied().unwrap_or(now.boot_ms);
        let waits: BTreeMap<TaskKey, u64> = waiting.map(|task| (*task, since_ms(task))).collect();
        self.crashes.waits_since_ms = waits;
    }

    /// Returns the suspect task that has waited for the longest time.
    pub(in crate::shard) fn longest_waiting_suspect(&self) -> Option<TaskKey> {
        let waits = self.crashes.waits_since_ms.iter();
        let waiting = waits.filter(|(task, _)| self.is_waiting(**task));
        waiting
            .min_by_key(|(_, since_ms)| **since_ms)
            .map(|(task, _)| *task)
    }

    /// Returns whether a suspect task has waited for long enough for a worker of its own.
    pub(in crate::shard) fn is_overdue(
        &self,
        now: Now,
        task: TaskKey,
        suspicion: Suspicion,
    ) -> bool {
        let limit_ms = match suspicion {
            _ if self.is_long_running(task) => LIKELY_WAIT_MS,
            Suspicion::Weak => WEAK_WAIT_MS,
            Suspicion::Possible => POSSIBLE_WAIT_MS,
            Suspicion::Likely => LIKELY_WAIT_MS,
            // It waits for its turn among the workers that such tasks may use.
            Suspicion::Known => return false,
        };
        self.suspect_since_ms(task)
            .is_some_and(|since_ms| now.boot_ms >= since_ms + limit_ms)
    }

    /// Returns since when a suspect task waits, on the owner's boot clock in milliseconds: from the loss
    /// of its worker for a long-running one, or from when this owner first saw it wait.
    fn suspect_since_ms(&self, task: TaskKey) -> Option<u64> {
        let lost_ms = self.crashes.services.get(&task).map(|known| known.lost_ms);
        let waits_since_ms = self.crashes.waits_since_ms.get(&task).copied();
        lost_ms.into_iter().chain(waits_since_ms).min()
    }

    /// Logs that a suspect task was placed because its wait was over.
    pub(in crate::shard) fn log_wait_ended(
        &mut self,
        now: Now,
        task: TaskKey,
        worker: WorkerKey,
        is_exposed: bool,
    ) {
        let since_ms = self.suspect_since_ms(task).unwrap_or(now.boot_ms);
        let Some(job) = self.jobs.get(task.job) else {
            return;
        };
        let decision = Decision::SuspectWaitEnded {
            job: job.id.clone(),
            task,
            waited_ms: now.boot_ms.saturating_sub(since_ms),
            worker: self.workers[worker].registration.id.clone(),
            is_exposed,
        };
        self.ready_effects.push(Effect::Log(decision));
    }

    /// Returns whether the steps before a task's are done.
    fn is_ready(&self, task: TaskKey) -> bool {
        let occurrence = self
            .jobs
            .get(task.job)
            .and_then(|job| job.occurrence(task.occurrence));
        let step = self.step_of(task);
        occurrence
            .zip(step)
            .is_some_and(|(occurrence, step)| occurrence.is_step_ready(step))
    }
}
