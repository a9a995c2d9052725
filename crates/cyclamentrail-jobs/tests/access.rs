//! Which calls are served, and how old a confirmation of the configuration may be.

use cyclamentrail_core::TeamName;
use cyclamentrail_jobs::{
    CallRefusal, PresentedKey, authenticate, max_confirmation_age_ms, may_access_job,
};
use rstest::rstest;

fn red() -> TeamName {
    TeamName::from("red")
}

#[rstest]
#[case::public(false, true, PresentedKey::Missing, Ok(None))]
#[case::public_unconfirmed(false, false, PresentedKey::Unknown, Ok(None))]
#[case::known(true, true, PresentedKey::Team(red()), Ok(Some(red())))]
#[case::none(true, true, PresentedKey::Missing, Err(CallRefusal::NoKey))]
#[case::unknown(true, true, PresentedKey::Unknown, Err(CallRefusal::UnknownKey))]
#[case::unconfirmed(true, false, PresentedKey::Team(red()), Err(CallRefusal::Unconfirmed))]
#[case::unconfirmed_unknown(true, false, PresentedKey::Unknown, Err(CallRefusal::Unconfirmed))]
fn call_decided(
    #[case] needs_key: bool,
    #[case] is_confirmed: bool,
    #[case] key: PresentedKey,
    #[case] decision: Result<Option<TeamName>, CallRefusal>,
) {
    assert_eq!(authenticate(needs_key, is_confirmed, || key), decision);
}

/// An old configuration must not tell a caller that its key is unknown: a newer one may have it.
#[test]
fn unconfirmed_key_unseen() {
    let key = || panic!("the key was looked at");
    assert_eq!(
        authenticate(true, false, key),
        Err(CallRefusal::Unconfirmed)
    );
}

#[rstest]
#[case::own(true, Some("red"), Some("red"), true)]
#[case::other(true, Some("red"), Some("blue"), false)]
#[case::public_caller(true, Some("red"), None, false)]
#[case::no_team(true, None, Some("blue"), true)]
#[case::no_team_public(true, None, None, true)]
#[case::no_teams_configured(false, Some("red"), None, true)]
fn job_access_decided(
    #[case] needs_keys: bool,
    #[case] job_team: Option<&str>,
    #[case] caller_team: Option<&str>,
    #[case] may_access: bool,
) {
    let job_team = job_team.map(TeamName::from);
    let caller_team = caller_team.map(TeamName::from);
    let decision = may_access_job(needs_keys, job_team.as_ref(), caller_team.as_ref());
    assert_eq!(decision, may_access);
}

/// The margin must cover a clock that runs slow by some percent, and leave most of the bound.
#[rstest]
#[case(5_000, 4_750)]
#[case(400, 350)]
#[case(20, 0)]
fn margin_kept(#[case] revoke_ms: u64, #[case] max_age_ms: u64) {
    assert_eq!(max_confirmation_age_ms(revoke_ms), max_age_ms);
}
