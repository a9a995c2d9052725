//! The cases. Each one starts a site, brings its disruption about unless `TROUBLE=0`, and compares what
//! clients and workers saw with the rule.

use std::path::Path;
use std::process::exit;

use crate::site::WorkerPlan;

mod given_up;
mod overdue;
mod stale_stop;
mod starts_withheld;
mod starved;

/// Runs a case and exits with its result.
pub fn run(name: &str, folder: &Path) -> ! {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match name {
        "given-up" => given_up::run(folder, has_trouble),
        "overdue" => overdue::run(folder, has_trouble),
        "stale-stop" => stale_stop::run(folder, has_trouble),
        "starts-withheld" => starts_withheld::run(folder, has_trouble),
        "starved" => starved::run(folder, has_trouble),
        _ => {
            eprintln!("unknown case {name}");
            exit(2)
        }
    }
}

/// Returns the plans of equal workers.
fn workers(count: usize, cpu_milli: u64) -> Vec<WorkerPlan> {
    let plan = |index| WorkerPlan {
        name: format!("w{index}"),
        kind: "a",
        cpu_milli,
    };
    (1..=count).map(plan).collect()
}
