//! The store's topic of registrations is down while a worker is cut off. Afterwards the owner never
//! sends this worker a start again.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::site::{finite_job, job, RunEvent, Site, WorkerPlan};

/// Kind of the two workers of the case.
const KIND: &str = "b";
const LOAD_ID: &str = "00000000000000c1";
const QUEUED_ID: &str = "00000000000000c2";
const LATER_ID: &str = "00000000000000c3";
const CUT_MS: u64 = 5_500;
const OUTAGE_MS: u64 = 4_500;
/// Time from the cut to the begin of the outage.
const OUTAGE_AFTER: Duration = Duration::from_millis(300);
/// Time from the begin of the outage after which starts wait for newer registrations.
const HELD_AFTER: Duration = Duration::from_millis(1_450);
/// Time after the start of the site in which shards may still move between processes.
const SETTLE: Duration = Duration::from_secs(16);
const FINISH: Duration = Duration::from_secs(14);
const MAX_IDLE: Duration = Duration::from_secs(3);

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let site = Site::start(folder, &plans(), 3);
    std::thread::sleep(SETTLE.saturating_sub(site.started.elapsed()));
    // The load makes its worker the first choice for the next tasks.
    site.submit(LOAD_ID, &kind_job("work=60000", 1, 2_000, 0));
    let begun = |runs: &[RunEvent]| !starts(runs, LOAD_ID).is_empty();
    site.wait_for("the start of the load", Duration::from_secs(10), begun);
    let cut_worker = starts(&site.runs(), LOAD_ID)[0].clone();
    std::thread::sleep(Duration::from_secs(3));

    if has_trouble {
        site.worker_control(&cut_worker, &format!("/cut-at-poll?ms={CUT_MS}"));
        let until = Instant::now() + Duration::from_secs(5);
        while site.worker_control(&cut_worker, "/cut") != "true" && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        site.note(&format!(
            "disruption: worker {cut_worker} is cut off for {CUT_MS} ms"
        ));
        std::thread::sleep(OUTAGE_AFTER);
        site.begin_outage("keyed.servers", OUTAGE_MS);
    }
    let began = Instant::now();
    std::thread::sleep(HELD_AFTER);
    site.submit(QUEUED_ID, &kind_job("work=1000", 6, 2_000, 0));
    let end = Duration::from_millis(CUT_MS.max(OUTAGE_MS)) + Duration::from_secs(5);
    std::thread::sleep(end.saturating_sub(began.elapsed()));
    site.state(QUEUED_ID);

    // Both workers are needed: at most one task of the step may be on each.
    site.submit(LATER_ID, &kind_job("work=1000", 2, 2_000, 1));
    std::thread::sleep(FINISH + MAX_IDLE);
    let shown = site.state(LATER_ID).unwrap_or_default();
    let later = starts(&site.runs(), LATER_ID);
    site.submit("00000000000000c4", &finite_job(1, 500, 100));
    site.finish(
        later.len() < 2 && shown != "completed",
        &format!(
            "17 s after its submission, the job is shown as {shown:?} and {} of its 2 tasks have \
             started; {cut_worker} is up, empty and reachable",
            later.len()
        ),
    )
}

fn plans() -> Vec<WorkerPlan> {
    let plan = |index| WorkerPlan {
        name: format!("w{index}"),
        kind: if index <= 2 { KIND } else { "a" },
        cpu_milli: 16_000,
    };
    (1..=6).map(plan).collect()
}

/// Returns a job for workers of the kind; `per_worker` limits its tasks on one worker unless it is 0.
fn kind_job(text: &str, count: u64, cpu_milli: u64, per_worker: u64) -> Json {
    job(
        text,
        [
            ("Count", Json::from(count)),
            ("Cpu", Json::from(cpu_milli)),
            ("MemMb", Json::from(256)),
            ("EstimateMs", Json::from(1_000)),
            ("Requires", Json::from(KIND)),
            ("AntiAffinity", Json::from(per_worker)),
        ],
    )
}

/// Returns the workers of a job's starts, in their order.
fn starts(runs: &[RunEvent], id: &str) -> Vec<String> {
    let starts = runs
        .iter()
        .filter(|run| run.event == "run_start" && run.task.starts_with(id));
    starts.map(|run| run.worker.clone()).collect()
}
