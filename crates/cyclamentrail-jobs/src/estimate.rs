//! How long a route's tasks take, learnt from those that ended.
//!
//! Answers declared times that are far off: whichever has been closer for the route, its declared
//! time times a learnt ratio or the route's own mean, predicts the next task.

/// Weight of a new observation, as one part in this many.
const WEIGHT: f64 = 24.0;
/// Observations after which the learnt values are used.
const MIN_OBSERVATIONS: u32 = 8;

/// What is learnt of one route.
///
/// ```
/// use cyclamentrail_jobs::Estimate;
///
/// let mut estimate = Estimate::new();
/// for declared_ms in [200, 5_000, 200, 5_000, 200, 5_000, 200, 5_000, 200] {
///     estimate.observe(declared_ms, 1_000);
/// }
/// assert!(estimate.predict_ms(5_000) < 2_000);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    observations: u32,
    declared_ms: f64,
    actual_ms: f64,
    scaled_error_ms: f64,
    mean_error_ms: f64,
}

impl Estimate {
    /// Creates an estimate that believes what is declared.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            observations: 0,
            declared_ms: 0.0,
            actual_ms: 0.0,
            scaled_error_ms: 0.0,
            mean_error_ms: 0.0,
        }
    }

    /// Takes note of a task that ended.
    #[expect(
        clippy::cast_precision_loss,
        reason = "durations of tasks are far below 2^52 milliseconds"
    )]
    pub fn observe(&mut self, declared_ms: u64, actual_ms: u64) {
        let (declared, actual) = (declared_ms as f64, actual_ms as f64);
        let scaled_error = (actual - declared * self.ratio()).abs();
        let mean_error = (actual - self.actual_ms).abs();
        let weight = WEIGHT.min(f64::from(self.observations) + 1.0);
        let fold = |old: &mut f64, new: f64| *old += (new - *old) / weight;
        if self.observations > 0 {
            fold(&mut self.scaled_error_ms, scaled_error);
            fold(&mut self.mean_error_ms, mean_error);
        }
        fold(&mut self.declared_ms, declared);
        fold(&mut self.actual_ms, actual);
        self.observations = self.observations.saturating_add(1);
    }

    /// Returns how long a task will take that is declared to take `declared_ms`.
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
        if self.mean_error_ms < self.scaled_error_ms {
            self.actual_ms as u64
        } else {
            (declared_ms as f64 * self.ratio()) as u64
        }
    }

    fn ratio(&self) -> f64 {
        if self.declared_ms > 0.0 {
            self.actual_ms / self.declared_ms
        } else {
            1.0
        }
    }
}
