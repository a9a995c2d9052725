//! Responses to requests that are open when their process stops.

use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_testkit::{JobSite, Process};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Longest time that a process may take to exit after SIGTERM.
const MAX_WAIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Settings line of a deployment whose grace period is shorter than a request may wait.
const SHORT_GRACE: &str = "Bounds.GraceS=2\n";

/// A site whose processes write their output to files.
struct LoggedSite {
    site: JobSite,
    folder: TempDir,
}

impl LoggedSite {
    /// Starts a worker and processes `n0`, `n1` and so on, of which the first owns the service.
    async fn start(processes: usize, settings: &str) -> Result<Self> {
        let site = JobSite::start(0, 1, 200).await?.settings(settings);
        let folder = tempfile::tempdir()?;
        let mut logged = Self { site, folder };
        for index in 0..processes {
            let name = format!("n{index}");
            let log = logged.folder.path().join(&name);
            let store = logged.site.store.address();
            let started = logged.site.start_logged_process(&name, store, &log)?;
            logged.site.processes.push(started);
            logged
                .site
                .submit(index, &format!("{index:016x}"), 1)
                .await?;
        }
        Ok(logged)
    }

    fn process(&mut self, index: usize) -> &mut Process {
        &mut self.site.processes[index].0
    }

    /// Waits until a process has exited, and returns its `stopped` line.
    async fn stopped_line(&mut self, index: usize) -> Result<String> {
        let end = Instant::now() + MAX_WAIT;
        while self.process(index).try_wait()?.is_none() {
            ensure!(Instant::now() < end, "the process doesn't exit");
            sleep(POLL_INTERVAL).await;
        }
        let path = self.folder.path().join(format!("n{index}"));
        loop {
            let log = std::fs::read_to_string(&path)?;
            if let Some(line) = log.lines().find(|line| line.contains("event=stopped")) {
                return Ok(line.to_owned());
            }
            ensure!(Instant::now() < end, "no line of the exit: {log}");
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// A process that exits tells how many requests it has cut.
#[tokio::test]
async fn cut_requests_told() -> Result<()> {
    let mut logged = LoggedSite::start(1, SHORT_GRACE).await?;
    logged.process(0).terminate()?;
    let line = logged.stopped_line(0).await?;
    assert!(line.contains("requests_cut=0"), "{line}");
    Ok(())
}
