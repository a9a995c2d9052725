//! Leases that expire on the worker's clock, which may run slow.

/// Denominator of clock rates.
const PER_MILLE: u64 = 1_000;
/// Slowest rate of a worker's clock against the owner's, in thousandths. It is slightly below the
/// bound that the platform states, because the owner's clock isn't exact either.
const SLOWEST_RATE_PER_MILLE: u64 = 975;

/// Reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClockSample {
    /// Reading of the worker's clock, in milliseconds.
    pub worker_ms: u64,
    /// Time at which the reading arrived, on the owner's boot clock in milliseconds.
    pub local_ms: u64,
}

/// What the latest possible end of a lease follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseBound {
    /// A grant of this owner.
    Granted,
    /// Grants of earlier owners.
    Inherited,
    /// Calls to an earlier incarnation of the worker.
    Crossed,
}

impl LeaseBound {
    /// Returns the bound as it is written in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Inherited => "inherited",
            Self::Crossed => "crossed",
        }
    }
}

/// Lease under which all tasks of one worker run.
///
/// ```
/// use cyclamentrail_jobs::Lease;
///
/// let mut lease = Lease::new();
/// lease.record_clock(500, 10_000);
/// assert_eq!(lease.extend(10_100, 4_000), Some(4_600));
/// assert!(!lease.is_expired(14_000));
/// assert!(lease.is_expired(14_400));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Newest reading of the worker's clock.
    sample: Option<ClockSample>,
    /// Latest end that this owner granted, on the worker's clock in milliseconds; 0 before the
    /// first grant.
    worker_until_ms: u64,
    /// Latest time on the owner's boot clock at which the lease of this owner ends.
    own_expiry_ms: u64,
    /// Newest reading of the worker's clock that the worker itself wrote to the registry.
    listed_clock_ms: u64,
    /// Time of the last grant on the owner's boot clock; 0 before the first.
    last_grant_ms: u64,
    /// Latest time on the owner's boot clock at which a lease of an earlier owner ends; 0 if there
    /// is none.
    inherited_expiry_ms: u64,
    /// Latest time on the owner's boot clock at which a lease ends that calls to an earlier
    /// incarnation of the worker granted this one; 0 if none is counted.
    crossed_expiry_ms: u64,
}

impl Lease {
    /// Creates a lease that has never been granted.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            sample: None,
            worker_until_ms: 0,
            own_expiry_ms: 0,
            listed_clock_ms: 0,
            last_grant_ms: 0,
            inherited_expiry_ms: 0,
            crossed_expiry_ms: 0,
        }
    }

    /// Records a reading of the worker's clock, which may bring the latest expiry forward. A
    /// reading that is older than the present one is ignored.
    pub fn record_clock(&mut self, worker_ms: u64, local_ms: u64) {
        let is_newer = self
            .sample
            .is_none_or(|sample| worker_ms >= sample.worker_ms);
        if is_newer {
            self.sample = Some(ClockSample {
                worker_ms,
                local_ms,
            });
            if self.worker_until_ms > 0 {
                let expiry_ms = latest_expiry_ms(worker_ms, local_ms, self.worker_until_ms);
                self.own_expiry_ms = self.own_expiry_ms.min(expiry_ms);
            }
        }
    }

    /// Records a reading of the worker's clock in the registry.
    pub fn record_listed_clock(&mut self, worker_ms: u64, local_ms: u64) {
        self.listed_clock_ms = self.listed_clock_ms.max(worker_ms);
        self.record_clock(worker_ms, local_ms);
    }

    /// Returns whether the worker was there, by its own clock, after the last grant had ended.
    #[must_use]
    pub const fn is_outlived(&self) -> bool {
        self.listed_clock_ms > self.worker_until_ms
    }

    /// Extends the lease to `length_ms` from now. Returns its end on the worker's clock in
    /// milliseconds, or `None` while no reading of that clock is known.
    pub fn extend(&mut self, now_ms: u64, length_ms: u64) -> Option<u64> {
        let sample = self.sample?;
        self.last_grant_ms = now_ms;
        let elapsed_ms = now_ms.saturating_sub(sample.local_ms);
        let until_ms = sample.worker_ms.saturating_add(elapsed_ms + length_ms);
        if until_ms > self.worker_until_ms {
            self.worker_until_ms = until_ms;
            self.own_expiry_ms = latest_expiry_ms(sample.worker_ms, sample.local_ms, until_ms);
        }
        Some(until_ms)
    }

    /// Returns the time of the last grant on the owner's boot clock in milliseconds; 0 before the first.
    #[must_use]
    pub const fn last_grant_ms(&self) -> u64 {
        self.last_grant_ms
    }

    /// Sets until when crossed calls may have granted a lease, on the owner's boot clock in milliseconds:
    /// calls to an earlier incarnation, with times on its clock, that this one carries out. What was set
    /// before doesn't count any more.
    pub const fn set_crossed_expiry(&mut self, expiry_ms: u64) {
        self.crossed_expiry_ms = expiry_ms;
    }

    /// Records that an earlier owner may have granted a lease that ends at `expiry_ms` on this
    /// owner's boot clock at the latest.
    pub fn inherit(&mut self, expiry_ms: u64) {
        self.inherited_expiry_ms = self.inherited_expiry_ms.max(expiry_ms);
    }

    /// Drops the lease of an earlier owner. Called once the worker has seen this owner's fencing
    /// token.
    pub const fn drop_inherited(&mut self) {
        self.inherited_expiry_ms = 0;
    }

    /// Returns whether the lease has expired, even on the slowest clock that is allowed.
    #[must_use]
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms > self.expiry_ms()
    }

    /// Returns the latest time at which the lease expires, on the owner's boot clock in
    /// milliseconds.
    #[must_use]
    pub fn expiry_ms(&self) -> u64 {
        self.own_expiry_ms
            .max(self.inherited_expiry_ms)
            .max(self.crossed_expiry_ms)
    }

    /// Returns what the latest time at which the lease expires follows from.
    #[must_use]
    pub fn bound(&self) -> LeaseBound {
        let expiry_ms = self.expiry_ms();
        if self.own_expiry_ms == expiry_ms {
            LeaseBound::Granted
        } else if self.inherited_expiry_ms == expiry_ms {
            LeaseBound::Inherited
        } else {
            LeaseBound::Crossed
        }
    }
}

/// Returns the time on the owner's boot clock at which a worker's clock at the slowest allowed
/// rate reaches `until_ms`.
const fn latest_expiry_ms(worker_ms: u64, local_ms: u64, until_ms: u64) -> u64 {
    let remaining_ms = until_ms.saturating_sub(worker_ms);
    let longest_ms = remaining_ms.saturating_mul(PER_MILLE) / SLOWEST_RATE_PER_MILLE;
    local_ms.saturating_add(longest_ms + 1)
}
