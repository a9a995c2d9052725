//! Accounts of what services were missing.

use cyclamentrail_core::{Accounts, Cause, ContractSettings, FailureDomain, ServiceName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MINUTE_MS: u64 = 60_000;

fn contract(budget_instance_s: u64) -> ContractSettings {
    ContractSettings {
        promised_instances: 2,
        budget_instance_s,
        window_s: 600,
        survives: FailureDomain::Rack,
    }
}

#[test]
fn causes_are_kept() {
    let checks = ServiceName::from("checks");
    let mut accounts = Accounts::default();
    accounts.set_missing(&checks, [(Cause::Lost, 1), (Cause::Wave, 2)].into());
    accounts.charge(90_000);
    accounts.set_missing(&checks, [].into());
    accounts.charge(200_000);
    let spent = accounts.spent_by_cause_ms(&checks, 200_000, 600_000);
    assert_eq!(
        spent,
        [(Cause::Lost, 90_000), (Cause::Wave, 180_000)].into()
    );
    assert!(accounts.is_exhausted(&checks, &contract(270), 200_000));
    assert!(!accounts.is_exhausted(&checks, &contract(271), 200_000));
}

#[test]
fn window_passes() {
    let checks = ServiceName::from("checks");
    let mut accounts = Accounts::default();
    accounts.set_missing(&checks, [(Cause::Lost, 1)].into());
    accounts.charge(MINUTE_MS);
    accounts.set_missing(&checks, [].into());
    assert!(accounts.is_exhausted(&checks, &contract(60), 5 * MINUTE_MS));
    assert!(!accounts.is_exhausted(&checks, &contract(60), 20 * MINUTE_MS));
}

#[test]
fn nothing_spent_is_free() {
    let accounts = Accounts::default();
    let checks = ServiceName::from("checks");
    assert!(!accounts.is_exhausted(&checks, &contract(0), MINUTE_MS));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The sum doesn't depend on how often the account is charged.
    #[test]
    fn charges_add_up(steps in proptest::collection::vec((0_u32..4, 1_u64..300_000), 1..20)) {
        let checks = ServiceName::from("checks");
        let (mut often, mut seldom) = (Accounts::default(), Accounts::default());
        let (mut at_ms, mut expected) = (0, 0);
        for (missing, lasts_ms) in steps {
            for accounts in [&mut often, &mut seldom] {
                accounts.set_missing(&checks, [(Cause::Lost, missing)].into());
            }
            often.charge(at_ms + lasts_ms / 2);
            at_ms += lasts_ms;
            expected += u64::from(missing) * lasts_ms;
            often.charge(at_ms);
            seldom.charge(at_ms);
        }
        prop_assert_eq!(often.spent_ms(&checks, at_ms, u64::MAX), expected);
        prop_assert_eq!(seldom.spent_ms(&checks, at_ms, u64::MAX), expected);
    }
}
