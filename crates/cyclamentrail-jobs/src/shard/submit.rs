//! Accepting jobs and telling about them.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName};

use super::{Now, Shard};
use crate::admission::{Admission, Applicant, Backlog, admit};
use crate::effect::{Answer, CallerTicket, Effect, Note, RejectReason};
use crate::job::{Job, JobState, Occurrence};
use crate::placing::Wish;
use crate::worker::Worker;
use crate::{Estimate, JobSpec, Resources, StepSpec};

/// Part of the work in progress that is still to be done on average, in percent.
const RUNNING_PART: u64 = 50;
/// When a caller may come back whose job no worker can hold, in milliseconds.
const NO_WORKER_RETRY_MS: u64 = 5_000;
/// When a caller may come back to an owner that keeps too many jobs, in milliseconds.
const FULL_RETRY_MS: u64 = 5_000;

/// A job that is handed in.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Who waits for the answer.
    pub caller: CallerTicket,
    /// The job's id.
    pub id: JobId,
    /// Its route.
    pub route: RouteName,
    /// What is asked for.
    pub spec: Arc<JobSpec>,
}

impl Shard {
    /// Accepts or rejects a job; the same id is the same job.
    pub fn submit(&mut self, now: Now, submission: Submission) {
        let caller = submission.caller;
        if let Some(&key) = self.ids.get(&submission.id) {
            let answer = Effect::Answer(caller, Answer::Accepted);
            if let Some(callers) = self.undurable.get_mut(&key) {
                callers.push(caller);
                self.gated.push(answer);
            } else {
                self.ready.push(answer);
            }
            return;
        }
        if !submission.spec.is_well_formed() {
            self.ready.push(Effect::Answer(caller, Answer::Malformed));
            return;
        }
        let estimate = self.estimate(&submission.route);
        let work_ms = spec_work_ms(&submission.spec, &self.usual_capacity(), estimate);
        self.count_arrival(now, &submission.id, &submission.spec, work_ms);
        match self.judge(&submission, work_ms) {
            Ok(wait_ms) => self.accept(now, submission, wait_ms),
            Err(rejection) => {
                self.ready.push(Effect::Note(Note::Rejected {
                    job: submission.id,
                    reason: rejection.reason,
                    wait_ms: rejection.wait_ms,
                }));
                let answer = Answer::Rejected {
                    retry_after_ms: rejection.retry_after_ms,
                    reason: rejection.reason,
                };
                self.ready.push(Effect::Answer(caller, answer));
            }
        }
    }

    fn accept(&mut self, now: Now, submission: Submission, wait_ms: u64) {
        let Submission {
            caller,
            id,
            route,
            spec,
        } = submission;
        let job = Job::new(id.clone(), route, spec, now.unix_ms);
        let key = self.jobs.insert(job);
        self.ids.insert(id.clone(), key);
        self.active.insert(key);
        self.undurable.insert(key, vec![caller]);
        self.dirty.insert(key);
        self.gated
            .push(Effect::Note(Note::Accepted { job: id, wait_ms }));
        self.gated.push(Effect::Answer(caller, Answer::Accepted));
    }

    /// Answers with the state of a job.
    pub fn tell_state(&mut self, caller: CallerTicket, id: &JobId) {
        let answer = match self.ids.get(id) {
            Some(&key) => {
                let job = &self.jobs[key];
                if let Some(callers) = self.undurable.get_mut(&key) {
                    callers.push(caller);
                    self.gated
                        .push(Effect::Answer(caller, Answer::State(job.shown)));
                    return;
                }
                Answer::State(job.shown)
            }
            None => Answer::Unknown,
        };
        self.ready.push(Effect::Answer(caller, answer));
    }

    /// Answers with the number of a route's jobs that haven't begun.
    pub fn tell_pending(&mut self, caller: CallerTicket, route: &RouteName) {
        let pending = self
            .active
            .iter()
            .filter_map(|&key| self.jobs.get(key))
            .filter(|job| job.route == *route && job.state() == JobState::Queued)
            .count();
        let answer = Answer::Pending(pending as u64);
        self.ready.push(Effect::Answer(caller, answer));
    }

    /// Begins the occurrences that are due.
    pub(super) fn begin_occurrences(&mut self, now: Now) {
        for &key in &self.active {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            while job.next_due_ms().is_some_and(|due| due <= now.unix_ms) {
                let occurrence = Occurrence::new(job.next_occurrence, &job.spec);
                job.occurrences.push(occurrence);
                job.next_occurrence += 1;
                self.dirty.insert(key);
            }
            let whole = job.occurrences.len();
            if whole > 1 {
                job.occurrences
                    .retain(|one| !one.is_done() || one.has_placements());
                if job.occurrences.len() < whole {
                    self.dirty.insert(key);
                }
            }
        }
    }

    fn judge(&self, submission: &Submission, work_ms: u64) -> Result<u64, Rejected> {
        if self.jobs.len() >= self.timing.max_jobs {
            return Err(Rejected::new(RejectReason::TooManyJobs, FULL_RETRY_MS, 0));
        }
        let Some(terms) = self.terms.get(&submission.route) else {
            return Err(Rejected::new(RejectReason::NotReady, FULL_RETRY_MS, 0));
        };
        let listed = || self.workers.values().filter(|worker| worker.is_listed);
        let spec = &submission.spec;
        let possible = spec.steps.iter().all(|step| {
            let wish = Wish::from(step);
            listed().any(|worker| wish.suits(worker))
        });
        if !possible {
            let reason = RejectReason::NoSuchWorker;
            return Err(Rejected::new(reason, NO_WORKER_RETRY_MS, 0));
        }
        if spec.is_long_running() || spec.schedule.is_some() {
            return Ok(0);
        }
        let backlog = self.backlog();
        let estimate = self.estimate(&terms.name);
        let chain_ms = spec.chain_by(|_, step| estimate.predict_ms(step.estimate_ms));
        let applicant = Applicant {
            work_ms,
            chain_ms,
            objective_ms: terms.objective_ms(chain_ms),
            seed: seed_of(&submission.id),
        };
        match admit(backlog, applicant) {
            Admission::Accept => Ok(backlog.wait_ms()),
            Admission::Reject { retry_after_ms } => Err(Rejected::new(
                RejectReason::Overload,
                retry_after_ms,
                backlog.wait_ms(),
            )),
        }
    }

    /// Returns the work that is accepted and not done; work in progress counts half.
    fn backlog(&self) -> Backlog {
        self.backlog_with(RUNNING_PART)
    }

    /// Returns the work that is accepted and hasn't started, in milliseconds of a whole worker.
    pub(super) fn waiting_ms(&self) -> u64 {
        self.backlog_with(0).work_ms
    }

    /// Returns the work that isn't done; of what runs, this many percent count.
    fn backlog_with(&self, running_percent: u64) -> Backlog {
        let workers = self
            .workers
            .values()
            .filter(|worker| worker.is_listed && !worker.registration.is_draining)
            .count() as u64;
        let capacity = self.usual_capacity();
        let mut work = 0;
        for job in self.active.iter().filter_map(|&key| self.jobs.get(key)) {
            if job.is_over() || job.spec.is_long_running() {
                continue;
            }
            let estimate = self.estimate(&job.route);
            for occurrence in &job.occurrences {
                for (spec, progress) in job.spec.steps.iter().zip(&occurrence.steps) {
                    let each = task_work_ms(spec, &capacity, estimate);
                    for task in progress.tasks.iter().filter(|task| !task.is_done) {
                        work += if task.placement.is_some() {
                            each * running_percent / 100
                        } else {
                            each
                        };
                    }
                }
            }
            if job.next_occurrence == 0 && job.spec.schedule.is_none() {
                work += spec_work_ms(&job.spec, &capacity, estimate);
            }
        }
        Backlog {
            work_ms: work,
            workers,
        }
    }

    pub(super) fn estimate(&self, route: &RouteName) -> Estimate {
        self.estimates.get(route).copied().unwrap_or_default()
    }

    pub(super) fn usual_capacity(&self) -> Resources {
        let capacity = |worker: &Worker| worker.registration.capacity;
        self.workers
            .values()
            .map(capacity)
            .max_by_key(|capacity| (capacity.cpu_milli, capacity.memory_mib))
            .unwrap_or_default()
    }
}

/// Returns the work of a whole job in milliseconds of a whole worker.
fn spec_work_ms(spec: &JobSpec, capacity: &Resources, estimate: Estimate) -> u64 {
    spec.steps
        .iter()
        .map(|step| u64::from(step.count) * task_work_ms(step, capacity, estimate))
        .sum()
}

/// Returns the work of one task in milliseconds of a whole worker.
fn task_work_ms(step: &StepSpec, capacity: &Resources, estimate: Estimate) -> u64 {
    step.counted().dominant_milli(capacity) * estimate.predict_ms(step.estimate_ms) / 1_000
}

/// Why a job isn't accepted, and when its caller may come back.
struct Rejected {
    reason: RejectReason,
    retry_after_ms: u64,
    wait_ms: u64,
}

impl Rejected {
    const fn new(reason: RejectReason, retry_after_ms: u64, wait_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms,
            wait_ms,
        }
    }
}

/// Returns what spreads the callers of different jobs.
#[must_use]
pub fn seed_of(id: &JobId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_str().hash(&mut hasher);
    hasher.finish()
}
