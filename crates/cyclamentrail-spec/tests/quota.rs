//! Exhaustive check of a team's quota: loans, takeovers, late starts and a lowered cap.

use cyclamentrail_spec::{QuotaFault, QuotaModel, explore};
use rstest::rstest;

const fn takeover() -> QuotaModel {
    QuotaModel::new().takeover()
}

const fn second_ledger() -> QuotaModel {
    QuotaModel::new().second_ledger()
}

/// In the case `stopped_ledger` a new owner doesn't read the ledger's token from the store: it needs
/// it only because a replaced ledger may go on replying.
#[rstest]
#[case::takeover(takeover(), 84_153)]
#[case::ledger(second_ledger(), 110_202)]
#[case::both(takeover().second_ledger(), 2_208_876)]
#[case::oversize(takeover().second_ledger().oversize_tasks(), 408_861)]
#[case::lowered(takeover().awaited_lowered_cap(), 1_843_287)]
#[case::earlier_cap(takeover().lowered_cap().earlier_cap_counts(), 1_231_652)]
#[case::stopped_ledger(
    takeover().stopped_ledger().with_fault(QuotaFault::TokenNotRead),
    2_033_208
)]
fn quota_model_holds(#[case] model: QuotaModel, #[case] states: usize) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert_eq!(report.states, states);
}

#[rstest]
#[case::grant(QuotaFault::GrantNotReserved, QuotaModel::new(), 12)]
#[case::report(QuotaFault::ReportNotReserved, QuotaModel::new(), 13)]
#[case::usage(QuotaFault::UsageNotReserved, takeover(), 14)]
#[case::first_reports(QuotaFault::LendsBeforeReports, second_ledger(), 8)]
#[case::epochs(QuotaFault::EpochsNotRead, takeover().second_ledger(), 15)]
#[case::epochs_in_time(
    QuotaFault::EpochsNotRead,
    takeover().stopped_ledger(),
    15
)]
#[case::overtaken(QuotaFault::OvertakenReportTaken, QuotaModel::new(), 15)]
#[case::replaced(QuotaFault::ReplacedOwnerTaken, takeover(), 14)]
#[case::successor(QuotaFault::SuccessorIgnored, takeover(), 3)]
#[case::lower_token(QuotaFault::LowerTokenAccepted, second_ledger(), 15)]
#[case::token(QuotaFault::TokenNotRead, takeover().second_ledger(), 15)]
#[case::late_reply(QuotaFault::LateReplyAccepted, QuotaModel::new(), 14)]
#[case::fence(QuotaFault::PlacementsNotFenced, takeover(), 8)]
#[case::stored(QuotaFault::StartedBeforeStored, takeover(), 10)]
#[case::stopping(QuotaFault::StoppingNotCounted, QuotaModel::new(), 8)]
#[case::late_start(QuotaFault::LateStartFreed, QuotaModel::new(), 8)]
#[case::oversize(QuotaFault::OversizeWithoutLoans, QuotaModel::new().oversize_tasks(), 2)]
fn omitted_rule_found(#[case] fault: QuotaFault, #[case] model: QuotaModel, #[case] steps: usize) {
    let report = explore(&model.with_fault(fault));
    println!("{fault:?}: {report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}

/// Owners that keep their allowance when a cap is lowered break the rule once all of them know the
/// lower cap: one goes on starting within its loan while another still uses what it had before.
#[test]
fn kept_allowance_exceeds_lowered_cap() {
    let report = explore(&QuotaModel::new().cap(5).lowered_cap());
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), 15, "{trace}");
}
