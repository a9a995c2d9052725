//! Health of one backend server as observed by one entry process.

use super::AttemptResult;

/// Failure score, between 0 and 1, from which on a server is ejected or throttled.
const EJECT_SCORE: f64 = 0.6;
/// Weight of a server error or a slow response in the failure score.
const ERROR_WEIGHT: f64 = 0.2;
/// Weight of a broken response in the failure score; it is higher since the caller gets no
/// response at all.
const BROKEN_WEIGHT: f64 = 0.4;
/// Longest duration of the first ejection, in microseconds; it doubles with each further one. Also
/// the longest pause of a throttled server that fails again.
const BASE_EJECTION_US: u64 = 500_000;
/// Longest duration of any ejection, in microseconds.
const MAX_EJECTION_US: u64 = 16_000_000;
/// Duration of the ejection of a server that is shutting down, in microseconds.
const LEAVING_EJECTION_US: u64 = 30_000_000;
/// Time after an ejection for which only idempotent requests are sent as probes, in microseconds.
const IDEMPOTENT_PROBE_US: u64 = 1_000_000;
/// Longest pause after the first refusal, in microseconds; it doubles with each further one in a
/// row.
const BASE_PAUSE_US: u64 = 8_000;
/// Longest pause after any refusal, in microseconds.
const MAX_PAUSE_US: u64 = 500_000;

/// Which requests may be sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// Requests up to the in-flight limit of the server.
    Open,
    /// One idempotent request at a time, as a probe of an ejected server.
    Probe,
    /// One request at a time, idempotent or not.
    Single,
    /// No requests, since the server is ejected or has just refused one.
    Closed,
}

/// A change of a server's health that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The server was ejected.
    Ejected {
        /// Time in microseconds from which on a probe may be sent.
        until_us: u64,
    },
    /// The server gets one request at a time, since too few servers would remain without it.
    Throttled,
    /// The server has responded and is in routing without restriction again.
    Recovered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Active,
    Ejected { until_us: u64 },
    Throttled,
}

/// Failure score and state of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    state: State,
    failure_score: f64,
    /// Ejections since the score was last below 0.1 in normal routing.
    ejections: u32,
    /// Refusals in a row.
    refusals: u32,
    paused_until_us: u64,
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

impl Health {
    /// Creates the health of a server without observed failures.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            state: State::Active,
            failure_score: 0.0,
            ejections: 0,
            refusals: 0,
            paused_until_us: 0,
        }
    }

    /// Returns whether the server is ejected: it gets no requests, or only probes.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Returns whether the server is in routing without restriction.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        matches!(self.state, State::Active)
    }

    /// Returns which requests may be sent to the server.
    #[must_use]
    pub const fn eligibility(&self, now_us: u64) -> Eligibility {
        if now_us < self.closed_until_us() {
            return Eligibility::Closed;
        }
        match self.state {
            State::Active => Eligibility::Open,
            State::Ejected { until_us } if now_us < until_us + IDEMPOTENT_PROBE_US => {
                Eligibility::Probe
            }
            State::Ejected { .. } | State::Throttled => Eligibility::Single,
        }
    }

    /// Returns the time in microseconds before which no request is sent to the server.
    #[must_use]
    pub const fn closed_until_us(&self) -> u64 {
        match self.state {
            State::Ejected { until_us } if until_us > self.paused_until_us => until_us,
            _ => self.paused_until_us,
        }
    }

    /// Records the result of an attempt and returns the change of health, if there is one.
    ///
    /// `ejectable` tells whether enough servers remain when this one is ejected; `jitter` is a
    /// random number from 0 to 1. A server that is unreachable or shutting down is ejected in any
    /// case, since it serves no requests.
    pub fn record_attempt(
        &mut self,
        result: AttemptResult,
        now_us: u64,
        ejectable: bool,
        jitter: f64,
    ) -> Option<HealthChange> {
        if result != AttemptResult::Refused {
            self.refusals = 0;
        }
        match result {
            AttemptResult::Served => self.recover(),
            AttemptResult::Refused => {
                self.pause(now_us, jitter);
                None
            }
            AttemptResult::Leaving => Some(self.eject_until(now_us + LEAVING_EJECTION_US)),
            AttemptResult::Unreachable => Some(self.eject(now_us, jitter)),
            AttemptResult::Slow | AttemptResult::ServerError => {
                self.record_failure(ERROR_WEIGHT, now_us, ejectable, jitter)
            }
            AttemptResult::Broken => self.record_failure(BROKEN_WEIGHT, now_us, ejectable, jitter),
        }
    }

    /// Lowers the score after a whole response, and returns the server to routing.
    fn recover(&mut self) -> Option<HealthChange> {
        self.failure_score *= 1.0 - ERROR_WEIGHT;
        if self.state == State::Active {
            self.ejections = if self.failure_score < 0.1 {
                0
            } else {
                self.ejections
            };
            return None;
        }
        self.state = State::Active;
        self.failure_score = self.failure_score.min(EJECT_SCORE / 2.0);
        Some(HealthChange::Recovered)
    }

    /// Stops sending requests for a short time after a refusal.
    fn pause(&mut self, now_us: u64, jitter: f64) {
        let longest_us = (BASE_PAUSE_US << self.refusals.min(16)).min(MAX_PAUSE_US);
        self.refusals = self.refusals.saturating_add(1);
        self.paused_until_us = now_us + with_jitter(longest_us, jitter);
    }

    /// Raises the score after a failed or slow response, and ejects or throttles the server when
    /// the score is too high.
    fn record_failure(
        &mut self,
        weight: f64,
        now_us: u64,
        ejectable: bool,
        jitter: f64,
    ) -> Option<HealthChange> {
        self.failure_score += (1.0 - self.failure_score) * weight;
        match self.state {
            State::Active | State::Throttled if self.failure_score < EJECT_SCORE => None,
            State::Active if !ejectable => {
                self.state = State::Throttled;
                Some(HealthChange::Throttled)
            }
            State::Throttled if !ejectable => {
                self.paused_until_us = now_us + with_jitter(BASE_EJECTION_US, jitter);
                None
            }
            State::Ejected { until_us } if now_us < until_us => None,
            _ => Some(self.eject(now_us, jitter)),
        }
    }

    /// Ejects the server for a time that doubles with each ejection, up to a maximum.
    fn eject(&mut self, now_us: u64, jitter: f64) -> HealthChange {
        let longest_us = (BASE_EJECTION_US << self.ejections.min(8)).min(MAX_EJECTION_US);
        self.ejections = self.ejections.saturating_add(1);
        self.failure_score = self.failure_score.max(EJECT_SCORE);
        self.eject_until(now_us + with_jitter(longest_us, jitter))
    }

    const fn eject_until(&mut self, until_us: u64) -> HealthChange {
        self.state = State::Ejected { until_us };
        HealthChange::Ejected { until_us }
    }
}

/// Returns a time between half of `longest_us` and `longest_us`, so that entry processes don't all
/// resume at the same moment.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "pauses are below an hour"
)]
fn with_jitter(longest_us: u64, jitter: f64) -> u64 {
    (longest_us as f64 * f64::midpoint(1.0, jitter.clamp(0.0, 1.0))) as u64
}
