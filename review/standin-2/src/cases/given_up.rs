//! Two workers crash one after the other, each while it runs the same task. The job is shown as failed,
//! although none of its runs has ended `failed`.

use std::path::Path;
use std::time::{Duration, Instant};

use super::workers;
use crate::site::{finite_job, RunEvent, Site};

const ID: &str = "00000000000000b1";
const TASK_MS: u64 = 3_000;
const DOWN: Duration = Duration::from_millis(1_500);
const CRASHES: usize = 2;

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let site = Site::start(folder, &workers(9, 16_000), 3);
    site.submit(ID, &finite_job(1, 1_000, TASK_MS));
    for crash in 0..CRASHES {
        let has_begun = |runs: &[RunEvent]| starts(runs).len() > crash;
        site.wait_for(
            "the next start of the task",
            Duration::from_secs(20),
            has_begun,
        );
        if !has_trouble {
            break;
        }
        let worker = starts(&site.runs())[crash].clone();
        std::thread::sleep(Duration::from_millis(150));
        site.kill_worker(&worker);
        std::thread::sleep(DOWN);
        site.start_worker(&worker);
        site.note(&format!("worker {worker} is back"));
    }
    let until = Instant::now() + Duration::from_secs(30);
    let mut shown = None;
    while Instant::now() < until {
        shown = site.state(ID);
        if matches!(shown.as_deref(), Some("completed" | "failed" | "cancelled")) {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let runs = site.runs();
    let failed = runs
        .iter()
        .filter(|run| run.task.starts_with(ID) && run.how == "failed")
        .count();
    let shown = shown.unwrap_or_default();
    site.finish(
        shown == "failed" && failed == 0,
        &format!(
            "the job is shown as {shown:?}; of its {} runs, {failed} have ended `failed`, \
             MaxAttempts is 4",
            starts(&runs).len()
        ),
    )
}

/// Returns the workers of the task's starts, in their order.
fn starts(runs: &[RunEvent]) -> Vec<String> {
    let starts = runs
        .iter()
        .filter(|run| run.event == "run_start" && run.task.starts_with(ID));
    starts.map(|run| run.worker.clone()).collect()
}
