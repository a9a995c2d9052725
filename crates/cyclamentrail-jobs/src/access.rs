//! Access of callers: which calls are served, and who may see or change a job.
//!
//! Answers the revocation of keys while some processes don't reach the store, and callers that name
//! jobs of other teams.

use cyclamentrail_core::TeamName;

/// Longest time that a read of the configuration waits for a new record, in milliseconds.
const MAX_READ_WAIT_MS: u64 = 1_000;
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
/// all callers, and a deployment without teams distinguishes none.
#[must_use]
pub fn may_access_job(
    has_teams: bool,
    job_team: Option<&TeamName>,
    caller_team: Option<&TeamName>,
) -> bool {
    !has_teams || job_team.is_none() || job_team == caller_team
}

/// Returns the age in milliseconds that the confirmation of the configuration may reach before keys
/// count as possibly revoked. Less than the bound by a margin for clocks that run slow.
#[must_use]
pub const fn max_confirmation_age_ms(revoke_ms: u64) -> u64 {
    let part_ms = revoke_ms / CLOCK_MARGIN_DIVISOR;
    let margin_ms = if part_ms > MIN_CLOCK_MARGIN_MS {
        part_ms
    } else {
        MIN_CLOCK_MARGIN_MS
    };
    revoke_ms.saturating_sub(margin_ms)
}

/// Times of one read of the configuration, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTimes {
    /// Time that the store waits for a new record.
    pub wait_ms: u64,
    /// Time after which the read is given up.
    pub limit_ms: u64,
}

impl ReadTimes {
    /// Returns the times of the next read, if the configuration counts as confirmed for `max_age_ms`.
    /// After a read that failed or was slow, the next one doesn't wait for a record.
    ///
    /// A read that waited, one that was given up, and one more together take less than `max_age_ms`,
    /// so that one silent connection doesn't end the confirmation.
    #[must_use]
    pub const fn new(max_age_ms: u64, is_retry: bool) -> Self {
        if is_retry {
            return Self {
                wait_ms: 0,
                limit_ms: max_age_ms / 3,
            };
        }
        let part_ms = max_age_ms / 4;
        let wait_ms = if part_ms < MAX_READ_WAIT_MS {
            part_ms
        } else {
            MAX_READ_WAIT_MS
        };
        Self {
            wait_ms,
            limit_ms: wait_ms + slow_read_ms(max_age_ms),
        }
    }

    /// Returns whether the read after one that took `took_ms` does without the wait, because the
    /// store is slow.
    #[must_use]
    pub const fn is_slow(self, max_age_ms: u64, took_ms: u64) -> bool {
        took_ms > self.wait_ms + slow_read_ms(max_age_ms)
    }
}

/// Returns the time without the wait that a read takes at most if the store isn't slow, in
/// milliseconds.
const fn slow_read_ms(max_age_ms: u64) -> u64 {
    max_age_ms / 8
}
