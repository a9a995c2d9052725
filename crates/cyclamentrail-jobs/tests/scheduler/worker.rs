//! A worker in virtual time, and the faults that tests give it.

use std::collections::HashMap;
use std::sync::Arc;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{EndedRow, Registration, Resources, RunName, RunningRow};

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Its name.
    pub name: RunName,
    /// What it takes.
    pub demand: Resources,
    /// When it ends by itself.
    pub end_ms: Option<u64>,
    /// When it has stopped.
    pub stop_ms: Option<u64>,
    /// Whether it ends as failed.
    pub fails: bool,
    /// Whether it uses only what others leave.
    pub fills: bool,
    /// Whether it has a target.
    pub serves: bool,
    /// Share in percent at which it works.
    pub paced_percent: u64,
}

/// A worker and its link to the owner.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is a fault of its own that tests combine"
)]
pub struct FakeWorker {
    /// What the registry says.
    pub registration: Registration,
    /// What runs.
    pub running: Vec<Run>,
    /// Ends that aren't acknowledged.
    pub ended: Vec<EndedRow>,
    /// Number of the next end.
    pub next_end: u64,
    /// Highest fencing token that it has seen.
    pub highest_token: u64,
    /// Highest run of each task that was there.
    pub highest_run: HashMap<(JobId, u32, u32, u32), u32>,
    /// End of the lease.
    pub until_ms: u64,
    /// Whether it runs at all.
    pub is_alive: bool,
    /// Whether calls reach it.
    pub is_reachable: bool,
    /// Whether connections are refused, so that callers know that nothing was sent.
    pub refuses: bool,
    /// Whether its answers come back.
    pub answers: bool,
    /// Time by which orders are carried out late, unanswered.
    pub late_ms: Option<u64>,
    /// Whether it fails all that it starts.
    pub fails_all: bool,
    /// Whether what it starts makes no progress.
    pub hangs: bool,
    /// Time that each filling task adds to the tail of the serving ones.
    pub harm_ms: u64,
}

impl FakeWorker {
    /// Returns the tail of the serving tasks in milliseconds.
    pub fn tail_ms(&self) -> u64 {
        let filling = self.running.iter().filter(|run| run.fills);
        20 + filling.map(|run| run.paced_percent).sum::<u64>() * self.harm_ms / 100
    }

    /// Returns the highest share of a filling task in percent.
    pub fn filling_percent(&self) -> u64 {
        let filling = self.running.iter().filter(|run| run.fills);
        filling.map(|run| run.paced_percent).max().unwrap_or(0)
    }

    /// Returns a run as the worker reports it.
    pub fn row(&self, run: &Run) -> RunningRow {
        RunningRow {
            name: run.name.clone(),
            checkpoint: Arc::from(""),
            percent: if self.hangs { 0 } else { 100 },
            load: if run.serves { self.tail_ms() } else { 0 },
        }
    }
}
