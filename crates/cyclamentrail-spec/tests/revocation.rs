//! Exhaustive check of the revocation of an API key: outages, late answers, suspension and restarts.

use cyclamentrail_spec::{RevocationFault, RevocationModel, explore};
use rstest::rstest;

/// Number of ticks that pass; the bound is 3 ticks.
const TICKS: u8 = 6;

#[rstest]
#[case::one(RevocationModel::new(1, TICKS), 124_880)]
#[case::slow_clock(RevocationModel::new(1, TICKS).max_missed_ticks(1), 205_788)]
#[case::two(RevocationModel::new(2, 4).single_reads(), 1_155_664)]
fn revocation_model_holds(#[case] model: RevocationModel, #[case] states: usize) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert_eq!(report.states, states);
}

#[rstest]
#[case::no_check(RevocationFault::NoCheck, 9)]
#[case::reads(RevocationFault::CheckedAtReads, 9)]
#[case::answer(RevocationFault::CountedFromAnswer, 9)]
#[case::suspension(RevocationFault::SuspensionNotCounted, 11)]
#[case::restart(RevocationFault::ConfirmedByStart, 10)]
#[case::older(RevocationFault::OlderAnswerTaken, 7)]
#[case::acknowledged(RevocationFault::AcknowledgedEarly, 8)]
#[case::unread(RevocationFault::ServedWithoutConfiguration, 6)]
fn omitted_rule_found(#[case] fault: RevocationFault, #[case] steps: usize) {
    let report = explore(&RevocationModel::new(1, TICKS).with_fault(fault));
    println!("{fault:?}: {report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}

/// The margin covers a clock that misses one tick within the bound; the check finds a violation
/// when a clock misses more.
#[test]
fn slower_clock_found() {
    let report = explore(&RevocationModel::new(1, TICKS).max_missed_ticks(2));
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), 9, "{trace}");
}
