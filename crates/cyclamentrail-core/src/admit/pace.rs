//! Mean time of answers.

/// Weight of a new time.
const WEIGHT: f64 = 0.1;
/// Mean deviations above the mean that few times exceed.
const DEVIATIONS: f64 = 4.0;
/// Times after which the mean is used.
const MIN_SAMPLES: u32 = 10;

/// An exponentially weighted mean of times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    mean_us: f64,
    deviation_us: f64,
    samples: u32,
}

impl Pace {
    /// Adds a time.
    #[expect(clippy::cast_precision_loss, reason = "times are below a year")]
    pub fn add(&mut self, took_us: u64) {
        let weight = WEIGHT.max(1.0 / f64::from(self.samples.saturating_add(1)));
        let distance_us = took_us as f64 - self.mean_us;
        self.mean_us += distance_us * weight;
        self.deviation_us += (distance_us.abs() - self.deviation_us) * weight;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean in microseconds; 0 before the first time.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times are positive"
    )]
    pub const fn mean_us(&self) -> u64 {
        self.mean_us as u64
    }

    /// Returns the time in microseconds that few answers exceed.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times are positive"
    )]
    pub fn high_us(&self) -> u64 {
        (self.mean_us + self.deviation_us * DEVIATIONS) as u64
    }

    /// Returns whether this mean is more than `ratio` times the other one.
    #[must_use]
    pub fn is_slower(&self, other: &Self, ratio: f64) -> bool {
        let known = self.samples.min(other.samples) >= MIN_SAMPLES;
        known && self.mean_us > other.mean_us * ratio
    }
}
