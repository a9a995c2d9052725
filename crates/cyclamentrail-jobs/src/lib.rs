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

mod admission;
mod effect;
mod estimate;
mod fleet;
mod grants;
mod job;
mod lease;
mod pacing;
mod placing;
mod ranking;
mod record;
mod resources;
mod shard;
mod spec;
mod succession;
mod terms;
mod worker;

pub use admission::{Admission, Applicant, Backlog, admit, outage_retry_ms};
pub use effect::{
    AdviceOutcome, AdviceQuestion, Answer, CallerTicket, Effect, EndKind, EndedRow, GoneProof,
    GrantRow, Look, LookOutcome, Note, OrderOutcome, OrderRejection, PaceOrder, RejectReason,
    Report, RunName, RunningRow, StartOrder, StopOrder, Target, WaitReason,
};
pub use estimate::Estimate;
pub use fleet::{
    FleetPlanner, FleetTiming, FleetView, Forecast, MachineOutcome, MachineTask, MachineView,
    PoolLoad, Purpose, WaveOrder, WorkerLoad,
};
pub use grants::{Grant, Grants, MAX_WORKERS_PER_REQUEST, StepKey};
pub use job::{Job, JobKey, JobState, Occurrence, Phase, Placement, StepProgress, Task, TaskKey};
pub use lease::{ClockSample, Lease};
pub use pacing::Pace;
pub use placing::{Wish, choose};
pub use ranking::{Rank, Waiting};
pub use record::{
    AcceptRecord, KeyedRecord, OccurrenceRecord, PROGRESS_SUFFIX, PlacementRecord, ProgressRecord,
    RELEASE_KEY, RecordError, ReleaseRecord, TaskRecord, decode, encode,
};
pub use resources::Resources;
pub use shard::{Commit, Now, Shard, ShardTiming, Submission, seed_of};
pub use spec::{JobSpec, MAX_TASKS, Schedule, StepSpec};
pub use succession::{Candidate, Incumbent, should_take_over};
pub use terms::{AdviceTerms, RouteTerms};
pub use worker::{Contact, Registration, Worker, WorkerKey};
