//! Detection of runs that make no progress.
//!
//! A worker may respond while the tasks on it are stalled. Stalled runs are stopped and placed
//! again elsewhere, and no task is placed on their worker for a while. The wait goes on after a release
//! (see [`super::unchanged_runs`]).

use super::{Now, Shard};
use crate::effect::{Decision, Effect};
use crate::job::TaskKey;
use crate::worker::WorkerKey;

/// Time between two checks for stalled runs, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Shortest time without progress after which a run is stalled, in milliseconds; several times as
/// long as a worker takes to report.
const STALL_MS: u64 = 3_500;
/// Multiple of the expected running time for which a run may show no progress: reports are in whole
/// percent.
const STALL_FACTOR: u64 = 1;
/// Time for which no task is placed on a worker with a stalled run, in milliseconds; grows with
/// each failure.
const AVOID_MS: u64 = 2_000;

/// A stalled run and its worker.
struct StalledRun {
    task: TaskKey,
    worker: WorkerKey,
}

impl Shard {
    /// Stops stalled runs and avoids their workers for a while.
    pub(super) fn stop_stalled_runs(&mut self, now: Now) {
        let continues_wait = self.continue_waits();
        if !continues_wait && now.boot_ms < self.stalls_checked_ms + CHECK_INTERVAL_MS {
            return;
        }
        self.stalls_checked_ms = now.boot_ms;
        for StalledRun { task, worker } in self.stalled_runs(now) {
            let Some(job) = self.jobs.get(task.job) else {
                continue;
            };
            self.ready_effects.push(Effect::Log(Decision::RunStalled {
                job: job.id.clone(),
                worker: self.workers[worker].registration.id.clone(),
            }));
            self.stop(task);
            if self.workers[worker].avoid_until_ms <= now.boot_ms {
                self.avoid(now, worker, AVOID_MS);
            }
        }
    }

    fn stalled_runs(&self, now: Now) -> Vec<StalledRun> {
        let mut stalled_runs = Vec::new();
        for (worker, entry) in &self.workers {
            for &task in &entry.tasks {
                if self.is_stalled(now, task) {
                    stalled_runs.push(StalledRun { task, worker });
                }
            }
        }
        stalled_runs
    }

    fn is_stalled(&self, now: Now, key: TaskKey) -> bool {
        let Some(job) = self.jobs.get(key.job) else {
            return false;
        };
        let step = &job.spec.steps[key.step as usize];
        let Some(placement) = job.task(key).and_then(|task| task.placement) else {
            return false;
        };
        let expected_ms = self.estimate(&job.route).predict_ms(step.estimate_ms);
        let limit_ms = STALL_MS.max(expected_ms * STALL_FACTOR);
        self.may_stall(key, &placement) && now.boot_ms > placement.progress_changed_ms + limit_ms
    }
}
