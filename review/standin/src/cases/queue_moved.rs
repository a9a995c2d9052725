//! The operator gives a queue with accepted jobs another service.

use std::path::Path;

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, route};

use super::{job, pause_ms, ready, run_twice};

/// `ConfigApplyMs` and `visible_ms` of the settings.
const CONFIG_APPLY_MS: u64 = 2_000;
const VISIBLE_MS: u64 = 3_000;

/// The operator gives a queue with accepted jobs another service.
pub(super) fn play(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    let services = ["svc-a", "svc-b"];
    let site = Site::start(folder, record, &[("svc-a", 4), ("svc-b", 4)], 3);
    let other = route("r-other", "/other/", "svc-b");
    site.configure(
        3,
        &[route("r-plan", "/plan/", "svc-a"), other.clone()],
        &services,
        3_000,
    );
    if let Err(verdict) = ready(&site, &["/plan/", "/other/"]) {
        return verdict;
    }
    let paths: Vec<String> = (1..=4)
        .map(|index| format!("/plan/a00000000000000{index}"))
        .collect();
    let body = job(&[2, 2], 1_000, 500, 8_000);
    for path in &paths {
        if !site.submit(path, &body) {
            return Verdict::CouldNotRun(format!("{path} isn't accepted"));
        }
    }
    if !site.wait(10_000, || {
        site.seen()
            .iter()
            .filter(|run| run.ended_ms.is_none())
            .count()
            >= 8
    }) {
        return Verdict::CouldNotRun("the jobs don't start".to_owned());
    }
    let service = if has_trouble { "svc-b" } else { "svc-a" };
    site.configure(
        9,
        &[route("r-plan", "/plan/", service), other],
        &services,
        2_900,
    );
    pause_ms(CONFIG_APPLY_MS + VISIBLE_MS);
    let mut unknown = Vec::new();
    for (index, path) in paths.iter().enumerate() {
        for process in 0..site.processes.len() {
            if site.state(process, path) == "410" {
                unknown.push(format!("{path} at {}", site.processes[process].name));
            }
        }
        // A client's request that arrives once more, seconds after the 2xx response.
        if index == 0 {
            site.call(0, "POST", path, &body);
        }
    }
    // The jobs take 16 s; `finish_s` is 14.
    pause_ms(30_000);
    let unfinished: Vec<String> = paths
        .iter()
        .map(|path| (path, site.state(1, path)))
        .filter(|(_, state)| state != "completed")
        .map(|(path, state)| format!("{path} {state}"))
        .collect();
    let twice = run_twice(&site.seen());
    for line in unknown.iter().chain(&unfinished).chain(&twice) {
        site.record.write(&format!("found: {line}"));
    }
    if unknown.is_empty() && twice.is_empty() && unfinished.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "LOST: {} GETs for accepted jobs were answered 410; TWICE: {} pairs of runs of one task; \
         not completed in the end: {unfinished:?}",
        unknown.len(),
        twice.len()
    ))
}
