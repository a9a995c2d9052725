//! Small models of the core protocol and their exhaustive check.
//!
//! Each model consists of a few entries, one instance, the log and the faults that can occur, such
//! as lost appends, pauses and reboots. The models call the same
//! [`Fleet`](cyclamentrail_core::Fleet), [`Permit`](cyclamentrail_core::Permit) and
//! [`Lease`](cyclamentrail_jobs::Lease) as the processes, so that the checked rules are those of
//! the running code. [`explore()`] visits every reachable state of a [`Model`] and checks its
//! invariants. docs/SPEC.md explains how to read a model.
//!
//! ```
//! use cyclamentrail_spec::{DutyModel, explore};
//!
//! let report = explore(&DutyModel::new(2, 3));
//! assert!(report.violation.is_none());
//! assert!(report.states > 10);
//! ```

mod barrier;
mod change;
mod claim;
mod crossed_calls;
mod duty;
mod eviction;
mod explore;
mod fault;
mod fold_cache;
mod jobs;
mod lease_handover;
mod membership;
mod queue_move;
mod quota;
mod record;
mod restart;
mod revocation;
mod site;

pub use barrier::{BarrierAction, BarrierModel, BarrierState};
pub use change::{ChangeAction, ChangeModel, ChangeState};
pub use claim::{ClaimAction, ClaimModel, ClaimState};
pub use crossed_calls::{
    Call, CrossedAction, CrossedFault, CrossedModel, CrossedState, Reply, Response,
};
pub use duty::{DutyAction, DutyModel, DutyState};
pub use eviction::{EvictionAction, EvictionModel, EvictionState};
pub use explore::{Model, Report, Trace, Violation, explore};
pub use fault::Fault;
pub use jobs::{JobsAction, JobsFault, JobsModel, JobsState, StartCommand};
pub use lease_handover::{
    HandoverAction, HandoverFault, HandoverModel, HandoverState, HoldCommand,
};
pub use membership::{MembershipAction, MembershipModel, MembershipState};
pub use queue_move::{
    CloseRequest, DirectoryAppend, QueueMoveAction, QueueMoveFault, QueueMoveModel, QueueMoveState,
};
pub use quota::{QuotaAction, QuotaFault, QuotaModel, QuotaState};
pub use record::{ModelBody, ModelRecord, Pool};
pub use restart::{
    PollReport, RestartAction, RestartFault, RestartModel, RestartState, RunCommand,
};
pub use revocation::{Read, RevocationAction, RevocationFault, RevocationModel, RevocationState};
