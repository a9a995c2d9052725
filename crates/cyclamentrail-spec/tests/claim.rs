//! Idempotency keys: at most one run.

use cyclamentrail_spec::{ClaimModel, Fault, explore};
use rstest::rstest;

#[rstest]
#[case::two_entries(ClaimModel::new(2, 8))]
#[case::three_entries(ClaimModel::new(3, 6))]
fn holds(#[case] model: ClaimModel) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[test]
fn finds_id() {
    let report = explore(&ClaimModel::new(2, 6).with_fault(Fault::NoIdCheck));
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), 8, "{trace}");
}
