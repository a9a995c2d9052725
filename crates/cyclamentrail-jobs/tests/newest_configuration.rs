//! Records of the configuration that can't be decoded, keep their version or lower it.

use cyclamentrail_jobs::ConfigurationStep::{Apply, Distrust, DistrustAgain, Keep, KeepNewer};
use cyclamentrail_jobs::{ConfigurationStep, NewestConfiguration};
use rstest::rstest;

type Record = (u64, Option<u64>);

/// A record that isn't in force must not be confirmed: it may have revoked keys. One that a later
/// record replaced, or of a lower version, must not end the confirmation.
#[rstest]
#[case::first(&[(0, Some(4))], Apply, true)]
#[case::newer(&[(0, Some(4)), (1, Some(5))], Apply, true)]
#[case::read_again(&[(0, Some(4)), (0, Some(4))], Keep, true)]
#[case::same_version(&[(0, Some(4)), (1, Some(4))], Apply, true)]
#[case::version_zero(&[(0, Some(0)), (1, Some(0))], Apply, true)]
#[case::lower_version(&[(0, Some(4)), (1, Some(3))], KeepNewer, true)]
#[case::unreadable(&[(0, Some(4)), (1, None)], Distrust, false)]
#[case::unreadable_again(&[(0, Some(4)), (1, None), (1, None)], DistrustAgain, false)]
#[case::next_unreadable(&[(0, Some(4)), (1, None), (2, None)], Distrust, false)]
#[case::corrected(&[(0, Some(4)), (1, None), (2, Some(5))], Apply, true)]
#[case::withdrawn(&[(0, Some(4)), (1, None), (2, Some(4))], Apply, true)]
#[case::lowered_after(&[(0, Some(4)), (1, None), (2, Some(3))], KeepNewer, true)]
fn record_decided(
    #[case] records: &[Record],
    #[case] last: ConfigurationStep,
    #[case] is_in_force: bool,
) {
    let mut newest = NewestConfiguration::default();
    let steps: Vec<_> = records
        .iter()
        .map(|&(offset, version)| newest.read(offset, version))
        .collect();
    assert_eq!(steps.last(), Some(&last), "{steps:?}");
    assert_eq!(newest.is_in_force(), is_in_force);
}

/// A configuration that was deleted, of which a snapshot shows nothing, must not stay confirmed.
#[test]
fn deleted_not_confirmed() {
    let mut newest = NewestConfiguration::default();
    newest.read_none();
    assert!(newest.is_in_force());
    newest.read(0, Some(4));
    newest.read_none();
    assert!(!newest.is_in_force());
    assert_eq!(newest.read(2, Some(4)), Apply);
    assert!(newest.is_in_force());
}
