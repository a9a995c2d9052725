//! The cases.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::machine::Seen;
use crate::record::Record;
use crate::site::Site;

mod crashes;
mod idle_restart;
mod many_ends;
mod queue_moved;
mod roll;

/// How long a crashed worker takes to start again.
const RESTART: Duration = Duration::from_millis(1_500);

pub fn play(case: &str, folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    match case {
        "idle-restart" => idle_restart::play(folder, record, has_trouble),
        "queue-moved" => queue_moved::play(folder, record, has_trouble),
        "many-ends" => many_ends::play(folder, record, has_trouble),
        "crashes" => crashes::play(folder, record, has_trouble),
        "roll" => roll::play(folder, record, has_trouble),
        _ => Verdict::CouldNotRun(format!("there is no case {case}")),
    }
}

fn pause_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A job of steps, each with a number of tasks after all of the step before; a task works for `work_ms`.
fn job(counts: &[u32], cpu: u32, memory: u32, work_ms: u64) -> String {
    let steps: Vec<_> = counts
        .iter()
        .enumerate()
        .map(|(index, count)| {
            let mut step =
                json!({"Count": count, "Cpu": cpu, "MemMb": memory, "EstimateMs": work_ms});
            if index > 0 {
                step["After"] = json!([index - 1]);
            }
            step
        })
        .collect();
    json!({"Spec": work_ms.to_string(), "Steps": steps}).to_string()
}

/// Starts the site, and waits until a first job on each of the queues is done.
fn ready(site: &Site, prefixes: &[&str]) -> Result<(), Verdict> {
    if !site.wait_ready() {
        return Err(Verdict::CouldNotRun(
            "the processes aren't ready".to_owned(),
        ));
    }
    for (index, prefix) in prefixes.iter().enumerate() {
        let path = format!("{prefix}000000000000000{index}");
        let is_done = site.submit(&path, &job(&[2], 1_000, 100, 300))
            && site.wait(15_000, || {
                pause_ms(300);
                site.state(0, &path) == "completed"
            });
        if !is_done {
            return Err(Verdict::CouldNotRun(format!("no first job on {prefix}")));
        }
    }
    Ok(())
}

/// Returns two runs of one task that overlapped, or of which one began after the other was done.
fn run_twice(seen: &[Seen]) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&Seen>> = BTreeMap::new();
    for run in seen {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut twice = Vec::new();
    for (task, runs) in by_task {
        for (index, later) in runs.iter().enumerate() {
            for earlier in &runs[..index] {
                let is_running = earlier
                    .ended_ms
                    .is_none_or(|ended_ms| ended_ms > later.began_ms);
                let was_done = earlier.how == "done" && earlier.noted_ms.is_some();
                if is_running || was_done {
                    twice.push(format!(
                        "{task}: run {} on {} ({}) and run {} on {}",
                        earlier.run, earlier.worker, earlier.how, later.run, later.worker
                    ));
                }
            }
        }
    }
    twice
}
