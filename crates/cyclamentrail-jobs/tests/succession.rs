//! Takeover of a shard by the process that it is assigned to.

use cyclamentrail_jobs::{Candidate, Incumbent, should_take_over};
use rstest::rstest;

const CANDIDATE: Candidate = Candidate {
    connected_ms: 60_000,
    assigned_ms: 400,
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
fn unowned_shard_taken(#[case] incumbent: Incumbent) {
    assert!(should_take_over(incumbent, CANDIDATE));
}

/// An outage of the store made the group rebalance, and every shard changed its owner.
#[test]
fn outage_keeps_owners() {
    let reconnected = Candidate {
        connected_ms: 200,
        ..CANDIDATE
    };
    assert!(!should_take_over(acting(4_500, 1), reconnected));
    assert!(!should_take_over(acting(100, 1), CANDIDATE));
}

#[test]
fn cut_off_owner_replaced() {
    assert!(should_take_over(acting(2_500, 1), CANDIDATE));
}

/// The first process to start is assigned all shards; the others take over their share later.
#[test]
fn overloaded_owner_relieved() {
    let settled = Candidate {
        assigned_ms: 5_000,
        ..CANDIDATE
    };
    assert!(should_take_over(acting(100, 5), settled));
    assert!(!should_take_over(acting(100, 5), CANDIDATE));
    assert!(!should_take_over(acting(100, 1), settled));
}
