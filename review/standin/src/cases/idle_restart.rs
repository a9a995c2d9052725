//! Four idle workers crash and start again; a job that comes then is given up though nothing of it has run.

use std::path::Path;

use serde_json::json;

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, route};

use super::{RESTART, job, pause_ms, ready};

/// Four idle workers crash and start again; a job that comes then is given up though nothing of it has run.
pub(super) fn play(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    const WORKERS: usize = 28;
    const IDLE: usize = 4;
    let site = Site::start(folder, record, &[("svc-a", WORKERS)], 3);
    site.configure(3, &[route("r-plan", "/plan/", "svc-a")], &["svc-a"], 3_000);
    if let Err(verdict) = ready(&site, &["/plan/"]) {
        return verdict;
    }
    // A lasting job keeps the other workers busy.
    let busy = json!({"Spec": "lasts", "Steps": [{
        "Count": WORKERS - IDLE, "Cpu": 16_000, "MemMb": 2_000, "EstimateMs": 900,
        "LongRunning": true, "AntiAffinity": 1,
    }]});
    if !site.submit("/plan/8000000000000001", &busy.to_string()) {
        return Verdict::CouldNotRun("the first job isn't accepted".to_owned());
    }
    let idle = || {
        site.machines
            .iter()
            .filter(|machine| machine.running().is_empty())
            .collect::<Vec<_>>()
    };
    if !site.wait(10_000, || idle().len() == IDLE) {
        return Verdict::CouldNotRun("the other workers aren't busy".to_owned());
    }
    pause_ms(6_000);
    if has_trouble {
        for machine in idle() {
            machine.crash(RESTART);
        }
        pause_ms(1_900);
    }
    let paths: Vec<String> = (1..=3)
        .map(|index| format!("/plan/700000000000000{index}"))
        .collect();
    for path in &paths {
        if !site.submit(path, &job(&[3, 3], 1_800, 2_000, 1_000)) {
            return Verdict::CouldNotRun(format!("{path} isn't accepted"));
        }
        pause_ms(300);
    }
    pause_ms(20_000);
    let failed_ends = site.seen().iter().filter(|run| run.how == "failed").count();
    let unfinished: Vec<String> = paths
        .iter()
        .map(|path| (path, site.state(0, path)))
        .filter(|(_, state)| state != "completed")
        .map(|(path, state)| {
            let id = &path["/plan/".len()..];
            let begun = site
                .seen()
                .iter()
                .filter(|run| run.task.starts_with(id))
                .count();
            format!("{path} {state}, {begun} runs begun")
        })
        .collect();
    if unfinished.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "LOST: with {failed_ends} ends failed in all: {unfinished:?}"
    ))
}
