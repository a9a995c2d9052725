//! Leases on a worker's own clock, which may run slow.

/// Denominator of shares of clock rates.
const PER_MILLE: u64 = 1_000;
/// Slowest rate of a worker's clock against ours, in thousandths; slightly below the platform's
/// bound, because our own clock isn't exact either.
const SLOWEST_RATE: u64 = 975;

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClockSample {
    /// What the worker's clock said, in milliseconds.
    pub worker_ms: u64,
    /// Our own clock when the reading arrived, in milliseconds.
    pub local_ms: u64,
}

/// The lease under which everything runs on one worker.
///
/// ```
/// use cyclamentrail_jobs::Lease;
///
/// let mut lease = Lease::new();
/// lease.read_clock(500, 10_000);
/// assert_eq!(lease.extend(10_100, 4_000), Some(4_600));
/// assert!(!lease.is_over(14_000));
/// assert!(lease.is_over(14_400));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    sample: Option<ClockSample>,
    until_ms: u64,
    own_over_ms: u64,
    inherited_over_ms: u64,
}

impl Lease {
    /// Creates a lease that was never granted.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            sample: None,
            until_ms: 0,
            own_over_ms: 0,
            inherited_over_ms: 0,
        }
    }

    /// Takes note of the worker's clock.
    pub fn read_clock(&mut self, worker_ms: u64, local_ms: u64) {
        let newer = self
            .sample
            .is_none_or(|sample| worker_ms >= sample.worker_ms);
        if newer {
            self.sample = Some(ClockSample {
                worker_ms,
                local_ms,
            });
            if self.until_ms > 0 {
                let over_ms = over_at(worker_ms, local_ms, self.until_ms);
                self.own_over_ms = self.own_over_ms.min(over_ms);
            }
        }
    }

    /// Extends the lease to `length_ms` from now; returns its end on the worker's clock, or
    /// `None` while that clock isn't known.
    pub fn extend(&mut self, now_ms: u64, length_ms: u64) -> Option<u64> {
        let sample = self.sample?;
        let elapsed = now_ms.saturating_sub(sample.local_ms);
        let until = sample.worker_ms + elapsed + length_ms;
        if until > self.until_ms {
            self.until_ms = until;
            self.own_over_ms = over_at(sample.worker_ms, sample.local_ms, until);
        }
        Some(until)
    }

    /// Takes over a lease that somebody else may have granted until a moment of our clock.
    pub fn inherit(&mut self, over_ms: u64) {
        self.inherited_over_ms = self.inherited_over_ms.max(over_ms);
    }

    /// Forgets what somebody else granted, once the worker has seen our fencing token.
    pub const fn adopt(&mut self) {
        self.inherited_over_ms = 0;
    }

    /// Returns whether the lease has surely ended, whatever the worker's clock.
    #[must_use]
    pub fn is_over(&self, now_ms: u64) -> bool {
        now_ms > self.over_ms()
    }

    /// Returns when the lease has surely ended, on our clock in milliseconds.
    #[must_use]
    pub fn over_ms(&self) -> u64 {
        self.own_over_ms.max(self.inherited_over_ms)
    }
}

/// Returns when a clock that runs as slow as allowed reaches `until_ms`.
const fn over_at(worker_ms: u64, local_ms: u64, until_ms: u64) -> u64 {
    let left = until_ms.saturating_sub(worker_ms);
    local_ms + left * PER_MILLE / SLOWEST_RATE + 1
}
