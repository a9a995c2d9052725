//! Takeover of a shard by the process that it is assigned to.

use cyclamentrail_jobs::{
    Candidate, Incumbent, MachineLimits, OwnerCapacity, Predecessor, StoreContact,
    leaves_shards_to_others, should_take_over,
};
use rstest::rstest;

/// Capacity of a machine with 0.12 of a core and a link of 10 Mbit/s.
const SMALL: OwnerCapacity = OwnerCapacity::new(400);
/// Capacity of a machine with 0.5 of a core.
const LARGE: OwnerCapacity = OwnerCapacity::new(1_666);

const CANDIDATE: Candidate = Candidate {
    connected_ms: 60_000,
    assigned_ms: 400,
    lease_wait_ms: 9_600,
    shards: 0,
    capacity: LARGE,
};

const fn acting(confirmed_age_ms: u64, shards: u64) -> Incumbent {
    Incumbent::Acting {
        confirmed_age_ms,
        shards,
        capacity: Some(LARGE),
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

/// A silent store answered a call after 2.4 s without failing it; the process took that for an unbroken
/// contact and claimed a shard whose owner was about to reach the store again.
#[test]
fn silent_store_breaks_contact() {
    let mut contact = StoreContact::new();
    for sent_ms in [0, 400, 800] {
        contact.record_response(sent_ms, sent_ms + 5);
    }
    assert_eq!(contact.since_ms(), Some(5));
    contact.record_response(1_200, 3_600);
    assert_eq!(contact.since_ms(), Some(3_600));
    let reconnected = Candidate {
        connected_ms: 3_610 - 3_600,
        ..CANDIDATE
    };
    assert!(!should_take_over(acting(2_490, 1), reconnected));
    contact.record_failure();
    assert_eq!(contact.since_ms(), None);
}

#[test]
fn cut_off_owner_replaced() {
    assert!(should_take_over(acting(2_500, 1), CANDIDATE));
}

/// The first process to start is assigned all shards; the others take over their share later.
#[test]
fn overloaded_owner_relieved() {
    let settled = Candidate {
        assigned_ms: 12_000,
        ..CANDIDATE
    };
    assert!(should_take_over(acting(100, 5), settled));
    // A new owner would wait anew for the leases of lost workers: the present one's come first.
    let within_lease = Candidate {
        assigned_ms: 5_000,
        ..settled
    };
    assert!(!should_take_over(acting(100, 5), within_lease));
    assert!(!should_take_over(acting(100, 5), CANDIDATE));
    assert!(!should_take_over(acting(100, 1), settled));
}

/// Where leases are long, a takeover for balance came before the end of those that the owner waited for:
/// the next one waited for them anew, and tasks of lost workers stayed away for 20 s.
#[rstest]
#[case::short(9_600, 10_000, true)]
#[case::long(12_700, 11_500, false)]
#[case::long_ended(12_700, 12_700, true)]
fn leases_end_first(
    #[case] lease_wait_ms: u64,
    #[case] assigned_ms: u64,
    #[case] is_relieved: bool,
) {
    let candidate = Candidate {
        assigned_ms,
        lease_wait_ms,
        ..CANDIDATE
    };
    assert_eq!(should_take_over(acting(100, 5), candidate), is_relieved);
}

/// Owners on small machines held up their whole service at its peak, while larger machines were
/// idle.
#[test]
fn small_owner_relieved() {
    let small = Incumbent::Acting {
        confirmed_age_ms: 100,
        shards: 1,
        capacity: Some(SMALL),
    };
    let settled = Candidate {
        assigned_ms: 1_200,
        ..CANDIDATE
    };
    assert!(should_take_over(small, settled));
    assert!(!should_take_over(small, CANDIDATE), "not at once");
    assert!(!should_take_over(acting(100, 1), settled), "equal machines");
    let busy = Candidate {
        shards: 3,
        ..settled
    };
    assert!(!should_take_over(small, busy), "no better with four shards");
    let unknown = Incumbent::Acting {
        confirmed_age_ms: 100,
        shards: 1,
        capacity: None,
    };
    assert!(!should_take_over(unknown, settled));
}

/// A process on a small machine relieved a large one of its third shard, which then was worse off.
#[test]
fn large_owner_kept() {
    let small = Candidate {
        assigned_ms: 60_000,
        capacity: SMALL,
        ..CANDIDATE
    };
    assert!(!should_take_over(acting(100, 3), small));
    assert!(should_take_over(acting(100, 6), small), "far too many");
}

#[rstest]
#[case(120, 10_000, 400)]
#[case(500, 200_000, 1_666)]
#[case(500, 10_000, 500)]
#[case(120, 200_000, 400)]
fn scarcer_limit_counts(#[case] cpu_milli: u64, #[case] link: u64, #[case] tasks_per_s: u64) {
    let limits = MachineLimits {
        cpu_milli,
        link_kbit_per_s: link,
    };
    assert_eq!(OwnerCapacity::from(limits).tasks_per_s(), tasks_per_s);
}

/// Processes on small machines own shards only while the larger ones are too few.
#[rstest]
#[case(8, true)]
#[case(3, true)]
#[case(2, false)]
#[case(0, false)]
fn small_machines_stand_back(#[case] large_count: usize, #[case] expected: bool) {
    let mut others = vec![SMALL; 22];
    others.extend(vec![LARGE; large_count]);
    assert_eq!(leaves_shards_to_others(SMALL, &others, 6), expected);
    assert!(!leaves_shards_to_others(LARGE, &others, 6));
}

/// An owner that has stopped may follow one that acts on; it tells for how long, unless it is of an
/// earlier version.
#[rstest]
#[case(Predecessor::Unknown, Some(0), 5_000)]
#[case(Predecessor::Released, Some(0), 0)]
#[case(Predecessor::Released, Some(4_200), 4_200)]
#[case(Predecessor::Released, None, 5_000)]
#[case(Predecessor::ReleasedAfter { confirmed_ms: 10_000 }, Some(700), 700)]
#[case(Predecessor::ReleasedAfter { confirmed_ms: 10_000 }, None, 5_000)]
fn earlier_owners_counted(
    #[case] predecessor: Predecessor,
    #[case] told_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    assert_eq!(predecessor.earlier_acts_ms(told_ms, 5_000), expected_ms);
}

/// The holder of the machine duties is cut off from the store in a queue's turn. Its successor waited
/// from its own claim on, although the holder hadn't sent anything for a while.
#[rstest]
#[case(Predecessor::Nobody, 12_400)]
#[case(Predecessor::Unknown, 15_900)]
#[case(Predecessor::Released, 15_900)]
#[case(Predecessor::ReleasedAfter { confirmed_ms: 10_000 }, 14_500)]
#[case(Predecessor::ReleasedAfter { confirmed_ms: 2_000 }, 12_400)]
fn duty_pause_from_last_command(#[case] predecessor: Predecessor, #[case] first_ms: u64) {
    assert_eq!(predecessor.first_command_ms(12_400, 1_000, 3_500), first_ms);
}
