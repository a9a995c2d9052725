//! A small site of the jobs path: a store, workers and processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use bytes::Bytes;
use cyclamentrail_standin::{
    JOB_SERVICE, JobClient, JobStore, JobWorker, NodePorts, Submitted, TaskRun, node_settings,
    put_configuration,
};
use hyper::{Method, StatusCode};
use tokio::time::Instant;

use crate::Process;

const LOCAL: [u8; 4] = [127, 0, 0, 1];
/// Time in which something that is to happen has happened.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two polls.
const PAUSE: Duration = Duration::from_millis(40);

/// A store, workers and processes of the system.
#[derive(Debug)]
pub struct JobSite {
    /// The platform's store.
    pub store: Arc<JobStore>,
    /// The workers.
    pub workers: Vec<JobWorker>,
    /// The processes and where they take requests.
    pub processes: Vec<(Process, SocketAddr)>,
    client: JobClient,
    folder: tempfile::TempDir,
}

impl JobSite {
    /// Starts a store, workers and processes; a task takes `task_ms`.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn start(processes: usize, workers: usize, task_ms: u64) -> Result<Self> {
        let store = Arc::new(JobStore::start(SocketAddr::from((LOCAL, 0))).await?);
        put_configuration(&store);
        let mut site = Self {
            store,
            workers: Vec::new(),
            processes: Vec::new(),
            client: JobClient::new(),
            folder: tempfile::tempdir()?,
        };
        for index in 0..workers {
            site.add_worker(&format!("i-{index}"), task_ms).await?;
        }
        for index in 0..processes {
            site.add_process(&format!("n{index}"))?;
        }
        Ok(site)
    }

    /// Adds a worker.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn add_worker(&mut self, id: &str, task_ms: u64) -> Result<()> {
        let worker = JobWorker::start(&self.store, id, JOB_SERVICE, task_ms).await?;
        self.workers.push(worker);
        Ok(())
    }

    /// Adds a process.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub fn add_process(&mut self, name: &str) -> Result<()> {
        self.start_process(name, Process::spawn)
    }

    /// Adds a process whose output nobody reads.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub fn add_process_with_stalled_log_reader(&mut self, name: &str) -> Result<()> {
        self.start_process(name, Process::spawn_unread)
    }

    fn start_process(
        &mut self,
        name: &str,
        spawn: impl Fn(&str, &[String], &[(&str, &str)]) -> Result<Process>,
    ) -> Result<()> {
        let ports = NodePorts::free()?;
        let path = self.folder.path().join(name);
        let text = node_settings(name, ports, self.store.address());
        std::fs::write(&path, text)?;
        let arguments = [
            String::from("edge"),
            String::from("--settings"),
            path.display().to_string(),
        ];
        let process = spawn("cyclamentrail", &arguments, &[])?;
        self.processes
            .push((process, SocketAddr::from((LOCAL, ports.front))));
        Ok(())
    }

    /// Calls a process about a job.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn call(
        &self,
        process: usize,
        method: Method,
        id: &str,
        body: String,
    ) -> Result<(StatusCode, Bytes)> {
        let address = self.processes[process].1;
        self.client.call(address, method, id, body).await
    }

    /// Hands in a job until it is accepted.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn submit(&self, process: usize, id: &str, count: u32) -> Result<()> {
        let end = Instant::now() + PATIENCE;
        loop {
            match self
                .client
                .submit(self.processes[process].1, id, count)
                .await
            {
                Submitted::Accepted => return Ok(()),
                other => ensure!(Instant::now() < end, "{id} isn't accepted: {other:?}"),
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Returns the state of a job that a process reports.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn state(&self, process: usize, id: &str) -> Result<String> {
        self.client.state(self.processes[process].1, id).await
    }

    /// Waits until a process reports a job as completed.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn wait_completed(&self, process: usize, id: &str) -> Result<()> {
        let end = Instant::now() + PATIENCE;
        loop {
            let state = self.state(process, id).await;
            if matches!(&state, Ok(state) if state == "completed") {
                return Ok(());
            }
            ensure!(Instant::now() < end, "{id} isn't completed: {state:?}");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Waits until a job has started; returns its runs.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn wait_started(&self, id: &str) -> Result<Vec<TaskRun>> {
        let end = Instant::now() + PATIENCE;
        loop {
            let runs = self.runs(id);
            if !runs.is_empty() {
                return Ok(runs);
            }
            ensure!(Instant::now() < end, "{id} doesn't begin");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Returns the runs of a job's tasks.
    #[must_use]
    pub fn runs(&self, id: &str) -> Vec<TaskRun> {
        self.workers
            .iter()
            .flat_map(JobWorker::runs)
            .filter(|run| run.task.starts_with(id))
            .collect()
    }

    /// Checks that each task was done exactly once.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub fn check_done_once(&self, id: &str, count: usize) -> Result<()> {
        let mut done: HashMap<String, u32> = HashMap::new();
        for run in self.runs(id).into_iter().filter(|run| run.how == "done") {
            *done.entry(run.task).or_default() += 1;
        }
        ensure!(
            done.len() == count,
            "{} of {count} tasks are done",
            done.len()
        );
        ensure!(done.values().all(|&times| times == 1), "{done:?}");
        Ok(())
    }
}
