//! Checks the counted figures of learned run times against their regression bounds.

use cyclamentrail_bench::run_times::{Durations, RunTimesReport, TaskTrace, run_trace};
use cyclamentrail_bench::{Bounds, Figure};
use cyclamentrail_jobs::RunTimeUses;

const SEED: u64 = 1;
/// Length of the trace in seconds: three bursts.
const LENGTH_S: u32 = 120;

fn run(durations: Durations) -> RunTimesReport {
    let trace = TaskTrace::draw(SEED, u64::from(LENGTH_S) * 1_000);
    let report = run_trace(&trace, durations);
    println!("{durations:?}: {report:?}");
    report
}

#[test]
fn uses_within_bounds() {
    let none = RunTimeUses::NONE;
    let mean = run(Durations::Mean);
    let admission = run(Durations::Learned(RunTimeUses {
        admission: true,
        ..none
    }));
    let order = run(Durations::Learned(RunTimeUses {
        order: true,
        ..none
    }));
    let placement = run(Durations::Learned(RunTimeUses {
        placement: true,
        ..none
    }));
    let ratio =
        |report: &RunTimesReport| f64::from(report.on_time) / f64::from(mean.on_time.max(1));
    let kept = f64::from(admission.kept) / f64::from(admission.promised.max(1));
    let bytes_per_s = f64::from(admission.stored_bytes) / f64::from(LENGTH_S);
    let violations = Bounds::load()
        .expect("bounds.json is well-formed")
        .violations(&[
            Figure::new("run_times.promised_kept", kept),
            Figure::new("run_times.admission.late_share", admission.late_share()),
            Figure::new("run_times.order.on_time_ratio", ratio(&order)),
            Figure::new("run_times.placement.on_time_ratio", ratio(&placement)),
            Figure::new("run_times.stored_bytes_per_s", bytes_per_s),
        ]);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Without any use, the decisions are those by one mean per route.
#[test]
fn no_use_changes_nothing() {
    assert_eq!(
        run(Durations::Learned(RunTimeUses::NONE)),
        run(Durations::Mean)
    );
}
