//! When a topic of the store is read, and when another read is sent beside one that gets no response.
//!
//! Answers connections that go silent, and a store that is silent for some seconds and never answers
//! what was sent to it meanwhile: a read that hangs must not hold up the next one.

/// Longest time that a read of the configuration waits for a new record, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;
/// Longest time that a read takes beyond its wait, in milliseconds.
pub const MAX_READ_LIMIT_MS: u64 = 5_000;
/// Smallest age of a confirmation for which reads are timed, in milliseconds; shorter bounds would
/// read without a pause.
const MIN_AGE_MS: u64 = 1_000;
/// Largest age of a confirmation for which reads are timed, in milliseconds; longer bounds would
/// delay a new record behind a silent connection.
const MAX_AGE_MS: u64 = 4_750;
/// Most reads that are under way at once.
const MAX_IN_FLIGHT: usize = 3;
/// Patience in percent of the time that the last read took: a store that is slow isn't asked again
/// before it can have answered.
const LATENCY_PERCENT: u64 = 150;
/// Longest patience with a slow store, in milliseconds.
const MAX_SLOW_PATIENCE_MS: u64 = 2_000;

/// Times of the reads of a topic, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
pub struct ReadTimes {
    /// Time that the store waits for a new record.
    wait_ms: u64,
    /// Time beyond the wait after which a second read is sent.
    patience_ms: u64,
    /// Time after which each further read is sent.
    interval_ms: u64,
}

impl ReadTimes {
    /// Returns the times for a topic of which each read confirms what is known for `max_age_ms`
    /// milliseconds.
    ///
    /// A read that waited in vain, and one that got no response, take less than that, so that one
    /// silent connection doesn't end the confirmation.
    #[must_use]
    pub fn confirming(max_age_ms: u64) -> Self {
        let age_ms = max_age_ms.clamp(MIN_AGE_MS, MAX_AGE_MS);
        Self {
            wait_ms: MAX_WAIT_MS.min(age_ms / 4),
            patience_ms: age_ms / 8,
            interval_ms: age_ms / 4,
        }
    }

    /// Returns the times for a topic of which one read at a time is sent, which waits for `wait_ms`
    /// milliseconds.
    #[must_use]
    pub const fn waiting(wait_ms: u64) -> Self {
        Self {
            wait_ms,
            patience_ms: MAX_READ_LIMIT_MS,
            interval_ms: MAX_READ_LIMIT_MS,
        }
    }
}

/// Read that is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedRead {
    /// Time that the store waits for a new record, in milliseconds.
    pub wait_ms: u64,
    /// Time without a response after which another read is sent beside this one, in milliseconds.
    pub hedge_after_ms: u64,
}

/// Plan of the reads of a topic from one position until one of them returns records.
#[derive(Debug, Clone)]
pub struct ReadPlan {
    times: ReadTimes,
    /// Time that the last successful read took beyond its wait, in milliseconds.
    latency_ms: u64,
    /// Whether a read was sent that hasn't succeeded.
    is_retrying: bool,
}

impl ReadPlan {
    /// Creates the plan of a topic that wasn't read yet.
    #[must_use]
    pub const fn new(times: ReadTimes) -> Self {
        Self {
            times,
            latency_ms: 0,
            is_retrying: false,
        }
    }

    /// Returns the next read. Only the first one waits for a record, as long as the store isn't slow:
    /// the others find out soon whether the store responds again.
    pub fn next_read(&mut self) -> PlannedRead {
        let slow_ms = (self.latency_ms * LATENCY_PERCENT / 100).min(MAX_SLOW_PATIENCE_MS);
        if std::mem::replace(&mut self.is_retrying, true) {
            return PlannedRead {
                wait_ms: 0,
                hedge_after_ms: self.times.interval_ms.max(slow_ms),
            };
        }
        let is_slow = self.latency_ms > self.times.patience_ms;
        let wait_ms = if is_slow { 0 } else { self.times.wait_ms };
        PlannedRead {
            wait_ms,
            hedge_after_ms: wait_ms + self.times.patience_ms.max(slow_ms),
        }
    }

    /// Records that a read succeeded `took_ms` milliseconds after it was sent.
    pub const fn record_success(&mut self, read: PlannedRead, took_ms: u64) {
        self.latency_ms = took_ms.saturating_sub(read.wait_ms);
        self.is_retrying = false;
    }
}

/// Returns which of the reads under way, in the order of their sending, is given up for another one;
/// `None` if there may be one more. The oldest one goes on up to its limit, so that a slow store is
/// read in the end.
#[must_use]
pub const fn replaced_read(in_flight: usize) -> Option<usize> {
    if in_flight < MAX_IN_FLIGHT {
        None
    } else {
        Some(1)
    }
}
