//! Scheduling of jobs as a pure state machine.
//!
//! A [`Shard`] holds the jobs of one service and the workers that run them. Time and events are
//! passed in as arguments, and the shard returns the [`Effect`]s that its owner has to carry out.
//! State that has to be durable before an effect is carried out is part of the [`Commit`] that
//! holds the effect. The crate does no input or output and reads no clock, so that any failure can
//! be replayed as a test.
//!
//! Times are in milliseconds: on the boot clock, which is the monotonic clock of the owner's host
//! and also counts its suspension, or as Unix time.
//!
//! ```
//! use cyclamentrail_jobs::{Now, Shard, ShardTiming};
//!
//! let mut shard = Shard::new(ShardTiming::default());
//! let now = Now { boot_ms: 0, unix_ms: 1_700_000_000_000 };
//! shard.advance(now);
//! assert!(shard.take_commit(now).is_none());
//! ```

mod access;
mod admission;
mod best_effort_share;
mod effect;
mod estimate;
mod fair_share;
mod fencing_token;
mod fleet;
mod grants;
mod hedged_reads;
mod job;
mod lease;
mod newest_configuration;
mod open_start;
mod owner_capacity;
mod queue_gate;
mod quota;
mod ranking;
mod recent_loss;
mod record;
mod record_parts;
mod relays;
mod resources;
mod room_index;
mod route;
mod run_times;
mod selection;
mod shard;
mod shard_spread;
mod spec;
mod start_queues;
mod succession;
mod team;
mod team_labels;
mod worker;

pub use access::{
    CallRefusal, PresentedKey, authenticate, max_confirmation_age_ms, may_access_job,
};
pub use admission::{Admission, AdmissionRequest, Backlog, admit, retry_after_outage_ms};
pub use best_effort_share::BestEffortShare;
pub use effect::{
    ActiveRun, AdmissionShare, AdviceOutcome, AdviceQuery, CallerId, CallerReply, CommandOutcome,
    CommandRejection, CpuShareCommand, Decision, Effect, EndKind, EndProof, EndedRun, LeaseSource,
    PollOutcome, RejectReason, StartCommand, StopCommand, TaskRunId, Timeliness, WaitReason,
    WorkerPoll, WorkerReport, WorkerTarget, WorkerTicket,
};
pub use estimate::DurationEstimate;
pub use fair_share::{
    FairShares, JobRate, TeamAdmission, TeamDemand, TeamLoad, WHOLE_POOL_PPB, admit_for_team,
    weight_milli,
};
pub use fencing_token::FencingToken;
pub use fleet::{
    CommandHold, CommandedMachines, FleetPlanner, FleetState, FleetTiming, Forecast,
    MachineCommand, MachineOutcome, MachineStatus, MaintenanceWave, PoolLoad, Purpose, WaveRecord,
    WorkerTaskCounts,
};
pub use grants::{Grant, Grants, MAX_WORKERS_PER_QUERY, StepKey};
pub use hedged_reads::{MAX_READ_LIMIT_MS, PlannedRead, ReadPlan, ReadTimes, replaced_read};
pub use job::{
    CrashedRun, Job, JobKey, JobState, Occurrence, PlacedRun, Placement, RestartDoubt, RunPhase,
    SentShare, StepProgress, StopOrder, Task, TaskKey,
};
pub use lease::{ClockSample, Lease, LeaseBound};
pub use newest_configuration::{ConfigurationStep, NewestConfiguration};
pub use open_start::{InFlightStart, OpenStart};
pub use owner_capacity::{MachineLimits, OwnerCapacity, leaves_shards_to_others};
pub use queue_gate::{
    ConfigurationOrder, Opening, QueueAdmission, QueueClosing, QueueGate, QueueId,
};
pub use quota::{
    AllowanceChange, Allowances, Grantee, Ledger, MAX_CHANGED_TEAMS, QuotaReply, QuotaReport,
    TeamReport, WHOLE_CAP, base_share, cap_share, is_limited, largest_allowance, may_start,
};
pub use ranking::{JobRank, WaitingJob};
pub use recent_loss::RecentLoss;
pub use record::{
    AcceptedJobRecord, KeyedRecord, LEASE_PREFIX, OccurrenceRecord, OpenStartRecord, OwnerTokens,
    PROGRESS_SUFFIX, PlacementRecord, ProgressRecord, RELEASE_KEY, RecordError, ReleaseRecord,
    TaskRecord, WorkerLeaseRecord, decode, encode,
};
pub use record_parts::PartsRecord;
pub use relays::{MIN_RELAYED_WORKERS, Relay, RelaySpread, RelayedWorker, spread_workers};
pub use resources::Resources;
pub use room_index::RoomIndex;
pub use route::{AdviceConfig, RouteConfig};
pub use run_times::{
    Distribution, Pace, RUN_TIMES_PREFIX, RunTimeUses, RunTimeUsesError, RunTimes, RunTimesError,
};
pub use selection::{PlacementRequest, select_worker};
pub use shard::{Commit, Now, Shard, ShardTiming, Submission, TeamQuota, TeamStatus, retry_seed};
pub use shard_spread::{shards_of_member, shards_of_partitions};
pub use spec::{JobSpec, MAX_TASKS, Schedule, StepSpec};
pub use start_queues::StartQueues;
pub use succession::{Candidate, Incumbent, Predecessor, StoreContact, should_take_over};
pub use team::TeamConfig;
pub use team_labels::{MAX_NAMED_TEAMS, NO_TEAM, OTHER_TEAMS, TeamLabels, largest_teams};
pub use worker::{Reachability, Worker, WorkerKey, WorkerRegistration};
