//! How much of a worker the tasks that fill it may use beside those that serve.
//!
//! Answers tasks that use what others leave, and slow down the tasks beside them by amounts that
//! nobody declares and that change within seconds: they are held back as soon as a serving task
//! comes near its target, and get their share back in small steps once it has been calm.

/// Tail of a serving task, in percent of its target, from which tasks that fill are held back.
const HOLD_BACK_PERCENT: u64 = 85;
/// Tail of a serving task, in percent of its target, below which they may have more.
const CALM_PERCENT: u64 = 65;
/// Part of the share that is left when they are held back, as a divisor.
const HOLD_BACK_DIVISOR: u32 = 4;
/// Share below which nothing is left, in percent.
const LEAST_SHARE_PERCENT: u32 = 8;
/// Share that is given back at once, in percent.
const STEP_PERCENT: u32 = 15;
/// Time for which reports still tell of the time before a change, in milliseconds.
const SETTLE_MS: u64 = 600;
/// Time of calm after which a part of the share is given back, in milliseconds.
const CALM_MS: u64 = 1_500;

/// The whole share, in percent.
pub(crate) const WHOLE_PERCENT: u32 = 100;

/// The share of a worker's tasks that fill.
///
/// ```
/// use cyclamentrail_jobs::Pace;
///
/// let mut pace = Pace::new();
/// assert_eq!(pace.observe(1_000, Some(120)), 25);
/// assert_eq!(pace.observe(2_000, Some(110)), 0);
/// assert_eq!(pace.observe(4_000, Some(30)), 15);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    percent: u32,
    changed_ms: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self::new()
    }
}

impl Pace {
    /// Creates a pace that holds nothing back.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            percent: WHOLE_PERCENT,
            changed_ms: 0,
        }
    }

    /// Returns the share in percent.
    #[must_use]
    pub const fn percent(&self) -> u32 {
        self.percent
    }

    /// Takes in the worst tail of a serving task on the worker, in percent of its target, and
    /// returns the new share in percent.
    pub const fn observe(&mut self, now_ms: u64, worst_percent: Option<u64>) -> u32 {
        let since_ms = now_ms.saturating_sub(self.changed_ms);
        let worst_percent = match worst_percent {
            Some(worst_percent) => worst_percent,
            None => 0,
        };
        if worst_percent >= HOLD_BACK_PERCENT && since_ms >= SETTLE_MS && self.percent > 0 {
            let left = self.percent / HOLD_BACK_DIVISOR;
            self.percent = if left < LEAST_SHARE_PERCENT { 0 } else { left };
            self.changed_ms = now_ms;
        } else if worst_percent < CALM_PERCENT
            && since_ms >= CALM_MS
            && self.percent < WHOLE_PERCENT
        {
            let more = self.percent + STEP_PERCENT;
            self.percent = if more > WHOLE_PERCENT {
                WHOLE_PERCENT
            } else {
                more
            };
            self.changed_ms = now_ms;
        }
        self.percent
    }
}
