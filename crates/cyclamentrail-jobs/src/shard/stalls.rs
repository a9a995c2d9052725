//! Runs that make no progress.
//!
//! Answers workers on which tasks stand still while the workers answer: the runs are stopped, go
//! on elsewhere, and the worker gets nothing for a while.

use super::{Now, Shard};
use crate::effect::{Effect, Note};
use crate::job::{Phase, TaskKey};
use crate::worker::WorkerKey;

/// Time between two looks for runs that stand still, in milliseconds.
const INTERVAL_MS: u64 = 500;
/// Time without progress after which a run stands still, in milliseconds; several times as long
/// as a worker takes to report.
const STALL_MS: u64 = 3_500;
/// Expected times of a task that its progress may stand still for: reports are in whole percent.
const STALL_FACTOR: u64 = 1;
/// Time for which a worker on which a run stood still gets nothing, in milliseconds.
const AVOID_MS: u64 = 2_000;

/// A run that stands still.
struct Stalled {
    task: TaskKey,
    worker: WorkerKey,
}

impl Shard {
    /// Stops runs that stand still.
    pub(super) fn stop_stalled(&mut self, now: Now) {
        if now.boot_ms < self.stalls_seen_ms + INTERVAL_MS {
            return;
        }
        self.stalls_seen_ms = now.boot_ms;
        for Stalled { task, worker } in self.stalled(now) {
            let Some(job) = self.jobs.get(task.job) else {
                continue;
            };
            self.ready.push(Effect::Note(Note::Stalled {
                job: job.id.clone(),
                worker: self.workers[worker].registration.id.clone(),
            }));
            self.stop(task);
            if self.workers[worker].avoid_until_ms <= now.boot_ms {
                self.avoid(now, worker, AVOID_MS);
            }
        }
    }

    fn stalled(&self, now: Now) -> Vec<Stalled> {
        let mut stalled = Vec::new();
        for (worker, state) in &self.workers {
            for &task in &state.tasks {
                if self.is_stalled(now, task) {
                    stalled.push(Stalled { task, worker });
                }
            }
        }
        stalled
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
        let patience_ms = STALL_MS.max(expected_ms * STALL_FACTOR);
        matches!(placement.phase, Phase::Running { .. })
            && !step.long_running
            && !step.gang
            && now.boot_ms > placement.progress_ms + patience_ms
    }
}
