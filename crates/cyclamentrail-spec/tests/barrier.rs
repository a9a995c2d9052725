//! Exhaustive check of drains and moves: an instance works for one pool at a time.

use cyclamentrail_spec::{BarrierModel, Fault, explore};
use rstest::rstest;

#[rstest]
#[case::joining(BarrierModel::new(6, 1))]
#[case::members(BarrierModel::new(9, 2).members_only())]
fn barrier_model_holds(#[case] model: BarrierModel) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[rstest]
#[case::barrier(Fault::NoBarrier, BarrierModel::new(6, 1), 3)]
#[case::id(Fault::NoIdCheck, BarrierModel::new(6, 1), 5)]
#[case::permission(Fault::NoPermitCheck, BarrierModel::new(6, 1), 7)]
#[case::older_state(Fault::NoStateOrder, BarrierModel::new(6, 1), 8)]
#[case::version(Fault::NoVersionCheck, BarrierModel::new(7, 0).members_only(), 16)]
fn omitted_rule_found(#[case] fault: Fault, #[case] model: BarrierModel, #[case] steps: usize) {
    let report = explore(&model.with_fault(fault));
    println!("{fault:?}: {report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}
