//! Estimates how long the tasks of a route take, from those that have ended.
//!
//! Declared durations can be far off. Two predictors compete for each route: the declared duration
//! times the learned ratio of actual to declared durations, and the mean actual duration. The one
//! with the smaller mean error predicts the next task.

use serde::{Deserialize, Serialize};

/// Divisor of the moving averages: a new observation has a weight of one part in this many,
/// and the first ones are averaged equally.
const WEIGHT_DIVISOR: f64 = 24.0;
/// Number of observations from which the learned values are used.
const MIN_OBSERVATIONS: u32 = 8;

/// Learnt durations of one route's tasks.
///
/// ```
/// use cyclamentrail_jobs::DurationEstimate;
///
/// let mut estimate = DurationEstimate::new();
/// for declared_ms in [200, 5_000, 200, 5_000, 200, 5_000, 200, 5_000, 200] {
///     estimate.observe(declared_ms, 1_000);
/// }
/// assert!(estimate.predict_ms(5_000) < 2_000);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct DurationEstimate {
    observations: u32,
    /// Moving average of the declared durations.
    mean_declared_ms: f64,
    /// Moving average of the actual durations.
    mean_actual_ms: f64,
    /// Moving average of the error of the declared duration times the ratio.
    ratio_error_ms: f64,
    /// Moving average of the error of the mean actual duration.
    mean_error_ms: f64,
}

impl DurationEstimate {
    /// Creates an estimate without observations, which predicts the declared duration.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            observations: 0,
            mean_declared_ms: 0.0,
            mean_actual_ms: 0.0,
            ratio_error_ms: 0.0,
            mean_error_ms: 0.0,
        }
    }

    /// Records the declared and the actual duration of a task that has ended, in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "durations of tasks are far below 2^52 milliseconds"
    )]
    pub fn observe(&mut self, declared_ms: u64, actual_ms: u64) {
        let (declared, actual) = (declared_ms as f64, actual_ms as f64);
        let ratio_error = (actual - declared * self.ratio()).abs();
        let mean_error = (actual - self.mean_actual_ms).abs();
        let divisor = WEIGHT_DIVISOR.min(f64::from(self.observations) + 1.0);
        let update_average = |old: &mut f64, new: f64| *old += (new - *old) / divisor;
        if self.observations > 0 {
            update_average(&mut self.ratio_error_ms, ratio_error);
            update_average(&mut self.mean_error_ms, mean_error);
        }
        update_average(&mut self.mean_declared_ms, declared);
        update_average(&mut self.mean_actual_ms, actual);
        self.observations = self.observations.saturating_add(1);
    }

    /// Predicts the duration in milliseconds of a task that is declared to take `declared_ms`.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "durations of tasks are far below 2^52 milliseconds and not negative"
    )]
    pub fn predict_ms(&self, declared_ms: u64) -> u64 {
        if self.observations < MIN_OBSERVATIONS {
            return declared_ms;
        }
        if self.prefers_ratio() {
            (declared_ms as f64 * self.ratio()) as u64
        } else {
            self.mean_actual_ms as u64
        }
    }

    /// Returns the number of observations.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.observations
    }

    /// Returns whether the declared duration times the learned ratio has predicted at least as well
    /// as the mean actual duration.
    pub(crate) const fn prefers_ratio(&self) -> bool {
        self.mean_error_ms >= self.ratio_error_ms
    }

    /// Returns whether all averages can have been learned.
    pub(crate) fn is_finite(&self) -> bool {
        [
            self.mean_declared_ms,
            self.mean_actual_ms,
            self.ratio_error_ms,
            self.mean_error_ms,
        ]
        .iter()
        .all(|average| average.is_finite() && *average >= 0.0)
    }

    /// Returns the learned ratio of actual to declared durations.
    fn ratio(&self) -> f64 {
        if self.mean_declared_ms > 0.0 {
            self.mean_actual_ms / self.mean_declared_ms
        } else {
            1.0
        }
    }
}
