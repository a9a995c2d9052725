//! Times at which a stopping process ends the parts of its work.

use std::time::Duration;

use tokio::time::Instant;

/// Part of the grace period, in percent, after which the listener for callers stops.
const FRONT_STOP_PERCENT: u32 = 50;
/// Part of the grace period, in percent, within which the process exits.
const EXIT_PERCENT: u32 = 80;
/// Longest time before its exit by which a process has sent its last response to a caller.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// Part of the grace period, in percent, that this margin takes at most; the last response then
/// comes after the stop of the listener on any grace period.
const RESPONSE_MARGIN_PERCENT: u32 = 10;

/// Times of one stop.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StopTimes {
    /// Time at which the listener for callers stops.
    pub(crate) front_stop: Instant,
    /// Time by which every request of a caller gets its response.
    pub(crate) last_response: Instant,
    /// Time at which the process exits, whatever is under way.
    pub(crate) exit: Instant,
}

impl StopTimes {
    /// Returns the times of a stop that begins at `begin` and may take the grace period.
    pub(crate) fn new(begin: Instant, grace: Duration) -> Self {
        let exit = begin + part(grace, EXIT_PERCENT);
        let margin = part(grace, RESPONSE_MARGIN_PERCENT).min(MAX_RESPONSE_MARGIN);
        Self {
            front_stop: begin + part(grace, FRONT_STOP_PERCENT),
            last_response: exit - margin,
            exit,
        }
    }
}

fn part(duration: Duration, percent: u32) -> Duration {
    duration * percent / 100
}
