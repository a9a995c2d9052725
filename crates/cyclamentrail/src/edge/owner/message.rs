//! Messages to the task of an owner.

use std::time::Duration;

use cyclamentrail_adapter::StoreError;
use cyclamentrail_jobs::{
    AdviceOutcome, AdviceQuery, CommandOutcome, Commit, PollOutcome, TaskKey, WorkerKey,
};
use tokio::sync::oneshot;

use crate::edge::commit_log::CommitLog;
use crate::edge::messages::{OwnerRequest, Reply};

/// Message to the task of an owner.
#[derive(Debug)]
pub(crate) enum OwnerMessage {
    /// Request of a caller or another process, with the channel for the reply.
    Request(OwnerRequest, oneshot::Sender<Reply>),
    /// Outcome of a start command.
    StartResult(StartResult),
    /// Outcome of a stop command for a run, given by task and number of the run.
    StopResult(TaskKey, u32, CommandOutcome),
    /// Whether a worker accepted the share, in percent, at which a run may work.
    CpuShareResult(TaskKey, u32, bool),
    /// Response of a queue's policy to a query.
    AdviceResult(Box<AdviceQuery>, AdviceOutcome),
    /// Outcome of a worker poll.
    PollResult(PollResult),
    /// Result of a commit: the log for the next one, or why the commit will never be durable.
    CommitResult(Box<Commit>, Result<Box<CommitLog>, StoreError>),
    /// Request to give up the shard.
    Stop,
}

/// Outcome of a start command for a run.
#[derive(Debug)]
pub(crate) struct StartResult {
    pub(super) worker: WorkerKey,
    pub(super) task: TaskKey,
    pub(super) run: u32,
    pub(super) outcome: CommandOutcome,
    /// Time from the sending of the command to its outcome.
    pub(super) duration: Duration,
}

/// Outcome of a poll of a worker.
#[derive(Debug)]
pub(crate) struct PollResult {
    pub(super) worker: WorkerKey,
    /// Sequence number up to which the poll acknowledged ended runs.
    pub(super) durable_sequence: u64,
    pub(super) outcome: PollOutcome,
    /// Time from the sending of the poll to its outcome, less the time for which the worker was
    /// allowed to wait.
    pub(super) duration: Duration,
}
