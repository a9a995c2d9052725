//! Occurrences of jobs: when they begin, and when they are dropped.
//!
//! Any number of a job's occurrences may be due at once, such as all those of a schedule that began
//! in the past. They begin in the order of their numbers, each when the tasks of the ones before it
//! no longer wait for a worker. So a job holds few tasks that can't run yet, however often it
//! repeats, and a round begins a bounded number of tasks, whatever the jobs ask for; the next round
//! goes on with the job after the last one.

use std::ops::Bound::{Excluded, Unbounded};

use super::{Now, Shard};
use crate::MAX_TASKS;
use crate::job::{Job, JobKey, Occurrence};

/// Number of a job's tasks that wait for a worker from which no further occurrence of it begins.
const MAX_WAITING_TASKS: u64 = 256;
/// Number of tasks that begin in one round, unless a single occurrence has more.
const MAX_BEGUN_TASKS: u64 = 4_096;

impl Shard {
    /// Begins occurrences that are due, and drops finished ones.
    pub(super) fn update_occurrences(&mut self, now: Now) {
        self.begin_due_occurrences(now);
        for key in &self.active {
            let Some(job) = self.jobs.get_mut(*key) else {
                continue;
            };
            if job.drop_finished_occurrences() {
                self.dirty.insert(*key);
            }
        }
    }

    /// Begins occurrences that are due, job by job, until [`MAX_BEGUN_TASKS`] have begun.
    fn begin_due_occurrences(&mut self, now: Now) {
        let mut left = MAX_BEGUN_TASKS;
        for key in self.jobs_with_due_occurrence(now) {
            left = left.saturating_sub(self.begin_occurrences(now, key, left));
            if left == 0 {
                self.last_begun = Some(key);
                return;
            }
        }
        self.last_begun = None;
    }

    /// Returns the jobs of which an occurrence may begin, beginning after the one at which the last
    /// round ended.
    fn jobs_with_due_occurrence(&self, now: Now) -> Vec<JobKey> {
        let is_due = |key: &&JobKey| {
            let next_due_ms = self.jobs.get(**key).and_then(Job::next_due_ms);
            next_due_ms.is_some_and(|due_ms| due_ms <= now.unix_ms)
        };
        let active = || self.active.iter().filter(is_due).copied();
        let Some(last) = self.last_begun else {
            return active().collect();
        };
        let later = self.active.range((Excluded(last), Unbounded));
        let later = later.filter(is_due).copied();
        later
            .chain(active().take_while(|key| *key <= last))
            .collect()
    }

    /// Begins occurrences of a job until `max_tasks` tasks have begun or too many wait; returns the
    /// number of begun tasks.
    fn begin_occurrences(&mut self, now: Now, key: JobKey, max_tasks: u64) -> u64 {
        let job = &mut self.jobs[key];
        let mut open = OpenTasks::of(job);
        let mut begun = 0;
        while begun < max_tasks
            && open.allow_another(job.spec.task_count())
            && job
                .next_due_ms()
                .is_some_and(|due_ms| due_ms <= now.unix_ms)
        {
            let occurrence = Occurrence::new(job.next_occurrence, &job.spec);
            begun += job.spec.task_count();
            open.add(job, &occurrence);
            job.occurrences.push(occurrence);
            job.next_occurrence += 1;
        }
        if begun > 0 {
            self.dirty.insert(key);
            self.mark_known_suspects(key);
        }
        begun
    }
}

/// Tasks of a job's begun occurrences.
#[derive(Debug, Default)]
struct OpenTasks {
    /// Number of tasks that aren't done.
    unfinished: u64,
    /// Number of these that wait for a worker and whose preceding steps are done.
    waiting: u64,
}

impl OpenTasks {
    fn of(job: &Job) -> Self {
        let mut open = Self::default();
        for occurrence in &job.occurrences {
            open.add(job, occurrence);
        }
        open
    }

    fn add(&mut self, job: &Job, occurrence: &Occurrence) {
        for (progress, step) in occurrence.steps.iter().zip(&job.spec.steps) {
            self.unfinished += progress.unfinished_tasks();
            if occurrence.is_step_ready(step) {
                self.waiting += progress.waiting_tasks();
            }
        }
    }

    /// Returns whether another occurrence of `task_count` tasks may begin.
    const fn allow_another(&self, task_count: u64) -> bool {
        let is_first = self.unfinished == 0;
        let fits = self.unfinished + task_count <= MAX_TASKS as u64;
        is_first || (fits && self.waiting < MAX_WAITING_TASKS)
    }
}
