//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng as _;

/// First pause.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Pauses between the tries of one call; each is drawn from the upper half of a doubling range.
#[derive(Debug, Clone)]
pub(crate) struct Backoff {
    range: Duration,
}

impl Backoff {
    /// Creates the state before the first try.
    pub(crate) const fn new() -> Self {
        Self { range: FIRST_PAUSE }
    }

    /// Returns the pause before the next try.
    pub(crate) fn pause(&mut self) -> Duration {
        let pause = self.range.mul_f64(rand::rng().random_range(0.5..1.0));
        self.range = (self.range * 2).min(LONGEST_PAUSE);
        pause
    }

    /// Starts again after a success.
    pub(crate) const fn reset(&mut self) {
        self.range = FIRST_PAUSE;
    }
}
