//! Tests of outlier ejection and of the return to routing.

use cyclamentrail_core::{AttemptResult, Eligibility, Health, HealthChange, may_eject};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const SEED: u64 = 4;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn failures_until_ejected(result: AttemptResult) -> usize {
    let mut health = Health::new();
    let attempts = std::iter::from_fn(|| {
        health.record_attempt(result, 0, true, 0.5);
        (!health.is_ejected()).then_some(())
    });
    attempts.take(100).count() + 1
}

#[rstest]
#[case(AttemptResult::Unreachable, 1)]
#[case(AttemptResult::Leaving, 1)]
#[case(AttemptResult::Broken, 2)]
#[case(AttemptResult::ServerError, 5)]
fn ejected_after_failures(#[case] result: AttemptResult, #[case] failures: usize) {
    assert_eq!(failures_until_ejected(result), failures);
}

#[test]
fn probe_recovers_server() {
    let mut health = Health::new();
    health.record_attempt(AttemptResult::Unreachable, 0, true, 1.0);
    assert_eq!(health.eligibility(499_999), Eligibility::Closed);
    assert_eq!(health.eligibility(500_000), Eligibility::Probe);
    assert_eq!(health.eligibility(1_500_000), Eligibility::Single);
    health.record_attempt(AttemptResult::Unreachable, 500_000, true, 1.0);
    assert_eq!(health.eligibility(1_400_000), Eligibility::Closed);
    let change = health.record_attempt(AttemptResult::Served, 1_600_000, true, 1.0);
    assert_eq!(change, Some(HealthChange::Recovered));
    assert_eq!(health.eligibility(1_600_000), Eligibility::Open);
}

#[test]
fn needed_server_throttled() {
    let mut health = Health::new();
    let mut changes =
        (0..3).filter_map(|_| health.record_attempt(AttemptResult::Broken, 0, false, 0.5));
    assert_eq!(changes.next(), Some(HealthChange::Throttled));
    assert_eq!(changes.next(), None);
    assert!(!health.is_ejected());
    assert_eq!(health.eligibility(10_000_000), Eligibility::Single);
}

#[test]
fn refusals_pause_server() {
    let mut health = Health::new();
    let mut now_us = 0;
    for _ in 0..20 {
        health.record_attempt(AttemptResult::Refused, now_us, true, 1.0);
        assert_eq!(health.eligibility(now_us), Eligibility::Closed);
        now_us = health.closed_until_us();
    }
    assert!(now_us > 1_000_000, "{now_us}");
    assert_eq!(health.eligibility(now_us), Eligibility::Open);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn promised_servers_remain(failing in prop::collection::vec(any::<bool>(), 1..20), promised in 0_u32..20) {
        let mut servers = vec![Health::new(); failing.len()];
        for round in 0..10 {
            for index in 0..servers.len() {
                if !failing[index] {
                    continue;
                }
                let ejected = servers.iter().filter(|health| health.is_ejected()).count();
                let others = ejected - usize::from(servers[index].is_ejected());
                let ejectable = may_eject(servers.len(), others, promised);
                servers[index].record_attempt(AttemptResult::Broken, round, ejectable, 0.5);
                let remaining = servers.iter().filter(|health| !health.is_ejected()).count();
                prop_assert!(remaining >= (promised as usize).min(servers.len()));
            }
        }
    }

    /// No sequence of results closes a server for more than 30 s.
    #[test]
    fn server_always_returns(results in prop::collection::vec(0_usize..6, 0..60)) {
        let all = [
            AttemptResult::Served, AttemptResult::Refused, AttemptResult::Leaving,
            AttemptResult::Unreachable, AttemptResult::ServerError, AttemptResult::Broken,
        ];
        let mut health = Health::new();
        let mut now_us = 0;
        for result in results {
            health.record_attempt(all[result], now_us, true, 0.5);
            prop_assert!(health.closed_until_us().saturating_sub(now_us) <= 30_000_000);
            now_us += 100_000;
        }
        now_us = health.closed_until_us().max(now_us);
        prop_assert_ne!(health.eligibility(now_us), Eligibility::Closed);
    }
}
