//! Workers crash, one at a time, and start again; a lasting job is given up though no task of it fails.

use std::path::Path;

use serde_json::json;

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, route};

use super::{RESTART, pause_ms, ready};

/// How often a worker crashes at most; one of nine at a time.
const CRASHES: u32 = 6;

/// Workers crash, one at a time, and start again; a lasting job is given up though no task of it fails.
pub(super) fn play(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    const JOB: &str = "9000000000000001";
    let site = Site::start(folder, record, &[("svc-a", 9)], 3);
    site.configure(3, &[route("r-plan", "/plan/", "svc-a")], &["svc-a"], 3_000);
    if let Err(verdict) = ready(&site, &["/plan/"]) {
        return verdict;
    }
    let path = format!("/plan/{JOB}");
    let lasting = json!({"Spec": "lasts", "Steps": [{
        "Count": 5, "Cpu": 1_300, "MemMb": 11_000, "EstimateMs": 700, "LongRunning": true,
        "AntiAffinity": 1, "MayMiss": 1,
    }]});
    if !site.submit(&path, &lasting.to_string()) {
        return Verdict::CouldNotRun("the lasting job isn't accepted".to_owned());
    }
    let runs_of_job = || {
        site.seen()
            .into_iter()
            .filter(|run| run.task.starts_with(JOB))
            .collect::<Vec<_>>()
    };
    let all_run = || {
        runs_of_job()
            .iter()
            .filter(|run| run.ended_ms.is_none())
            .count()
            == 5
    };
    if !site.wait(10_000, all_run) {
        return Verdict::CouldNotRun("the lasting tasks don't start".to_owned());
    }
    pause_ms(2_000);
    for _ in 0..CRASHES {
        if has_trouble {
            let first = format!("{JOB}.0.0.0");
            let machines = site.machines.iter();
            let Some(machine) = machines
                .into_iter()
                .find(|machine| machine.running().contains(&first))
            else {
                continue;
            };
            machine.crash(RESTART);
        }
        // The next crash comes when all tasks have been at work for some time.
        site.wait(6_000, all_run);
        pause_ms(2_000);
    }
    pause_ms(3_000);
    let runs = runs_of_job();
    let state = site.state(0, &path);
    let stopped = runs.iter().filter(|run| run.how == "stopped").count();
    let failed = runs.iter().filter(|run| run.how == "failed").count();
    if state == "running" && stopped == 0 {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "AVAIL: {stopped} tasks at work on sound workers were stopped at once, where MayMiss is 1; LOST: the \
         job is shown as {state}, though {failed} of its runs ended failed"
    ))
}
