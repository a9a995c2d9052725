//! Durations of tasks and steps, by which the shard decides: one mean per route, or the learned
//! distribution where the decision uses it.

use cyclamentrail_core::RouteName;

use super::{Now, Shard};
use crate::job::{Job, RunPhase, StepProgress, Task};
use crate::{DurationEstimate, RunTimes, StepSpec};

/// Durations of a route's tasks, by which a decision is made.
#[derive(Debug, Clone, Copy)]
pub(super) enum TaskTimes<'a> {
    /// One mean per route.
    Mean(DurationEstimate),
    /// The learned distribution.
    Learned(&'a RunTimes),
}

/// Durations of a job's longest chain of steps, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChainTimes {
    /// Duration of the whole chain.
    pub(super) total_ms: u64,
    /// Duration of what isn't done.
    pub(super) remaining_ms: u64,
}

impl TaskTimes<'_> {
    /// Returns the expected duration of a task in milliseconds, which is what its work counts as.
    pub(super) fn predict_ms(self, declared_ms: u64) -> u64 {
        match self {
            Self::Mean(estimate) => estimate.predict_ms(declared_ms),
            Self::Learned(times) => times.expected_ms(declared_ms),
        }
    }

    /// Returns the remaining work of a placed task: of its whole work `task_ms`, `usual_percent`
    /// remain unless the learned distribution tells.
    pub(super) fn placed_work_ms(
        self,
        now: Now,
        step: &StepSpec,
        task: &Task,
        task_ms: u64,
        usual_percent: u64,
    ) -> u64 {
        match self {
            Self::Learned(times) if usual_percent > 0 => {
                let declared_ms = step.estimate_ms;
                let remaining_ms = times.remaining_ms(declared_ms, run_ms(now, task));
                task_ms * remaining_ms / times.expected_ms(declared_ms).max(1)
            }
            _ => task_ms * usual_percent / 100,
        }
    }

    /// Returns the typical duration of a step in milliseconds: it lasts as long as the longest of
    /// its tasks.
    fn step_ms(self, step: &StepSpec) -> u64 {
        match self {
            Self::Mean(estimate) => estimate.predict_ms(step.estimate_ms),
            Self::Learned(times) => times.longest_of_ms(step.estimate_ms, step.count),
        }
    }

    /// Returns the typical duration of a step that has begun in milliseconds, and how much of it
    /// remains.
    fn begun_step(self, now: Now, step: &StepSpec, progress: &StepProgress) -> (u64, u64) {
        let usual_ms = self.step_ms(step);
        if progress.is_done() {
            return (usual_ms, 0);
        }
        let Self::Learned(times) = self else {
            return (usual_ms, usual_ms);
        };
        let unfinished = || progress.tasks.iter().filter(|task| !task.is_done);
        let longest_run_ms = unfinished().map(|task| run_ms(now, task)).max();
        let longest_run_ms = longest_run_ms.unwrap_or(0);
        let shortest_run_ms = unfinished().map(|task| run_ms(now, task)).min();
        let count = u32::try_from(unfinished().count()).unwrap_or(u32::MAX);
        let declared_ms = step.estimate_ms;
        let remaining_ms = times
            .longest_of_ms(declared_ms, count)
            .saturating_sub(shortest_run_ms.unwrap_or(0))
            .max(times.usual_remaining_ms(declared_ms, longest_run_ms));
        (usual_ms.max(longest_run_ms + remaining_ms), remaining_ms)
    }
}

impl Shard {
    /// Returns the durations of a route's tasks for a decision that uses the learned ones if
    /// `is_learned`.
    pub(super) fn task_times(&self, route: &RouteName, is_learned: bool) -> TaskTimes<'_> {
        match self.run_times(route).filter(|_| is_learned) {
            Some(times) if times.is_known() => TaskTimes::Learned(times),
            _ => TaskTimes::Mean(self.estimate(route)),
        }
    }

    /// Returns the durations of a job's longest chain of steps, in its first occurrence. A run that
    /// has lasted longer than the usual one is expected to last longer still, and the job's
    /// objective follows.
    pub(super) fn chain_times(&self, now: Now, job: &Job) -> ChainTimes {
        let times = self.task_times(&job.route, self.timing.run_time_uses.order);
        let occurrence = job.occurrences.first();
        let step_times: Vec<(u64, u64)> = job
            .spec
            .steps
            .iter()
            .enumerate()
            .map(|(index, step)| match occurrence {
                Some(occurrence) => times.begun_step(now, step, &occurrence.steps[index]),
                None => (times.step_ms(step), times.step_ms(step)),
            })
            .collect();
        ChainTimes {
            total_ms: job.spec.critical_path_by(|index, _| step_times[index].0),
            remaining_ms: job.spec.critical_path_by(|index, _| step_times[index].1),
        }
    }
}

/// Returns for how long the run of a task has lasted, in milliseconds.
fn run_ms(now: Now, task: &Task) -> u64 {
    match task.placement.map(|placement| placement.phase) {
        Some(RunPhase::Running { since_ms }) => now.boot_ms.saturating_sub(since_ms),
        _ => 0,
    }
}
