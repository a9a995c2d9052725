//! Tries and their budget.

use cyclamentrail_core::{RetryBudget, Tries, TryEnd};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SEED: u64 = 4;
const DEADLINE_US: u64 = 1_000_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn rich_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(1.0);
    for _ in 0..50 {
        budget.earn();
    }
    budget
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn amplification_bounded(wants in prop::collection::vec(0_u32..5, 1..500), ratio in 0.0_f64..0.5) {
        let mut budget = RetryBudget::new(ratio);
        let mut tries = 0_u32;
        for (requests, want) in (1_u32..).zip(wants) {
            budget.earn();
            tries += 1;
            tries += (0..want).map(|_| u32::from(budget.spend())).sum::<u32>();
            prop_assert!(f64::from(tries) <= f64::from(requests) * (1.0 + ratio) + 1e-6);
        }
    }

    #[test]
    fn deadline_kept(now_us in 0_u64..2 * DEADLINE_US, seed in any::<u64>()) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut tries = Tries::new(true, DEADLINE_US);
        let pause = tries.next(TryEnd::Lost, now_us, &mut rich_budget(), &mut random);
        prop_assert!(pause.is_none_or(|pause_us| now_us + pause_us < DEADLINE_US));
    }
}

#[rstest]
#[case(TryEnd::ConnectFailed, true)]
#[case(TryEnd::Refused, true)]
#[case(TryEnd::Lost, false)]
#[case(TryEnd::Stalled, false)]
#[case(TryEnd::ServerError, false)]
fn once_unless_idempotent(#[case] end: TryEnd, #[case] again: bool) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut next = |idempotent| {
        Tries::new(idempotent, DEADLINE_US)
            .next(end, 0, &mut rich_budget(), &mut random)
            .is_some()
    };
    assert_eq!(next(false), again);
    assert!(next(true));
}

#[test]
fn tries_end() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut budget = rich_budget();
    for end in [TryEnd::Lost, TryEnd::ConnectFailed] {
        let mut tries = Tries::new(true, DEADLINE_US);
        let count = std::iter::from_fn(|| tries.next(end, 0, &mut budget, &mut random)).count();
        assert_eq!(count, 3);
    }
}
