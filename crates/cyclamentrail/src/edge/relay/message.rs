//! Messages between an owner and its relays.

use cyclamentrail_adapter::WorkerClient;
use cyclamentrail_jobs::{
    CommandOutcome, CpuShareCommand, PollOutcome, StartCommand, StopCommand, WorkerPoll,
    WorkerTarget,
};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::frames::{Halve, split_off_half};

new_key_type! {
    /// Identifies a call to a worker at the owner that decided on it.
    pub(crate) struct CallId;
}

/// Call to a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WorkerCall {
    /// Starts a run.
    Start(StartCommand),
    /// Stops a run.
    Stop(StopCommand),
    /// Sets the processor share of a run.
    SetCpuShare(CpuShareCommand),
    /// Fetches the worker's runs and renews its lease.
    Poll(WorkerPoll),
}

impl WorkerCall {
    /// Returns the worker that the call is sent to.
    pub(crate) const fn target(&self) -> &WorkerTarget {
        match self {
            Self::Start(command) => &command.target,
            Self::Stop(command) => &command.target,
            Self::SetCpuShare(command) => &command.target,
            Self::Poll(poll) => &poll.target,
        }
    }

    /// Sends the call and waits for its outcome.
    pub(crate) async fn send(&self, client: &WorkerClient) -> CallOutcome {
        match self {
            Self::Start(command) => CallOutcome::Command(client.start(command).await),
            Self::Stop(command) => CallOutcome::Command(client.stop(command).await),
            Self::SetCpuShare(command) => {
                CallOutcome::CpuShare(client.set_cpu_share(command).await)
            }
            Self::Poll(poll) => CallOutcome::Poll(client.poll(poll).await),
        }
    }

    /// Returns the outcome of this call when it was too late to send it.
    pub(crate) const fn expired(&self) -> CallOutcome {
        match self {
            Self::Start(_) | Self::Stop(_) => CallOutcome::Command(CommandOutcome::Expired),
            Self::SetCpuShare(_) => CallOutcome::CpuShare(false),
            Self::Poll(_) => CallOutcome::Poll(PollOutcome::NotSent),
        }
    }
}

/// Outcome of a call to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallOutcome {
    /// Outcome of a start or stop command.
    Command(CommandOutcome),
    /// Whether the worker applied the processor share.
    CpuShare(bool),
    /// Outcome of a poll.
    Poll(PollOutcome),
}

impl CallOutcome {
    /// Returns the outcome that is reported where this one is too long for any frame. Only the report of
    /// a worker is of variable length.
    pub(crate) fn without_content(self) -> Self {
        match self {
            Self::Poll(_) => Self::Poll(PollOutcome::NoResponse),
            Self::Command(_) | Self::CpuShare(_) => self,
        }
    }
}

/// Outcome of the call with an id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallResult {
    pub(crate) id: CallId,
    pub(crate) outcome: CallOutcome,
}

/// Call that a relay sends for an owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RelayedCall {
    pub(crate) id: CallId,
    pub(crate) call: WorkerCall,
}

/// Calls that a relay sends at once, unless they have expired. Times are in milliseconds on the
/// relay's boot clock, so that the time for which a batch waits anywhere counts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RelayBatch {
    /// Time until which starts may be sent.
    pub(crate) starts_until_ms: u64,
    /// Time until which the other calls may be sent.
    pub(crate) others_until_ms: u64,
    /// Calls in the order in which the owner decided on them.
    pub(crate) calls: Vec<RelayedCall>,
}

impl RelayBatch {
    /// Returns the time until which a call of this batch may be sent.
    pub(crate) const fn until_ms(&self, call: &WorkerCall) -> u64 {
        match call {
            WorkerCall::Start(_) => self.starts_until_ms,
            WorkerCall::Stop(_) | WorkerCall::SetCpuShare(_) | WorkerCall::Poll(_) => {
                self.others_until_ms
            }
        }
    }
}

/// Frame from an owner to a relay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum OwnerFrame {
    /// Opens the session; the first frame.
    Open {
        /// Shard of the owner.
        shard: String,
        /// Number of the owner's claim, for log lines.
        token: u64,
    },
    /// Calls to send.
    Batch(RelayBatch),
    /// Keeps the session open while there is nothing to send.
    KeepAlive,
}

impl OwnerFrame {
    /// Returns the calls of a batch.
    pub(crate) fn into_calls(self) -> Vec<RelayedCall> {
        match self {
            Self::Batch(batch) => batch.calls,
            Self::Open { .. } | Self::KeepAlive => Vec::new(),
        }
    }
}

impl Halve for OwnerFrame {
    fn split_off_half(&mut self) -> Option<Self> {
        let Self::Batch(batch) = self else {
            return None;
        };
        Some(Self::Batch(RelayBatch {
            calls: split_off_half(&mut batch.calls)?,
            ..*batch
        }))
    }
}

/// Frame from a relay to an owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RelayReport {
    /// Reading of the relay's boot clock, in milliseconds.
    pub(crate) clock_ms: u64,
    /// Whether the relay is about to exit and takes no more calls.
    pub(crate) is_leaving: bool,
    /// Outcomes since the last report.
    pub(crate) results: Vec<CallResult>,
}

impl Halve for RelayReport {
    fn split_off_half(&mut self) -> Option<Self> {
        Some(Self {
            results: split_off_half(&mut self.results)?,
            ..*self
        })
    }
}
