//! An owner's shard with its store and the workers of its pool.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, WorkerId};
use cyclamentrail_jobs::{
    CallerId, CallerReply, CommandOutcome, Commit, Decision, Effect, EndKind, JobSpec, PollOutcome,
    Resources, Shard, ShardTiming, StartCommand, StepSpec, StopCommand, Submission, TaskKey,
    TaskRunId, WorkerPoll,
};

use super::{START_BOOT_MS, clocks};
use crate::lab::trace::{MEMORY_PER_CORE_MIB, index_of, job_id, route_config};
use crate::lab::worker::{PollResponse, SimulatedWorker};
use crate::lab::{PoolDescription, Trace, TraceJob};

/// Latency of a call to a worker and of an append to the store, in milliseconds.
const CALL_MS: u64 = 5;
/// Time after which a call to a lost worker fails, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 400;
/// Longest time between two rounds of the shard, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 20;
/// Outage of the store from which jobs are rejected that couldn't be stored, in milliseconds.
const REJECT_UNSENT_MS: u64 = 500;
/// Factor by which tasks take longer on slow machines.
const SLOW_FACTOR: u64 = 5;
/// Time after which a task fails on a failing machine, in milliseconds.
const FAILURE_MS: u64 = 50;
/// Caller of the long-running jobs, whose replies nobody awaits.
const SITE_CALLER: CallerId = CallerId(u64::MAX);

/// Fault of a machine that its worker's runs notice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum RunFault {
    /// Runs work.
    #[default]
    None,
    /// Runs take longer.
    Slow,
    /// Runs fail.
    Failing,
}

/// A worker of the pool as the simulation sees it.
#[derive(Debug)]
pub(super) struct PoolWorker {
    pub(super) worker: SimulatedWorker,
    pub(super) fault: RunFault,
}

/// Result of a call that is on its way to the owner.
#[derive(Debug)]
enum Response {
    Started(StartCommand, CommandOutcome),
    Stopped(StopCommand, CommandOutcome),
    Polled(PollResponse),
    PollFailed(WorkerPoll),
}

/// An owner with its shard.
#[derive(Debug)]
pub(super) struct Owner<'a> {
    pub(super) shard: Shard,
    /// Workers that run, by id; calls to others fail.
    pub(super) workers: BTreeMap<WorkerId, PoolWorker>,
    /// Replies to callers since they were last taken.
    pub(super) replies: Vec<(CallerId, CallerReply)>,
    pool: &'a PoolDescription,
    trace: &'a Trace,
    responses: Vec<(u64, Response)>,
    /// Commit that the store is appending, and when it will be done.
    commit: Option<(u64, Commit)>,
    last_round_ms: u64,
    /// Whether something has happened since the last round.
    has_news: bool,
}

impl<'a> Owner<'a> {
    /// Creates an owner without workers.
    pub(super) fn new(pool: &'a PoolDescription, trace: &'a Trace) -> Self {
        let mut shard = Shard::new(ShardTiming::default());
        shard.set_routes([route_config(pool)]);
        Self {
            shard,
            workers: BTreeMap::new(),
            replies: Vec::new(),
            pool,
            trace,
            responses: Vec::new(),
            commit: None,
            last_round_ms: 0,
            has_news: true,
        }
    }

    /// Submits the pool's long-running tasks as one job.
    pub(super) fn submit_long_running(&mut self, now_ms: u64) {
        let count = self.pool.long_running_tasks;
        if count == 0 {
            return;
        }
        let step = StepSpec {
            count,
            demand: Resources::new(
                (self.pool.task_cores * 1_000.0) as u64,
                MEMORY_PER_CORE_MIB,
                0,
            ),
            long_running: true,
            max_unavailable: Some(1),
            ..StepSpec::default()
        };
        let spec = JobSpec {
            text: Arc::from("long-running"),
            steps: vec![step],
            schedule: None,
        };
        self.shard.submit(
            clocks(now_ms),
            Submission {
                caller: SITE_CALLER,
                id: JobId::from("long-running"),
                route: RouteName::from(self.pool.name.as_str()),
                team: None,
                spec: Arc::new(spec),
            },
        );
    }

    /// Submits a job of the trace.
    pub(super) fn submit(&mut self, now_ms: u64, caller: CallerId, index: usize, job: &TraceJob) {
        self.has_news = true;
        self.shard.submit(
            clocks(now_ms),
            Submission {
                caller,
                id: job_id(index),
                route: RouteName::from(self.pool.name.as_str()),
                team: None,
                spec: Arc::clone(&job.spec),
            },
        );
    }

    /// Cancels a job of the trace.
    pub(super) fn cancel(&mut self, index: usize) {
        self.has_news = true;
        self.shard.cancel(SITE_CALLER, &job_id(index), None);
    }

    /// Delivers what is due, runs a round if anything has happened, and returns the decisions since
    /// the last call. `store_down_ms` is how long the store hasn't responded.
    pub(super) fn advance(&mut self, now_ms: u64, store_down_ms: Option<u64>) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.advance_workers(now_ms);
        let due: Vec<(u64, Response)> = self
            .responses
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, response) in due {
            self.has_news = true;
            self.deliver(now_ms, response);
        }
        self.finish_commit(now_ms, store_down_ms, &mut decisions);
        if let Some(outage_ms) = store_down_ms.filter(|&outage_ms| outage_ms > REJECT_UNSENT_MS) {
            self.shard.reject_unsent_jobs(outage_ms);
        }
        if self.has_news || now_ms >= self.last_round_ms + ROUND_INTERVAL_MS {
            self.has_news = false;
            self.last_round_ms = now_ms;
            self.shard.advance(clocks(now_ms));
        }
        let effects = self.shard.take_ready();
        self.carry_out(now_ms, effects, &mut decisions);
        if self.commit.is_none() {
            let commit = self.shard.take_commit(clocks(now_ms));
            self.commit = commit.map(|commit| (now_ms + CALL_MS, commit));
        }
        decisions
    }

    fn advance_workers(&mut self, now_ms: u64) {
        for pool_worker in self.workers.values_mut() {
            let response = pool_worker.worker.advance(now_ms, START_BOOT_MS + now_ms);
            let response = response.map(|response| (now_ms + CALL_MS, Response::Polled(response)));
            self.responses.extend(response);
        }
    }

    fn finish_commit(
        &mut self,
        now_ms: u64,
        store_down_ms: Option<u64>,
        decisions: &mut Vec<Decision>,
    ) {
        if store_down_ms.is_some() {
            return;
        }
        let is_done = |commit: &mut (u64, Commit)| commit.0 <= now_ms;
        if let Some((_, commit)) = self.commit.take_if(is_done) {
            self.has_news = true;
            let effects = self.shard.finish_commit(commit);
            self.carry_out(now_ms, effects, decisions);
        }
    }

    fn deliver(&mut self, now_ms: u64, response: Response) {
        let now = clocks(now_ms);
        match response {
            Response::Started(command, outcome) => {
                let key = command.target.key;
                self.shard
                    .handle_start_result(now, key, command.task, command.run, &outcome);
            }
            Response::Stopped(command, outcome) => {
                let key = command.target.key;
                self.shard
                    .handle_stop_result(now, key, command.task, command.run, &outcome);
            }
            Response::Polled(response) => {
                let outcome = PollOutcome::Report(response.report);
                self.shard.handle_poll_result(
                    now,
                    response.key,
                    response.durable_sequence,
                    outcome,
                );
            }
            Response::PollFailed(poll) => {
                let outcome = PollOutcome::NoResponse;
                self.shard
                    .handle_poll_result(now, poll.target.key, poll.durable_sequence, outcome);
            }
        }
    }

    fn carry_out(&mut self, now_ms: u64, effects: Vec<Effect>, decisions: &mut Vec<Decision>) {
        for effect in effects {
            match effect {
                Effect::Start(run) => {
                    if let Some(command) = self.shard.start_command(clocks(now_ms), run) {
                        self.begin_run(now_ms, command);
                    }
                }
                Effect::Stop(command) => self.stop_run(now_ms, command),
                Effect::Poll(poll) => self.poll(now_ms, poll),
                Effect::Reply(caller, reply) => self.replies.push((caller, reply)),
                Effect::Log(decision) => decisions.push(decision),
                Effect::SetCpuShare(_) | Effect::QueryPolicy(_) => {}
            }
        }
    }

    fn begin_run(&mut self, now_ms: u64, command: StartCommand) {
        let id = run_id(&command.job, command.task, command.run);
        let Some(pool_worker) = self.workers.get_mut(&command.target.id) else {
            let response = Response::Started(command, CommandOutcome::NoResponse);
            self.responses.push((now_ms + CALL_TIMEOUT_MS, response));
            return;
        };
        let lasts_ms = index_of(&id.job).map(|index| {
            let durations_ms = &self.trace.jobs[index].durations_ms;
            durations_ms[id.step as usize][id.index as usize]
        });
        let (lasts_ms, end) = match (pool_worker.fault, lasts_ms) {
            (RunFault::Slow, Some(lasts_ms)) => (Some(lasts_ms * SLOW_FACTOR), EndKind::Done),
            (RunFault::Failing, _) => (Some(FAILURE_MS), EndKind::Failed),
            (_, lasts_ms) => (lasts_ms, EndKind::Done),
        };
        pool_worker.worker.begin(now_ms, id, lasts_ms, end);
        let outcome = CommandOutcome::Done(Some(START_BOOT_MS + now_ms));
        let response = Response::Started(command, outcome);
        self.responses.push((now_ms + CALL_MS, response));
    }

    fn stop_run(&mut self, now_ms: u64, command: StopCommand) {
        let id = run_id(&command.job, command.task, command.run);
        let (delay_ms, outcome) = match self.workers.get_mut(&command.target.id) {
            Some(pool_worker) => {
                pool_worker.worker.stop(now_ms, &id);
                (CALL_MS, CommandOutcome::Done(Some(START_BOOT_MS + now_ms)))
            }
            None => (CALL_TIMEOUT_MS, CommandOutcome::NoResponse),
        };
        let response = Response::Stopped(command, outcome);
        self.responses.push((now_ms + delay_ms, response));
    }

    fn poll(&mut self, now_ms: u64, poll: WorkerPoll) {
        if let Some(pool_worker) = self.workers.get_mut(&poll.target.id) {
            pool_worker.worker.hold(now_ms, poll);
            return;
        }
        let response = Response::PollFailed(poll);
        self.responses.push((now_ms + CALL_TIMEOUT_MS, response));
    }
}

/// Returns the id of a run as its worker reports it.
fn run_id(job: &JobId, task: TaskKey, run: u32) -> TaskRunId {
    TaskRunId {
        job: job.clone(),
        occurrence: task.occurrence,
        step: task.step,
        index: task.index,
        run,
    }
}
