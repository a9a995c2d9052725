//! Tests of retries and their budget.

use cyclamentrail_core::{AttemptEnd, RetryBudget, RetryState};
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

fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(1.0);
    for _ in 0..50 {
        budget.deposit();
    }
    budget
}

proptest! {
    #![proptest_config(config())]

    /// The attempts never exceed `1 + ratio` times the requests.
    #[test]
    fn attempts_bounded(wanted_retries in prop::collection::vec(0_u32..5, 1..500), ratio in 0.0_f64..0.5) {
        let mut budget = RetryBudget::new(ratio);
        let mut attempts = 0_u32;
        for (requests, wanted) in (1_u32..).zip(wanted_retries) {
            budget.deposit();
            attempts += 1;
            attempts += (0..wanted).map(|_| u32::from(budget.try_withdraw())).sum::<u32>();
            prop_assert!(f64::from(attempts) <= f64::from(requests) * (1.0 + ratio) + 1e-6);
        }
    }

    #[test]
    fn no_retry_past_deadline(now_us in 0_u64..2 * DEADLINE_US, seed in any::<u64>()) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut retry_state = RetryState::new(true, DEADLINE_US);
        let pause =
            retry_state.next_pause_us(AttemptEnd::Lost, now_us, &mut full_budget(), &mut random);
        prop_assert!(pause.is_none_or(|pause_us| now_us + pause_us < DEADLINE_US));
    }
}

#[rstest]
#[case(AttemptEnd::ConnectFailed, true)]
#[case(AttemptEnd::Refused, true)]
#[case(AttemptEnd::Lost, false)]
#[case(AttemptEnd::Stalled, false)]
#[case(AttemptEnd::ServerError, false)]
fn retried_if_not_run(#[case] end: AttemptEnd, #[case] retried: bool) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut is_retried = |idempotent| {
        RetryState::new(idempotent, DEADLINE_US)
            .next_pause_us(end, 0, &mut full_budget(), &mut random)
            .is_some()
    };
    assert_eq!(is_retried(false), retried);
    assert!(is_retried(true));
}

#[test]
fn retries_limited() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut budget = full_budget();
    for end in [AttemptEnd::Lost, AttemptEnd::ConnectFailed] {
        let mut retry_state = RetryState::new(true, DEADLINE_US);
        let count =
            std::iter::from_fn(|| retry_state.next_pause_us(end, 0, &mut budget, &mut random))
                .count();
        assert_eq!(count, 3);
    }
}
