//! A stop is decided just before another task of the step is known to be away, and carried out seconds
//! later, when the store takes the record of it.

use std::path::Path;
use std::time::{Duration, Instant};

use super::workers;
use crate::json::{object, Json};
use crate::site::{job, RunEvent, Site, SERVICE};
use crate::worker::STARTUP_MS;

const ID: &str = "00000000000000e1";
const TASKS: u64 = 3;
const MAY_MISS: usize = 1;
/// `NoticeMs` of the bounds.
const NOTICE_MS: u64 = 4_500;
const DARK_MS: u64 = 6_500;
const OUTAGE_MS: u64 = 4_500;
/// Time from the crash to the begin of the outage.
const OUTAGE_AFTER: Duration = Duration::from_millis(300);
/// Time after the start of the site in which shards may still move between processes.
const SETTLE: Duration = Duration::from_secs(16);

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let site = Site::start(folder, &workers(8, 16_000), 3);
    std::thread::sleep(SETTLE.saturating_sub(site.started.elapsed()));
    site.submit(ID, &lasting_job());
    let all_begun = |runs: &[RunEvent]| starts(runs).len() == TASKS as usize;
    site.wait_for(
        "the starts of the tasks",
        Duration::from_secs(10),
        all_begun,
    );
    std::thread::sleep(Duration::from_secs(3));
    let placed = starts(&site.runs());
    let (emptied, crashed) = (placed[0].clone(), placed[1].clone());
    if has_trouble {
        let path = format!("/cut-at-poll?ms={DARK_MS}&dark=1");
        site.worker_control(&crashed.worker, &path);
        let is_dark = |runs: &[RunEvent]| runs.iter().any(|run| run.event == "worker_dark");
        site.wait_for("the crash", Duration::from_secs(5), is_dark);
        site.note(&format!(
            "disruption: worker {} crashes and falls silent for {DARK_MS} ms",
            crashed.worker
        ));
        std::thread::sleep(OUTAGE_AFTER);
        site.begin_outage(&format!("keyed.jobs.{SERVICE}"), OUTAGE_MS);
    }
    let wave = object([
        ("Wave", Json::from(1)),
        (
            "Machines",
            Json::List(vec![Json::from(format!("m-{}", emptied.worker).as_str())]),
        ),
        ("DurationS", Json::from(25)),
        ("Cap", Json::from(1)),
    ]);
    site.write_operator("wave/1", &wave);
    site.note(&format!(
        "operator: wave 1 for the machine of worker {}",
        emptied.worker
    ));
    let until = Instant::now() + Duration::from_secs(15);
    let stop = loop {
        let runs = site.runs();
        if let Some(stop) = runs.iter().find(|run| ended(run, &emptied, "stopped")) {
            break Some(stop.clone());
        }
        if Instant::now() > until {
            break None;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    std::thread::sleep(Duration::from_millis(500));
    let Some(stop) = stop else {
        site.finish(false, "no task was stopped");
    };
    let runs = site.runs();
    let away: Vec<u64> = placed[1..]
        .iter()
        .map(|start| away_ms(&runs, start, stop.unix_ms))
        .filter(|away_ms| *away_ms >= NOTICE_MS)
        .collect();
    site.finish(
        away.len() >= MAY_MISS,
        &format!(
            "task {} was stopped on worker {} while others of its step had been away for {away:?} ms; \
             NoticeMs is {NOTICE_MS}, MayMiss is {MAY_MISS}",
            stop.task, stop.worker
        ),
    )
}

/// Returns a job with tasks that last, each on a worker of its own.
fn lasting_job() -> Json {
    job(
        "lasts",
        [
            ("Count", Json::from(TASKS)),
            ("Cpu", Json::from(1_000)),
            ("MemMb", Json::from(256)),
            ("LongRunning", Json::from(true)),
            ("AntiAffinity", Json::from(1)),
            ("MayMiss", Json::from(MAY_MISS as u64)),
        ],
    )
}

fn starts(runs: &[RunEvent]) -> Vec<RunEvent> {
    let starts = runs
        .iter()
        .filter(|run| run.event == "run_start" && run.task.starts_with(ID));
    starts.cloned().collect()
}

fn ended(run: &RunEvent, start: &RunEvent, how: &str) -> bool {
    run.event == "run_end"
        && run.how == how
        && (&run.task, &run.worker) == (&start.task, &start.worker)
}

/// Returns for how long a task had not been at work at a moment; 0 if it was at work.
fn away_ms(runs: &[RunEvent], start: &RunEvent, at_ms: u64) -> u64 {
    let mut away_since_ms = None;
    for run in runs.iter().filter(|run| run.unix_ms <= at_ms) {
        let is_end = run.event == "run_end" && run.task == start.task;
        let is_crash = run.event == "worker_dark" && run.worker == start.worker;
        if is_end || is_crash {
            away_since_ms = away_since_ms.or(Some(run.unix_ms));
        }
        let is_restart = run.event == "run_start" && run.task == start.task;
        if is_restart && run.unix_ms + STARTUP_MS <= at_ms {
            away_since_ms = None;
        }
    }
    away_since_ms.map_or(0, |since_ms| at_ms - since_ms)
}
