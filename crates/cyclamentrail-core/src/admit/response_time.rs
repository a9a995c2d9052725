//! Running mean and spread of response times.

/// Weight of a new time in the mean, once ten times were recorded.
const MIN_WEIGHT: f64 = 0.1;
/// Mean deviations that are added to the mean for an upper bound that few times exceed.
const UPPER_BOUND_DEVIATIONS: f64 = 4.0;
/// Recorded times from which on two means are compared.
const MIN_SAMPLES: u32 = 10;

/// Exponentially weighted mean of response times, with their mean absolute deviation.
///
/// The first ten times have equal weight, so that the mean is useful from the first time on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanResponseTime {
    mean_us: f64,
    deviation_us: f64,
    samples: u32,
}

impl MeanResponseTime {
    /// Records a response time.
    #[expect(clippy::cast_precision_loss, reason = "times are below a year")]
    pub fn record(&mut self, took_us: u64) {
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.samples.saturating_add(1)));
        let difference_us = took_us as f64 - self.mean_us;
        self.mean_us += difference_us * weight;
        self.deviation_us += (difference_us.abs() - self.deviation_us) * weight;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean in microseconds; 0 before the first recorded time.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times are positive"
    )]
    pub const fn mean_us(&self) -> u64 {
        self.mean_us as u64
    }

    /// Returns the time in microseconds that few responses exceed: the mean and four deviations.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times are positive"
    )]
    pub fn upper_bound_us(&self) -> u64 {
        (self.mean_us + self.deviation_us * UPPER_BOUND_DEVIATIONS) as u64
    }

    /// Returns whether this mean is more than `ratio` times the other one.
    ///
    /// Returns `false` until both means hold ten times.
    #[must_use]
    pub fn is_slower_than(&self, other: &Self, ratio: f64) -> bool {
        let comparable = self.samples.min(other.samples) >= MIN_SAMPLES;
        comparable && self.mean_us > other.mean_us * ratio
    }
}
