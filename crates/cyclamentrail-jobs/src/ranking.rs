//! Order in which waiting jobs are served.
//!
//! The load that it answers: for some seconds, more work arrives than the pool holds, and not all jobs
//! can end on time. Jobs that can still end on time go before those that can't, and among these the
//! most urgent, then those of teams that are under their share of the pool.
//!
//! Among equals, jobs that have begun go first: the work that is done for a job is of use only if the
//! rest of it ends on time, too. Then the jobs nearest to their deadline come first. Late jobs are
//! served by deadline alone, so that none of them waits for ever.

use std::cmp::Reverse;

/// Time past its deadline after which a late job may go before others that aren't late, if its team
/// has nothing else, in milliseconds. Far later than a job is worth anything to most callers, so that
/// such jobs seldom take the place of others.
const OVERDUE_MS: u64 = 10_000;

/// Properties of a waiting job that decide its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingJob {
    /// Priority of the job's route; 0 is served first.
    pub priority: u32,
    /// Whether the job's tasks run until it is cancelled.
    pub is_long_running: bool,
    /// Unix time in milliseconds until which the job has to end to be on time.
    pub deadline_ms: u64,
    /// Duration of the longest chain of steps that aren't done, in milliseconds.
    pub remaining_ms: u64,
    /// Whether a task of the job has started.
    pub has_begun: bool,
}

/// Position of a job in the order; lower ranks are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// Whether the job can't end on time any more.
    is_late: bool,
    is_finite: bool,
    priority: u32,
    /// Whether the job's team has its weighted share of the pool without this job.
    is_over_share: bool,
    progress: Progress,
    deadline_ms: u64,
    remaining: Reverse<u64>,
}

/// How far a job has come, as far as it decides the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// A task of the job has started, or the job is late or long-running.
    Begun,
    /// Nothing of the job has started, and it can still end on time.
    Unbegun,
}

impl WaitingJob {
    /// Returns the job's rank at a moment of Unix time in milliseconds. Long-running jobs are
    /// never late and go before the others that aren't late; then follow priority, for jobs that aren't
    /// late whether they have begun, the deadline and, at the same deadline, the longer remaining
    /// chain.
    #[must_use]
    pub const fn rank(&self, now_ms: u64) -> JobRank {
        let is_late = !self.is_long_running && now_ms + self.remaining_ms > self.deadline_ms;
        let may_be_on_time = !self.is_long_running && !is_late;
        JobRank {
            is_late,
            is_finite: !self.is_long_running,
            priority: self.priority,
            is_over_share: false,
            progress: if may_be_on_time && !self.has_begun {
                Progress::Unbegun
            } else {
                Progress::Begun
            },
            deadline_ms: self.deadline_ms,
            remaining: Reverse(self.remaining_ms),
        }
    }
}

impl JobRank {
    /// Returns the rank of the same job where its team has its weighted share of the pool without it:
    /// within a priority, jobs of teams that are under their shares go first.
    #[must_use]
    pub const fn over_share(mut self) -> Self {
        self.is_over_share = true;
        self
    }

    /// Returns whether the job is late and its deadline has passed long ago.
    #[must_use]
    pub const fn is_overdue(&self, now_ms: u64) -> bool {
        self.is_late && now_ms > self.deadline_ms + OVERDUE_MS
    }

    /// Returns the rank that the same job would have if it could still end on time.
    #[must_use]
    pub const fn not_late(mut self) -> Self {
        self.is_late = false;
        self
    }
}
