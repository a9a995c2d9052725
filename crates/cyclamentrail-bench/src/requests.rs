//! Compares the request handling of the core with a simple baseline on the same request trace.
//!
//! Backend servers with slots and entries with queues are simulated in virtual time. The baseline
//! routes round robin, with a fixed timeout and three retries.
//!
//! ```
//! use cyclamentrail_bench::requests::{Load, Policy, Scenario, run};
//!
//! let scenario = Scenario::new(Load::Steady(1.0), 4).seconds(1);
//! let report = run(&scenario, Policy::learned());
//! assert!(report.goodput() > 0.99);
//! ```

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a run are small and positive"
)]

mod entry;
mod growth;
mod policy;
mod report;
mod scenario;
mod server;
mod simulation;
mod trace;

pub use growth::{RoutingPool, mean_examined};
pub use policy::{Policy, Sharing};
pub use report::RunReport;
pub use scenario::{Load, Scenario};
pub use simulation::run;
