//! A site that runs jobs: a store, workers and processes of the system.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use bytes::Bytes;
use cyclamentrail_standin::{
    JOB_HOST, JOB_SERVICE, JobClient, JobStore, JobWorker, ProcessPorts, SubmitResult, TaskRun,
    process_settings, put_configuration,
};
use hyper::{Method, StatusCode};
use tokio::time::Instant;

use crate::Process;

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
/// Longest time that a test waits for a state of a job.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Interval between two checks of a job's state.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// A running site; store and workers run in the test's process.
///
/// Parameters named `process` are indices into [`JobSite::processes`].
#[derive(Debug)]
pub struct JobSite {
    /// Stand-in for the platform's store.
    pub store: Arc<JobStore>,
    /// Stand-ins for workers in starting order.
    pub workers: Vec<JobWorker>,
    /// Processes with the address at which each accepts requests about jobs.
    pub processes: Vec<(Process, SocketAddr)>,
    client: JobClient,
    /// Lines of the settings files of processes that are started from now on.
    settings: String,
    /// Folder of the settings files; removed when the site is dropped.
    folder: tempfile::TempDir,
}

impl JobSite {
    /// Starts a store, workers `i-0`, `i-1` and so on, and processes `n0`, `n1` and so on.
    ///
    /// Each task takes `task_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error when the store, a worker or a process doesn't start.
    pub async fn start(processes: usize, workers: usize, task_ms: u64) -> Result<Self> {
        let mut site = Self::start_named(JOB_HOST, JOB_SERVICE).await?;
        for index in 0..workers {
            site.add_worker(&format!("i-{index}"), task_ms).await?;
        }
        for index in 0..processes {
            site.add_process(&format!("n{index}"))?;
        }
        Ok(site)
    }

    /// Starts a store with a route from `host` to `service`, without workers and processes. Sites
    /// that run side by side and end processes need different names: a port may pass from one to
    /// the other.
    ///
    /// # Errors
    ///
    /// Returns an error when the store doesn't start.
    pub async fn start_named(host: &str, service: &str) -> Result<Self> {
        let store = Arc::new(JobStore::start(SocketAddr::from((LOOPBACK, 0))).await?);
        put_configuration(&store, host, service);
        Ok(Self {
            store,
            workers: Vec::new(),
            processes: Vec::new(),
            client: JobClient::new().host(host),
            settings: String::new(),
            folder: tempfile::tempdir()?,
        })
    }

    /// Sets additional lines of the settings files of all processes that are started later.
    #[must_use]
    pub fn settings(mut self, lines: &str) -> Self {
        lines.clone_into(&mut self.settings);
        self
    }

    /// Starts one more worker, whose tasks take `task_ms` milliseconds each.
    ///
    /// # Errors
    ///
    /// Returns an error when the worker doesn't start.
    pub async fn add_worker(&mut self, id: &str, task_ms: u64) -> Result<()> {
        let worker = JobWorker::start(&self.store, id, JOB_SERVICE, task_ms).await?;
        self.workers.push(worker);
        Ok(())
    }

    /// Restarts a worker under its id and at its address; the new incarnation isn't registered until
    /// [`JobWorker::register`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error when the worker doesn't start.
    pub async fn restart_worker(&mut self, index: usize) -> Result<()> {
        let worker = self.workers.remove(index).restart(&self.store).await?;
        self.workers.insert(index, worker);
        Ok(())
    }

    /// Starts one more process and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't start.
    pub fn add_process(&mut self, name: &str) -> Result<()> {
        self.start_process(name, "", Process::spawn)
    }

    /// Starts one more process, which reaches the store at another address, such as that of a
    /// [`StoreView`](cyclamentrail_standin::StoreView), and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't start.
    pub fn add_process_at(&mut self, name: &str, store: SocketAddr) -> Result<()> {
        let started = self.spawn_process(name, "", store, Process::spawn)?;
        self.processes.push(started);
        Ok(())
    }

    /// Starts a process that reaches the store at another address, such as that of a
    /// [`Forwarder`](crate::Forwarder), and writes its output to a file; waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't start.
    pub fn start_logged_process(
        &self,
        name: &str,
        store: SocketAddr,
        log: &Path,
    ) -> Result<(Process, SocketAddr)> {
        self.spawn_process(name, "", store, |binary, arguments, environment| {
            Process::spawn_logged(binary, arguments, environment, log)
        })
    }

    /// Starts one more process on a machine with limits, given as lines of the settings file, and
    /// waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't start.
    pub fn add_limited_process(&mut self, name: &str, limits: &str) -> Result<()> {
        self.start_process(name, limits, Process::spawn)
    }

    /// Starts one more process whose log output isn't read, so that its writes block once the pipe
    /// is full.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't start.
    pub fn add_process_with_stalled_log_reader(&mut self, name: &str) -> Result<()> {
        self.start_process(name, "", Process::spawn_with_stalled_output)
    }

    fn start_process(
        &mut self,
        name: &str,
        limits: &str,
        spawn: impl Fn(&str, &[String], &[(&str, &str)]) -> Result<Process>,
    ) -> Result<()> {
        let started = self.spawn_process(name, limits, self.store.address(), spawn)?;
        self.processes.push(started);
        Ok(())
    }

    fn spawn_process(
        &self,
        name: &str,
        limits: &str,
        store: SocketAddr,
        spawn: impl Fn(&str, &[String], &[(&str, &str)]) -> Result<Process>,
    ) -> Result<(Process, SocketAddr)> {
        let ports = ProcessPorts::allocate()?;
        let path = self.folder.path().join(name);
        let text = process_settings(name, ports, store) + &self.settings + limits;
        std::fs::write(&path, text)?;
        let arguments = [
            String::from("edge"),
            String::from("--settings"),
            path.display().to_string(),
        ];
        let process = spawn("cyclamentrail", &arguments, &[])?;
        Ok((process, SocketAddr::from((LOOPBACK, ports.caller))))
    }

    /// Sends a request about the job `id` to a process and returns status and body.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't respond.
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

    /// Submits a job of `count` tasks and repeats the request until the job is accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when the job isn't accepted within 30 s.
    pub async fn submit(&self, process: usize, id: &str, count: u32) -> Result<()> {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            match self
                .client
                .submit(self.processes[process].1, id, count)
                .await
            {
                SubmitResult::Accepted => return Ok(()),
                other => ensure!(Instant::now() < deadline, "{id} isn't accepted: {other:?}"),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the state of a job as a process reports it.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't respond with a state.
    pub async fn state(&self, process: usize, id: &str) -> Result<String> {
        self.client.state(self.processes[process].1, id).await
    }

    /// Waits until a process reports a job as completed.
    ///
    /// # Errors
    ///
    /// Returns an error with the last state when the job isn't completed within 30 s.
    pub async fn wait_completed(&self, process: usize, id: &str) -> Result<()> {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            let state = self.state(process, id).await;
            if matches!(&state, Ok(state) if state == "completed") {
                return Ok(());
            }
            ensure!(Instant::now() < deadline, "{id} isn't completed: {state:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a task of a job has started and returns the runs of the job's tasks.
    ///
    /// # Errors
    ///
    /// Returns an error when no task starts within 30 s.
    pub async fn wait_started(&self, id: &str) -> Result<Vec<TaskRun>> {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            let runs = self.runs(id);
            if !runs.is_empty() {
                return Ok(runs);
            }
            ensure!(Instant::now() < deadline, "no task of {id} has started");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the runs of a job's tasks that the workers recorded.
    #[must_use]
    pub fn runs(&self, id: &str) -> Vec<TaskRun> {
        self.workers
            .iter()
            .flat_map(JobWorker::runs)
            .filter(|run| run.task.starts_with(id))
            .collect()
    }

    /// Checks that each of the job's `count` tasks was completed exactly once.
    ///
    /// # Errors
    ///
    /// Returns an error when a task is missing or was completed more than once.
    pub fn check_done_once(&self, id: &str, count: usize) -> Result<()> {
        let mut completions: HashMap<String, u32> = HashMap::new();
        for run in self.runs(id).into_iter().filter(|run| run.result == "done") {
            *completions.entry(run.task).or_default() += 1;
        }
        ensure!(
            completions.len() == count,
            "{} of {count} tasks are done",
            completions.len()
        );
        ensure!(
            completions.values().all(|&times| times == 1),
            "{completions:?}"
        );
        Ok(())
    }
}
