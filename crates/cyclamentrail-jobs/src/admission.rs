//! Decides whether a job is accepted, from the backlog before it.
//!
//! Bursts bring several times the work that the workers can hold, for some seconds. A job that surely
//! ends too late to be of use is rejected at once, and its caller gets a time after which it may try
//! again.
//!
//! Any other job is accepted, also one that is expected to be late. A late job takes no room from
//! those that can be on time ([`WaitingJob`](crate::WaitingJob)), while a caller that is sent away
//! loses the time until it returns, and with it mostly the chance to be served on time.

/// Multiple of a job's objective within which it has to be expected to end. Callers have use of a late
/// job for a shorter time, but jobs seldom wait for the whole backlog: late ones yield to newer ones,
/// and a pool with a growing backlog is given further workers meanwhile.
const LATEST_END_OBJECTIVES: u64 = 5;
/// Shortest delay after which a rejected caller may try again, in milliseconds, without the random
/// part.
const MIN_RETRY_MS: u64 = 1_000;
/// Longest delay after which a rejected caller may try again, in milliseconds, without the random
/// part.
const MAX_RETRY_MS: u64 = 10_000;
/// Range of the random part of the retry delay, in milliseconds; it spreads the retries of callers
/// that were rejected together.
const RETRY_JITTER_MS: u64 = 1_500;

/// Accepted work before a job, and the workers that share it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Work that is accepted and not done, in milliseconds of a whole worker.
    pub work_ms: u64,
    /// Number of workers that can do the work.
    pub workers: u64,
}

impl Backlog {
    /// Returns the time that the workers need for the work, in milliseconds; `u64::MAX` without
    /// workers.
    #[must_use]
    pub const fn wait_ms(&self) -> u64 {
        match self.work_ms.checked_div(self.workers) {
            Some(wait) => wait,
            None => u64::MAX,
        }
    }
}

/// A submitted job that is to be accepted or rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Work of all tasks of the job, in milliseconds of a whole worker.
    pub work_ms: u64,
    /// Duration of the job's longest chain of steps (its critical path), in milliseconds.
    pub critical_path_ms: u64,
    /// Time from its acceptance within which the job has to end to be on time, in milliseconds.
    pub objective_ms: u64,
    /// Seed of the random part of the retry delay.
    pub jitter_seed: u64,
}

/// Decision on a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is rejected, because it would end too late.
    Reject {
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Returns the time in milliseconds after which a caller may try again when the owner hasn't been
/// able to store anything for `outage_ms`. The delay grows with the outage, because a long outage
/// is likely to last as long again.
///
/// ```
/// use cyclamentrail_jobs::retry_after_outage_ms;
///
/// assert!(retry_after_outage_ms(700, 0) >= 1_000);
/// assert!(retry_after_outage_ms(4_000, 0) >= 4_000);
/// assert_ne!(retry_after_outage_ms(4_000, 0), retry_after_outage_ms(4_000, 1_000));
/// ```
#[must_use]
pub fn retry_after_outage_ms(outage_ms: u64, seed: u64) -> u64 {
    outage_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) + seed % RETRY_JITTER_MS
}

/// Decides whether a job is accepted: after its expected wait, its longest chain of steps has to end
/// within a multiple of its objective.
///
/// ```
/// use cyclamentrail_jobs::{Admission, AdmissionRequest, Backlog, admit};
///
/// let job = AdmissionRequest { work_ms: 500, critical_path_ms: 1_000, objective_ms: 2_200, jitter_seed: 0 };
/// assert_eq!(admit(Backlog { work_ms: 4_000, workers: 9 }, job), Admission::Accept);
/// assert_ne!(admit(Backlog { work_ms: 100_000, workers: 9 }, job), Admission::Accept);
/// ```
#[must_use]
pub fn admit(backlog: Backlog, job: AdmissionRequest) -> Admission {
    let latest_end_ms = job.objective_ms * LATEST_END_OBJECTIVES;
    let longest_wait_ms = latest_end_ms.saturating_sub(job.critical_path_ms);
    let wait_ms = backlog.wait_ms();
    if wait_ms <= longest_wait_ms {
        return Admission::Accept;
    }
    let excess_ms = wait_ms - longest_wait_ms;
    Admission::Reject {
        retry_after_ms: retry_after_excess_ms(excess_ms, job.jitter_seed),
    }
}

/// Returns the time in milliseconds after which a caller may try again whose job would have to wait
/// `excess_ms` longer than it may.
pub(crate) fn retry_after_excess_ms(excess_ms: u64, jitter_seed: u64) -> u64 {
    excess_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) + jitter_seed % RETRY_JITTER_MS
}
