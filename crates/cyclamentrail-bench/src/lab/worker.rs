//! A simulated worker: one incarnation of a machine's worker with its runs.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use cyclamentrail_core::{LabelName, ServiceName, WorkerId, ZoneName};
use cyclamentrail_jobs::{
    ActiveRun, EndKind, EndedRun, Resources, TaskRunId, WorkerKey, WorkerPoll, WorkerRegistration,
    WorkerReport,
};

use super::PoolDescription;
use super::trace::MEMORY_PER_CORE_MIB;

/// Progress that a run reports when it works or is done, in percent.
const WHOLE_PERCENT: u32 = 100;

/// Run of a task.
#[derive(Debug)]
struct Run {
    id: TaskRunId,
    begin_ms: u64,
    /// End of the run in milliseconds; `None` for a long-running task.
    end_ms: Option<u64>,
    end: EndKind,
}

/// Response to a poll, for the owner of the worker's pool.
#[derive(Debug)]
pub(super) struct PollResponse {
    pub(super) key: WorkerKey,
    pub(super) durable_sequence: u64,
    pub(super) report: WorkerReport,
}

/// A simulated worker.
#[derive(Debug)]
pub(super) struct SimulatedWorker {
    pub(super) registration: WorkerRegistration,
    runs: Vec<Run>,
    ended: Vec<EndedRun>,
    next_sequence: u64,
    /// Poll that waits for a run to end, and until when.
    held_poll: Option<(WorkerPoll, u64)>,
}

impl SimulatedWorker {
    /// Creates a worker without runs.
    pub(super) const fn new(registration: WorkerRegistration) -> Self {
        Self {
            registration,
            runs: Vec::new(),
            ended: Vec::new(),
            next_sequence: 1,
            held_poll: None,
        }
    }

    /// Begins a run, unless it is there already.
    pub(super) fn begin(
        &mut self,
        now_ms: u64,
        id: TaskRunId,
        lasts_ms: Option<u64>,
        end: EndKind,
    ) {
        if self.runs.iter().any(|run| run.id == id) {
            return;
        }
        self.runs.push(Run {
            id,
            begin_ms: now_ms,
            end_ms: lasts_ms.map(|lasts_ms| now_ms + lasts_ms),
            end,
        });
    }

    /// Stops a run.
    pub(super) fn stop(&mut self, now_ms: u64, id: &TaskRunId) {
        if let Some(run) = self.runs.iter_mut().find(|run| run.id == *id) {
            run.end_ms = Some(now_ms);
            run.end = EndKind::Stopped;
        }
    }

    /// Keeps a poll until a run ends or its wait is over.
    pub(super) fn hold(&mut self, now_ms: u64, poll: WorkerPoll) {
        let until_ms = now_ms + poll.wait_ms;
        self.held_poll = Some((poll, until_ms));
    }

    /// Ends the runs that are due, and responds to a poll that waited for them.
    pub(super) fn advance(&mut self, now_ms: u64, clock_ms: u64) -> Option<PollResponse> {
        self.end_due(now_ms);
        let (poll, until_ms) = self.held_poll.take()?;
        self.ended
            .retain(|ended| ended.sequence > poll.durable_sequence);
        if self.ended.is_empty() && now_ms < until_ms {
            self.held_poll = Some((poll, until_ms));
            return None;
        }
        Some(PollResponse {
            key: poll.target.key,
            durable_sequence: poll.durable_sequence,
            report: self.report(now_ms, clock_ms),
        })
    }

    fn end_due(&mut self, now_ms: u64) {
        let is_due = |run: &mut Run| run.end_ms.is_some_and(|end_ms| end_ms <= now_ms);
        for run in self.runs.extract_if(.., is_due) {
            self.ended.push(EndedRun {
                sequence: self.next_sequence,
                id: run.id,
                end: run.end,
                checkpoint: Arc::from(""),
            });
            self.next_sequence += 1;
        }
    }

    fn report(&self, now_ms: u64, clock_ms: u64) -> WorkerReport {
        let running = self.runs.iter().map(|run| ActiveRun {
            id: run.id.clone(),
            checkpoint: Arc::from(""),
            progress_percent: run.progress_percent(now_ms),
            load: 0,
        });
        WorkerReport {
            started_ms: Some(self.registration.started_ms),
            clock_ms,
            running: running.collect(),
            ended: self.ended.clone(),
            may_lack_ends: false,
        }
    }
}

impl Run {
    fn progress_percent(&self, now_ms: u64) -> u32 {
        let Some(end_ms) = self.end_ms else {
            return WHOLE_PERCENT;
        };
        let percent = (now_ms - self.begin_ms) * 100 / (end_ms - self.begin_ms).max(1);
        u32::try_from(percent).unwrap_or(WHOLE_PERCENT)
    }
}

/// Returns the registration of a worker that has started in a pool.
pub(super) fn registration(
    machine: usize,
    incarnation: u32,
    pool: &PoolDescription,
    started_ms: u64,
) -> WorkerRegistration {
    let cores = u64::from(pool.cores);
    let port = u16::try_from(machine + 1).unwrap_or(u16::MAX);
    WorkerRegistration {
        id: WorkerId::from(format!("w{machine}-{incarnation}")),
        started_ms,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: ZoneName::from("zone"),
        service: ServiceName::from(pool.name.as_str()),
        capacity: Resources::new(cores * 1_000, cores * MEMORY_PER_CORE_MIB, 0),
        labels: Vec::<LabelName>::new(),
        is_draining: false,
        warmup_ms: 0,
        clock_ms: 0,
    }
}
