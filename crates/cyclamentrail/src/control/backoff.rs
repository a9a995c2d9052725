//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng as _;

/// Upper bound of the first pause.
const FIRST_MAX_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound of all pauses.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Pauses between the attempts of one call: each is drawn from the upper half of a range from zero
/// to a bound that doubles after each attempt.
#[derive(Debug, Clone)]
pub(crate) struct Backoff {
    max_pause: Duration,
}

impl Backoff {
    /// Creates the state before the first attempt.
    pub(crate) const fn new() -> Self {
        Self {
            max_pause: FIRST_MAX_PAUSE,
        }
    }

    /// Returns the pause before the next attempt.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let pause = self.max_pause.mul_f64(rand::rng().random_range(0.5..1.0));
        self.max_pause = (self.max_pause * 2).min(MAX_PAUSE);
        pause
    }

    /// Returns to the first pause, after a successful attempt.
    pub(crate) const fn reset(&mut self) {
        self.max_pause = FIRST_MAX_PAUSE;
    }
}
