//! Maintenance waves against two baselines, on the same trace with the same seed.
//!
//! The baselines are what a user would otherwise pick: one instance at a time, and a fixed tenth of
//! each pool at a time with a fixed fifth of each pool held as a buffer.
//!
//! ```
//! use cyclamentrail_bench::waves::{Baseline, Trace, run_baseline, current_site};
//!
//! let document = current_site("garza").expect("settings of the current site exist");
//! let quiet = Trace::default();
//! let outcome = run_baseline(&document, &quiet, Baseline::OneAtATime, 1);
//! assert!(outcome.roll_out_min > 0.0);
//! ```

use serde::Serialize;

mod baseline;
mod planner;
mod run;
mod sites;
mod trace;

pub use baseline::{Baseline, run_baseline};
pub use planner::{PlannerFigures, measure_planner};
pub use run::{run_planner, run_planner_for, with_maintenance_room};
pub use sites::{current_site, design_site};
pub use trace::{Loss, Trace, TraceShape};

/// Time in milliseconds that requests in flight take to end.
pub(crate) const DRAIN_MS: u64 = 5_000;
/// Time in milliseconds that a reboot takes.
pub(crate) const REBOOT_MS: u64 = 240_000;
/// Milliseconds in one minute.
pub(crate) const MINUTE_MS: u64 = 60_000;
/// Milliseconds in one day.
pub(crate) const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
/// Time in milliseconds at which the wave is created.
pub(crate) const WAVE_START_MS: u64 = 60 * MINUTE_MS;

/// What a policy did on a trace.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Mean number of instances held beyond the promises.
    pub buffer: f64,
    /// Virtual minutes from the creation of the wave to its end.
    pub roll_out_min: f64,
    /// Moves between pools.
    pub moves: u64,
    /// Instance-minutes below the promises.
    pub spent_instance_min: f64,
    /// Virtual minutes with some promise broken.
    pub broken_min: f64,
    /// Pairs of need and instance that the planner weighed.
    pub planner_work: u64,
    /// Bytes of records appended.
    pub record_bytes: u64,
    /// Records appended.
    pub records: u64,
    /// Instances that were maintained.
    pub maintained: u64,
}
