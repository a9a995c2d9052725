//! A simulated worker, and the faults that tests inject into it.

use std::collections::HashMap;
use std::sync::Arc;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{
    ActiveRun, EndedRun, FencingToken, Resources, TaskRunId, WorkerPoll, WorkerRegistration,
};

/// Longest lease that a worker accepts, in milliseconds.
pub const MAX_LEASE_MS: u64 = 6_000;

/// A run on a simulated worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Job, task and number of the run.
    pub id: TaskRunId,
    /// Capacity that the run takes.
    pub demand: Resources,
    /// Virtual time in milliseconds at which the run ends if nothing stops it; `None` for an
    /// endless run.
    pub end_ms: Option<u64>,
    /// Virtual time in milliseconds at which the run has stopped after a stop command.
    pub stop_ms: Option<u64>,
    /// Whether the run ends as failed.
    pub fails: bool,
    /// Whether the run is best-effort and uses only spare capacity.
    pub is_best_effort: bool,
    /// Whether the run is latency-sensitive.
    pub is_latency_sensitive: bool,
    /// Share in percent at which the run works.
    pub share_percent: u64,
}

/// A simulated worker and its connection to the owner.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is a fault of its own that tests combine"
)]
pub struct FakeWorker {
    /// The worker's entry in the registry.
    pub registration: WorkerRegistration,
    /// Runs in progress.
    pub running: Vec<Run>,
    /// Ended runs that no owner has acknowledged.
    pub ended: Vec<EndedRun>,
    /// Number of the next ended run.
    pub next_end: u64,
    /// Highest fencing token seen so far.
    pub highest_token: FencingToken,
    /// Highest run number of each task, by job, occurrence, step and index.
    pub highest_run: HashMap<(JobId, u32, u32, u32), u32>,
    /// Virtual time of the incarnation's start, in milliseconds.
    pub clock_origin_ms: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// Whether the worker's process is alive.
    pub is_alive: bool,
    /// Whether calls reach the worker.
    pub is_reachable: bool,
    /// Whether the worker refuses connections, so that callers know that nothing was sent.
    pub refuses_connections: bool,
    /// Whether the worker's responses arrive.
    pub responds: bool,
    /// Delay in milliseconds after which start commands take effect; they get no response.
    pub start_delay_ms: Option<u64>,
    /// Delay in milliseconds after which polls take effect; they get no response.
    pub late_poll_ms: Option<u64>,
    /// Whether all runs on the worker fail.
    pub fails_all_runs: bool,
    /// Whether runs of long-running tasks fail as well where all runs do.
    pub fails_services: bool,
    /// Whether runs on the worker make no progress.
    pub stalls_runs: bool,
    /// Progress that runs without progress report, in percent.
    pub stalled_percent: u32,
    /// Time in milliseconds that each best-effort task at its full share adds to the tail latency.
    pub interference_ms: u64,
    /// Virtual time in milliseconds at which the worker crashes, if a task makes it.
    pub crash_ms: Option<u64>,
    /// Capacity before the last change, and the virtual time in milliseconds until which starts may
    /// still count on it.
    pub earlier_capacity: Option<(Resources, u64)>,
    /// Checkpoint of all runs on the worker.
    pub checkpoint: Arc<str>,
    /// Whether another worker has the address of this one, which has ended.
    pub is_replaced: bool,
}

impl FakeWorker {
    /// Returns the worker's clock, which starts anew with each incarnation.
    pub const fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.clock_origin_ms
    }

    /// Takes the lease and the acknowledgement of a poll.
    pub fn apply_poll(&mut self, poll: &WorkerPoll, clock_ms: u64) {
        self.highest_token = poll.target.token;
        self.ended
            .retain(|ended_run| ended_run.sequence > poll.durable_sequence);
        if let Some(lease_end_ms) = poll.lease_end_ms {
            let end_ms = lease_end_ms.min(clock_ms + MAX_LEASE_MS);
            self.lease_end_ms = self.lease_end_ms.max(end_ms);
        }
    }

    /// Returns the tail latency of latency-sensitive tasks in milliseconds.
    pub fn tail_ms(&self) -> u64 {
        let best_effort = self.running.iter().filter(|run| run.is_best_effort);
        20 + best_effort.map(|run| run.share_percent).sum::<u64>() * self.interference_ms / 100
    }

    /// Returns whether a start may bring the worker to a load.
    pub fn may_hold(&self, used: &Resources, now_ms: u64) -> bool {
        let counts =
            |(capacity, until_ms): &(Resources, u64)| now_ms < *until_ms && capacity.contains(used);
        self.registration.capacity.contains(used) || self.earlier_capacity.iter().any(counts)
    }

    /// Returns the highest share of a best-effort task in percent, or 0 without one.
    pub fn best_effort_percent(&self) -> u64 {
        let best_effort = self.running.iter().filter(|run| run.is_best_effort);
        best_effort.map(|run| run.share_percent).max().unwrap_or(0)
    }

    /// Returns a run's entry in the worker's report.
    pub fn report_run(&self, run: &Run) -> ActiveRun {
        ActiveRun {
            id: run.id.clone(),
            checkpoint: Arc::clone(&self.checkpoint),
            progress_percent: if self.stalls_runs {
                self.stalled_percent
            } else {
                100
            },
            load: if run.is_latency_sensitive {
                self.tail_ms()
            } else {
                0
            },
        }
    }
}
