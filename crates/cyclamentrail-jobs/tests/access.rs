//! Which calls are served, and how the configuration is read so that it stays confirmed.

use cyclamentrail_core::TeamName;
use cyclamentrail_jobs::{
    CallRefusal, PresentedKey, ReadEnd, ReadTimes, authenticate, max_confirmation_age_ms,
    may_access_job,
};
use rstest::rstest;

/// Bound within which a revocation holds, and the age that a confirmation may reach.
const REVOKE_MS: u64 = 5_000;
const PAUSE_MS: u64 = 150;

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

/// Behaviour of the store towards one read.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// Responds after a time, in addition to the wait.
    After(u64),
    /// Refuses at once.
    Refused,
    /// Sends nothing.
    Silent,
}

/// Reads by the times for as long as there are answers, and returns the highest age of the
/// confirmation and the number of reads that succeeded. The waits, the limits and the count of
/// failures are those of the product; that a read is given up at its limit, pauses after a refusal,
/// and confirms the time at which it was sent is repeated here, with a clock of its own. The loop of
/// the edge process itself is checked by its tests of silent connections and outages.
fn highest_age_ms(max_age_ms: u64, answers: impl IntoIterator<Item = Answer>) -> (u64, usize) {
    let (mut now_ms, mut confirmed_ms, mut highest_ms) = (0, 0, 0);
    let (mut failures, mut reads) = (0, 0);
    for answer in answers {
        let times = ReadTimes::new(max_age_ms, failures);
        let sent_ms = now_ms;
        match answer {
            Answer::After(took_ms) if times.wait_ms + took_ms <= times.limit_ms => {
                now_ms += times.wait_ms + took_ms;
                failures = times.failures_after(ReadEnd::Returned(now_ms - sent_ms));
                highest_ms = highest_ms.max(now_ms - confirmed_ms);
                confirmed_ms = sent_ms;
                reads += 1;
            }
            Answer::After(_) | Answer::Silent => {
                now_ms += times.limit_ms;
                failures = times.failures_after(ReadEnd::NoResponse);
            }
            Answer::Refused => {
                now_ms += PAUSE_MS;
                failures = times.failures_after(ReadEnd::Refused);
            }
        }
    }
    (highest_ms.max(now_ms - confirmed_ms), reads)
}

/// One connection that goes silent, or some refusals, must not end the confirmation while the store
/// responds to the next read.
#[rstest]
#[case::healthy(vec![Answer::After(5); 20])]
#[case::silent_once([
    vec![Answer::After(5), Answer::Silent], vec![Answer::After(900); 9]].concat())]
#[case::refused_some([
    vec![Answer::After(5)], vec![Answer::Refused; 6], vec![Answer::Silent, Answer::After(5)]].concat())]
#[case::slow(vec![Answer::After(900); 20])]
#[case::silent_often([Answer::After(400), Answer::Silent].repeat(20))]
fn confirmation_kept(#[case] answers: Vec<Answer>, #[values(5_000, 3_000, 20_000)] revoke_ms: u64) {
    let max_age_ms = max_confirmation_age_ms(revoke_ms);
    let (highest_ms, _) = highest_age_ms(max_age_ms, answers);
    assert!(highest_ms < max_age_ms, "{highest_ms} of {max_age_ms}");
}

/// After a refusal the next read must not wait for a record, and a series of refusals must not give it
/// ever more time.
#[rstest]
#[case::quick(3, ReadEnd::Returned(5), 0)]
#[case::slow(0, ReadEnd::Returned(2_000), 2)]
#[case::silent(3, ReadEnd::NoResponse, 4)]
#[case::refused(0, ReadEnd::Refused, 1)]
#[case::refused_again(1, ReadEnd::Refused, 1)]
#[case::refused_after_silence(3, ReadEnd::Refused, 3)]
fn failures_counted(#[case] before: u32, #[case] end: ReadEnd, #[case] after: u32) {
    let times = ReadTimes::new(max_confirmation_age_ms(REVOKE_MS), before);
    assert_eq!(times.failures_after(end), after);
}

/// A new configuration is read within 3 s, also if the connection went silent just before.
#[test]
fn silent_read_given_up() {
    let times = ReadTimes::new(max_confirmation_age_ms(REVOKE_MS), 0);
    assert!(times.limit_ms <= 1_600, "{times:?}");
}

/// A store that takes seconds for each response must be read in the end, and not be read without a
/// pause where the bound is short or 0.
#[rstest]
fn slow_store_read(#[values(0, 500, 5_000, 60_000)] revoke_ms: u64) {
    let max_age_ms = max_confirmation_age_ms(revoke_ms);
    let answers = vec![Answer::After(4_000); 40];
    let (_, reads) = highest_age_ms(max_age_ms, answers);
    assert!(reads >= 20, "{reads} reads");
    let times = ReadTimes::new(max_age_ms, 0);
    assert!(times.wait_ms >= 250, "{times:?}");
}

/// The margin must cover a clock that runs slow by some percent, and leave most of the bound.
#[rstest]
#[case(5_000, 4_750)]
#[case(400, 350)]
#[case(20, 0)]
fn margin_kept(#[case] revoke_ms: u64, #[case] max_age_ms: u64) {
    assert_eq!(max_confirmation_age_ms(revoke_ms), max_age_ms);
}
