//! Costs of workers for a task that follow from the learned run times.
//!
//! Tasks with little slack avoid slow workers. Long tasks are spread: a worker that fails or has to
//! be emptied then interrupts few of them.

use std::collections::BTreeMap;

use super::evacuation::EVACUATION_GRACE_MS;
use super::{Now, Shard};
use crate::StepSpec;
use crate::job::{JobKey, TaskKey};
use crate::worker::WorkerKey;

/// Factor by which runs have to take longer than on other workers for a worker to count as slow.
const SLOW_FACTOR: f64 = 1.3;
/// Cost of a worker on which runs take twice as long, for a task with little slack, in thousandths
/// of a whole worker.
const SLOW_PENALTY: f64 = 2_000.0;
/// Divisor of this cost for a task with more slack than it takes.
const SLACK_DIVISOR: u64 = 4;
/// Cost of each long task on the worker for another one, in thousandths of a whole worker.
const LONG_PENALTY: u64 = 300;

impl Shard {
    /// Returns additional costs of workers for the tasks of a step, in thousandths of a whole worker.
    pub(super) fn run_time_costs(
        &self,
        now: Now,
        job: JobKey,
        step: &StepSpec,
    ) -> Option<BTreeMap<WorkerKey, u64>> {
        if !self.timing.run_time_uses.placement || step.long_running {
            return None;
        }
        let is_long = self.is_long(job, step);
        let usual_pace = self.learned.usual_pace();
        let divisor = if self.has_slack(now, job) {
            SLACK_DIVISOR
        } else {
            1
        };
        let costs = self.workers.iter().filter_map(|(key, worker)| {
            let slow = slow_cost(self.learned.worker_factor(key, &usual_pace)) / divisor;
            let is_long_task = |task: &&TaskKey| {
                self.step_of(**task)
                    .is_some_and(|step| self.is_long(task.job, step))
            };
            let long = if is_long {
                worker.tasks.iter().filter(is_long_task).count() as u64 * LONG_PENALTY
            } else {
                0
            };
            (slow + long > 0).then_some((key, slow + long))
        });
        Some(costs.collect())
    }

    /// Returns whether a task typically runs for so long that an evacuation would stop it.
    fn is_long(&self, job: JobKey, step: &StepSpec) -> bool {
        let times = self
            .jobs
            .get(job)
            .and_then(|job| self.run_times(&job.route));
        times.is_some_and(|times| times.longest_of_ms(step.estimate_ms, 1) > EVACUATION_GRACE_MS)
    }

    /// Returns whether a job can lose as much time as it still takes and be on time.
    fn has_slack(&self, now: Now, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let Some(route) = self.routes.get(&job.route) else {
            return false;
        };
        let chain = self.chain_times(now, job);
        let deadline_ms = job.accepted_ms + route.objective_ms(chain.total_ms);
        now.unix_ms + 2 * chain.remaining_ms <= deadline_ms
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the factor of a worker is positive and limited"
)]
fn slow_cost(factor: f64) -> u64 {
    if factor < SLOW_FACTOR {
        0
    } else {
        ((factor - 1.0) * SLOW_PENALTY) as u64
    }
}
