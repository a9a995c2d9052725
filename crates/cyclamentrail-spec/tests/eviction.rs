//! An evicted entry has no effect when it wakes up.

use cyclamentrail_spec::{EvictionModel, Fault, explore};
use rstest::rstest;

/// Records that the log takes: enough to drain, evict, boot and move the instance.
const MAX_LOG: usize = 8;
/// Records that suffice when the eviction comes first.
const FAULT_LOG: usize = 7;
/// Ticks: the fence of an eviction.
const MAX_TICKS: u8 = 2;

fn model() -> EvictionModel {
    EvictionModel::new(MAX_LOG, MAX_TICKS)
}

fn short_model() -> EvictionModel {
    EvictionModel::new(FAULT_LOG, MAX_TICKS)
}

#[rstest]
#[case::late_list(model())]
#[case::slow_clock(model().max_missed_ticks(1).no_list_lag())]
fn holds(#[case] model: EvictionModel) {
    let report = explore(&model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
}

#[rstest]
#[case::boot_rule(Fault::NoBootFence, 8)]
#[case::witnesses(Fault::NoWitnessPromise, 14)]
#[case::permission(Fault::NoPermitCheck, 13)]
fn finds(#[case] fault: Fault, #[case] steps: usize) {
    let report = explore(&short_model().with_fault(fault));
    println!("{fault:?}: {report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}

/// What happens when an assumption about time is broken.
#[rstest]
#[case::later_list(short_model().unbounded_list_lag(), 14)]
#[case::slower_clock(short_model().max_missed_ticks(2).no_list_lag(), 13)]
#[case::slow_clock_late_list(short_model().max_missed_ticks(1), 14)]
fn needs(#[case] model: EvictionModel, #[case] steps: usize) {
    let report = explore(&model);
    println!("{report}");
    let trace = report.violation.expect("a violation");
    assert_eq!(trace.steps.len(), steps, "{trace}");
}
