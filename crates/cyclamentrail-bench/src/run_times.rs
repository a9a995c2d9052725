//! Jobs on time with declared, mean, learned and true durations, on a seeded trace of bursts.
//!
//! The real [`Shard`](cyclamentrail_jobs::Shard) decides; workers, store and calls are simulated in
//! virtual time. Jobs are counted as the platform does: a job is on time if it completes within
//! `Stretch` times its longest chain of tasks plus `TargetLatencyMs`, both by its real durations.

mod simulation;
mod trace;

pub use simulation::{Durations, run_trace};
pub use trace::{TaskJob, TaskTrace};

/// What became of the jobs of a trace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTimesReport {
    /// Jobs that completed on time.
    pub on_time: u32,
    /// Jobs that completed late, within three times the limit.
    pub late: u32,
    /// Jobs that completed later or not at all.
    pub worthless: u32,
    /// Jobs that were rejected.
    pub rejected: u32,
    /// Completed jobs that were promised to end on time with at least 90%.
    pub promised: u32,
    /// How many of these did.
    pub kept: u32,
    /// Bytes of the stored run times.
    pub stored_bytes: u32,
}

impl RunTimesReport {
    /// Returns the part of the accepted jobs that weren't on time, from 0 to 1.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        let late = self.late + self.worthless;
        f64::from(late) / f64::from((self.on_time + late).max(1))
    }

    /// Returns the part of all jobs that were on time, from 0 to 1.
    #[must_use]
    pub fn on_time_share(&self) -> f64 {
        let all = self.on_time + self.late + self.worthless + self.rejected;
        f64::from(self.on_time) / f64::from(all.max(1))
    }

    /// Adds the counts of another report.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            on_time: self.on_time + other.on_time,
            late: self.late + other.late,
            worthless: self.worthless + other.worthless,
            rejected: self.rejected + other.rejected,
            promised: self.promised + other.promised,
            kept: self.kept + other.kept,
            stored_bytes: self.stored_bytes + other.stored_bytes,
        }
    }
}
