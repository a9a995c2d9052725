//! Prints the outcomes of jobs with declared, mean, learned and true durations.

use cyclamentrail_bench::run_times::{Durations, RunTimesReport, TaskTrace, run_trace};
use cyclamentrail_jobs::RunTimeUses;

/// Seeds of the traces.
const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// Length of a trace in milliseconds.
const LENGTH_MS: u64 = 240_000;
/// Changes of the traces.
const CHANGES: [(&str, Change); 3] = [
    ("unchanged", |trace| trace),
    ("durations times 3 from the middle on", |trace| {
        trace.shifted(LENGTH_MS / 2, 3)
    }),
    (
        "tasks take twice as long on one of the workers",
        TaskTrace::slow_worker,
    ),
];

/// A change of a trace.
type Change = fn(TaskTrace) -> TaskTrace;

fn main() {
    let none = RunTimeUses::NONE;
    let variants = [
        ("declared", Durations::Declared),
        ("mean", Durations::Mean),
        ("oracle", Durations::Oracle),
        (
            "admission",
            Durations::Learned(RunTimeUses {
                admission: true,
                ..none
            }),
        ),
        (
            "order",
            Durations::Learned(RunTimeUses {
                order: true,
                ..none
            }),
        ),
        (
            "admission,order",
            Durations::Learned(RunTimeUses {
                admission: true,
                order: true,
                ..none
            }),
        ),
        (
            "placement",
            Durations::Learned(RunTimeUses {
                placement: true,
                ..none
            }),
        ),
        (
            "retry_after",
            Durations::Learned(RunTimeUses {
                retry_after: true,
                ..none
            }),
        ),
        ("all", Durations::Learned(RunTimeUses::ALL)),
    ];
    for (title, change) in CHANGES {
        println!("{title}");
        for (name, durations) in variants {
            let total = SEEDS
                .iter()
                .map(|&seed| run_trace(&change(TaskTrace::draw(seed, LENGTH_MS)), durations))
                .fold(RunTimesReport::default(), |sum, report| sum.plus(&report));
            println!(
                "{name:16} on time {:.3} late {:.3} {total:?}",
                total.on_time_share(),
                total.late_share()
            );
        }
    }
}
