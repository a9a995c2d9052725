//! Messages between the processes of the system, and between the tasks of one.

use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, ServiceName, WorkerId};
use cyclamentrail_jobs::{Answer, JobSpec, JobState, RejectReason};
use serde::{Deserialize, Serialize};

/// Name of the shard that holds the duties over machines.
pub(crate) const FLEET_SHARD: &str = "_fleet";

/// A question to the owner of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Ask {
    /// The service.
    pub(crate) service: ServiceName,
    /// What is asked.
    pub(crate) question: Question,
}

/// What the owner of a service is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Question {
    /// To accept a job.
    Submit {
        /// Its id.
        id: JobId,
        /// Its route.
        route: RouteName,
        /// What is to be done.
        spec: Arc<JobSpec>,
    },
    /// The state of a job.
    State(JobId),
    /// To cancel a job.
    Cancel(JobId),
    /// How many jobs of a route haven't begun.
    Pending(RouteName),
    /// To stop acting as the owner, because another process has claimed the shard.
    Release,
    /// To keep workers empty; answers which still have tasks.
    Evacuate(Vec<WorkerId>),
}

/// What the owner of a service answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The job is accepted and stored.
    Accepted,
    /// The job isn't accepted and never runs.
    Rejected {
        /// When its caller may come back, in milliseconds.
        retry_after_ms: u64,
        /// Whether it is because of the load.
        is_overload: bool,
    },
    /// The job is malformed.
    Malformed,
    /// The state of a job.
    State(StateWord),
    /// There is no such job.
    Unknown,
    /// The job is cancelled.
    Cancelled,
    /// Jobs that haven't begun.
    Pending(u64),
    /// Workers of those asked for on which something is still placed.
    Busy(Vec<WorkerId>),
    /// This process no longer acts as the owner, and won't.
    Released,
    /// This process doesn't own the service, and did nothing.
    NotOwner,
}

/// State of a job between processes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum StateWord {
    /// See [`JobState::Queued`].
    Queued,
    /// See [`JobState::Running`].
    Running,
    /// See [`JobState::Completed`].
    Completed,
    /// See [`JobState::Failed`].
    Failed,
    /// See [`JobState::Cancelled`].
    Cancelled,
}

impl From<JobState> for StateWord {
    fn from(state: JobState) -> Self {
        match state {
            JobState::Queued => Self::Queued,
            JobState::Running => Self::Running,
            JobState::Completed => Self::Completed,
            JobState::Failed => Self::Failed,
            JobState::Cancelled => Self::Cancelled,
        }
    }
}

impl From<StateWord> for JobState {
    fn from(word: StateWord) -> Self {
        match word {
            StateWord::Queued => Self::Queued,
            StateWord::Running => Self::Running,
            StateWord::Completed => Self::Completed,
            StateWord::Failed => Self::Failed,
            StateWord::Cancelled => Self::Cancelled,
        }
    }
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Accepted => Self::Accepted,
            Answer::Rejected {
                retry_after_ms,
                reason,
            } => Self::Rejected {
                retry_after_ms,
                is_overload: reason == RejectReason::Overload,
            },
            Answer::Malformed => Self::Malformed,
            Answer::State(state) => Self::State(state.into()),
            Answer::Unknown => Self::Unknown,
            Answer::Cancelled => Self::Cancelled,
            Answer::Pending(count) => Self::Pending(count),
        }
    }
}
