//! The health of one server as one entry sees it.

use super::TryResult;

/// Score from which a server is ejected.
const EJECT_SCORE: f64 = 0.6;
/// Weight of an answer that says that the server failed.
const ERROR_WEIGHT: f64 = 0.2;
/// Weight of a broken answer, which costs the caller more.
const BROKEN_WEIGHT: f64 = 0.4;
/// First time out of routing, in microseconds.
const BASE_EJECTION_US: u64 = 500_000;
/// Longest time out of routing, in microseconds.
const MAX_EJECTION_US: u64 = 16_000_000;
/// Time out of routing of a server that says that it leaves, in microseconds.
const LEAVING_US: u64 = 30_000_000;
/// Time after which a probe need not be idempotent, in microseconds.
const PROBE_GRACE_US: u64 = 1_000_000;
/// First pause after a refusal, in microseconds.
const BASE_PAUSE_US: u64 = 8_000;
/// Longest pause after refusals in a row, in microseconds.
const MAX_PAUSE_US: u64 = 500_000;

/// What a server may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake {
    /// Requests up to the limit.
    Open,
    /// One idempotent request at a time.
    Probe,
    /// One request at a time.
    Single,
    /// Nothing.
    Closed,
}

/// A change of a server's health that is worth a line in the journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// It was ejected until a time in microseconds.
    Ejected {
        /// When the first probe may be sent.
        until_us: u64,
    },
    /// It can't be spared and gets one request at a time.
    Throttled,
    /// It answered and is back.
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
    score: f64,
    ejections: u32,
    refusals: u32,
    paused_until_us: u64,
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

impl Health {
    /// Creates the health of a server that is taken to be good.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            state: State::Active,
            score: 0.0,
            ejections: 0,
            refusals: 0,
            paused_until_us: 0,
        }
    }

    /// Returns whether the server is out of routing, or only probed.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Returns whether the server is in routing without restriction.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        matches!(self.state, State::Active)
    }

    /// Returns what the server may be sent.
    #[must_use]
    pub const fn intake(&self, now_us: u64) -> Intake {
        if now_us < self.closed_until_us() {
            return Intake::Closed;
        }
        match self.state {
            State::Active => Intake::Open,
            State::Ejected { until_us } if now_us < until_us + PROBE_GRACE_US => Intake::Probe,
            State::Ejected { .. } | State::Throttled => Intake::Single,
        }
    }

    /// Returns the time in microseconds before which nothing is sent.
    #[must_use]
    pub const fn closed_until_us(&self) -> u64 {
        match self.state {
            State::Ejected { until_us } if until_us > self.paused_until_us => until_us,
            _ => self.paused_until_us,
        }
    }

    /// Takes in how a try went.
    ///
    /// `spare` tells whether the server may be ejected; `jitter` is a random number from 0 to 1.
    /// A server that can't be reached or leaves serves nobody, so it need not be spared.
    pub fn note(
        &mut self,
        result: TryResult,
        now_us: u64,
        spare: bool,
        jitter: f64,
    ) -> Option<HealthChange> {
        if result != TryResult::Refused {
            self.refusals = 0;
        }
        match result {
            TryResult::Served => self.recover(),
            TryResult::Refused => {
                self.pause(now_us, jitter);
                None
            }
            TryResult::Leaving => Some(self.eject_until(now_us + LEAVING_US)),
            TryResult::Unreachable => Some(self.eject(now_us, jitter)),
            TryResult::Slow | TryResult::ServerError => {
                self.fail(ERROR_WEIGHT, now_us, spare, jitter)
            }
            TryResult::Broken => self.fail(BROKEN_WEIGHT, now_us, spare, jitter),
        }
    }

    fn recover(&mut self) -> Option<HealthChange> {
        self.score *= 1.0 - ERROR_WEIGHT;
        if self.state == State::Active {
            self.ejections = if self.score < 0.1 { 0 } else { self.ejections };
            return None;
        }
        self.state = State::Active;
        self.score = self.score.min(EJECT_SCORE / 2.0);
        Some(HealthChange::Recovered)
    }

    fn pause(&mut self, now_us: u64, jitter: f64) {
        let longest_us = (BASE_PAUSE_US << self.refusals.min(16)).min(MAX_PAUSE_US);
        self.refusals = self.refusals.saturating_add(1);
        self.paused_until_us = now_us + spread(longest_us, jitter);
    }

    fn fail(&mut self, weight: f64, now_us: u64, spare: bool, jitter: f64) -> Option<HealthChange> {
        self.score += (1.0 - self.score) * weight;
        match self.state {
            State::Active | State::Throttled if self.score < EJECT_SCORE => None,
            State::Active if !spare => {
                self.state = State::Throttled;
                Some(HealthChange::Throttled)
            }
            State::Throttled if !spare => {
                self.paused_until_us = now_us + spread(BASE_EJECTION_US, jitter);
                None
            }
            State::Ejected { until_us } if now_us < until_us => None,
            _ => Some(self.eject(now_us, jitter)),
        }
    }

    fn eject(&mut self, now_us: u64, jitter: f64) -> HealthChange {
        let longest_us = (BASE_EJECTION_US << self.ejections.min(8)).min(MAX_EJECTION_US);
        self.ejections = self.ejections.saturating_add(1);
        self.score = self.score.max(EJECT_SCORE);
        self.eject_until(now_us + spread(longest_us, jitter))
    }

    const fn eject_until(&mut self, until_us: u64) -> HealthChange {
        self.state = State::Ejected { until_us };
        HealthChange::Ejected { until_us }
    }
}

/// Returns a time between half of the longest and the longest.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "pauses are below an hour"
)]
fn spread(longest_us: u64, jitter: f64) -> u64 {
    (longest_us as f64 * f64::midpoint(1.0, jitter.clamp(0.0, 1.0))) as u64
}
