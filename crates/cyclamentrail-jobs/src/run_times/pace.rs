//! How much longer runs take on one worker, or for one caller, than expected.

/// Most observations that the average counts.
const MAX_OBSERVATIONS: f64 = 16.0;
/// Number of observations at the expected duration that the average starts from. A single long run
/// tells little about its worker.
const PRIOR_OBSERVATIONS: f64 = 4.0;
/// Largest factor by which one run counts as longer or shorter than expected.
const MAX_FACTOR: f64 = 16.0;

/// Geometric mean of the ratios of actual to expected durations.
///
/// ```
/// use cyclamentrail_jobs::Pace;
///
/// let mut slow = Pace::default();
/// for _ in 0..40 {
///     slow.observe(300, 100);
/// }
/// assert!(slow.factor() > 2.0);
/// assert!((Pace::default().factor() - 1.0).abs() < 1e-9);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    mean_log: f64,
    observations: f64,
}

impl Pace {
    /// Records an actual and the expected duration of a run, in milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "durations of tasks are far below 2^52 milliseconds"
    )]
    pub fn observe(&mut self, actual_ms: u64, expected_ms: u64) {
        let ratio = actual_ms.max(1) as f64 / expected_ms.max(1) as f64;
        let log = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        self.observations = (self.observations + 1.0).min(MAX_OBSERVATIONS);
        self.mean_log += (log - self.mean_log) / self.observations;
    }

    /// Returns the factor by which runs take longer than expected; 1 without observations.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.shrunk_log().exp()
    }

    /// Returns the factor in relation to the usual pace, so that a change of all durations makes no
    /// worker a slow one.
    #[must_use]
    pub fn factor_within(&self, usual: &Self) -> f64 {
        (self.shrunk_log() - usual.shrunk_log()).exp()
    }

    fn shrunk_log(&self) -> f64 {
        self.mean_log * self.observations / (self.observations + PRIOR_OBSERVATIONS)
    }
}
