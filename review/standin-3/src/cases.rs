//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::Verdict;
use crate::record::Record;
use crate::site::{Error, Queue, Site};
use crate::worker::Kind;

mod gang;
mod hopeless;
mod late_start;
mod lost_worker;
mod stale_order;

/// Time after the end of the traffic at which jobs are asked for, `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Processor of a worker, in thousandths of a core, and its memory.
const WORKER_CPU: u64 = 32_000;
const WORKER_MEM_MB: u64 = 131_072;

pub async fn run(
    case: &str,
    folder: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
) -> Result<Verdict, Error> {
    match case {
        "hopeless" => hopeless::run(folder, record, has_trouble).await,
        "gang" => gang::run(folder, record, has_trouble).await,
        "lost-worker" => lost_worker::run(folder, record, has_trouble).await,
        "stale-order" => stale_order::run(folder, record, has_trouble).await,
        "late-start" => late_start::run(folder, record, has_trouble).await,
        _ => Err(format!("no case {case}").into()),
    }
}

/// Returns workers of one service, four to a rack.
fn workers(count: usize, service: &str) -> Vec<Kind> {
    (0..count)
        .map(|index| Kind {
            id: format!("i-{index:02}"),
            service: service.to_owned(),
            labels: vec![String::from("a"), format!("r1-{}", index / 4)],
            cpu: WORKER_CPU,
            mem_mb: WORKER_MEM_MB,
        })
        .collect()
}

/// Returns the only queue of a service.
const fn queue(service: &'static str) -> Queue {
    Queue {
        prefix: "/q/",
        service,
        priority: 0,
        max_attempts: 4,
    }
}

/// Returns the id of the job with a number; `kind` tells the jobs of a case apart.
fn job_id(kind: u64, number: u64) -> String {
    format!("{kind:04x}{:012x}", 0x5c0e_7a21_0000 + number)
}

/// Waits until a condition holds, at most for `limit`; returns whether it does.
async fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !condition() {
        if begun.elapsed() > limit {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    true
}

/// Hands jobs in one after the other, `gap` apart, each by a client of its own; returns the ids of those
/// that were accepted.
async fn submit_all(
    site: &Arc<Site>,
    gap: Duration,
    jobs: impl Iterator<Item = (String, Value)>,
) -> Vec<String> {
    let mut clients = Vec::new();
    for (id, job) in jobs {
        let site = Arc::clone(site);
        clients.push(tokio::spawn(async move {
            let is_accepted = site.submit("/q/", &id, &job).await;
            is_accepted.then_some(id)
        }));
        tokio::time::sleep(gap).await;
    }
    let mut accepted = Vec::new();
    for client in clients {
        if let Ok(Some(id)) = client.await {
            accepted.push(id);
        }
    }
    accepted
}

/// Returns the state of each job.
async fn states(site: &Site, ids: &[String]) -> Vec<(String, String)> {
    let mut states = Vec::new();
    for id in ids {
        states.push((id.clone(), site.state("/q/", id).await));
    }
    states
}

/// Returns a job of one step.
fn job(text: &str, step: Value) -> Value {
    json!({"Spec": text, "Steps": [step]})
}
