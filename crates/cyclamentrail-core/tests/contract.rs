//! Accounts of the availability budgets.

use cyclamentrail_core::{BudgetAccounts, ContractSettings, FailureDomain, LossCause, ServiceName};
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
fn charges_by_cause() {
    let checks = ServiceName::from("checks");
    let mut accounts = BudgetAccounts::default();
    accounts.set_missing(&checks, [(LossCause::Lost, 1), (LossCause::Wave, 2)].into());
    accounts.charge(90_000);
    accounts.set_missing(&checks, [].into());
    accounts.charge(200_000);
    let spent = accounts.spent_by_cause_ms(&checks, 200_000, 600_000);
    assert_eq!(
        spent,
        [(LossCause::Lost, 90_000), (LossCause::Wave, 180_000)].into()
    );
    assert!(accounts.is_exhausted(&checks, &contract(270), 200_000));
    assert!(!accounts.is_exhausted(&checks, &contract(271), 200_000));
}

#[test]
fn old_charges_expire() {
    let checks = ServiceName::from("checks");
    let mut accounts = BudgetAccounts::default();
    accounts.set_missing(&checks, [(LossCause::Lost, 1)].into());
    accounts.charge(MINUTE_MS);
    accounts.set_missing(&checks, [].into());
    assert!(accounts.is_exhausted(&checks, &contract(60), 5 * MINUTE_MS));
    assert!(!accounts.is_exhausted(&checks, &contract(60), 20 * MINUTE_MS));
}

#[test]
fn zero_budget_not_exhausted() {
    let accounts = BudgetAccounts::default();
    let checks = ServiceName::from("checks");
    assert!(!accounts.is_exhausted(&checks, &contract(0), MINUTE_MS));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The sum of the charges doesn't depend on how often the account is charged.
    #[test]
    fn charge_interval_irrelevant(steps in proptest::collection::vec((0_u32..4, 1_u64..300_000), 1..20)) {
        let checks = ServiceName::from("checks");
        let (mut frequent, mut rare) = (BudgetAccounts::default(), BudgetAccounts::default());
        let (mut at_ms, mut expected) = (0, 0);
        for (missing, lasts_ms) in steps {
            for accounts in [&mut frequent, &mut rare] {
                accounts.set_missing(&checks, [(LossCause::Lost, missing)].into());
            }
            frequent.charge(at_ms + lasts_ms / 2);
            at_ms += lasts_ms;
            expected += u64::from(missing) * lasts_ms;
            frequent.charge(at_ms);
            rare.charge(at_ms);
        }
        prop_assert_eq!(frequent.spent_ms(&checks, at_ms, u64::MAX), expected);
        prop_assert_eq!(rare.spent_ms(&checks, at_ms, u64::MAX), expected);
    }
}
