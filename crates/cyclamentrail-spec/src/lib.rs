//! Small specification of the core protocol and its exhaustive check.
//!
//! Each model has a few entries, one instance, the log and what can go wrong, and drives the same
//! [`Fleet`](cyclamentrail_core::Fleet) and [`Permit`](cyclamentrail_core::Permit) as the process.
//! [`explore()`] visits every reachable state. docs/SPEC.md tells how to read a model.
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
mod duty;
mod eviction;
mod explore;
mod fact;
mod fault;
mod folds;
mod jobs;
mod membership;
mod site;

pub use barrier::{BarrierAction, BarrierModel, BarrierState};
pub use change::{ChangeAction, ChangeModel, ChangeState};
pub use claim::{ClaimAction, ClaimModel, ClaimState};
pub use duty::{DutyAction, DutyModel, DutyState};
pub use eviction::{EvictionAction, EvictionModel, EvictionState};
pub use explore::{Model, Report, Trace, Violation, explore};
pub use fact::{Fact, Logged, Pool};
pub use fault::Fault;
pub use jobs::{JobsAction, JobsFault, JobsModel, JobsState, Order};
pub use membership::{MembershipAction, MembershipModel, MembershipState};
