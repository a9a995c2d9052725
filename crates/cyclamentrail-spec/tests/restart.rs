//! Exhaustive check of a worker that restarts under its id while calls to it are under way.

use cyclamentrail_spec::{RestartFault, RestartModel, explore};
use rstest::rstest;

#[test]
fn restart_model_holds() {
    let report = explore(&RestartModel::new());
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[rstest]
#[case::ended(RestartFault::RestartEndsRuns)]
#[case::same_token(RestartFault::SameToken)]
#[case::late(RestartFault::LateStartIgnored)]
#[case::under_way(RestartFault::FreedUnderWay)]
fn omitted_rule_found(#[case] fault: RestartFault) {
    let report = explore(&RestartModel::new().with_fault(fault));
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert!(trace.steps.len() <= 24, "{trace}");
}
