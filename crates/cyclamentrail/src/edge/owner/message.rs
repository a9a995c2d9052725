//! Messages to the task of an owner.

use std::net::SocketAddr;

use cyclamentrail_adapter::StoreError;
use cyclamentrail_jobs::{AdviceOutcome, AdviceQuery, Commit, QuotaReply};
use tokio::sync::oneshot;

use crate::edge::commit_log::CommitLog;
use crate::edge::messages::{OwnerRequest, Reply};
use crate::edge::owner::queues::PublishedQueues;
use crate::edge::relay::{CallResult, SessionEvent};

/// Message to the task of an owner.
#[derive(Debug)]
pub(crate) enum OwnerMessage {
    /// Request of a caller or another process, with the channel for the reply.
    Request(OwnerRequest, oneshot::Sender<Reply>),
    /// Outcome of a call that the owner sent to a worker itself.
    CallResult(CallResult),
    /// Event of the session with the relay at an address.
    Relay(SocketAddr, SessionEvent),
    /// Response of a queue's policy to a query.
    AdviceResult(Box<AdviceQuery>, AdviceOutcome),
    /// Queues that were published, and those of them that may be opened.
    QueuesPublished(PublishedQueues),
    /// Result of a commit: the log for the next one, or why the commit will never be durable.
    CommitResult(Box<Commit>, Result<Box<CommitLog>, StoreError>),
    /// Reply of the ledger to the quota report with a number; `None` if there was none in time.
    QuotaReply(u64, Option<QuotaReply>),
    /// The claims have been read, or not, before the first quota report.
    LedgerRead(bool),
    /// Request to give up the shard.
    Stop,
}
