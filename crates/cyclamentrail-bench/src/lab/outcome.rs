//! What became of the jobs of a day.

use super::{Description, LATE_FACTOR, Trace, TraceJob};

/// What became of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job completed within its objective.
    OnTime,
    /// The job completed within [`LATE_FACTOR`] times its objective.
    Late,
    /// The job was accepted and completed later, or not at all.
    TooLate,
    /// The caller was rejected until it had no retry or no time left.
    Rejected,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobOutcome {
    /// Returns the outcome of a job that completed some time after its caller's first attempt.
    #[must_use]
    pub const fn of_completed(job: &TraceJob, took_ms: u64) -> Self {
        if took_ms <= job.objective_ms {
            Self::OnTime
        } else if took_ms <= job.objective_ms * LATE_FACTOR {
            Self::Late
        } else {
            Self::TooLate
        }
    }
}

/// Numbers of jobs by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that completed on time.
    pub on_time: u32,
    /// Jobs that completed late.
    pub late: u32,
    /// Jobs that completed too late to be of use, or not at all.
    pub too_late: u32,
    /// Jobs whose callers were rejected for good.
    pub rejected: u32,
    /// Jobs that were cancelled.
    pub cancelled: u32,
}

impl Counts {
    /// Counts a job.
    pub const fn add(&mut self, outcome: JobOutcome) {
        let count = match outcome {
            JobOutcome::OnTime => &mut self.on_time,
            JobOutcome::Late => &mut self.late,
            JobOutcome::TooLate => &mut self.too_late,
            JobOutcome::Rejected => &mut self.rejected,
            JobOutcome::Cancelled => &mut self.cancelled,
        };
        *count += 1;
    }

    /// Returns the number of jobs, without cancelled ones.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.on_time + self.late + self.too_late + self.rejected
    }

    /// Returns a part of the jobs that weren't cancelled, from 0 to 1.
    #[must_use]
    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.total().max(1))
    }
}

/// What became of the jobs of a day.
#[derive(Debug, Clone, PartialEq)]
pub struct DayOutcome {
    /// Outcome of each job of the trace; `None` for a job that didn't end.
    pub jobs: Vec<Option<JobOutcome>>,
    /// Attempts that were rejected.
    pub rejected_attempts: u32,
    /// Moves of machines between pools.
    pub moves: u32,
    /// Seconds that machines spent in pools, all machines together.
    pub machine_s: f64,
}

impl DayOutcome {
    /// Creates the outcome of a day on which nothing has ended yet.
    #[must_use]
    pub fn new(trace: &Trace) -> Self {
        Self {
            jobs: vec![None; trace.jobs.len()],
            rejected_attempts: 0,
            moves: 0,
            machine_s: 0.0,
        }
    }

    /// Returns the counts of all jobs; those that didn't end count as too late.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts_of(|_| true)
    }

    /// Returns the counts of the jobs of a pool.
    #[must_use]
    pub fn counts_of_pool(&self, trace: &Trace, pool: usize) -> Counts {
        self.counts_of(|index| trace.jobs[index].pool == pool)
    }

    /// Returns the part of the jobs of each second of the day that were on time; `None` for seconds
    /// without jobs.
    #[must_use]
    pub fn on_time_by_second(&self, description: &Description, trace: &Trace) -> Vec<Option<f64>> {
        let mut seconds = vec![Counts::default(); description.length_s.ceil() as usize];
        for (job, outcome) in trace.jobs.iter().zip(&self.jobs) {
            if let Some(second) = seconds.get_mut((job.at_ms / 1_000) as usize) {
                second.add(outcome.unwrap_or(JobOutcome::TooLate));
            }
        }
        let share = |counts: &Counts| (counts.total() > 0).then(|| counts.share(counts.on_time));
        seconds.iter().map(share).collect()
    }

    fn counts_of(&self, is_counted: impl Fn(usize) -> bool) -> Counts {
        let mut counts = Counts::default();
        for (index, outcome) in self.jobs.iter().enumerate() {
            if is_counted(index) {
                counts.add(outcome.unwrap_or(JobOutcome::TooLate));
            }
        }
        counts
    }
}
