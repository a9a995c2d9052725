//! Exhaustive check of evictions: an evicted entry has no effect when it continues after a pause.

use cyclamentrail_spec::{EvictionModel, Fault, explore};
use rstest::rstest;

/// Largest number of records in the log: enough for a drain, an eviction, a boot and a move.
const MAX_LOG: usize = 8;
/// Largest number of records in the log of the short model, which suffices when the eviction comes
/// before the other records.
const SHORT_MAX_LOG: usize = 7;
/// Largest number of ticks; the fence of an eviction is that long.
const MAX_TICKS: u8 = 2;

fn model() -> EvictionModel {
    EvictionModel::new(MAX_LOG, MAX_TICKS)
}

fn short_model() -> EvictionModel {
    EvictionModel::new(SHORT_MAX_LOG, MAX_TICKS)
}

#[rstest]
#[case::late_list(model())]
#[case::slow_clock(model().max_missed_ticks(1).no_list_lag())]
fn eviction_model_holds(#[case] model: EvictionModel) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[rstest]
#[case::boot_rule(Fault::NoBootFence, 8)]
#[case::witnesses(Fault::NoWitnessPromise, 14)]
#[case::permission(Fault::NoPermitCheck, 13)]
fn omitted_rule_found(#[case] fault: Fault, #[case] steps: usize) {
    let report = explore(&short_model().with_fault(fault));
    println!("{fault:?}: {report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}

/// The protocol assumes bounds on the delay of the platform's list and on the drift of clocks; the
/// check finds a violation when one of them is exceeded, or when both are used up together.
#[rstest]
#[case::later_list(short_model().unbounded_list_lag(), 14)]
#[case::slower_clock(short_model().max_missed_ticks(2).no_list_lag(), 13)]
#[case::slow_clock_late_list(short_model().max_missed_ticks(1), 14)]
fn broken_timing_found(#[case] model: EvictionModel, #[case] steps: usize) {
    let report = explore(&model);
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}
