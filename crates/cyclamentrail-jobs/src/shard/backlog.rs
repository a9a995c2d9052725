//! Work that a shard has accepted and that isn't done, by which jobs are admitted and machines are
//! requested.
//!
//! Answers bursts, and the return of many callers after a takeover: a count looks at all accepted
//! tasks, so that one for each job would cost more the further the owner falls behind.

use super::task_times::TaskTimes;
use super::{Now, Shard};
use crate::admission::Backlog;
use crate::job::Job;
use crate::worker::Worker;
use crate::{JobSpec, Resources, StepSpec};

/// Part of the work of running tasks that remains on average, in percent.
const RUNNING_REMAINING_PERCENT: u64 = 50;
/// Time for which jobs are admitted by one count, in milliseconds; short against their waits.
const COUNT_VALID_MS: u64 = 20;

/// Accepted work that isn't done, in all and by team.
#[derive(Debug, Clone, Default)]
pub(super) struct BacklogCount {
    /// Work of all teams, and the workers that share it.
    pub(super) total: Backlog,
    /// Work of each team, by its index.
    team_work_ms: Vec<u64>,
    /// Time of the count, as in [`Now::boot_ms`]; `None` before the first.
    counted_ms: Option<u64>,
}

impl BacklogCount {
    /// Returns the work of a team; 0 for one that was added after the count.
    pub(super) fn team_work_ms(&self, team_index: usize) -> u64 {
        self.team_work_ms.get(team_index).copied().unwrap_or(0)
    }

    /// Adds a job that was accepted since the count.
    pub(super) fn add_job(&mut self, team_index: usize, work_ms: u64) {
        self.total.work_ms += work_ms;
        if self.team_work_ms.len() <= team_index {
            self.team_work_ms.resize(team_index + 1, 0);
        }
        self.team_work_ms[team_index] += work_ms;
    }

    fn is_valid(&self, now: Now) -> bool {
        self.counted_ms
            .is_some_and(|counted_ms| now.boot_ms.saturating_sub(counted_ms) < COUNT_VALID_MS)
    }
}

impl Shard {
    /// Returns how many tasks were looked at to count the backlog. A measure of what admission costs.
    #[must_use]
    pub const fn counted_tasks(&self) -> u64 {
        self.counted_tasks
    }

    /// Counts the remaining work of accepted jobs for the admission of others, unless the last count is
    /// still valid; of a running task, [`RUNNING_REMAINING_PERCENT`] of its work counts.
    pub(super) fn count_backlog_if_due(&mut self, now: Now) {
        if self.backlog_count.is_valid(now) {
            return;
        }
        let is_learned = self.timing.run_time_uses.admission;
        let mut team_work_ms = vec![0; self.team_table.teams.len()];
        let mut counted_tasks = 0;
        let total = self.backlog(RUNNING_REMAINING_PERCENT, is_learned, |job, work_ms| {
            team_work_ms[job.team_index] += work_ms;
            counted_tasks += job.spec.task_count();
        });
        self.counted_tasks += counted_tasks;
        self.backlog_count = BacklogCount {
            total,
            team_work_ms,
            counted_ms: Some(now.boot_ms),
        };
    }

    /// Returns the work of accepted tasks that aren't placed, in milliseconds of a whole worker.
    pub(super) fn waiting_work_ms(&self) -> u64 {
        let is_learned = self.timing.run_time_uses.pool_sizes;
        self.backlog(0, is_learned, |_, _| {}).work_ms
    }

    /// Returns the remaining work of accepted jobs; of a placed task, `running_percent` of its work
    /// counts. Work is counted by the learned run times if `is_learned`. `count_job` gets each job with
    /// its part.
    fn backlog(
        &self,
        running_percent: u64,
        is_learned: bool,
        mut count_job: impl FnMut(&Job, u64),
    ) -> Backlog {
        let is_sharing =
            |worker: &&Worker| worker.is_registered && !worker.registration.is_draining;
        let workers = self.workers.values().filter(is_sharing).count() as u64;
        let capacity = self.largest_capacity();
        let mut total_ms = 0;
        for job in self.active.iter().filter_map(|&key| self.jobs.get(key)) {
            if job.is_aborted() || job.spec.is_long_running() {
                continue;
            }
            let times = self.task_times(&job.route, is_learned);
            let job_ms = self.remaining_work_ms(job, &capacity, times, running_percent);
            total_ms += job_ms;
            count_job(job, job_ms);
        }
        Backlog {
            work_ms: total_ms,
            workers,
        }
    }

    /// Returns the remaining work of a job; of a placed task, `running_percent` of its work counts.
    fn remaining_work_ms(
        &self,
        job: &Job,
        capacity: &Resources,
        times: TaskTimes<'_>,
        running_percent: u64,
    ) -> u64 {
        let now = self.learned.last_round;
        let mut work_ms = 0;
        for occurrence in &job.occurrences {
            for (spec, progress) in job.spec.steps.iter().zip(&occurrence.steps) {
                let task_ms = task_work_ms(spec, capacity, times);
                for task in progress.tasks.iter().filter(|task| !task.is_done) {
                    work_ms += if task.placement.is_some() {
                        times.placed_work_ms(now, spec, task, task_ms, running_percent)
                    } else {
                        task_ms
                    };
                }
            }
        }
        if job.next_occurrence == 0 && job.spec.schedule.is_none() {
            work_ms += job_work_ms(&job.spec, capacity, times);
        }
        work_ms
    }
}

/// Returns the work of a whole job in milliseconds of a whole worker.
pub(super) fn job_work_ms(spec: &JobSpec, capacity: &Resources, times: TaskTimes<'_>) -> u64 {
    spec.steps
        .iter()
        .map(|step| u64::from(step.count) * task_work_ms(step, capacity, times))
        .sum()
}

/// Returns the work of one task in milliseconds of a whole worker.
fn task_work_ms(step: &StepSpec, capacity: &Resources, times: TaskTimes<'_>) -> u64 {
    step.reserved_resources().dominant_share_milli(capacity) * times.predict_ms(step.estimate_ms)
        / 1_000
}
