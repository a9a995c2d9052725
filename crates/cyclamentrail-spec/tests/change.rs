//! Exhaustive check of settings changes: concurrent operators, repeated records, and entries that
//! adopt the state of a peer.

use cyclamentrail_spec::{ChangeModel, Fault, explore};
use rstest::rstest;

#[rstest]
#[case::two_entries(ChangeModel::new(2, 5))]
#[case::three_entries(ChangeModel::new(3, 4))]
fn change_model_holds(#[case] model: ChangeModel) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[rstest]
#[case::version(Fault::NoVersionCheck, 2)]
#[case::older_state(Fault::NoStateOrder, 3)]
fn omitted_rule_found(#[case] fault: Fault, #[case] steps: usize) {
    let report = explore(&ChangeModel::new(2, 5).with_fault(fault));
    println!("{fault:?}: {report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}
