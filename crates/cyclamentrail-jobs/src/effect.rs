//! Effects that a shard requests from its owner. Their outcomes are in `outcome`.

use std::net::SocketAddr;
use std::sync::Arc;

use cyclamentrail_core::{JobId, TeamName, WorkerId};
use serde::{Deserialize, Serialize};

use crate::fencing_token::FencingToken;
use crate::grants::StepKey;
use crate::job::{JobState, PlacedRun, TaskKey};
use crate::lease::LeaseBound;
use crate::quota::AllowanceChange;
use crate::worker::WorkerKey;

mod outcome;

pub use outcome::{
    ActiveRun, CommandOutcome, CommandRejection, EndKind, EndedRun, PollOutcome, TaskRunId,
    Timeliness, WorkerReport,
};

/// Identifies a caller that waits for a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerId(pub u64);

/// Reply to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerReply {
    /// The job is accepted and its record is durable.
    Accepted,
    /// The job was not accepted and never runs; the caller may submit it again later.
    Rejected {
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
        /// Reason for the rejection.
        reason: RejectReason,
    },
    /// The job's description is invalid, so that no worker could ever run it.
    Malformed,
    /// State of the requested job.
    State(JobState),
    /// The shard has no job with the requested id.
    UnknownJob,
    /// The job belongs to another team.
    OtherTeam,
    /// The job is cancelled.
    Cancelled,
    /// Number of a route's jobs of which no task has started.
    PendingJobs(u64),
    /// The job is held, because a record of it can't be read; what becomes of it isn't known.
    Held,
    /// The queue is closed for the configuration that the caller acts on.
    QueueClosed,
}

/// Reason for which a job was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The backlog is so long that the job would end too late.
    Overload,
    /// The team sends more jobs than its weight a second, and the pool has no room for the excess.
    OverRate,
    /// No registered worker, even when empty, can run one of the job's tasks: it lacks the
    /// capacity or the required label.
    NoSuitableWorker,
    /// The owner already keeps as many jobs as it may.
    TooManyJobs,
    /// The owner can't accept the job at present: it is taking over the shard, doesn't know the
    /// job's route or can't reach the store.
    NotReady,
}

impl RejectReason {
    /// Returns the reason as it is written in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::OverRate => "over_rate",
            Self::NoSuitableWorker => "no_such_worker",
            Self::TooManyJobs => "too_many_jobs",
            Self::NotReady => "not_ready",
        }
    }
}

/// Address and identity of the worker that a call is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTarget {
    /// Key of the worker in the shard.
    pub key: WorkerKey,
    /// Id of the worker, which the call carries.
    pub id: WorkerId,
    /// Start time of the addressed incarnation, as Unix time in milliseconds.
    pub started_ms: u64,
    /// Address at which the worker accepts calls.
    pub address: SocketAddr,
    /// Fencing token of the call.
    pub token: FencingToken,
}

/// Command to start a run of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartCommand {
    /// Worker that the command is sent to.
    pub target: WorkerTarget,
    /// Task that the command concerns.
    pub task: TaskKey,
    /// Id of the task's job.
    pub job: JobId,
    /// Number of the run, from 1.
    pub run: u32,
    /// Text of the job, which is passed to the task.
    pub text: Arc<str>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// Checkpoint from which the run resumes; empty for a run from the beginning.
    pub checkpoint: Arc<str>,
    /// Ticket by which the queue's policy permits the run on this worker, if the queue has a
    /// policy.
    pub ticket: Option<Arc<str>>,
}

impl StartCommand {
    /// Returns the run that the command concerns.
    #[must_use]
    pub const fn placed_run(&self) -> PlacedRun {
        PlacedRun {
            worker: self.target.key,
            task: self.task,
            run: self.run,
        }
    }
}

/// Command to stop a run of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopCommand {
    /// Worker that the command is sent to.
    pub target: WorkerTarget,
    /// Task that the command concerns.
    pub task: TaskKey,
    /// Id of the task's job.
    pub job: JobId,
    /// Number of the run, from 1.
    pub run: u32,
}

impl StopCommand {
    /// Returns the run that the command concerns.
    #[must_use]
    pub const fn placed_run(&self) -> PlacedRun {
        PlacedRun {
            worker: self.target.key,
            task: self.task,
            run: self.run,
        }
    }
}

/// Command that sets the processor share of a best-effort task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CpuShareCommand {
    /// Worker that the command is sent to.
    pub target: WorkerTarget,
    /// Task that the command concerns.
    pub task: TaskKey,
    /// Id of the task's job.
    pub job: JobId,
    /// Number of the run, from 1.
    pub run: u32,
    /// Share at which the task may work, in percent of its full speed.
    pub share_percent: u32,
}

/// Poll of a worker, which renews its lease and fetches its running tasks and ended runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPoll {
    /// Worker that is polled.
    pub target: WorkerTarget,
    /// New end of the lease on the worker's clock in milliseconds, or `None` if the lease isn't
    /// renewed.
    pub lease_end_ms: Option<u64>,
    /// Highest sequence number of an ended run whose outcome is durable; the worker may drop it
    /// and those before it.
    pub durable_sequence: u64,
    /// Time that the worker may wait for a run to end before it responds, in milliseconds.
    pub wait_ms: u64,
}

/// Query to a queue's policy for tickets that permit workers to run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// Step that is to be placed.
    pub step: StepKey,
    /// Id of the step's job.
    pub job: JobId,
    /// Ids of the workers that the query names.
    pub worker_ids: Vec<WorkerId>,
    /// Keys of the same workers, in the same order.
    pub worker_keys: Vec<WorkerKey>,
    /// Time of the query on the owner's boot clock, in milliseconds.
    pub sent_ms: u64,
}

/// Ticket that permits one worker to run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTicket {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Ticket that the worker checks before it starts a task of the step.
    pub ticket: Arc<str>,
}

/// Outcome of a query to a queue's policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdviceOutcome {
    /// The policy responded with tickets for some, all or none of the named workers.
    Granted {
        /// Workers that may run the step, with their tickets.
        tickets: Vec<WorkerTicket>,
        /// Time for which the tickets are valid, in milliseconds.
        valid_ms: u64,
    },
    /// The policy service didn't respond, was busy or responded with an error.
    NoResponse,
}

/// Action that the owner carries out for the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a reply to a waiting caller.
    Reply(CallerId, CallerReply),
    /// Request the start command of a run from the shard and send it to the run's worker.
    Start(PlacedRun),
    /// Send a command to stop a run.
    Stop(StopCommand),
    /// Poll a worker.
    Poll(WorkerPoll),
    /// Send a command that sets the processor share of a best-effort task.
    SetCpuShare(CpuShareCommand),
    /// Query a queue's policy for tickets for a step.
    QueryPolicy(AdviceQuery),
    /// Write a decision to the log, the metrics and the explanations.
    Log(Decision),
}

/// Share of a team in the pool by which one of its jobs was accepted or rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionShare {
    /// Team of the caller; `None` for a job of a public route.
    pub team: Option<TeamName>,
    /// Time that the team's own backlog takes in its weighted part of the pool, in milliseconds.
    pub own_wait_ms: u64,
    /// Weighted part of the pool among the teams with work, in thousandths.
    pub share_milli: u64,
    /// Whether the team hasn't sent more jobs than its weight a second.
    pub is_within_rate: bool,
}

/// Decision or observation of a shard, for the log, the metrics and the explanations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A job was accepted.
    JobAccepted {
        /// Id of the job.
        job: JobId,
        /// Expected time until the job's first task starts, in milliseconds.
        wait_ms: u64,
        /// Share of the caller's team; `None` where the configuration has no teams.
        share: Option<AdmissionShare>,
    },
    /// A job was rejected.
    JobRejected {
        /// Id of the job.
        job: JobId,
        /// Reason for the rejection.
        reason: RejectReason,
        /// Expected time until the job's first task starts, in milliseconds; for
        /// [`RejectReason::NotReady`], the duration of the store's outage or 0.
        wait_ms: u64,
        /// Part of the capacity of the pool's workers that no task takes, in percent.
        free_percent: u64,
        /// Share of the caller's team, where the decision is based on it.
        share: Option<AdmissionShare>,
    },
    /// A caller's request was refused, because the job belongs to another team.
    AccessDenied {
        /// Id of the job.
        job: JobId,
        /// Team of the caller; `None` on a public route.
        team: Option<TeamName>,
    },
    /// A worker reported that a run has ended.
    RunEnded {
        /// Id of the job.
        job: JobId,
        /// Task that the decision concerns.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// How the run ended.
        end: EndKind,
        /// Id of the worker.
        worker: WorkerId,
    },
    /// A run was removed from its worker without a report of its end.
    RunGone {
        /// Id of the job.
        job: JobId,
        /// Task that the decision concerns.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Whether the worker had confirmed that the run began.
        has_begun: bool,
        /// Whether the incarnation of the worker that the run was assigned to had listed it.
        is_listed: bool,
        /// Id of the worker.
        worker: WorkerId,
        /// Evidence that the run isn't executing any more.
        proof: EndProof,
    },
    /// A job reached its final state.
    JobFinal {
        /// Id of the job.
        job: JobId,
        /// The final state.
        state: JobState,
        /// Time from the job's acceptance to its final state, in milliseconds.
        took_ms: u64,
        /// Whether the job kept its objective; `None` for one that didn't complete, is long-running
        /// or has a schedule.
        timeliness: Option<Timeliness>,
    },
    /// A worker stopped responding, or responds again.
    ContactChanged {
        /// Id of the worker.
        worker: WorkerId,
        /// Whether the worker responds.
        is_responding: bool,
    },
    /// A worker with runs doesn't respond, and it is durable that it gets no lease meanwhile: its runs
    /// can be placed elsewhere once its lease has ended.
    LeaseClosed {
        /// Id of the worker.
        worker: WorkerId,
        /// Number of runs on the worker.
        runs: usize,
        /// Longest time until the worker's lease ends, in milliseconds.
        remaining_ms: u64,
    },
    /// The lease of a worker that doesn't respond has ended for certain: its runs are gone.
    LeaseOver {
        /// Id of the worker.
        worker: WorkerId,
        /// Number of runs on the worker.
        runs: usize,
        /// What the end of the lease follows from.
        bound: LeaseBound,
    },
    /// A worker lists a run in progress that isn't assigned to it any more.
    RunUnassigned {
        /// Id of the job.
        job: JobId,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Id of the worker.
        worker: WorkerId,
    },
    /// A new owner holds a job because it can't read one of its records.
    JobHeld {
        /// Id of the job.
        job: JobId,
        /// Key of the record.
        key: String,
    },
    /// A new owner counts with a lease of an earlier owner on a worker that doesn't respond.
    LeaseInherited {
        /// Id of the worker.
        worker: WorkerId,
        /// Longest time until the worker's lease ends, in milliseconds.
        remaining_ms: u64,
        /// From what the time is known.
        source: LeaseSource,
    },
    /// A worker restarted, so that none of its earlier runs executes any more.
    WorkerRestarted {
        /// Id of the worker.
        worker: WorkerId,
        /// Start time of the earlier incarnation, as Unix time in milliseconds.
        earlier_started_ms: u64,
        /// Start time of the new incarnation, as Unix time in milliseconds.
        started_ms: u64,
        /// Number of runs that were assigned to the earlier incarnation.
        runs: usize,
        /// Number of those that may be on the new incarnation.
        runs_in_doubt: usize,
        /// Fencing token of calls to the new incarnation.
        token: FencingToken,
    },
    /// No task is placed on a worker for some time, because it failed or rejected tasks.
    WorkerAvoided {
        /// Id of the worker.
        worker: WorkerId,
        /// Time without new tasks, in milliseconds.
        for_ms: u64,
    },
    /// A task whose predecessors are done hasn't started, long after its job was accepted.
    TaskWaiting {
        /// Id of the job.
        job: JobId,
        /// Task that the decision concerns.
        task: TaskKey,
        /// Time since the job was accepted, in milliseconds.
        age_ms: u64,
        /// What the task waits for.
        reason: WaitReason,
    },
    /// A worker gets no tasks but those of a step that others have passed, for a while.
    TurnGiven {
        /// Id of the job.
        job: JobId,
        /// First task of the step.
        task: TaskKey,
        /// Time for which the step has got no task, in milliseconds.
        waited_ms: u64,
        /// Id of the worker.
        worker: WorkerId,
    },
    /// The processor share of a worker's best-effort tasks was changed.
    ShareChanged {
        /// Id of the worker.
        worker: WorkerId,
        /// New share, in percent.
        percent: u32,
        /// Highest tail of response times among the worker's latency-sensitive tasks, in percent
        /// of the task's target.
        worst_percent: u64,
    },
    /// A job is given up, because workers crashed under one of its tasks.
    JobGivenUp {
        /// Id of the job.
        job: JobId,
        /// Task that the decision concerns.
        task: TaskKey,
        /// Number of workers that crashed under the task.
        crashes: u32,
    },
    /// A long-running task is started again apart from other jobs, because workers crashed soon after
    /// its starts.
    TaskKeptApart {
        /// Id of the job.
        job: JobId,
        /// Task that the decision concerns.
        task: TaskKey,
        /// Number of workers that crashed soon after a start of the task.
        crashes: u32,
        /// Time for which the task waits before its next start, in milliseconds.
        pause_ms: u64,
    },
    /// The stop of a long-running task, decided earlier, isn't carried out: too few other tasks of its
    /// step work now.
    StopWithdrawn {
        /// Id of the job.
        job: JobId,
        /// Task that the decision concerns.
        task: TaskKey,
        /// Number of the run, which goes on.
        run: u32,
        /// Worker that the run is on.
        worker: WorkerId,
        /// Whether an earlier owner decided on the stop.
        is_inherited: bool,
    },
    /// A suspect task that waited for long enough for a worker of its own was placed all the same.
    SuspectWaitEnded {
        /// Id of the job.
        job: JobId,
        /// Task that the decision concerns.
        task: TaskKey,
        /// Time for which the task waited, in milliseconds.
        waited_ms: u64,
        /// Worker on which the task was placed.
        worker: WorkerId,
        /// Whether tasks that aren't suspect are on the worker.
        is_exposed: bool,
    },
    /// The allowance of a team in this shard was changed.
    AllowanceChanged {
        /// The team with both allowances, in millionths of its cap.
        change: AllowanceChange,
        /// Share of the cap that the team's placed tasks take, in millionths.
        usage: u64,
    },
    /// A job was accepted of whose route the run times are known.
    PromiseMade {
        /// Id of the job.
        job: JobId,
        /// Probability that the job ends on time, in percent.
        percent: u32,
        /// Expected time until the job's first task starts, in milliseconds.
        wait_ms: u64,
        /// Number of completed runs that the probability rests on.
        observations: u32,
    },
    /// A job completed of whose route the run times were known at its acceptance.
    PromiseEnded {
        /// Id of the job.
        job: JobId,
        /// Probability in percent with which the job was expected to end on time.
        percent: u32,
        /// Whether the job ended on time, by the durations of its runs.
        is_kept: bool,
        /// Time that was expected until the job's first task starts, in milliseconds.
        wait_ms: u64,
        /// Time that the job took beyond its longest chain of runs, in milliseconds.
        delay_ms: u64,
    },
    /// A run makes no progress and is stopped.
    RunStalled {
        /// Id of the job.
        job: JobId,
        /// Id of the worker.
        worker: WorkerId,
    },
}

/// What a task that hasn't started waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// A worker with enough free capacity of all kinds at once, or several for a gang.
    NoCapacity,
    /// A worker that may get tasks.
    NoWorker,
    /// A worker with the label that the step requires.
    Label,
    /// Processors: no worker has as many unused.
    Processors,
    /// Memory: no worker has as much unused.
    Memory,
    /// Accelerators: no worker has as many unused.
    Accelerators,
    /// A worker with fewer tasks of the step: those with room have as many as the step allows.
    WorkerLimit,
    /// A larger allowance of its team.
    Quota,
    /// The start command, which hasn't been sent yet.
    StartUnsent,
    /// The worker's response to the start command.
    StartUnconfirmed,
    /// The end of the task's previous run, which is being stopped.
    PreviousRunStopping,
    /// A worker that may still carry out an earlier start command, or the time until it can't any more.
    EarlierStart,
}

impl WaitReason {
    /// Returns the reason as it is written in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoCapacity => "room",
            Self::NoWorker => "worker",
            Self::Label => "label",
            Self::Processors => "processors",
            Self::Memory => "memory",
            Self::Accelerators => "accelerators",
            Self::WorkerLimit => "worker_limit",
            Self::Quota => "quota",
            Self::StartUnsent => "sending",
            Self::StartUnconfirmed => "answer",
            Self::PreviousRunStopping => "stop",
            Self::EarlierStart => "earlier_start",
        }
    }
}

/// From what a new owner knows until when a worker's lease may last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseSource {
    /// A record of an earlier owner, which grants the worker no lease any more.
    Record,
    /// The longest lease that an earlier owner may have granted.
    Bound,
}

impl LeaseSource {
    /// Returns the source as it is written in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Bound => "bound",
        }
    }
}

/// Evidence that a run isn't executing on its worker any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// The worker's lease has expired, even on the slowest clock that is allowed.
    LeaseExpired,
    /// The worker has restarted.
    WorkerRestarted,
    /// The worker responded to a poll and didn't list the run.
    NotListed,
    /// The start command was never sent.
    NeverSent,
    /// The worker rejected the start command.
    Rejected,
}

impl EndProof {
    /// Returns the evidence as it is written in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease_over",
            Self::WorkerRestarted => "worker_restarted",
            Self::NotListed => "not_listed",
            Self::NeverSent => "never_sent",
            Self::Rejected => "rejected",
        }
    }
}
