//! A soak: a site of real processes under load, with faults drawn from a seed, whose promises are
//! checked from what clients and workers recorded.
//!
//! ```no_run
//! # async fn example() -> anyhow::Result<()> {
//! use std::time::Duration;
//!
//! use cyclamentrail_testkit::Soak;
//!
//! let report = Soak::new(7).duration(Duration::from_secs(20)).run().await?;
//! assert!(report.violations.is_empty());
//! # Ok(())
//! # }
//! ```

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use serde::Serialize;
use tokio::time::Instant;

mod check;
mod compound;
mod faults;
mod history;
mod keys;
mod load;
mod schedule;
mod worker;

pub use check::{Violation, check_history};
use compound::draw_compound_faults;
use faults::{FaultySite, SiteNames};
pub use history::{History, JobHistory, RunHistory, Submission, WorkerHistory};
pub use keys::{KeyCall, KeyHistory};
use load::Load;
pub use schedule::{Fault, ScheduledFault, draw_schedule};

/// Time within which jobs have to end once the last fault is over: longer than a takeover, a lease
/// and a job of two steps together.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Beside compound faults, one single fault of so many is carried out.
const SINGLE_STEP: usize = 5;
/// Number of workers of the site.
const WORKERS: usize = 6;
/// Time that each task takes, in milliseconds.
const TASK_MS: u64 = 400;

/// Settings of a soak.
#[derive(Debug, Clone)]
pub struct Soak {
    seed: u64,
    duration: Duration,
    processes: usize,
    has_compound_faults: bool,
    logs: Option<PathBuf>,
}

/// Result of a soak.
#[derive(Debug, Clone, Serialize)]
pub struct SoakReport {
    /// Seed that the faults and the load were drawn from.
    pub seed: u64,
    /// Time for which faults and load lasted, in seconds.
    pub seconds: u64,
    /// Number of processes.
    pub processes: usize,
    /// Faults in the order of their times.
    pub faults: Vec<ScheduledFault>,
    /// Number of jobs that clients tried to submit.
    pub submitted_jobs: usize,
    /// Number of accepted jobs.
    pub accepted_jobs: usize,
    /// Number of runs that workers began.
    pub runs: usize,
    /// Number of late calls that a later incarnation of their worker carried out or rejected.
    pub crossed_calls: usize,
    /// Number of keys that were revoked.
    pub revoked_keys: usize,
    /// Number of answered calls.
    pub calls: usize,
    /// Number of calls whose key was refused.
    pub refused_keys: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Folder with the output of the processes.
    pub logs: PathBuf,
    /// Command that plays the soak again.
    pub command: String,
}

impl Soak {
    /// Creates a soak of 20 s on four processes.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            duration: Duration::from_secs(20),
            processes: 4,
            has_compound_faults: false,
            logs: None,
        }
    }

    /// Sets the time for which faults and load last.
    #[must_use]
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the number of processes.
    #[must_use]
    pub const fn processes(mut self, processes: usize) -> Self {
        self.processes = processes;
        self
    }

    /// Adds compound faults, such as late calls that the next incarnation of a worker carries out, and
    /// leaves most of the seed's other faults out, so that the site has work between the faults.
    #[must_use]
    pub const fn compound_faults(mut self) -> Self {
        self.has_compound_faults = true;
        self
    }

    /// Sets the folder for the output of the processes.
    #[must_use]
    pub fn logs(mut self, logs: PathBuf) -> Self {
        self.logs = Some(logs);
        self
    }

    /// Plays the soak and checks what clients and workers recorded.
    ///
    /// # Errors
    ///
    /// Returns an error when the site can't be started, a fault can't be carried out or a client
    /// panicked.
    pub async fn run(self) -> Result<SoakReport> {
        let schedule = self.schedule();
        let logs = self.logs.clone().unwrap_or_else(|| self.default_logs());
        std::fs::create_dir_all(&logs)?;
        let names = Arc::new(SiteNames::new(self.seed, self.has_compound_faults));
        let mut site =
            FaultySite::start(&names, self.processes, WORKERS, TASK_MS, logs.clone()).await?;
        let end = Instant::now() + self.duration;
        let load = Load::start(
            self.seed,
            Arc::clone(&names.host),
            (site.callers(), site.keys()),
            end,
            end + SETTLE_TIME,
        );
        let (keys, store) = (site.keys(), site.store());
        let (carried_out, ()) = tokio::join!(
            site.carry_out(&schedule, end),
            keys.keep_changing(&store, &names, self.seed, end),
        );
        carried_out?;
        let jobs = site.restart_crashed_during(load.finish()).await?;
        let crossed_calls = site.crossed_calls();
        let (key_histories, calls) = keys.finish();
        let history = History {
            jobs,
            workers: site.finish(),
            keys: key_histories,
            calls,
        };
        let violations = check_history(&history);
        Ok(SoakReport {
            seed: self.seed,
            seconds: self.duration.as_secs(),
            processes: self.processes,
            faults: schedule,
            submitted_jobs: history.jobs.len(),
            accepted_jobs: history.accepted_jobs().count(),
            runs: history.workers.iter().map(|worker| worker.runs.len()).sum(),
            crossed_calls,
            revoked_keys: history.revoked_keys().count(),
            calls: history.calls.len(),
            refused_keys: history.calls_with(401).count(),
            violations,
            logs,
            command: self.command(),
        })
    }

    fn schedule(&self) -> Vec<ScheduledFault> {
        let mut schedule = draw_schedule(self.seed, self.duration, self.processes, WORKERS);
        if self.has_compound_faults {
            schedule = schedule.into_iter().step_by(SINGLE_STEP).collect();
            schedule.extend(draw_compound_faults(self.seed, self.duration, WORKERS));
            schedule.sort_by_key(|scheduled| scheduled.at_ms);
        }
        schedule
    }

    /// Returns the command that plays the soak again.
    fn command(&self) -> String {
        format!(
            "cargo run -p cyclamentrail-testkit --bin cyclamentrail-soak -- --seed {} --seconds {} --processes {}{}",
            self.seed,
            self.duration.as_secs(),
            self.processes,
            if self.has_compound_faults {
                " --compound"
            } else {
                ""
            }
        )
    }

    fn default_logs(&self) -> PathBuf {
        let name = format!("cyclamentrail-soak-{}-{}", self.seed, std::process::id());
        std::env::temp_dir().join(name)
    }
}
