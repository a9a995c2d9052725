//! Checks simulated requests under load against their regression bounds.

use cyclamentrail_bench::requests::{Load, Policy, RunReport, Scenario, mean_examined, run};
use cyclamentrail_bench::{Bounds, Figure};
use rstest::rstest;

const SEED: u64 = 4;
const SECONDS: u64 = 20;

fn check(figures: &[Figure]) {
    let bounds = Bounds::load().expect("bounds.json is well-formed");
    let violations = bounds.violations(figures);
    assert!(violations.is_empty(), "{violations:#?}");
}

fn report(load: Load, brown_out: bool, policy: Policy) -> RunReport {
    let scenario = Scenario::new(load, SEED).seconds(SECONDS);
    run(&scenario.brown_out(brown_out), policy)
}

#[rstest]
#[case::mean(Load::Steady(1.0), "1x")]
#[case::double(Load::Steady(2.0), "2x")]
#[case::burst(Load::Steady(5.0), "5x")]
#[case::turns(Load::Turns, "turns")]
fn beats_round_robin(#[case] load: Load, #[case] name: &str) {
    let core = report(load, false, Policy::learned());
    let baseline = report(load, false, Policy::Baseline);
    check(&[
        Figure::new(
            format!("requests.useful_ratio.{name}"),
            core.useful / baseline.useful,
        ),
        Figure::new(
            format!("requests.tries.{name}"),
            core.attempts_per_request(),
        ),
    ]);
}

#[rstest]
#[case::mean(Load::Steady(1.0), "1x")]
#[case::double(Load::Steady(2.0), "2x")]
#[case::burst(Load::Steady(5.0), "5x")]
#[case::turns(Load::Turns, "turns")]
fn brown_out_limits_attempts(#[case] load: Load, #[case] name: &str) {
    let core = report(load, true, Policy::learned());
    let figure = Figure::new(
        format!("requests.brown_out_tries.{name}"),
        core.attempts_per_request(),
    );
    check(&[figure]);
}

#[test]
fn baseline_exceeds_attempts() {
    let baseline = report(Load::Steady(5.0), true, Policy::Baseline);
    assert!(baseline.attempts_per_request() > 1.1);
}

#[rstest]
#[case(0.0)]
#[case(0.9)]
#[case(1.0)]
fn routing_cost_stays_flat(#[case] load: f64) {
    let small = mean_examined(10, load, SEED);
    check(&[
        Figure::new(
            "requests.looks_growth.100",
            mean_examined(100, load, SEED) / small,
        ),
        Figure::new(
            "requests.looks_growth.1400",
            mean_examined(1_400, load, SEED) / small,
        ),
    ]);
}
