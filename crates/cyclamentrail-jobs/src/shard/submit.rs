//! Admission of submitted jobs, and replies about their state.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, TeamName};

use super::backlog::job_work_ms;
use super::{Now, Shard};
use crate::access::may_access_job;
use crate::admission::AdmissionRequest;
use crate::effect::{AdmissionShare, CallerId, CallerReply, Decision, Effect, RejectReason};
use crate::fair_share::TeamAdmission;
use crate::job::{Job, JobKey, JobState};
use crate::record::{AcceptedJobRecord, encode, is_reserved_key};
use crate::selection::PlacementRequest;
use crate::worker::Worker;
use crate::{DurationEstimate, JobSpec, Resources};

/// Time after which the caller of a job that no worker can hold may retry, in milliseconds.
const NO_WORKER_RETRY_MS: u64 = 5_000;
/// Time after which a caller may retry where the shard holds too many jobs or doesn't know the
/// route, in milliseconds.
const FULL_RETRY_MS: u64 = 5_000;

/// A job as a caller submits it.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Caller that waits for the reply.
    pub caller: CallerId,
    /// Id of the job; a repeated submission has the same id.
    pub id: JobId,
    /// Route that the job belongs to.
    pub route: RouteName,
    /// Team of the caller; `None` where the route is public or no teams are configured.
    pub team: Option<TeamName>,
    /// Steps and schedule of the job.
    pub spec: Arc<JobSpec>,
}

impl Shard {
    /// Accepts or rejects a job; a repeated submission of an accepted id is accepted without a new
    /// job. A repeated submission of an id that another team's job has is refused.
    pub fn submit(&mut self, now: Now, submission: Submission) {
        let caller = submission.caller;
        if self.reply_if_held(caller, &submission.id) {
            return;
        }
        if let Some(&key) = self.job_keys.get(&submission.id) {
            if self.denies_access(caller, key, submission.team.as_ref()) {
                return;
            }
            let reply = Effect::Reply(caller, CallerReply::Accepted);
            if let Some(callers) = self.unstored.get_mut(&key) {
                callers.push(caller);
                self.gated_effects.push(reply);
            } else {
                self.ready_effects.push(reply);
            }
            return;
        }
        let is_malformed =
            !submission.spec.is_well_formed() || is_reserved_key(submission.id.as_str());
        if is_malformed || self.is_too_long(now, &submission) {
            self.ready_effects
                .push(Effect::Reply(caller, CallerReply::Malformed));
            return;
        }
        let times = self.task_times(&submission.route, self.timing.run_time_uses.pool_sizes);
        let work_ms = job_work_ms(&submission.spec, &self.largest_capacity(), times);
        self.count_arrival(now, &submission.id, &submission.spec, work_ms);
        match self.check_admission(now, &submission, work_ms) {
            Ok((wait_ms, share)) => {
                let spec = &submission.spec;
                let is_counted = !spec.is_long_running() && spec.schedule.is_none();
                let team_index = self.accept(now, submission, wait_ms, share);
                if is_counted {
                    self.backlog_count.add_job(team_index, work_ms);
                }
            }
            Err(rejection) => {
                let team = submission.team.as_ref();
                self.team_table.count_rejected(team, rejection.reason);
                self.ready_effects.push(Effect::Log(Decision::JobRejected {
                    job: submission.id,
                    reason: rejection.reason,
                    wait_ms: rejection.wait_ms,
                    free_percent: self.free_percent(),
                    share: rejection.share,
                }));
                let reply = CallerReply::Rejected {
                    retry_after_ms: rejection.retry_after_ms,
                    reason: rejection.reason,
                };
                self.ready_effects.push(Effect::Reply(caller, reply));
            }
        }
    }

    /// Returns whether the store wouldn't accept the record of a job.
    fn is_too_long(&self, now: Now, submission: &Submission) -> bool {
        let record = AcceptedJobRecord {
            route: submission.route.clone(),
            spec: Arc::clone(&submission.spec),
            accepted_ms: now.unix_ms,
            team: submission.team.clone(),
        };
        let key_bytes = submission.id.as_str().len() + 1;
        encode(&record).len() + key_bytes > self.timing.max_record_bytes
    }

    /// Accepts a job; returns the index of its team.
    fn accept(
        &mut self,
        now: Now,
        submission: Submission,
        wait_ms: u64,
        share: Option<AdmissionShare>,
    ) -> usize {
        let team_index = self.count_accepted(now, submission.team.as_ref());
        let Submission {
            caller,
            id,
            route,
            team,
            spec,
        } = submission;
        self.routes.store_accepting(&route);
        let mut job = Job::new(id.clone(), route, spec, now.unix_ms).team(team);
        job.team_index = team_index;
        let key = self.jobs.insert(job);
        self.job_keys.insert(id.clone(), key);
        self.active.insert(key);
        self.unstored.insert(key, vec![caller]);
        self.dirty.insert(key);
        self.gated_effects.push(Effect::Log(Decision::JobAccepted {
            job: id,
            wait_ms,
            share,
        }));
        self.gated_effects
            .push(Effect::Reply(caller, CallerReply::Accepted));
        self.expect_end(key, wait_ms);
        team_index
    }

    /// Refuses the request of a caller of `team` if the job belongs to another team; returns whether
    /// it did.
    pub(super) fn denies_access(
        &mut self,
        caller: CallerId,
        key: JobKey,
        team: Option<&TeamName>,
    ) -> bool {
        let job = &self.jobs[key];
        if may_access_job(!self.is_open, job.team.as_ref(), team) {
            return false;
        }
        self.ready_effects.push(Effect::Log(Decision::AccessDenied {
            job: job.id.clone(),
            team: team.cloned(),
        }));
        self.ready_effects
            .push(Effect::Reply(caller, CallerReply::OtherTeam));
        true
    }

    /// Replies to a caller of `team` with the state of a job once the job is durable.
    pub fn reply_state(&mut self, caller: CallerId, id: &JobId, team: Option<&TeamName>) {
        if self.reply_if_held(caller, id) {
            return;
        }
        let reply = match self.job_keys.get(id) {
            Some(&key) => {
                if self.denies_access(caller, key, team) {
                    return;
                }
                let job = &self.jobs[key];
                if let Some(callers) = self.unstored.get_mut(&key) {
                    callers.push(caller);
                    self.gated_effects
                        .push(Effect::Reply(caller, CallerReply::State(job.durable_state)));
                    return;
                }
                CallerReply::State(job.durable_state)
            }
            None => CallerReply::UnknownJob,
        };
        self.ready_effects.push(Effect::Reply(caller, reply));
    }

    /// Replies with the number of a route's jobs of which nothing has started.
    pub fn reply_pending(&mut self, caller: CallerId, route: &RouteName) {
        let pending = self
            .active
            .iter()
            .filter_map(|&key| self.jobs.get(key))
            .filter(|job| job.route == *route && job.state() == JobState::Queued)
            .count();
        let reply = CallerReply::PendingJobs(pending as u64);
        self.ready_effects.push(Effect::Reply(caller, reply));
    }

    /// Returns the expected wait of a job in milliseconds if the job can be accepted, and the share of
    /// its team that decided.
    fn check_admission(
        &mut self,
        now: Now,
        submission: &Submission,
        work_ms: u64,
    ) -> Result<(u64, Option<AdmissionShare>), Rejection> {
        if self.jobs.len() >= self.timing.max_jobs {
            return Err(Rejection::new(RejectReason::TooManyJobs, FULL_RETRY_MS, 0));
        }
        let Some(route) = self.routes.configured(&submission.route).map(Arc::clone) else {
            return Err(Rejection::new(RejectReason::NotReady, FULL_RETRY_MS, 0));
        };
        let listed = || self.workers.values().filter(|worker| worker.is_registered);
        let spec = &submission.spec;
        let is_feasible = spec.steps.iter().all(|step| {
            let request = PlacementRequest::from(step);
            listed().any(|worker| request.is_suitable(worker))
        });
        if !is_feasible {
            let reason = RejectReason::NoSuitableWorker;
            return Err(Rejection::new(reason, NO_WORKER_RETRY_MS, 0));
        }
        if spec.is_long_running() || spec.schedule.is_some() {
            return Ok((0, None));
        }
        let estimate = self.estimate(&route.name);
        let critical_path_ms =
            spec.critical_path_by(|_, step| estimate.predict_ms(step.estimate_ms));
        let admission_request = AdmissionRequest {
            work_ms,
            critical_path_ms,
            objective_ms: route.objective_ms(critical_path_ms),
            jitter_seed: retry_seed(&submission.id),
        };
        self.count_backlog_if_due(now);
        let team = submission.team.as_ref();
        match self.admit_by_share(now, team, spec, &route, admission_request) {
            (TeamAdmission::Accept { wait_ms }, share) => Ok((wait_ms, share)),
            (
                TeamAdmission::Reject {
                    reason,
                    wait_ms,
                    retry_after_ms,
                },
                share,
            ) => Err(Rejection {
                share,
                ..Rejection::new(reason, retry_after_ms, wait_ms)
            }),
        }
    }

    /// Returns what is known of the running times of a route.
    pub(super) fn estimate(&self, route: &RouteName) -> DurationEstimate {
        self.estimates.get(route).copied().unwrap_or_default()
    }

    /// Returns the capacity of the largest worker, by processors and then memory.
    pub(super) fn largest_capacity(&self) -> Resources {
        let capacity = |worker: &Worker| worker.registration.capacity;
        self.workers
            .values()
            .map(capacity)
            .max_by_key(|capacity| (capacity.cpu_milli, capacity.memory_mib))
            .unwrap_or_default()
    }
}

/// Why a job was rejected, and when its caller may retry.
struct Rejection {
    reason: RejectReason,
    retry_after_ms: u64,
    wait_ms: u64,
    share: Option<AdmissionShare>,
}

impl Rejection {
    const fn new(reason: RejectReason, retry_after_ms: u64, wait_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms,
            wait_ms,
            share: None,
        }
    }
}

/// Returns a hash of a job's id, which spreads the retries of callers that are rejected together.
#[must_use]
pub fn retry_seed(id: &JobId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_str().hash(&mut hasher);
    hasher.finish()
}
