//! Probability that a submitted job ends on time, and whether it did.
//!
//! A job is late when it spends more time on waiting than its slack. The wait that is expected at its
//! acceptance predicts little by itself: tasks don't fill workers completely, later jobs with earlier
//! deadlines overtake, and pools grow meanwhile. So the part of the slack that the expected wait
//! uses up is compared with the outcomes of earlier jobs.

use slotmap::SparseSecondaryMap;

use super::Shard;
use crate::admission::{Admission, AdmissionRequest, Backlog, admit, retry_after_excess_ms};
use crate::effect::{Decision, Effect};
use crate::job::{Job, JobKey, JobState, TaskKey};
use crate::{JobSpec, RouteConfig, RunTimes};

/// Lowest probability to end on time with which a job is accepted. It is above one half, because a
/// late job also takes the room of others.
const MIN_PROBABILITY: f64 = 0.7;
/// Intercept of the first model, with which a job without a wait is on time in 19 of 20 cases.
const FIRST_INTERCEPT: f64 = 2.944;
/// Slope of the first model. It gives one half where the expected wait is twice the slack.
const FIRST_SLOPE: f64 = 1.472;
/// Smallest slope: a longer wait never makes a job more likely to be on time.
const MIN_SLOPE: f64 = 0.25;
/// Step by which each job changes the model; the inverse is about the number of jobs that count.
const LEARNING_RATE: f64 = 0.02;
/// Largest part of the slack that a wait counts as, so that a few overdue jobs don't decide.
const MAX_USED_SLACK: f64 = 4.0;

/// Expected ends of accepted jobs, and the model that learns from the actual ones.
#[derive(Debug, Default)]
pub(super) struct Expectations {
    jobs: SparseSecondaryMap<JobKey, Expectation>,
    model: OnTimeModel,
}

/// Logistic model of the probability to end on time, by the part of the slack that the expected wait
/// uses up.
#[derive(Debug, Clone, Copy)]
struct OnTimeModel {
    intercept: f64,
    slope: f64,
}

impl Default for OnTimeModel {
    fn default() -> Self {
        Self {
            intercept: FIRST_INTERCEPT,
            slope: FIRST_SLOPE,
        }
    }
}

impl OnTimeModel {
    fn probability(&self, used_slack: f64) -> f64 {
        1.0 / (1.0 + (self.slope * used_slack - self.intercept).exp())
    }

    /// Returns the part of the slack that the wait of an accepted job may use up.
    fn usable_slack(&self) -> f64 {
        let least_odds = MIN_PROBABILITY / (1.0 - MIN_PROBABILITY);
        (self.intercept - least_odds.ln()) / self.slope
    }

    /// Moves the model towards the outcome of a job, along the gradient of the logarithmic loss.
    fn learn(&mut self, used_slack: f64, is_on_time: bool) {
        let outcome = if is_on_time { 1.0 } else { 0.0 };
        let error = outcome - self.probability(used_slack);
        self.intercept += LEARNING_RATE * error;
        self.slope = (self.slope - LEARNING_RATE * error * used_slack).max(MIN_SLOPE);
    }
}

/// What was expected of a job when it was accepted.
#[derive(Debug)]
struct Expectation {
    wait_ms: u64,
    /// Part of the slack that the expected wait uses up.
    used_slack: f64,
    /// Probability to end on time in percent.
    percent: u32,
    /// Duration in milliseconds of the longest task of each step, as far as they have ended.
    longest_ms: Vec<Option<u64>>,
}

impl Expectations {
    /// Records the duration of a run that did a whole task.
    pub(super) fn record_run(&mut self, key: TaskKey, lasted_ms: u64) {
        let longest = self
            .jobs
            .get_mut(key.job)
            .and_then(|expectation| expectation.longest_ms.get_mut(key.step as usize));
        if let Some(longest) = longest {
            *longest = Some(longest.unwrap_or(0).max(lasted_ms));
        }
    }

    /// Compares a job that has reached its final state with what was expected of it.
    pub(super) fn settle(
        &mut self,
        key: JobKey,
        job: &Job,
        route: Option<&RouteConfig>,
        took_ms: u64,
    ) -> Option<Decision> {
        let expectation = self.jobs.remove(key)?;
        if job.state() != JobState::Completed {
            return None;
        }
        let longest_ms: Option<Vec<u64>> = expectation.longest_ms.into_iter().collect();
        let longest_ms = longest_ms?;
        let chain_ms = job.spec.critical_path_by(|index, _| longest_ms[index]);
        let is_kept = took_ms <= route?.objective_ms(chain_ms);
        self.model.learn(expectation.used_slack, is_kept);
        Some(Decision::PromiseEnded {
            job: job.id.clone(),
            percent: expectation.percent,
            is_kept,
            wait_ms: expectation.wait_ms,
            delay_ms: took_ms.saturating_sub(chain_ms),
        })
    }
}

impl Shard {
    /// Decides whether a job is accepted, and when a rejected caller may try again; by the learned
    /// run times where they are used and known.
    pub(super) fn decide_admission(
        &self,
        spec: &JobSpec,
        route: &RouteConfig,
        backlog: Backlog,
        request: AdmissionRequest,
    ) -> Admission {
        let uses = self.timing.run_time_uses;
        let usual = admit(backlog, request);
        let Some(slack_ms) = self.slack_ms(spec, route) else {
            return usual;
        };
        let wait_ms = backlog.wait_ms();
        let is_accepted = if uses.admission {
            self.expectations
                .model
                .probability(used_slack(wait_ms, slack_ms))
                >= MIN_PROBABILITY
        } else {
            usual == Admission::Accept
        };
        if is_accepted {
            return Admission::Accept;
        }
        let longest_wait_ms = match usual {
            Admission::Reject { .. } if !uses.retry_after => return usual,
            _ => scaled(slack_ms, self.expectations.model.usable_slack()),
        };
        let excess_ms = wait_ms.saturating_sub(longest_wait_ms);
        Admission::Reject {
            retry_after_ms: retry_after_excess_ms(excess_ms, request.jitter_seed),
        }
    }

    /// Keeps what is expected of an accepted job until its end.
    pub(super) fn expect_end(&mut self, key: JobKey, wait_ms: u64) {
        let job = &self.jobs[key];
        if job.spec.is_long_running() || job.spec.schedule.is_some() {
            return;
        }
        let Some(route) = self.routes.get(&job.route) else {
            return;
        };
        let Some(slack_ms) = self.slack_ms(&job.spec, route) else {
            return;
        };
        let used_slack = used_slack(wait_ms, slack_ms);
        let percent = percent_of(self.expectations.model.probability(used_slack));
        let observations = self.run_times(&job.route).map(RunTimes::observations);
        let decision = Decision::PromiseMade {
            job: job.id.clone(),
            percent,
            wait_ms,
            observations: observations.unwrap_or(0),
        };
        self.gated_effects.push(Effect::Log(decision));
        let expectation = Expectation {
            wait_ms,
            used_slack,
            percent,
            longest_ms: vec![None; job.spec.steps.len()],
        };
        self.expectations.jobs.insert(key, expectation);
    }

    /// Returns the time in milliseconds that a job may wait and still typically be on time, if the
    /// run times of its route are known.
    fn slack_ms(&self, spec: &JobSpec, route: &RouteConfig) -> Option<u64> {
        let times = self.run_times(&route.name)?;
        if !times.is_known() {
            return None;
        }
        let chain_ms =
            spec.critical_path_by(|_, step| times.longest_of_ms(step.estimate_ms, step.count));
        Some(route.objective_ms(chain_ms).saturating_sub(chain_ms))
    }
}

/// Returns the part of a job's slack that its expected wait uses up, both in milliseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "waits are far below 2^52 milliseconds, or unlimited"
)]
fn used_slack(wait_ms: u64, slack_ms: u64) -> f64 {
    (wait_ms as f64 / slack_ms.max(1) as f64).min(MAX_USED_SLACK)
}

/// Returns a multiple of a time in milliseconds.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the factor is limited to zero and more, and slacks are far below 2^52 milliseconds"
)]
fn scaled(time_ms: u64, factor: f64) -> u64 {
    (time_ms as f64 * factor.max(0.0)) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a probability lies between 0 and 1"
)]
fn percent_of(probability: f64) -> u32 {
    (probability * 100.0) as u32
}
