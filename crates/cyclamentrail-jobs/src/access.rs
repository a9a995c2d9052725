//! Access of callers: which calls are served, and who may see or change a job.
//!
//! Answers the revocation of keys while some processes don't reach the store, and callers that name
//! jobs of other teams.

use cyclamentrail_core::TeamName;

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
