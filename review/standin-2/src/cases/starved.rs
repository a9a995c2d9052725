//! One worker crashes under the tasks of many jobs. The jobs then run one after the other, although
//! the other workers are nearly empty.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use super::workers;
use crate::clock::unix_ms;
use crate::json::Json;
use crate::site::{finite_job, job, RunEvent, Site};

const WORKERS: usize = 8;
const WORKER_CPU_MILLI: u64 = 16_000;
const JOBS: u64 = 24;
const JOB_CPU_MILLI: u64 = 500;
const JOB_MS: u64 = 1_500;
/// `finish_s` of the bounds.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running.
const MAX_IDLE: Duration = Duration::from_secs(3);
const SERVICE_ID: &str = "00000000000000aa";

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let site = Site::start(folder, &workers(WORKERS, WORKER_CPU_MILLI), 3);
    site.submit(SERVICE_ID, &lasting_job());
    let begun = |runs: &[RunEvent]| workers_of(runs, SERVICE_ID).len() == WORKERS - 1;
    site.wait_for(
        "a task that lasts on each worker but one",
        Duration::from_secs(10),
        begun,
    );
    std::thread::sleep(Duration::from_secs(2));

    let ids: Vec<String> = (1..=JOBS).map(|number| format!("{number:016x}")).collect();
    std::thread::scope(|scope| {
        for id in &ids {
            let site = &site;
            scope.spawn(move || site.submit(id, &finite_job(1, JOB_CPU_MILLI, JOB_MS)));
        }
    });
    let traffic_end_ms = unix_ms();
    let have_begun = |runs: &[RunEvent]| ids.iter().all(|id| !workers_of(runs, id).is_empty());
    site.wait_for("a start of each job", Duration::from_secs(5), have_begun);
    let runs = site.runs();
    let crowded = workers_of(&runs, &ids[0]);
    let crowded = crowded.first().expect("the job has begun").clone();
    if has_trouble {
        std::thread::sleep(Duration::from_millis(100));
        site.kill_worker(&crowded);
        std::thread::sleep(Duration::from_secs(2));
        site.start_worker(&crowded);
        site.note(&format!("worker {crowded} is back"));
    }
    let finish_ms = traffic_end_ms + FINISH.as_millis() as u64;
    let check_ms = finish_ms + MAX_IDLE.as_millis() as u64;
    while unix_ms() < check_ms {
        std::thread::sleep(Duration::from_millis(20));
    }
    let runs = site.runs();
    let idle = ids
        .iter()
        .filter(|id| !has_run_between(&runs, id, finish_ms, check_ms));
    let idle: Vec<&String> = idle.collect();
    for id in &idle {
        site.state(id);
    }
    let unfinished: Vec<&&String> = idle
        .iter()
        .filter(|id| !ended_by(&runs, id, check_ms))
        .collect();
    let busiest = busiest_milli(&runs, finish_ms, check_ms);
    site.finish(
        !unfinished.is_empty() && busiest * 2 < WORKER_CPU_MILLI * WORKERS as u64,
        &format!(
            "{} of {JOBS} jobs had nothing running from 14 s to 17 s after the last submission; \
             at most {busiest} of {} thousandths of a core were in use meanwhile",
            unfinished.len(),
            WORKER_CPU_MILLI * WORKERS as u64
        ),
    )
}

/// Returns a job with a task that lasts for each worker but one.
fn lasting_job() -> Json {
    job(
        "lasts",
        [
            ("Count", Json::from(WORKERS as u64 - 1)),
            ("Cpu", Json::from(1_000)),
            ("MemMb", Json::from(256)),
            ("LongRunning", Json::from(true)),
            ("AntiAffinity", Json::from(1)),
            ("MayMiss", Json::from(1)),
        ],
    )
}

fn workers_of(runs: &[RunEvent], id: &str) -> BTreeSet<String> {
    let starts = runs
        .iter()
        .filter(|run| run.event == "run_start" && run.task.starts_with(id));
    starts.map(|run| run.worker.clone()).collect()
}

/// Returns whether a run of a job was at work at any time between two moments.
fn has_run_between(runs: &[RunEvent], id: &str, from_ms: u64, to_ms: u64) -> bool {
    let mut begun: Option<(u64, String)> = None;
    for run in runs {
        let is_own = run.task.starts_with(id);
        if run.event == "run_start" && is_own {
            begun = Some((run.unix_ms, run.worker.clone()));
            if (from_ms..to_ms).contains(&run.unix_ms) {
                return true;
            }
        }
        // A worker that starts anew runs nothing of before.
        let is_over = (run.event == "run_end" && is_own) || run.event == "worker_up";
        if let Some((_, worker)) = &begun {
            if is_over && *worker == run.worker {
                if (from_ms..to_ms).contains(&run.unix_ms) {
                    return true;
                }
                begun = None;
            }
        }
    }
    begun.is_some_and(|(since_ms, _)| since_ms < to_ms)
}

fn ended_by(runs: &[RunEvent], id: &str, by_ms: u64) -> bool {
    runs.iter().any(|run| {
        run.event == "run_end"
            && run.how == "done"
            && run.task.starts_with(id)
            && run.unix_ms < by_ms
    })
}

/// Returns the largest part of the service's capacity that was in use between two moments.
fn busiest_milli(runs: &[RunEvent], from_ms: u64, to_ms: u64) -> u64 {
    let cpu = |task: &str| {
        if task.starts_with(SERVICE_ID) {
            1_000
        } else {
            JOB_CPU_MILLI
        }
    };
    let mut running: Vec<(String, String)> = Vec::new();
    let mut busiest = 0;
    let used = |running: &[(String, String)]| running.iter().map(|(_, task)| cpu(task)).sum();
    for run in runs.iter().filter(|run| run.unix_ms < to_ms) {
        if run.unix_ms >= from_ms {
            busiest = busiest.max(used(&running));
        }
        match run.event.as_str() {
            "run_start" => running.push((run.worker.clone(), run.task.clone())),
            "run_end" => {
                running.retain(|(worker, task)| (worker, task) != (&run.worker, &run.task))
            }
            "worker_up" => running.retain(|(worker, _)| *worker != run.worker),
            _ => {}
        }
    }
    busiest.max(used(&running))
}
