//! When a shard changes its owner.

use cyclamentrail_jobs::{Candidate, Incumbent, should_take_over};
use rstest::rstest;

const CANDIDATE: Candidate = Candidate {
    connected_ms: 60_000,
    dealt_ms: 400,
    shards: 0,
};

const fn acting(confirmed_age_ms: u64, shards: u64) -> Incumbent {
    Incumbent::Acting {
        confirmed_age_ms,
        shards,
    }
}

#[rstest]
#[case(Incumbent::Nobody)]
#[case(Incumbent::Here)]
#[case(Incumbent::Silent)]
#[case(Incumbent::Ended)]
fn no_owner(#[case] incumbent: Incumbent) {
    assert!(should_take_over(incumbent, CANDIDATE));
}

/// After an outage of the store the group was dealt anew and every shard changed its owner.
#[test]
fn outage_keeps_owners() {
    let just_back = Candidate {
        connected_ms: 200,
        ..CANDIDATE
    };
    assert!(!should_take_over(acting(4_500, 1), just_back));
    assert!(!should_take_over(acting(100, 1), CANDIDATE));
}

#[test]
fn cut_off_replaced() {
    assert!(should_take_over(acting(2_500, 1), CANDIDATE));
}

/// The first process that starts is dealt everything; the others take their part of it later.
#[test]
fn balance_restored() {
    let settled = Candidate {
        dealt_ms: 5_000,
        ..CANDIDATE
    };
    assert!(should_take_over(acting(100, 5), settled));
    assert!(!should_take_over(acting(100, 5), CANDIDATE));
    assert!(!should_take_over(acting(100, 1), settled));
}
