//! Whether a job is accepted, from the work that waits before it.
//!
//! Answers the load of turns and bursts: several times what the workers hold, for some seconds. A
//! job that would be late is rejected at once, so that those before it are on time, and its
//! caller is told when there will be room.

/// Part of a job's slack that waiting for the present workers may use up, in percent; more than
/// all of it, because a pool whose queue grows gets further workers meanwhile.
const USABLE_SLACK_PERCENT: u64 = 200;
/// Earliest return of a rejected caller, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;
/// Latest return of a rejected caller, in milliseconds.
const MAX_RETRY_MS: u64 = 10_000;
/// Time over which rejected callers are spread, in milliseconds.
const SPREAD_MS: u64 = 1_500;

/// The work before a job and the workers that do it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Work that is accepted and not done, in milliseconds of a whole worker.
    pub work_ms: u64,
    /// Workers that can do it.
    pub workers: u64,
}

impl Backlog {
    /// Returns how long the workers take for the work, in milliseconds.
    #[must_use]
    pub const fn wait_ms(&self) -> u64 {
        match self.work_ms.checked_div(self.workers) {
            Some(wait) => wait,
            None => u64::MAX,
        }
    }
}

/// A job that asks to be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applicant {
    /// Its own work in milliseconds of a whole worker.
    pub work_ms: u64,
    /// Its longest chain of work in milliseconds.
    pub chain_ms: u64,
    /// Time in milliseconds within which it is on time.
    pub objective_ms: u64,
    /// Spreads callers that are rejected together.
    pub seed: u64,
}

/// Whether a job is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Accept,
    /// It isn't; its caller may come back after a while.
    Reject {
        /// When, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Returns when a caller may come back to an owner that has been unable to store anything for a
/// while, in milliseconds: an outage that has lasted for some time may well last as long again.
///
/// ```
/// use cyclamentrail_jobs::outage_retry_ms;
///
/// assert!(outage_retry_ms(700, 0) >= 1_000);
/// assert!(outage_retry_ms(4_000, 0) >= 4_000);
/// assert_ne!(outage_retry_ms(4_000, 0), outage_retry_ms(4_000, 1_000));
/// ```
#[must_use]
pub fn outage_retry_ms(outage_ms: u64, seed: u64) -> u64 {
    outage_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) + seed % SPREAD_MS
}

/// Decides whether a job is accepted.
///
/// ```
/// use cyclamentrail_jobs::{Admission, Applicant, Backlog, admit};
///
/// let job = Applicant { work_ms: 500, chain_ms: 1_000, objective_ms: 2_200, seed: 0 };
/// assert_eq!(admit(Backlog { work_ms: 4_000, workers: 9 }, job), Admission::Accept);
/// assert_ne!(admit(Backlog { work_ms: 40_000, workers: 9 }, job), Admission::Accept);
/// ```
#[must_use]
pub fn admit(backlog: Backlog, job: Applicant) -> Admission {
    let slack_ms = job.objective_ms.saturating_sub(job.chain_ms);
    let usable_ms = slack_ms * USABLE_SLACK_PERCENT / 100;
    let wait_ms = backlog.wait_ms();
    if wait_ms <= usable_ms {
        return Admission::Accept;
    }
    let drained_ms = wait_ms.saturating_sub(usable_ms);
    let retry_after_ms = drained_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) + job.seed % SPREAD_MS;
    Admission::Reject { retry_after_ms }
}
