//! Access of callers: which calls are served, and who may see or change a job.
//!
//! Answers the revocation of keys while some processes don't reach the store, and callers that name
//! jobs of other teams.

use cyclamentrail_core::TeamName;

/// Longest time that a read of the configuration waits for a new record, in milliseconds.
const MAX_READ_WAIT_MS: u64 = 1_000;
/// Longest time that a read of the configuration takes, in milliseconds.
pub const MAX_READ_LIMIT_MS: u64 = 5_000;
/// Smallest age of a confirmation for which the reads of the configuration are timed, in
/// milliseconds; shorter bounds would read without a pause.
const MIN_READ_AGE_MS: u64 = 1_000;
/// Largest age of a confirmation for which the reads of the configuration are timed, in
/// milliseconds; longer bounds would delay a new configuration behind a silent connection.
const MAX_READ_AGE_MS: u64 = 4_750;
/// Part of the revocation bound that is kept back for clocks that run slow: one in this many.
const CLOCK_MARGIN_DIVISOR: u64 = 20;
/// Smallest part of the revocation bound that is kept back, in milliseconds.
const MIN_CLOCK_MARGIN_MS: u64 = 50;

/// Key that a call carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresentedKey {
    /// The call carries none.
    Missing,
    /// No team of the configuration in force has the key.
    Unknown,
    /// The key of a team.
    Team(TeamName),
}

/// Why a call isn't served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    /// The configuration hasn't been confirmed for so long that the key may be revoked.
    Unconfirmed,
    /// The call carries no key.
    NoKey,
    /// The key is unknown.
    UnknownKey,
}

impl CallRefusal {
    /// Returns the reason as it is written in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unconfirmed => "unconfirmed",
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
        }
    }
}

/// Returns the team that a call acts for; `None` if the call needs no key. The key is looked at only
/// if the configuration is confirmed, so that an old configuration never tells a caller that its key
/// is unknown.
///
/// # Errors
///
/// Returns why the call isn't served.
pub fn authenticate(
    needs_key: bool,
    is_confirmed: bool,
    key: impl FnOnce() -> PresentedKey,
) -> Result<Option<TeamName>, CallRefusal> {
    if !needs_key {
        return Ok(None);
    }
    if !is_confirmed {
        return Err(CallRefusal::Unconfirmed);
    }
    match key() {
        PresentedKey::Missing => Err(CallRefusal::NoKey),
        PresentedKey::Unknown => Err(CallRefusal::UnknownKey),
        PresentedKey::Team(team) => Ok(Some(team)),
    }
}

/// Returns whether a caller may see, cancel or submit again a job. A job without a team is open to
/// all callers, and a configuration that needs no keys distinguishes none.
#[must_use]
pub fn may_access_job(
    needs_keys: bool,
    job_team: Option<&TeamName>,
    caller_team: Option<&TeamName>,
) -> bool {
    !needs_keys || job_team.is_none() || job_team == caller_team
}

/// Returns the age in milliseconds that the confirmation of the configuration may reach before keys
/// count as possibly revoked. Less than the bound by a margin for clocks that run slow.
#[must_use]
pub fn max_confirmation_age_ms(revoke_ms: u64) -> u64 {
    revoke_ms.saturating_sub((revoke_ms / CLOCK_MARGIN_DIVISOR).max(MIN_CLOCK_MARGIN_MS))
}

/// How a read of the configuration ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// It succeeded after this time, in milliseconds.
    Returned(u64),
    /// It was given up, or its connection failed.
    NoResponse,
    /// The store refused it at once.
    Refused,
}

/// Times of one read of the configuration, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTimes {
    /// Time that the store waits for a new record.
    pub wait_ms: u64,
    /// Time after which the read is given up.
    pub limit_ms: u64,
    /// Longest duration of the read if the store isn't slow.
    quick_ms: u64,
    /// Time that each failure before the read adds to its limit.
    step_ms: u64,
    /// Reads in a row that failed or were slow, before this one.
    failures: u32,
}

impl ReadTimes {
    /// Returns the times of the next read after `failures` reads in a row that failed or were slow,
    /// if a confirmation counts for `max_age_ms` milliseconds.
    ///
    /// A read that waited in vain, one that was given up, and one more take less than `max_age_ms`,
    /// so that one silent connection doesn't end the confirmation. After a failure, reads don't wait
    /// for a record, and get more and more time, so that a slow store is read in the end.
    #[must_use]
    pub fn new(max_age_ms: u64, failures: u32) -> Self {
        let age_ms = max_age_ms.clamp(MIN_READ_AGE_MS, MAX_READ_AGE_MS);
        let slow_ms = age_ms / 8;
        let step_ms = age_ms / 3;
        if failures == 0 {
            let wait_ms = MAX_READ_WAIT_MS.min(age_ms / 4);
            return Self {
                wait_ms,
                limit_ms: wait_ms + slow_ms,
                quick_ms: wait_ms + slow_ms,
                step_ms,
                failures,
            };
        }
        Self {
            wait_ms: 0,
            limit_ms: (step_ms * u64::from(failures)).min(MAX_READ_LIMIT_MS),
            quick_ms: slow_ms,
            step_ms,
            failures,
        }
    }

    /// Returns the number of failures that the next read counts: none after a quick read, after a slow
    /// one as many as give the next one as much time. A refusal counts once, because the next read
    /// needs no more time for it.
    #[must_use]
    pub fn failures_after(self, end: ReadEnd) -> u32 {
        match end {
            ReadEnd::Returned(took_ms) if took_ms <= self.quick_ms => 0,
            ReadEnd::Returned(took_ms) => {
                u32::try_from(took_ms / self.step_ms + 1).unwrap_or(u32::MAX)
            }
            ReadEnd::NoResponse => self.failures.saturating_add(1),
            ReadEnd::Refused => self.failures.max(1),
        }
    }
}
