//! What a shard wants done, and what its surroundings report.

use std::net::SocketAddr;
use std::sync::Arc;

use cyclamentrail_core::{JobId, WorkerId};

use crate::grants::StepKey;
use crate::job::{JobState, TaskKey};
use crate::worker::WorkerKey;

/// Names a caller who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerTicket(pub u64);

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is accepted and stored.
    Accepted,
    /// The job isn't accepted and never runs; the caller may come back later.
    Rejected {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
        /// Why.
        reason: RejectReason,
    },
    /// The job can't be run by anybody: it is malformed.
    Malformed,
    /// The state of a job.
    State(JobState),
    /// There is no such job.
    Unknown,
    /// The job is cancelled.
    Cancelled,
    /// Jobs of a route that haven't begun.
    Pending(u64),
}

/// Why a job was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It would not be done in time.
    Overload,
    /// No worker can ever hold one of its tasks.
    NoSuchWorker,
    /// The owner keeps as many jobs as it can.
    TooManyJobs,
    /// The owner has just taken over and isn't ready.
    NotReady,
}

impl RejectReason {
    /// Returns the name in logs and labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::NoSuchWorker => "no_such_worker",
            Self::TooManyJobs => "too_many_jobs",
            Self::NotReady => "not_ready",
        }
    }
}

/// The worker that a call goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its key.
    pub key: WorkerKey,
    /// Its id, which the call names.
    pub id: WorkerId,
    /// The life that is meant.
    pub born_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Who is to start it.
    pub target: Target,
    /// The task.
    pub task: TaskKey,
    /// Its job's id.
    pub job: JobId,
    /// Number of the run.
    pub run: u32,
    /// Text of the job.
    pub text: Arc<str>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub until_ms: u64,
    /// Where to resume; empty for the beginning.
    pub checkpoint: Arc<str>,
    /// Grant of the queue's policy, if it has one.
    pub grant: Option<Arc<str>>,
}

/// An order to stop a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Who is to stop it.
    pub target: Target,
    /// The task.
    pub task: TaskKey,
    /// Its job's id.
    pub job: JobId,
    /// Number of the run.
    pub run: u32,
}

/// An order to let a task work at a share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceOrder {
    /// Where it runs.
    pub target: Target,
    /// The task.
    pub task: TaskKey,
    /// Its job's id.
    pub job: JobId,
    /// Number of the run.
    pub run: u32,
    /// The share in percent.
    pub percent: u32,
}

/// A look at a worker: renews the lease and asks what runs and what has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Look {
    /// Who is asked.
    pub target: Target,
    /// End of the lease on the worker's clock in milliseconds, if it is to be renewed.
    pub until_ms: Option<u64>,
    /// Number of the last end that is durable.
    pub seen: u64,
    /// How long the worker may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// A question to a queue's policy: which of these workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuestion {
    /// The step.
    pub step: StepKey,
    /// Its job's id.
    pub job: JobId,
    /// The workers by their ids.
    pub workers: Vec<WorkerId>,
    /// The same workers by their keys.
    pub asked: Vec<WorkerKey>,
    /// When it was asked, on our clock in milliseconds.
    pub sent_ms: u64,
}

/// A worker that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRow {
    /// The worker.
    pub worker: WorkerId,
    /// What shows the worker that it may.
    pub ticket: Arc<str>,
}

/// What became of a question to a queue's policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdviceOutcome {
    /// Those of the named workers that may run the step.
    Granted {
        /// The workers.
        rows: Vec<GrantRow>,
        /// How long the tickets are valid, in milliseconds.
        valid_ms: u64,
    },
    /// Nothing was answered, or the service is busy.
    NoAnswer,
}

/// Something to be done outside of the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Answer a caller.
    Answer(CallerTicket, Answer),
    /// Ask for the order to start a task, and send it.
    Start(TaskKey),
    /// Send an order to stop a task.
    Stop(StopOrder),
    /// Look at a worker.
    Look(Look),
    /// Set the share at which a task works.
    Pace(PaceOrder),
    /// Ask a queue's policy which workers may run a step.
    Advise(AdviceQuestion),
    /// Tell what was decided.
    Note(Note),
}

/// A decision or observation worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// Expected wait of its first task in milliseconds.
        wait_ms: u64,
    },
    /// A job was rejected.
    Rejected {
        /// The job.
        job: JobId,
        /// Why.
        reason: RejectReason,
        /// Expected wait of its first task in milliseconds.
        wait_ms: u64,
    },
    /// A run ended.
    Ended {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// How it ended.
        how: EndKind,
        /// The worker.
        worker: WorkerId,
    },
    /// A run is no longer on its worker.
    Vanished {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskKey,
        /// The worker.
        worker: WorkerId,
        /// What shows that it is gone.
        proof: GoneProof,
    },
    /// A job became final.
    Final {
        /// The job.
        job: JobId,
        /// How.
        state: JobState,
        /// Time since its acceptance in milliseconds.
        took_ms: u64,
    },
    /// A worker answers again, or no longer.
    Contact {
        /// The worker.
        worker: WorkerId,
        /// Whether it answers.
        answers: bool,
    },
    /// A worker has started anew.
    Reborn {
        /// The worker.
        worker: WorkerId,
    },
    /// Nothing is placed on a worker for a while.
    Avoided {
        /// The worker.
        worker: WorkerId,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A task whose turn has come hasn't begun for a while.
    Waiting {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskKey,
        /// Time since its job was accepted, in milliseconds.
        age_ms: u64,
        /// What it waits for.
        reason: WaitReason,
    },
    /// The share of the tasks that fill a worker was changed.
    Paced {
        /// The worker.
        worker: WorkerId,
        /// The new share in percent.
        percent: u32,
        /// Worst tail of a serving task there, in percent of its target.
        worst_percent: u64,
    },
    /// A run makes no progress and is stopped.
    Stalled {
        /// The job.
        job: JobId,
        /// The worker.
        worker: WorkerId,
    },
}

/// What a task waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// For a worker with room.
    Room,
    /// For its start to be sent.
    Sending,
    /// For its worker to answer the start.
    Answer,
    /// For its last run to stop.
    Stop,
}

impl WaitReason {
    /// Returns the name in logs and labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Sending => "sending",
            Self::Answer => "answer",
            Self::Stop => "stop",
        }
    }
}

/// What shows that a run is no longer on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoneProof {
    /// The lease has surely ended.
    LeaseOver,
    /// The worker has started anew.
    Reborn,
    /// The worker says that it has no such run.
    NotListed,
    /// The order was never sent.
    NeverSent,
    /// The worker rejected the order.
    Rejected,
}

impl GoneProof {
    /// Returns the name in logs and labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LeaseOver => "lease_over",
            Self::Reborn => "worker_restarted",
            Self::NotListed => "not_listed",
            Self::NeverSent => "never_sent",
            Self::Rejected => "rejected",
        }
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed by its own or its worker's fault.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited for its gang in vain.
    Alone,
}

impl EndKind {
    /// Returns the name in logs and labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// Names a run of a task in a worker's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunName {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task.
    pub index: u32,
    /// Number of the run.
    pub run: u32,
}

/// A run that a worker reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRow {
    /// The run.
    pub name: RunName,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Its progress in percent.
    pub percent: u32,
    /// Tail of response times in milliseconds for a serving task, else processor in use in
    /// thousandths of a core.
    pub load: u64,
}

/// An end that a worker reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRow {
    /// Its number in this life of the worker.
    pub number: u64,
    /// The run.
    pub name: RunName,
    /// How it ended.
    pub how: EndKind,
    /// Its last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// A worker's answer to a look.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The life that answered, if it says so.
    pub born_ms: Option<u64>,
    /// Its clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What has ended.
    pub ended: Vec<EndedRow>,
}

/// What became of a call to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It did as told; its clock in milliseconds, if it said so.
    Done(Option<u64>),
    /// It rejected the order.
    Rejected(OrderRejection, Option<u64>),
    /// It did nothing, because it isn't well.
    Unwell,
    /// Another life of the worker answered.
    OtherLife,
    /// Nobody answered; the order may be carried out later.
    NoAnswer,
    /// The order wasn't sent.
    NotSent,
}

/// Why a worker rejected an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRejection {
    /// It has seen a higher fencing token.
    Fence,
    /// A run with this number or a later one has been there.
    Old,
    /// The lease has ended.
    Late,
    /// There is no room.
    Room,
    /// The grant isn't valid.
    Grant,
    /// It can't make sense of the order.
    Malformed,
}

/// What became of a look.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookOutcome {
    /// The worker answered.
    Report(Report),
    /// It has seen a higher fencing token.
    Fenced,
    /// Another life of the worker answered.
    OtherLife,
    /// Nobody answered.
    NoAnswer,
    /// The look wasn't sent.
    NotSent,
}
