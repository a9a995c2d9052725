//! Tests of how entries share the slots of backend servers.

use cyclamentrail_core::{
    AttemptResult, HomeRing, Incarnation, InstanceName, LinkLimits, LinkState, MeanResponseTime,
    RequestClass, guaranteed_slots,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 4;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn members(count: usize) -> Vec<Incarnation> {
    (1..=count as u64).map(Incarnation::new).collect()
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Take(bool),
    Release(bool),
    Attempt(AttemptResult),
}

fn class(long: bool) -> RequestClass {
    if long {
        RequestClass::Long
    } else {
        RequestClass::Quick
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => any::<bool>().prop_map(Step::Take),
        3 => any::<bool>().prop_map(Step::Release),
        1 => Just(Step::Attempt(AttemptResult::Served)),
        1 => Just(Step::Attempt(AttemptResult::Refused)),
        1 => Just(Step::Attempt(AttemptResult::Broken)),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(config())]

    /// The requests in flight never exceed the slots, the connections and the limit of long ones.
    #[test]
    fn limits_hold(
        steps in steps(),
        slots in 1_u32..9,
        guaranteed in 0_u32..9,
        connections in 1_u32..9,
        long_requests in 0_u32..4,
    ) {
        let limits = LinkLimits { slots, guaranteed, connections, long_requests };
        let mut link = LinkState::new(limits);
        let mut occupied = [0_u32; 2];
        let mut now_us = 0;
        for step in steps {
            now_us += 50_000;
            match step {
                Step::Take(is_long) => {
                    if link.try_occupy(class(is_long), true, now_us) {
                        occupied[usize::from(is_long)] += 1;
                    }
                }
                Step::Release(is_long) if occupied[usize::from(is_long)] > 0 => {
                    occupied[usize::from(is_long)] -= 1;
                    link.release(class(is_long));
                }
                Step::Release(_) => {}
                Step::Attempt(result) => {
                    link.record_attempt(result, now_us, true, 0.5);
                }
            }
            prop_assert_eq!(link.in_flight(), occupied[0] + occupied[1]);
            prop_assert!(link.in_flight() <= slots.min(connections));
            prop_assert!(occupied[1] <= long_requests);
        }
    }

    #[test]
    fn shares_add_up(count in 1_usize..12, slots in 0_u32..17, name in "[a-z]{1,6}") {
        let members = members(count);
        let instance = InstanceName::from(name);
        let sum: u32 = members
            .iter()
            .map(|&own| guaranteed_slots(&instance, own, &members, slots))
            .sum();
        prop_assert_eq!(sum, slots);
    }

    #[test]
    fn ring_bounds_load(servers in 1_usize..64, count in 1_usize..10) {
        let ring = HomeRing::new(servers, &members(count));
        let mut servers_by_entry = vec![0_usize; count];
        for server in 0..servers {
            servers_by_entry[ring.home(server).expect("every server has a home")] += 1;
        }
        prop_assert!(servers_by_entry.iter().all(|&assigned| assigned <= servers.div_ceil(count)));
    }
}

#[test]
fn stalled_server_gets_none() {
    let limits = LinkLimits {
        slots: 8,
        guaranteed: 8,
        connections: 64,
        long_requests: 6,
    };
    let mut link = LinkState::new(limits);
    assert!(link.try_occupy(RequestClass::Quick, true, 0));
    assert!(link.try_occupy(RequestClass::Quick, true, 400_000));
    assert!(!link.try_occupy(RequestClass::Quick, true, 600_000));
    link.release(RequestClass::Quick);
    link.release(RequestClass::Quick);
    assert!(link.try_occupy(RequestClass::Quick, true, 600_000));
}

#[test]
fn slow_server_recovers() {
    let limits = LinkLimits {
        slots: 8,
        guaranteed: 8,
        connections: 64,
        long_requests: 6,
    };
    let mut link = LinkState::new(limits);
    let mut service = MeanResponseTime::default();
    for _ in 0..20 {
        service.record(10_000);
    }
    let mut last = AttemptResult::Served;
    for _ in 0..20 {
        last = link.record_response_time(RequestClass::Quick, 200_000, 0, &service);
    }
    assert_eq!((last, link.limit(0)), (AttemptResult::Slow, 1));
    let candidate = |link: &LinkState, now_us| link.candidate(RequestClass::Quick, true, 0, now_us);
    assert!(!candidate(&link, 1_000_000).needs_probe);
    assert!(candidate(&link, 1_000_001).needs_probe);
    last = link.record_response_time(RequestClass::Quick, 10_000, 1_100_000, &service);
    assert_eq!((last, link.limit(0)), (AttemptResult::Served, 8));
}
