//! Rate at which a team may expect to have its jobs served.

/// Time for which an idle team's unused jobs are kept, in milliseconds. Callers send in bursts of
/// some seconds, which are within the rate if the team was idle before.
const BURST_MS: u64 = 5_000;
/// One job, in millionths.
const JOB_MICRO: u64 = 1_000_000;

/// Token bucket that measures whether a team sends more jobs than its weight a second.
///
/// The load it answers: a team sends several times its rate for some seconds and would take the
/// room that the jobs owed to other teams need. The bucket only tells which jobs are excess; these
/// are rejected only while the pool has no room. It starts full, also at a new owner, so that a
/// takeover allows a team at most one burst more.
///
/// ```
/// use cyclamentrail_jobs::JobRate;
///
/// let mut rate = JobRate::default();
/// for _ in 0..10 {
///     assert_eq!(rate.wait_ms(0, 2_000), 0);
///     rate.count_job(0, 2_000);
/// }
/// assert_eq!(rate.wait_ms(0, 2_000), 500);
/// assert_eq!(rate.wait_ms(500, 2_000), 0);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobRate {
    /// Content in millionths of a job, and the time in milliseconds at which it was true; `None`
    /// while the bucket is full.
    level: Option<(u64, u64)>,
}

impl JobRate {
    /// Returns the time in milliseconds until a job of a team with a weight, in thousandths, is
    /// within the team's rate; 0 if it is now.
    #[must_use]
    pub fn wait_ms(&self, now_ms: u64, weight_milli: u64) -> u64 {
        JOB_MICRO
            .saturating_sub(self.content_micro(now_ms, weight_milli))
            .div_ceil(weight_milli.max(1))
    }

    /// Counts an accepted job; one that exceeds the rate has no effect.
    pub fn count_job(&mut self, now_ms: u64, weight_milli: u64) {
        let content = self.content_micro(now_ms, weight_milli);
        if let Some(rest) = content.checked_sub(JOB_MICRO) {
            self.level = Some((rest, now_ms));
        }
    }

    /// Returns the content at a time in millionths of a job. A weight in thousandths is the number of
    /// millionths of a job that a millisecond adds.
    fn content_micro(&self, now_ms: u64, weight_milli: u64) -> u64 {
        let capacity = weight_milli.saturating_mul(BURST_MS).max(JOB_MICRO);
        match self.level {
            Some((content, at_ms)) => {
                let added = now_ms.saturating_sub(at_ms).saturating_mul(weight_milli);
                content.saturating_add(added).min(capacity)
            }
            None => capacity,
        }
    }
}
