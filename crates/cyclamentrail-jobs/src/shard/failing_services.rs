//! Whether failed runs of long-running tasks tell anything about their workers.
//!
//! A long-running task that fails is started again without end. Once runs of its step have failed on
//! two workers, the cause is the step, and further failures count against no worker.

use std::collections::BTreeMap;

use super::{Now, Shard};
use crate::job::{JobKey, RunPhase, TaskKey};
use crate::worker::WorkerKey;

/// Duration of a run in milliseconds from which its failure tells nothing about the step's earlier
/// ones.
const LONG_RUN_MS: u64 = 10_000;

/// Where the runs of a long-running step failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailedOn {
    One(WorkerKey),
    Several,
}

/// Steps with long-running tasks whose runs failed.
#[derive(Debug, Default)]
pub(super) struct FailingServices {
    steps: BTreeMap<(JobKey, u32), FailedOn>,
}

impl FailingServices {
    /// Records that a run of a step failed after a time; returns whether that tells against its worker.
    fn record(&mut self, task: TaskKey, worker: WorkerKey, ran_ms: u64) -> bool {
        let first = FailedOn::One(worker);
        let failed_on = self.steps.entry((task.job, task.step)).or_insert(first);
        if ran_ms >= LONG_RUN_MS {
            *failed_on = first;
        } else if *failed_on != first {
            *failed_on = FailedOn::Several;
        }
        *failed_on == first
    }
}

impl Shard {
    /// Records that a run of a long-running task failed; returns whether that tells against its worker.
    pub(super) fn record_service_failure(
        &mut self,
        now: Now,
        task: TaskKey,
        worker: WorkerKey,
    ) -> bool {
        let phase = self.placement_of(task).map(|placement| placement.phase);
        let ran_ms = match phase {
            Some(RunPhase::Running { since_ms }) => now.boot_ms.saturating_sub(since_ms),
            _ => 0,
        };
        self.failing_services.record(task, worker, ran_ms)
    }

    /// Forgets the failures of steps whose jobs are over.
    pub(super) fn prune_failing_services(&mut self) {
        let jobs = &self.jobs;
        let is_open = |job: &JobKey| jobs.get(*job).is_some_and(|job| !job.is_aborted());
        self.failing_services
            .steps
            .retain(|(job, _), _| is_open(job));
    }
}
