//! Limits the processor share of a worker's best-effort tasks while they slow down its
//! latency-sensitive tasks.
//!
//! Best-effort tasks use spare processor time, but they slow down the tasks beside them by amounts
//! that aren't declared and that change within seconds. Their share is cut as soon as a
//! latency-sensitive task comes near its target, and restored in small steps once response
//! times have recovered.

/// Tail of response times, in percent of a task's target, from which the share is cut.
const CUT_PERCENT: u64 = 85;
/// Tail of response times, in percent of a task's target, below which the share is raised.
const RAISE_PERCENT: u64 = 65;
/// Divisor of the share at each cut.
const CUT_DIVISOR: u32 = 4;
/// Smallest share that is used, in percent; a smaller one becomes zero.
const MIN_SHARE_PERCENT: u32 = 8;
/// Amount by which the share is raised at a time, in percent.
const RAISE_STEP_PERCENT: u32 = 15;
/// Time after a change of the share in which reports may still describe the time before the
/// change, in milliseconds; no cut follows within it.
const SETTLE_MS: u64 = 600;
/// Time after a change of the share before it is raised, in milliseconds.
const RAISE_DELAY_MS: u64 = 1_500;

/// Share of best-effort tasks that aren't limited, in percent.
pub(crate) const FULL_SHARE_PERCENT: u32 = 100;

/// Processor share of the best-effort tasks on one worker.
///
/// ```
/// use cyclamentrail_jobs::BestEffortShare;
///
/// let mut share = BestEffortShare::new();
/// assert_eq!(share.adjust(1_000, Some(120)), 25);
/// assert_eq!(share.adjust(2_000, Some(110)), 0);
/// assert_eq!(share.adjust(4_000, Some(30)), 15);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BestEffortShare {
    /// Current share, in percent.
    percent: u32,
    /// Time of the last change on the owner's boot clock, in milliseconds.
    changed_ms: u64,
}

impl Default for BestEffortShare {
    fn default() -> Self {
        Self::new()
    }
}

impl BestEffortShare {
    /// Creates an unlimited share.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            percent: FULL_SHARE_PERCENT,
            changed_ms: 0,
        }
    }

    /// Returns the share in percent.
    #[must_use]
    pub const fn percent(&self) -> u32 {
        self.percent
    }

    /// Records the highest tail of response times among the worker's latency-sensitive tasks, in
    /// percent of the task's target, and returns the new share in percent. `None` stands for a
    /// worker without such tasks.
    pub const fn adjust(&mut self, now_ms: u64, worst_percent: Option<u64>) -> u32 {
        let unchanged_ms = now_ms.saturating_sub(self.changed_ms);
        let worst_percent = match worst_percent {
            Some(worst_percent) => worst_percent,
            None => 0,
        };
        if worst_percent >= CUT_PERCENT && unchanged_ms >= SETTLE_MS && self.percent > 0 {
            let reduced = self.percent / CUT_DIVISOR;
            self.percent = if reduced < MIN_SHARE_PERCENT {
                0
            } else {
                reduced
            };
            self.changed_ms = now_ms;
        } else if worst_percent < RAISE_PERCENT
            && unchanged_ms >= RAISE_DELAY_MS
            && self.percent < FULL_SHARE_PERCENT
        {
            let raised = self.percent + RAISE_STEP_PERCENT;
            self.percent = if raised > FULL_SHARE_PERCENT {
                FULL_SHARE_PERCENT
            } else {
                raised
            };
            self.changed_ms = now_ms;
        }
        self.percent
    }
}
