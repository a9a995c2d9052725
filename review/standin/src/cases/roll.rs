//! The processes are stopped and started in turn while a worker leaves.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, route};

use super::{pause_ms, ready};

/// Time from one SIGTERM to the next.
const GAP_MS: u64 = 3_500;
const PROCESSES: usize = 4;
/// From 6 s after its last run, a lasting task may not be without one for 3 s while there is room for it.
const LATEST_MS: u64 = 6_000 + 3_000;

/// The processes are stopped and started in turn while a worker leaves; its lasting task isn't started
/// again.
pub(super) fn play(folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(folder, record, &[("svc-a", 9)], PROCESSES);
    site.configure(3, &[route("r-plan", "/plan/", "svc-a")], &["svc-a"], 3_000);
    if let Err(verdict) = ready(&site, &["/plan/"]) {
        return verdict;
    }
    let task = "a500000000000001.0.0.0";
    let lasting = json!({"Spec": "lasts", "Steps": [{
        "Count": 5, "Cpu": 1_300, "MemMb": 11_000, "EstimateMs": 700, "LongRunning": true,
        "AntiAffinity": 1, "MayMiss": 1,
    }]});
    if !site.submit("/plan/a500000000000001", &lasting.to_string()) {
        return Verdict::CouldNotRun("the lasting job isn't accepted".to_owned());
    }
    let machine_of = |site: &Site| {
        let machines = site.machines.iter();
        machines
            .into_iter()
            .find(|machine| machine.running().contains(&task.to_owned()))
            .cloned()
    };
    if !site.wait(10_000, || {
        site.seen()
            .iter()
            .filter(|run| run.task.starts_with("a5"))
            .count()
            == 5
    }) {
        return Verdict::CouldNotRun("the lasting tasks don't start".to_owned());
    }
    pause_ms(12_000);
    let Some(machine) = machine_of(&site) else {
        return Verdict::CouldNotRun("the lasting task doesn't run".to_owned());
    };
    // The worker reports that it drains, and leaves 4 s later (`DrainMs` is 2,000).
    machine.leave(Duration::from_millis(4_000));
    let ended_ms = site.record.now_ms();
    let mut stopped = Vec::new();
    while stopped.len() < PROCESSES {
        pause_ms(GAP_MS - 1_500);
        if !has_trouble {
            stopped.push(usize::MAX);
        } else if let Some(owner) = site.owner("svc-a") {
            // First the one that acts, each once.
            let not_yet = (0..PROCESSES).find(|index| !stopped.contains(index));
            let next = if stopped.contains(&owner) {
                not_yet.unwrap_or(owner)
            } else {
                owner
            };
            site.terminate(next);
            stopped.push(next);
        }
        pause_ms(1_500);
        site.start_ended();
    }
    site.wait(12_000, || {
        pause_ms(500);
        machine_of(&site).is_some()
    });
    let again = site
        .seen()
        .into_iter()
        .filter(|run| run.task == task)
        .find(|run| run.began_ms > ended_ms);
    let took_ms = again.map(|run| run.began_ms - ended_ms);
    match took_ms {
        Some(took_ms) if took_ms <= LATEST_MS => Verdict::Held,
        _ => Verdict::Broken(format!(
            "LOST: the lasting task {task} wasn't started for {took_ms:?} ms after its worker had left, with eight \
             workers nearly empty; at most {LATEST_MS} ms are allowed"
        )),
    }
}
