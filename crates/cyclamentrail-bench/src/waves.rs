//! Compares maintenance waves with two baselines on the same seeded trace of instance losses.
//!
//! The baselines are the usual manual policies: one instance at a time, and a fixed tenth of each
//! pool at a time with a fixed fifth of each pool held as a buffer.
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

/// Time in milliseconds that an instance takes to finish its requests in flight.
pub(crate) const DRAIN_MS: u64 = 5_000;
/// Duration of a reboot in milliseconds.
pub(crate) const REBOOT_MS: u64 = 240_000;
pub(crate) const MINUTE_MS: u64 = 60_000;
pub(crate) const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
/// Virtual time in milliseconds, from the start of the run, at which the wave is created.
pub(crate) const WAVE_START_MS: u64 = 60 * MINUTE_MS;

/// Counted results of one maintenance policy on one trace.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Time-weighted mean number of working instances beyond the promised ones.
    pub buffer: f64,
    /// Virtual minutes from the creation of the wave to its end; infinite if the wave didn't end.
    pub roll_out_min: f64,
    /// Finished moves of instances between pools.
    pub moves: u64,
    /// Instance-minutes by which pools were below their promised size.
    pub spent_instance_min: f64,
    /// Virtual minutes in which at least one pool was below its promised size.
    pub broken_min: f64,
    /// Pairs of need and instance that the planner evaluated; 0 for the baselines.
    pub planner_work: u64,
    /// Bytes of control records appended to the log; 0 for the baselines.
    pub record_bytes: u64,
    /// Control records appended to the log; 0 for the baselines.
    pub records: u64,
    /// Instances whose maintenance was done.
    pub maintained: u64,
}
