//! Messages between the processes of the system, and between the tasks of one.

use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, ServiceName, WorkerId};
use cyclamentrail_jobs::{Answer, JobSpec, JobState, PoolLoad, RejectReason, WorkerLoad};
use serde::{Deserialize, Serialize};

use super::operator_views::{JobView, ShardView};

/// Name of the shard that holds the duties over machines.
pub(crate) const FLEET_SHARD: &str = "_fleet";

/// A question to the owner of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OwnerCall {
    /// The service.
    pub(crate) service: ServiceName,
    /// What is asked.
    #[serde(rename = "question")]
    pub(crate) request: OwnerRequest,
}

/// What the owner of a service is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum OwnerRequest {
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
    /// Whether this process acts as the owner.
    #[serde(rename = "Standing")]
    Status,
    /// To stop acting as the owner, because another process has claimed the shard.
    Release,
    /// What the owner knows of its workers and jobs.
    Describe,
    /// What the owner knows of a job.
    Explain(JobId),
    /// To keep exactly these workers empty; answers with the load of the pool.
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
    State(JobStateMessage),
    /// There is no such job.
    Unknown,
    /// The job is cancelled.
    Cancelled,
    /// Jobs that haven't begun.
    Pending(u64),
    /// The load of the service's pool.
    Load(PoolLoadMessage),
    /// The owner's workers and jobs.
    Shard(ShardView),
    /// A job.
    Job(Box<JobView>),
    /// This process acts as the owner.
    #[serde(rename = "Standing")]
    Status(OwnershipStatus),
    /// This process no longer acts as the owner, and won't.
    Released,
    /// This process doesn't own the service, and did nothing.
    NotOwner,
}

/// How well a process stands as the owner of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnershipStatus {
    /// Time since the store last confirmed the ownership, in milliseconds.
    pub(crate) confirmed_age_ms: u64,
    /// Shards that the process owns.
    pub(crate) shards: u64,
}

/// Load of a pool between processes; see [`PoolLoad`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PoolLoadMessage {
    demand_milli: u64,
    waiting_ms: u64,
    running_milli: u64,
    long_running_milli: u64,
    /// Worker, its tasks, and its long-running tasks.
    workers: Vec<(WorkerId, u32, u32)>,
}

impl From<PoolLoad> for PoolLoadMessage {
    fn from(load: PoolLoad) -> Self {
        Self {
            demand_milli: load.demand_milli,
            waiting_ms: load.waiting_ms,
            running_milli: load.running_milli,
            long_running_milli: load.long_running_milli,
            workers: load
                .workers
                .into_iter()
                .map(|load| (load.worker, load.tasks, load.long_running))
                .collect(),
        }
    }
}

impl From<PoolLoadMessage> for PoolLoad {
    fn from(message: PoolLoadMessage) -> Self {
        let worker = |(worker, tasks, long_running)| WorkerLoad {
            worker,
            tasks,
            long_running,
        };
        Self {
            demand_milli: message.demand_milli,
            waiting_ms: message.waiting_ms,
            running_milli: message.running_milli,
            long_running_milli: message.long_running_milli,
            workers: message.workers.into_iter().map(worker).collect(),
        }
    }
}

/// State of a job between processes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum JobStateMessage {
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

impl From<JobState> for JobStateMessage {
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

impl From<JobStateMessage> for JobState {
    fn from(message: JobStateMessage) -> Self {
        match message {
            JobStateMessage::Queued => Self::Queued,
            JobStateMessage::Running => Self::Running,
            JobStateMessage::Completed => Self::Completed,
            JobStateMessage::Failed => Self::Failed,
            JobStateMessage::Cancelled => Self::Cancelled,
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
