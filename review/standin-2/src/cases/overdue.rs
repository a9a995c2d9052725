//! A client hands in a job that repeats and whose first times are long past. From then on the jobs that
//! were accepted before get no answer.

use std::path::Path;
use std::time::{Duration, Instant};

use super::workers;
use crate::clock::unix_ms;
use crate::json::{object, Json};
use crate::site::{finite_job, Site};

const JOBS: u64 = 12;
const JOB_MS: u64 = 2_000;
const SCHEDULED_ID: &str = "00000000000000c1";
/// Ten weeks of times, one a minute.
const REPEATS: u64 = 100_000;
/// A client's first send and its four retries (`retries` of the site file), each at the next process.
const MAX_SENDS: usize = 5;
const PROCESSES: usize = 3;
const INTERVAL_MS: u64 = 60_000;
/// `finish_s` of the bounds.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which the jobs are asked for, each by a new call every second.
const ASKED: Duration = Duration::from_secs(30);

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let site = Site::start(folder, &workers(6, 16_000), PROCESSES);
    let ids: Vec<String> = (1..=JOBS).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        site.submit(id, &finite_job(1, 500, JOB_MS));
    }
    if has_trouble {
        let job = scheduled_job();
        for _ in 0..MAX_SENDS {
            if site.submit_once(SCHEDULED_ID, &job) == Some(200) {
                break;
            }
        }
    }
    let ended = Instant::now();
    std::thread::sleep(FINISH);
    // For each job: the calls in a row without an answer, and the most of these.
    let mut in_a_row = vec![(0_usize, 0_usize); ids.len()];
    let mut calls = 0;
    while ended.elapsed() < FINISH + ASKED {
        let began = Instant::now();
        std::thread::scope(|scope| {
            let site = &site;
            let mut asked = Vec::new();
            for (index, id) in ids.iter().enumerate() {
                asked.push(scope.spawn(move || site.state_at(calls + index, id)));
            }
            for (state, (now, most)) in asked.into_iter().zip(&mut in_a_row) {
                let state = state.join().ok().flatten().unwrap_or_default();
                let is_answer = state.starts_with(|first: char| first.is_ascii_lowercase());
                *now = if is_answer { 0 } else { *now + 1 };
                *most = (*most).max(*now);
            }
        });
        calls += 1;
        std::thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
    }
    let unanswered = in_a_row
        .iter()
        .filter(|(_, most)| *most >= PROCESSES)
        .count();
    let runs = site.runs();
    let done = ids.iter().filter(|id| {
        runs.iter()
            .any(|run| run.task.starts_with(id.as_str()) && run.how == "done")
    });
    site.finish(
        unanswered > 0,
        &format!(
            "of {JOBS} accepted jobs, {unanswered} got no answer to three calls in a row, one at each \
             process, from 14 s to {} s after the last submission ({calls} calls for each job); {} of \
             the {JOBS} have ended `done` at a worker",
            (FINISH + ASKED).as_secs(),
            done.count()
        ),
    )
}

/// Returns a job that is due once a minute; the last time is a minute ahead.
fn scheduled_job() -> Json {
    let step = object([
        ("Count", Json::from(1)),
        ("Cpu", Json::from(500)),
        ("MemMb", Json::from(256)),
        ("EstimateMs", Json::from(200)),
    ]);
    let first_ms = unix_ms() + 2 * INTERVAL_MS - REPEATS * INTERVAL_MS;
    object([
        ("Spec", Json::from("work=200")),
        ("Steps", Json::List(vec![step])),
        ("Repeats", Json::from(REPEATS)),
        ("FirstMs", Json::from(first_ms)),
        ("IntervalMs", Json::from(INTERVAL_MS)),
    ])
}
