//! The cases.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::record::Record;
use crate::site::Site;

mod idle_restart;

/// How long a crashed worker takes to start again.
const RESTART: Duration = Duration::from_millis(1_500);

pub fn play(case: &str, folder: &Path, record: Record, has_trouble: bool) -> Verdict {
    match case {
        "idle-restart" => idle_restart::play(folder, record, has_trouble),
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
