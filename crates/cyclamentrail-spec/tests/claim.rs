//! Exhaustive check of idempotency keys: a request runs at most once.

use cyclamentrail_spec::{ClaimModel, Fault, explore};
use rstest::rstest;

#[rstest]
#[case::two_entries(ClaimModel::new(2, 8))]
#[case::three_entries(ClaimModel::new(3, 6))]
fn claim_model_holds(#[case] model: ClaimModel) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[test]
fn omitted_id_check_found() {
    let report = explore(&ClaimModel::new(2, 6).with_fault(Fault::NoIdCheck));
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), 8, "{trace}");
}
