//! Run times of a route's tasks, learned from the runs that have ended.
//!
//! Declared durations are off by up to nine tenths, a few tasks take several times as long as the
//! others, and all of them may slow down at once. A mean tells too little then: whether a job ends
//! on time, and when its slowest task does, are questions about the distribution. Two
//! distributions are kept for each route, of the actual durations and of their ratios to the
//! declared ones; [`DurationEstimate`] tells which of them predicts better.

use crate::DurationEstimate;

mod distribution;
mod pace;
mod record;
mod uses;

pub use distribution::Distribution;
pub use pace::Pace;
pub use record::{RUN_TIMES_PREFIX, RunTimesError};
pub use uses::{RunTimeUses, RunTimeUsesError};

/// Number of completed runs from which the learned values are used.
const MIN_OBSERVATIONS: u32 = 8;
/// Longest duration that is represented, in milliseconds; longer ones count as this one.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Ratio of an actual to a declared duration that counts as 1.
const UNIT_RATIO: u64 = 1_000;
/// Largest ratio of an actual to a declared duration that is represented, in thousandths; larger
/// ones count as this one.
const MAX_RATIO: u64 = 1_000_000;
/// Part of the route's runs whose durations are a lower bound for predictions from declared ones.
/// A caller that declares next to nothing is served like the callers of the shortest tasks.
const SHORTEST_PART: f64 = 0.1;
/// Divisor of the moving average of failures.
const FAILURE_DIVISOR: f64 = 32.0;

/// Learned run times of one route's tasks.
///
/// ```
/// use cyclamentrail_jobs::RunTimes;
///
/// let mut times = RunTimes::new();
/// for run in 0..200 {
///     times.observe(500, if run % 33 == 0 { 7_000 } else { 1_000 });
/// }
/// assert!(times.quantile_ms(500, 0.5) < 1_200);
/// assert!(times.longest_of_ms(500, 100) > 5_000);
/// assert!(times.remaining_ms(500, 2_000) > times.remaining_ms(500, 0));
/// ```
#[derive(Debug, Clone)]
pub struct RunTimes {
    /// Actual durations in milliseconds.
    durations: Distribution,
    /// Ratios of actual to declared durations, in thousandths.
    ratios: Distribution,
    /// Errors of the two predictors.
    estimate: DurationEstimate,
    /// Moving average of the part of runs that failed.
    failed_share: f64,
    /// Number of runs that were censored, in this process.
    censored: u32,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self::new()
    }
}

impl RunTimes {
    /// Creates run times without observations, which predict the declared duration.
    #[must_use]
    pub fn new() -> Self {
        Self {
            durations: Distribution::new(MAX_DURATION_MS),
            ratios: Distribution::new(MAX_RATIO),
            estimate: DurationEstimate::new(),
            failed_share: 0.0,
            censored: 0,
        }
    }

    /// Records a run that completed its task, with the declared and the actual duration in
    /// milliseconds.
    pub fn observe(&mut self, declared_ms: u64, actual_ms: u64) {
        self.estimate.observe(declared_ms, actual_ms);
        self.durations.observe(actual_ms);
        if let Some(ratio) = ratio_milli(declared_ms, actual_ms) {
            self.ratios.observe(ratio);
        }
        self.record_failure(false);
    }

    /// Records a run that was stopped, lost or slowed down: the task takes at least `lasted_ms`.
    pub fn censor(&mut self, declared_ms: u64, lasted_ms: u64) {
        self.censored = self.censored.saturating_add(1);
        self.durations.censor(lasted_ms);
        if let Some(ratio) = ratio_milli(declared_ms, lasted_ms) {
            self.ratios.censor(ratio);
        }
    }

    /// Records whether a run that ended by itself failed.
    pub fn record_failure(&mut self, has_failed: bool) {
        let failed = if has_failed { 1.0 } else { 0.0 };
        self.failed_share += (failed - self.failed_share) / FAILURE_DIVISOR;
    }

    /// Returns the number of completed runs that the predictions rest on.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.estimate.observations()
    }

    /// Returns the number of runs that were stopped, lost or slowed down.
    #[must_use]
    pub const fn censored(&self) -> u32 {
        self.censored
    }

    /// Returns the memory that the run times take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<DurationEstimate>() + self.durations.memory_bytes() + self.ratios.memory_bytes()
    }

    /// Returns the number of shifts of the durations that were noticed.
    #[must_use]
    pub const fn shifts(&self) -> u32 {
        self.durations.shifts()
    }

    /// Returns whether there are enough observations for predictions other than the declared value.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.observations() >= MIN_OBSERVATIONS
    }

    /// Returns the part of the recent runs that failed, from 0 to 1.
    #[must_use]
    pub const fn failed_share(&self) -> f64 {
        self.failed_share
    }

    /// Returns the expected duration of a task in milliseconds; its declared duration without
    /// enough observations.
    #[must_use]
    pub fn expected_ms(&self, declared_ms: u64) -> u64 {
        self.predict_ms(declared_ms, Distribution::mean)
    }

    /// Returns the duration in milliseconds that a part `level` (from 0 to 1) of such tasks doesn't
    /// exceed.
    #[must_use]
    pub fn quantile_ms(&self, declared_ms: u64, level: f64) -> u64 {
        self.predict_ms(declared_ms, |distribution| distribution.quantile(level))
    }

    /// Returns the typical duration in milliseconds of the longest of `count` tasks that run at the
    /// same time: the median of their maximum.
    #[must_use]
    pub fn longest_of_ms(&self, declared_ms: u64, count: u32) -> u64 {
        self.longest_quantile_ms(declared_ms, count, 0.5)
    }

    /// Returns the duration in milliseconds that the longest of `count` tasks doesn't exceed with
    /// the probability `level`. The tasks are taken as independent.
    #[must_use]
    pub fn longest_quantile_ms(&self, declared_ms: u64, count: u32, level: f64) -> u64 {
        self.quantile_ms(declared_ms, level.powf(1.0 / f64::from(count.max(1))))
    }

    /// Returns the probability that a task ends within `limit_ms` of its start.
    #[must_use]
    pub fn probability_within(&self, declared_ms: u64, limit_ms: u64) -> f64 {
        if !self.is_known() {
            return if declared_ms <= limit_ms { 1.0 } else { 0.0 };
        }
        if self.uses_ratio(declared_ms) {
            let limit_ms = limit_ms.max(1);
            if limit_ms < self.shortest_ms() {
                return 0.0;
            }
            self.ratios
                .probability_within(limit_ms.saturating_mul(UNIT_RATIO) / declared_ms)
        } else {
            self.durations.probability_within(limit_ms)
        }
    }

    /// Returns the expected remaining duration in milliseconds of a task that has run for
    /// `lasted_ms`. It grows with the time where the longest tasks take several times as long as
    /// the others.
    #[must_use]
    pub fn remaining_ms(&self, declared_ms: u64, lasted_ms: u64) -> u64 {
        if !self.is_known() {
            return declared_ms.saturating_sub(lasted_ms);
        }
        if self.uses_ratio(declared_ms) {
            let lasted = lasted_ms.saturating_mul(UNIT_RATIO) / declared_ms;
            scale(declared_ms, self.ratios.mean_excess(lasted))
        } else {
            self.durations.mean_excess(lasted_ms)
        }
    }

    /// Returns the remaining duration in milliseconds that half of the tasks exceed which have run
    /// for `lasted_ms`.
    #[must_use]
    pub fn usual_remaining_ms(&self, declared_ms: u64, lasted_ms: u64) -> u64 {
        if !self.is_known() {
            return declared_ms.saturating_sub(lasted_ms);
        }
        if self.uses_ratio(declared_ms) {
            let lasted = lasted_ms.saturating_mul(UNIT_RATIO) / declared_ms;
            scale(declared_ms, self.ratios.median_excess(lasted))
        } else {
            self.durations.median_excess(lasted_ms)
        }
    }

    fn predict_ms(&self, declared_ms: u64, of: impl Fn(&Distribution) -> u64) -> u64 {
        if !self.is_known() {
            return declared_ms;
        }
        if self.uses_ratio(declared_ms) {
            scale(declared_ms, of(&self.ratios)).max(self.shortest_ms())
        } else {
            of(&self.durations)
        }
    }

    /// Returns the duration in milliseconds of the route's shortest tasks.
    fn shortest_ms(&self) -> u64 {
        self.durations.quantile(SHORTEST_PART)
    }

    /// Returns whether the declared duration times the learned ratio predicts better than the
    /// durations alone.
    fn uses_ratio(&self, declared_ms: u64) -> bool {
        declared_ms > 0 && self.estimate.prefers_ratio() && !self.ratios.is_empty()
    }
}

/// Returns the ratio of an actual to a declared duration in thousandths.
const fn ratio_milli(declared_ms: u64, actual_ms: u64) -> Option<u64> {
    actual_ms
        .saturating_mul(UNIT_RATIO)
        .checked_div(declared_ms)
}

const fn scale(declared_ms: u64, ratio_milli: u64) -> u64 {
    declared_ms.saturating_mul(ratio_milli) / UNIT_RATIO
}
