//! Probability that a submitted job ends on time, and whether what was promised held.
//!
//! A job's objective follows its real duration: it is late when it spends more time on waiting than
//! its slack, which grows with the duration. The probability is taken over the learned durations
//! and over the learned delays of earlier jobs, in relation to the wait that was expected for them.

use slotmap::SparseSecondaryMap;

use super::Shard;
use crate::admission::{Admission, AdmissionRequest, Backlog, admit, retry_after_ms};
use crate::effect::{Decision, Effect};
use crate::job::{Job, JobKey, JobState, TaskKey};
use crate::run_times::Distribution;
use crate::{JobSpec, RouteConfig};

/// Lowest probability to end on time with which a job is accepted: it is more likely to be on time
/// than late.
const MIN_PROBABILITY: f64 = 0.5;
/// Levels at which the durations of a job's steps are taken. All steps of a job are taken at the
/// same level, as if a job that is long in one step were long in all.
const LEVELS: [f64; 10] = [0.05, 0.15, 0.25, 0.35, 0.45, 0.55, 0.65, 0.75, 0.85, 0.95];
/// Share of the jobs that each of [`LEVELS`] stands for.
const LEVEL_SHARE: f64 = 0.1;
/// Wait from which a job's delay is counted in relation to it, in milliseconds. Below, the delay
/// comes from commands and commits, and not from the backlog.
const MIN_RELATIVE_WAIT_MS: u64 = 300;
/// Number of observed delays from which they are used.
const MIN_DELAYS: u32 = 16;
/// Part of the expected wait that jobs wait, in percent, as long as no delays are known: a pool with
/// a growing backlog is given further workers.
const USUAL_WAIT_PERCENT: u64 = 50;
/// Longest delay that is told apart from longer ones, in milliseconds or thousandths of the wait.
const MAX_DELAY: u64 = 1_000_000;
/// Number of thousandths in one.
const MILLI: u64 = 1_000;
/// Number of halvings of the range in which the longest acceptable wait is searched.
const SEARCH_STEPS: u32 = 16;

/// What was expected of accepted jobs, and what came of it.
#[derive(Debug, Default)]
pub(super) struct Expectations {
    jobs: SparseSecondaryMap<JobKey, Expectation>,
    /// Delays in milliseconds of jobs with a short expected wait.
    short_waits: Option<Distribution>,
    /// Delays of the other jobs, in thousandths of the expected wait.
    long_waits: Option<Distribution>,
}

/// What was expected of a job when it was accepted.
#[derive(Debug)]
struct Expectation {
    wait_ms: u64,
    /// Probability to end on time in percent, if the durations were known.
    percent: Option<u32>,
    /// Duration in milliseconds of the longest task of each step, as far as they have ended.
    longest_ms: Vec<Option<u64>>,
}

/// Slack of a job at each of [`LEVELS`] of its durations, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Slacks([u64; LEVELS.len()]);

impl Expectations {
    /// Returns the probability that a job with an expected wait has a delay of at most `slack_ms`.
    fn delay_within(&self, wait_ms: u64, slack_ms: u64) -> f64 {
        let (delays, limit) = if wait_ms < MIN_RELATIVE_WAIT_MS {
            (&self.short_waits, slack_ms)
        } else {
            (&self.long_waits, slack_ms.saturating_mul(MILLI) / wait_ms)
        };
        match delays {
            Some(delays) if delays.observations() >= MIN_DELAYS => delays.probability_within(limit),
            _ if wait_ms / 100 * USUAL_WAIT_PERCENT <= slack_ms => 1.0,
            _ => 0.0,
        }
    }

    /// Returns the probability that a job ends on time after an expected wait.
    fn on_time(&self, wait_ms: u64, slacks: &Slacks) -> f64 {
        let levels = slacks.0.iter();
        let within = levels.map(|&slack_ms| self.delay_within(wait_ms, slack_ms));
        within.sum::<f64>() * LEVEL_SHARE
    }

    /// Returns the longest wait up to `wait_ms` with which a job is accepted, in milliseconds.
    fn longest_wait_ms(&self, wait_ms: u64, slacks: &Slacks) -> u64 {
        let (mut low, mut high) = (0, wait_ms);
        for _ in 0..SEARCH_STEPS {
            let middle = low + (high - low) / 2;
            if self.on_time(middle, slacks) >= MIN_PROBABILITY {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

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
        let delay_ms = took_ms.saturating_sub(chain_ms);
        let (delays, delay) = if expectation.wait_ms < MIN_RELATIVE_WAIT_MS {
            (&mut self.short_waits, delay_ms)
        } else {
            let relative = delay_ms.saturating_mul(MILLI) / expectation.wait_ms;
            (&mut self.long_waits, relative)
        };
        delays
            .get_or_insert_with(|| Distribution::new(MAX_DELAY))
            .observe(delay);
        Some(Decision::PromiseEnded {
            job: job.id.clone(),
            percent: expectation.percent?,
            is_kept: took_ms <= route?.objective_ms(chain_ms),
            wait_ms: expectation.wait_ms,
            delay_ms,
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
        let usual = || admit(backlog, request);
        if !uses.admission && !uses.retry_after {
            return usual();
        }
        let Some(slacks) = self.slacks(spec, route) else {
            return usual();
        };
        let wait_ms = backlog.wait_ms();
        let is_accepted = if uses.admission {
            self.expectations.on_time(wait_ms, &slacks) >= MIN_PROBABILITY
        } else {
            usual() == Admission::Accept
        };
        if is_accepted {
            return Admission::Accept;
        }
        if !uses.retry_after {
            return match usual() {
                Admission::Accept => Admission::Reject {
                    retry_after_ms: retry_after_ms(0, request.jitter_seed),
                },
                rejection @ Admission::Reject { .. } => rejection,
            };
        }
        let longest_wait_ms = self.expectations.longest_wait_ms(wait_ms, &slacks);
        let excess_ms = wait_ms.saturating_sub(longest_wait_ms);
        Admission::Reject {
            retry_after_ms: retry_after_ms(excess_ms, request.jitter_seed),
        }
    }

    /// Keeps what is expected of an accepted job until its end.
    pub(super) fn expect_end(&mut self, key: JobKey, wait_ms: u64) {
        let job = &self.jobs[key];
        let is_measured = !job.spec.is_long_running() && job.spec.schedule.is_none();
        if !self.timing.run_time_uses.any() || !is_measured {
            return;
        }
        let Some(route) = self.routes.get(&job.route) else {
            return;
        };
        let percent = self
            .slacks(&job.spec, route)
            .map(|slacks| percent_of(self.expectations.on_time(wait_ms, &slacks)));
        if let Some(percent) = percent {
            let decision = Decision::PromiseMade {
                job: job.id.clone(),
                percent,
                wait_ms,
                observations: self
                    .run_times(&job.route)
                    .map_or(0, crate::RunTimes::observations),
            };
            self.gated_effects.push(Effect::Log(decision));
        }
        let expectation = Expectation {
            wait_ms,
            percent,
            longest_ms: vec![None; job.spec.steps.len()],
        };
        self.expectations.jobs.insert(key, expectation);
    }

    /// Returns the slack of a job at each of [`LEVELS`], if the run times of its route are known.
    fn slacks(&self, spec: &JobSpec, route: &RouteConfig) -> Option<Slacks> {
        let times = self.run_times(&route.name)?;
        if !times.is_known() {
            return None;
        }
        Some(Slacks(LEVELS.map(|level| {
            let chain_ms = spec.critical_path_by(|_, step| {
                times.longest_quantile_ms(step.estimate_ms, step.count, level)
            });
            route.objective_ms(chain_ms).saturating_sub(chain_ms)
        })))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a probability lies between 0 and 1"
)]
fn percent_of(probability: f64) -> u32 {
    (probability * 100.0) as u32
}
