//! The command `local --jobs`: runs two processes of the jobs path on stand-ins of the users'
//! platform, and submits jobs to them.
//!
//! The callers and the stand-in workers count lost jobs and tasks that ran twice. No figure is taken
//! from the system's own counters, so a fault of the system can't hide itself.

use std::collections::HashMap;
use std::fmt::{Display, Formatter};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_adapter::ProcessSettings;
use cyclamentrail_jobs::RunTimeUses;
use cyclamentrail_standin::{
    JOB_HOST, JOB_SERVICE, JobClient, JobStore, JobWorker, ProcessPorts, SubmitResult,
    process_settings, put_configuration,
};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge;

/// Number of processes of the system.
const PROCESSES: usize = 2;
/// Number of stand-in workers.
const WORKERS: usize = 4;
/// Time in milliseconds that a worker takes for a task.
const TASK_MS: u64 = 300;
const TASKS_PER_JOB: u32 = 6;
/// Time between two submissions of jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(120);
/// Longest time until all started processes accept jobs, and until an accepted job is completed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a process or a job that the run waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Numbers of jobs and tasks by their results.
#[derive(Debug, Default)]
pub(crate) struct JobsReport {
    submitted: u64,
    accepted: u64,
    rejected: u64,
    unknown: u64,
    completed: u64,
    tasks_done: u64,
    lost: u64,
    doubled: u64,
}

impl JobsReport {
    /// Returns whether an accepted job wasn't completed, or a task was done more than once.
    pub(crate) const fn has_faults(&self) -> bool {
        self.lost > 0 || self.doubled > 0
    }
}

impl Display for JobsReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "jobs: {} handed in, {} accepted, {} rejected, {} unknown, {} completed",
            self.submitted, self.accepted, self.rejected, self.unknown, self.completed
        )?;
        writeln!(
            f,
            "tasks: {} done; lost {}, doubled {} (counted by callers and workers)",
            self.tasks_done, self.lost, self.doubled
        )
    }
}

/// Submits jobs for `seconds` seconds, waits for the accepted ones and returns the report.
///
/// # Errors
///
/// Returns an error when a stand-in or a process can't be started, when the processes don't
/// accept jobs within [`WAIT_TIMEOUT`], or when a process panics.
pub(crate) async fn run(seconds: u64) -> Result<JobsReport> {
    let store = Arc::new(JobStore::start(loopback(0)).await?);
    put_configuration(&store, JOB_HOST, JOB_SERVICE);
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let id = format!("i-{index}");
        workers.push(JobWorker::start(&store, &id, JOB_SERVICE, TASK_MS).await?);
    }
    let (stop, stopped) = watch::channel(false);
    let mut caller_addresses = Vec::new();
    let mut processes = Vec::new();
    for index in 0..PROCESSES {
        let ports = ProcessPorts::allocate()?;
        let settings_text = process_settings(&format!("node-{index}"), ports, store.address());
        let bound =
            edge::bind_listeners(ProcessSettings::parse(&settings_text)?, RunTimeUses::NONE)
                .await?;
        caller_addresses.push(loopback(ports.caller));
        processes.push(tokio::spawn(
            bound.serve_until(wait_for_stop(stopped.clone())),
        ));
    }
    let client = JobClient::new();
    wait_until_ready(&client, &caller_addresses).await?;
    let mut report = JobsReport::default();
    let accepted = submit_jobs(&client, &caller_addresses, seconds, &mut report).await;
    for id in &accepted {
        if wait_until_completed(&client, caller_addresses[0], id).await {
            report.completed += 1;
        } else {
            report.lost += 1;
        }
    }
    count_done_tasks(&workers, &mut report);
    stop.send_replace(true);
    for process in processes {
        process.await?;
    }
    Ok(report)
}

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    // An error is impossible until `run` returns, since `run` owns the sender.
    drop(stopped.wait_for(|stopped| *stopped).await);
}

/// Submits a job to each process until the process accepts it.
async fn wait_until_ready(client: &JobClient, caller_addresses: &[SocketAddr]) -> Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    for (index, caller_address) in caller_addresses.iter().enumerate() {
        let id = format!("{index:016x}");
        while client.submit(*caller_address, &id, 1).await != SubmitResult::Accepted {
            ensure!(
                Instant::now() < end,
                "the process at {caller_address} accepts no jobs"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Submits jobs for `seconds` seconds and returns the ids of the accepted ones. The target process
/// changes after each accepted job.
async fn submit_jobs(
    client: &JobClient,
    caller_addresses: &[SocketAddr],
    seconds: u64,
    report: &mut JobsReport,
) -> Vec<String> {
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut accepted = Vec::new();
    while Instant::now() < end {
        report.submitted += 1;
        let id = format!("{:016x}", 0x1000 + report.submitted);
        let caller_address = caller_addresses[accepted.len() % caller_addresses.len()];
        match client.submit(caller_address, &id, TASKS_PER_JOB).await {
            SubmitResult::Accepted => {
                report.accepted += 1;
                accepted.push(id);
            }
            SubmitResult::Rejected => report.rejected += 1,
            SubmitResult::Unknown => report.unknown += 1,
        }
        tokio::time::sleep(JOB_INTERVAL).await;
    }
    accepted
}

/// Waits until a job is completed; returns false when it isn't within [`WAIT_TIMEOUT`].
async fn wait_until_completed(client: &JobClient, caller_address: SocketAddr, id: &str) -> bool {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if matches!(client.state(caller_address, id).await, Ok(state) if state == "completed") {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Counts the tasks that workers did at least once, and those that they did more than once.
fn count_done_tasks(workers: &[JobWorker], report: &mut JobsReport) {
    let mut runs_per_task: HashMap<String, u64> = HashMap::new();
    let runs = workers.iter().flat_map(JobWorker::runs);
    for run in runs.filter(|run| run.result == "done") {
        *runs_per_task.entry(run.task).or_default() += 1;
    }
    report.tasks_done = runs_per_task.len() as u64;
    report.doubled = runs_per_task
        .values()
        .filter(|&&run_count| run_count > 1)
        .count() as u64;
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
