//! Tests of the choice of the instance to which a request is sent.

use cyclamentrail_core::{Candidate, CandidatePool, choose_instance};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SEED: u64 = 4;
const RACK_SIZE: usize = 4;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn candidate(index: usize, in_flight: u32, limit: u32) -> Candidate {
    let rack = u32::try_from(index / RACK_SIZE).expect("few racks");
    Candidate {
        in_flight,
        limit,
        rack,
        needs_probe: false,
    }
}

proptest! {
    #![proptest_config(config())]

    /// An instance with room is found among up to 12, outside the avoided rack if there is one.
    #[test]
    fn chosen_instance_has_room(
        loads in prop::collection::vec((0_u32..10, 0_u32..9), 0..13),
        same_zone_count in 0_usize..13,
        avoided_rack in prop::option::of(0_u32..4),
        seed in any::<u64>(),
    ) {
        let describe = |index: usize| candidate(index, loads[index].0, loads[index].1);
        let pool = CandidatePool { same_zone_count, count: loads.len(), avoided_rack };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let choice = choose_instance(pool, describe, &mut random);
        let any_room = (0..loads.len()).any(|index| describe(index).has_room());
        prop_assert_eq!(choice.index.is_some(), any_room);
        if let Some(index) = choice.index {
            prop_assert!(describe(index).has_room());
            let any_outside_rack = (0..loads.len())
                .any(|other| describe(other).has_room() && Some(describe(other).rack) != avoided_rack);
            prop_assert!(!any_outside_rack || Some(describe(index).rack) != avoided_rack);
        }
    }
}

#[rstest]
#[case::near_idle(0, 0, true)]
#[case::near_busier(2, 0, true)]
#[case::near_loaded(6, 0, false)]
#[case::both_loaded(6, 6, true)]
fn own_zone_preferred(#[case] near_load: u32, #[case] far_load: u32, #[case] chooses_near: bool) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let pool = CandidatePool {
        same_zone_count: 3,
        count: 9,
        avoided_rack: None,
    };
    for _ in 0..100 {
        let load = |index| if index < 3 { near_load } else { far_load };
        let choice = choose_instance(pool, |index| candidate(index, load(index), 8), &mut random);
        assert_eq!(choice.index.is_some_and(|index| index < 3), chooses_near);
    }
}

#[rstest]
#[case(10)]
#[case(100)]
#[case(1_400)]
fn few_instances_examined(#[case] count: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let pool = CandidatePool {
        same_zone_count: count / 3,
        count,
        avoided_rack: None,
    };
    for in_flight in [0, 8] {
        let choice = choose_instance(pool, |index| candidate(index, in_flight, 8), &mut random);
        assert!(choice.examined <= 16, "{choice:?}");
    }
}

#[test]
fn probe_preferred() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let pool = CandidatePool {
        same_zone_count: 2,
        count: 2,
        avoided_rack: None,
    };
    let probe = Candidate {
        needs_probe: true,
        ..candidate(1, 0, 1)
    };
    let describe = |index| {
        if index == 1 {
            probe
        } else {
            candidate(0, 0, 8)
        }
    };
    assert_eq!(choose_instance(pool, describe, &mut random).index, Some(1));
}
