//! Two processes of the jobs path on a stand-in of the users' platform, under load.
//!
//! The workers of the stand-in count what they ran; nothing is taken from the system's counters.

use std::collections::HashMap;
use std::fmt::{Display, Formatter};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_adapter::NodeSettings;
use cyclamentrail_standin::{
    JOB_SERVICE, JobClient, JobStore, JobWorker, NodePorts, Submitted, node_settings,
    put_configuration,
};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge;

/// Processes of the system.
const PROCESSES: usize = 2;
/// Workers.
const WORKERS: usize = 4;
/// Time that a task takes in milliseconds.
const TASK_MS: u64 = 300;
/// Tasks of a job.
const TASKS: u32 = 6;
/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(120);
/// Longest time until the processes take jobs, and until accepted ones are completed.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks at a job.
const PAUSE: Duration = Duration::from_millis(100);

/// What became of the jobs.
#[derive(Debug, Default)]
pub(crate) struct JobsReport {
    handed_in: u64,
    accepted: u64,
    rejected: u64,
    unknown: u64,
    completed: u64,
    tasks_done: u64,
    lost: u64,
    doubled: u64,
}

impl JobsReport {
    /// Returns whether an accepted job wasn't completed, or a task was done twice.
    pub(crate) const fn has_faults(&self) -> bool {
        self.lost > 0 || self.doubled > 0
    }
}

impl Display for JobsReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "jobs: {} handed in, {} accepted, {} rejected, {} unknown, {} completed",
            self.handed_in, self.accepted, self.rejected, self.unknown, self.completed
        )?;
        writeln!(
            f,
            "tasks: {} done; lost {}, doubled {} (counted by callers and workers)",
            self.tasks_done, self.lost, self.doubled
        )
    }
}

/// Runs the site for some seconds of load.
///
/// # Errors
///
/// Returns why the site can't be started.
pub(crate) async fn run(seconds: u64) -> Result<JobsReport> {
    let store = Arc::new(JobStore::start(loopback(0)).await?);
    put_configuration(&store);
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let id = format!("i-{index}");
        workers.push(JobWorker::start(&store, &id, JOB_SERVICE, TASK_MS).await?);
    }
    let (stop, stopped) = watch::channel(false);
    let mut fronts = Vec::new();
    let mut processes = Vec::new();
    for index in 0..PROCESSES {
        let ports = NodePorts::free()?;
        let text = node_settings(&format!("node-{index}"), ports, store.address());
        let bound = edge::bind_listeners(NodeSettings::parse(&text)?).await?;
        fronts.push(loopback(ports.front));
        processes.push(tokio::spawn(bound.serve_until(wait_for(stopped.clone()))));
    }
    let client = JobClient::new();
    wait_until_ready(&client, &fronts).await?;
    let mut report = JobsReport::default();
    let accepted = hand_in(&client, &fronts, seconds, &mut report).await;
    for id in &accepted {
        if is_completed(&client, fronts[0], id).await {
            report.completed += 1;
        } else {
            report.lost += 1;
        }
    }
    count_runs(&workers, &mut report);
    stop.send_replace(true);
    for process in processes {
        process.await?;
    }
    Ok(report)
}

async fn wait_for(mut stopped: watch::Receiver<bool>) {
    // The sender lives as long as the run.
    drop(stopped.wait_for(|stopped| *stopped).await);
}

async fn wait_until_ready(client: &JobClient, fronts: &[SocketAddr]) -> Result<()> {
    let end = Instant::now() + PATIENCE;
    for (index, front) in fronts.iter().enumerate() {
        let id = format!("{index:016x}");
        while client.submit(*front, &id, 1).await != Submitted::Accepted {
            ensure!(Instant::now() < end, "the process at {front} takes no jobs");
            tokio::time::sleep(PAUSE).await;
        }
    }
    Ok(())
}

/// Hands in jobs at both processes in turn; returns the ids of the accepted ones.
async fn hand_in(
    client: &JobClient,
    fronts: &[SocketAddr],
    seconds: u64,
    report: &mut JobsReport,
) -> Vec<String> {
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut accepted = Vec::new();
    while Instant::now() < end {
        report.handed_in += 1;
        let id = format!("{:016x}", 0x1000 + report.handed_in);
        let front = fronts[accepted.len() % fronts.len()];
        match client.submit(front, &id, TASKS).await {
            Submitted::Accepted => {
                report.accepted += 1;
                accepted.push(id);
            }
            Submitted::Rejected => report.rejected += 1,
            Submitted::Unknown => report.unknown += 1,
        }
        tokio::time::sleep(JOB_INTERVAL).await;
    }
    accepted
}

async fn is_completed(client: &JobClient, front: SocketAddr, id: &str) -> bool {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if matches!(client.state(front, id).await, Ok(state) if state == "completed") {
            return true;
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}

fn count_runs(workers: &[JobWorker], report: &mut JobsReport) {
    let mut done: HashMap<String, u64> = HashMap::new();
    let runs = workers.iter().flat_map(JobWorker::runs);
    for run in runs.filter(|run| run.how == "done") {
        *done.entry(run.task).or_default() += 1;
    }
    report.tasks_done = done.len() as u64;
    report.doubled = done.values().filter(|&&times| times > 1).count() as u64;
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
