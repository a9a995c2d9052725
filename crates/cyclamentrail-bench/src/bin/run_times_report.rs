//! Prints what becomes of jobs with declared, mean, learned and true durations.

use cyclamentrail_bench::run_times::{Durations, RunTimesReport, TaskTrace, run_trace};
use cyclamentrail_jobs::RunTimeUses;

/// Seeds of the traces.
const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// Time from which all durations are three times as long in the shifted traces, in milliseconds.
const SHIFT_MS: u64 = 120_000;

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
    for factor in [1, 3] {
        println!("durations times {factor} from the middle on");
        for (name, durations) in variants {
            let total = SEEDS
                .iter()
                .map(|&seed| run_trace(&TaskTrace::draw(seed).shifted(SHIFT_MS, factor), durations))
                .fold(RunTimesReport::default(), |sum, report| sum.plus(&report));
            println!(
                "{name:16} on time {:.3} late {:.3} {total:?}",
                total.on_time_share(),
                total.late_share()
            );
        }
    }
}
