//! Messages between the processes of the system, and between the tasks of one process.

use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, ServiceName, TeamName, WorkerId};
use cyclamentrail_jobs::{
    CallerReply, ConfigurationOrder, JobSpec, JobState, PoolLoad, QueueId, QuotaReply, QuotaReport,
    RejectReason, WorkerTaskCounts,
};
use serde::{Deserialize, Serialize};

use super::operator_views::{JobView, ShardView};

/// Name of the shard whose owner holds the duties over machines.
pub(crate) const FLEET_SHARD: &str = "_fleet";

/// Call to the owner of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OwnerCall {
    /// Service, whose name is that of its shard.
    pub(crate) service: ServiceName,
    /// Request to the owner.
    #[serde(rename = "question")]
    pub(crate) request: OwnerRequest,
}

/// Request to the owner of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum OwnerRequest {
    /// Accepts a job.
    Submit(SubmittedJob),
    /// Returns the state of a job.
    State(JobRequest),
    /// Cancels a job.
    Cancel(JobRequest),
    /// Returns the number of jobs of a route that haven't begun.
    Pending(RouteName),
    /// Returns whether, and how well confirmed, the process acts as the owner.
    #[serde(rename = "Standing")]
    Status,
    /// Stops the owner, because another process has claimed the shard.
    Release,
    /// Returns what the owner knows of its workers and jobs.
    Describe,
    /// Returns what the owner knows of a job.
    Explain(JobId),
    /// Keeps exactly these workers empty; workers of an earlier request are used again. Returns the
    /// load of the pool.
    Evacuate(Vec<WorkerId>),
    /// Accepts a job that the former services of its queue don't know.
    SubmitChecked {
        /// Configuration of the queue's opening after which these services were asked.
        opening: ConfigurationOrder,
        /// The job.
        job: SubmittedJob,
    },
    /// Returns the state of a job, provided that the service has closed the job's queue for good.
    FindFormer {
        /// Queue of the job.
        queue: QueueId,
        /// Configuration of its opening elsewhere, for which the service must have closed it.
        opening: ConfigurationOrder,
        /// The job.
        job: JobRequest,
    },
    /// Accepts no more jobs of a queue that a configuration gives to another service.
    CloseQueue {
        /// The queue.
        queue: QueueId,
        /// The configuration.
        order: ConfigurationOrder,
    },
    /// Reports to the ledger of the teams' quota, which the owner of [`FLEET_SHARD`] keeps. Returns the
    /// allowances that change.
    ReportQuota(QuotaReport),
}

/// Job that a caller submits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SubmittedJob {
    /// Id of the job, which its caller chose.
    pub(crate) id: JobId,
    /// Route on which the job was submitted.
    pub(crate) route: RouteName,
    /// Steps and schedule of the job.
    pub(crate) spec: Arc<JobSpec>,
    /// Team of the caller; `None` for a public route. Left out then, because processes of earlier
    /// versions don't know the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) team: Option<TeamName>,
}

/// Job that a caller names, with the caller's team. Without a team it is sent as the id alone, as
/// earlier versions do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "JobRequestMessage", into = "JobRequestMessage")]
pub(crate) struct JobRequest {
    /// Id of the job.
    pub(crate) id: JobId,
    /// Team of the caller; `None` for a public route.
    pub(crate) team: Option<TeamName>,
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum JobRequestMessage {
    Id(JobId),
    OfTeam(JobId, TeamName),
}

impl From<JobRequestMessage> for JobRequest {
    fn from(message: JobRequestMessage) -> Self {
        match message {
            JobRequestMessage::Id(id) => Self { id, team: None },
            JobRequestMessage::OfTeam(id, team) => Self {
                id,
                team: Some(team),
            },
        }
    }
}

impl From<JobRequest> for JobRequestMessage {
    fn from(request: JobRequest) -> Self {
        match request.team {
            Some(team) => Self::OfTeam(request.id, team),
            None => Self::Id(request.id),
        }
    }
}

/// Reply of the owner of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The job is accepted and stored.
    Accepted,
    /// The job is rejected and never runs.
    Rejected {
        /// Time after which the caller may submit the job again, in milliseconds.
        retry_after_ms: u64,
        /// Whether the job is rejected because of the load.
        is_overload: bool,
    },
    /// The job is malformed.
    Malformed,
    /// State of the job.
    State(JobStateMessage),
    /// The owner doesn't know the job, or no longer keeps it.
    Unknown,
    /// The job belongs to another team.
    OtherTeam,
    /// The job is cancelled.
    Cancelled,
    /// Number of the route's jobs that haven't begun.
    Pending(u64),
    /// Load of the service's pool.
    Load(PoolLoadMessage),
    /// Workers and jobs of the owner.
    Shard(ShardView),
    /// What the owner knows of the job.
    Job(Box<JobView>),
    /// The process acts as the owner.
    #[serde(rename = "Standing")]
    Status(OwnershipStatus),
    /// The process no longer acts as the owner, and won't under its current claim.
    Released {
        /// Time since the store last confirmed the ownership, in milliseconds; `None` if the
        /// ownership had ended before.
        confirmed_age_ms: Option<u64>,
        /// For how long an owner before this one may still act, in milliseconds; `None` if that isn't
        /// known, as with processes of earlier versions. These can't read a reply with it, and take
        /// the owner for one that may still act.
        #[serde(default)]
        earlier_acts_ms: Option<u64>,
    },
    /// Allowances that change.
    Quota(QuotaReply),
    /// The process doesn't own the service, and did nothing.
    NotOwner,
    /// The owner can't tell whether the job is accepted, or what became of it: another service may
    /// have it, or its records can't be read.
    Undecided,
    /// The job isn't accepted before these services have said that they don't know it.
    CheckFormer {
        /// The queue.
        queue: QueueId,
        /// Configuration of its opening.
        opening: ConfigurationOrder,
        /// Services that have closed the queue and may have the job.
        former: Vec<ServiceName>,
    },
    /// The service accepts no more jobs of the queue.
    QueueClosed,
    /// A later configuration gives the queue to this service, which goes on accepting its jobs.
    QueueKept,
}

/// Status of a process as the owner of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnershipStatus {
    /// Time since the store last confirmed the ownership, in milliseconds.
    pub(crate) confirmed_age_ms: u64,
    /// Number of shards that the process owns or is taking over.
    pub(crate) shards: u64,
    /// Tasks per second that the process can start for all of its shards; 0 if it doesn't tell.
    #[serde(default)]
    pub(crate) tasks_per_s: u64,
}

/// Load of a pool as sent between processes; see [`PoolLoad`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PoolLoadMessage {
    demand_milli: u64,
    waiting_ms: u64,
    running_milli: u64,
    long_running_milli: u64,
    /// Each worker's id, number of tasks, and number of long-running tasks.
    workers: Vec<(WorkerId, u32, u32)>,
}

impl From<PoolLoad> for PoolLoadMessage {
    fn from(load: PoolLoad) -> Self {
        Self {
            demand_milli: load.demand_milli,
            waiting_ms: load.waiting_work_ms,
            running_milli: load.running_milli,
            long_running_milli: load.long_running_milli,
            workers: load
                .workers
                .into_iter()
                .map(|load| (load.worker, load.tasks, load.long_running_tasks))
                .collect(),
        }
    }
}

impl From<PoolLoadMessage> for PoolLoad {
    fn from(message: PoolLoadMessage) -> Self {
        let worker = |(worker, tasks, long_running_tasks)| WorkerTaskCounts {
            worker,
            tasks,
            long_running_tasks,
        };
        Self {
            demand_milli: message.demand_milli,
            waiting_work_ms: message.waiting_ms,
            running_milli: message.running_milli,
            long_running_milli: message.long_running_milli,
            workers: message.workers.into_iter().map(worker).collect(),
        }
    }
}

/// State of a job as sent between processes.
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

impl From<CallerReply> for Reply {
    fn from(reply: CallerReply) -> Self {
        match reply {
            CallerReply::Accepted => Self::Accepted,
            CallerReply::Rejected {
                retry_after_ms,
                reason,
            } => Self::Rejected {
                retry_after_ms,
                is_overload: matches!(reason, RejectReason::Overload | RejectReason::OverRate),
            },
            CallerReply::Malformed => Self::Malformed,
            CallerReply::State(state) => Self::State(state.into()),
            CallerReply::UnknownJob => Self::Unknown,
            CallerReply::OtherTeam => Self::OtherTeam,
            CallerReply::Cancelled => Self::Cancelled,
            CallerReply::PendingJobs(count) => Self::Pending(count),
            CallerReply::Held => Self::Undecided,
            CallerReply::QueueClosed => Self::QueueClosed,
        }
    }
}
