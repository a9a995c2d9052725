//! Exhaustive check of the fleet duty: terms, and holders that haven't folded the newest records.

use cyclamentrail_spec::{DutyModel, Fault, explore};
use rstest::rstest;

#[rstest]
#[case::two_entries(DutyModel::new(2, 5))]
#[case::three_entries(DutyModel::new(3, 4))]
fn duty_model_holds(#[case] model: DutyModel) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[test]
fn omitted_term_check_found() {
    let report = explore(&DutyModel::new(2, 5).with_fault(Fault::NoTermCheck));
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), 2, "{trace}");
}
