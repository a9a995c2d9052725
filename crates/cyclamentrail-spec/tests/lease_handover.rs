//! Exhaustive check of what owners hand on about a worker that doesn't respond.

use cyclamentrail_spec::{HandoverFault, HandoverModel, explore};
use rstest::rstest;

/// Largest number of ticks that pass.
const MAX_TICKS: u8 = 4;

#[test]
fn handover_model_holds() {
    let report = explore(&HandoverModel::new(MAX_TICKS));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[rstest]
#[case::deletion(HandoverFault::GrantBeforeDeletion, 8)]
#[case::incarnation(HandoverFault::OtherIncarnation, 10)]
#[case::absolute(HandoverFault::AbsoluteEnd, 8)]
#[case::inherited(HandoverFault::InheritedLeftOut, 9)]
#[case::missing(HandoverFault::MissingMeansEnded, 6)]
#[case::owner_acts(HandoverFault::OwnerMayActIgnored, 9)]
#[case::release(HandoverFault::ReleaseEndsAll, 11)]
#[case::late_copy(HandoverFault::LateCopy, 10)]
#[case::no_record(HandoverFault::NoRecord, 3)]
fn omitted_rule_found(#[case] fault: HandoverFault, #[case] steps: usize) {
    let report = explore(&HandoverModel::new(MAX_TICKS).with_fault(fault));
    println!("{fault:?}: {report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}
