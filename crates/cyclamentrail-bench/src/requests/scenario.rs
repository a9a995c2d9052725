//! Parameters of a simulated run: size, load and faults.

/// Mean rate of quick requests per second; a load is a multiple of this rate.
pub(crate) const MEAN_RATE_PER_S: f64 = 780.0;
/// Mean time in microseconds for which a quick request occupies a slot.
pub(crate) const QUICK_WORK_US: f64 = 20_000.0;
/// Time in microseconds from arrival within which a quick request has to be answered.
pub(crate) const QUICK_DEADLINE_US: u64 = 500_000;
/// Rate of long requests per second, at every load.
pub(crate) const LONG_RATE_PER_S: f64 = 10.0;
/// Mean time in microseconds for which a long request occupies a slot.
pub(crate) const LONG_WORK_US: f64 = 1_000_000.0;
/// Time in microseconds from arrival within which a long request has to be answered.
pub(crate) const LONG_DEADLINE_US: u64 = 60_000_000;
/// Requests that one server runs at once.
pub(crate) const SLOTS: u32 = 8;

/// Rate of quick requests over time, as a multiple of the mean rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Load {
    /// A constant multiple of the mean.
    Steady(f64),
    /// Alternates between five times the mean for 4 seconds and 0.05 times the mean for 16 seconds.
    Turns,
}

/// Parameters of one simulated run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    pub(crate) load: Load,
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    pub(crate) servers: usize,
    pub(crate) entries: usize,
    pub(crate) brown_out: bool,
    pub(crate) churn: bool,
    pub(crate) skewed: bool,
}

impl Scenario {
    /// Creates a run of 20 seconds with 9 servers and 6 entries, without faults.
    #[must_use]
    pub const fn new(load: Load, seed: u64) -> Self {
        Self {
            load,
            seed,
            seconds: 20,
            servers: 9,
            entries: 6,
            brown_out: false,
            churn: false,
            skewed: false,
        }
    }

    /// Sets the length of the run in virtual seconds.
    #[must_use]
    pub const fn seconds(mut self, seconds: u64) -> Self {
        self.seconds = seconds;
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub const fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets whether three servers are faulty in the middle half of the run: one is slow, one fails
    /// every request, one refuses every request.
    #[must_use]
    pub const fn brown_out(mut self, brown_out: bool) -> Self {
        self.brown_out = brown_out;
        self
    }

    /// Sets whether one entry leaves during the run and joins again.
    #[must_use]
    pub const fn churn(mut self, churn: bool) -> Self {
        self.churn = churn;
        self
    }

    /// Sets whether the load balancer in front of the entries sends half of the requests to one
    /// entry.
    #[must_use]
    pub const fn skewed(mut self, skewed: bool) -> Self {
        self.skewed = skewed;
        self
    }

    pub(crate) const fn end_us(&self) -> u64 {
        self.seconds * 1_000_000
    }

    /// Returns the multiple of the mean rate at a virtual time in microseconds.
    pub(crate) const fn load_factor(&self, at_us: u64) -> f64 {
        match self.load {
            Load::Steady(factor) => factor,
            Load::Turns if at_us % 20_000_000 < 4_000_000 => 5.0,
            Load::Turns => 0.05,
        }
    }
}
