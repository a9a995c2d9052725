//! Tests of the permit to dispatch requests.

use cyclamentrail_core::{Incarnation, Permit};
use rstest::rstest;

const LEASE_MS: u64 = 100;

fn ids(numbers: &[u64]) -> Vec<Incarnation> {
    numbers.iter().copied().map(Incarnation::new).collect()
}

fn permit() -> Permit {
    Permit::new(Incarnation::new(1), LEASE_MS)
}

#[rstest]
#[case::alone(&[1], &[], 0)]
#[case::no_majority(&[1, 2, 3, 4], &[(2, 5)], 0)]
#[case::majority(&[1, 2, 3], &[(2, 5)], 105)]
#[case::second_newest(&[1, 2, 3, 4, 5], &[(2, 5), (3, 9), (4, 7)], 107)]
#[case::no_member(&[2, 3], &[(2, 5), (3, 5)], 0)]
#[case::departed_peer(&[1, 2, 3], &[(9, 5)], 0)]
fn majority_confirms(
    #[case] members: &[u64],
    #[case] confirmed: &[(u64, u64)],
    #[case] until_ms: u64,
) {
    let mut permit = permit();
    for &(peer, requested_ms) in confirmed {
        permit.confirm_peer(Incarnation::new(peer), requested_ms);
    }
    assert_eq!(permit.valid_until_ms(&ids(members)), until_ms);
}

#[test]
fn log_confirms_members_only() {
    let mut permit = permit();
    permit.record_log_confirmation(50);
    permit.record_log_confirmation(40);
    assert_eq!(permit.valid_until_ms(&ids(&[1, 2, 3])), 150);
    assert_eq!(permit.valid_until_ms(&ids(&[2, 3])), 0);
}

#[test]
fn witnessed_eviction_kept() {
    let mut permit = permit();
    permit.witness_eviction(Incarnation::new(2));
    permit.retain_members(&ids(&[1, 3]));
    assert!(!permit.may_confirm(Incarnation::new(2)));
}

#[test]
fn evicted_peer_not_counted() {
    let mut permit = permit();
    permit.confirm_peer(Incarnation::new(2), 5);
    permit.witness_eviction(Incarnation::new(2));
    assert_eq!(permit.valid_until_ms(&ids(&[1, 2, 3])), 0);
}
