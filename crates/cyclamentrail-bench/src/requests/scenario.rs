//! Size, load and faults of a run.

/// Quick requests a second that the load is a multiple of.
pub(crate) const MEAN_RATE_PER_S: f64 = 780.0;
/// Mean work of a quick request in microseconds.
pub(crate) const QUICK_WORK_US: f64 = 20_000.0;
/// Deadline of a quick request in microseconds.
pub(crate) const QUICK_DEADLINE_US: u64 = 500_000;
/// Long requests a second.
pub(crate) const LONG_RATE_PER_S: f64 = 10.0;
/// Mean work of a long request in microseconds.
pub(crate) const LONG_WORK_US: f64 = 1_000_000.0;
/// Deadline of a long request in microseconds.
pub(crate) const LONG_DEADLINE_US: u64 = 60_000_000;
/// Slots of a server.
pub(crate) const SLOTS: u32 = 8;

/// How the demand runs over time, as a multiple of its mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Load {
    /// Always the same.
    Steady(f64),
    /// Five times the mean for four seconds, a twentieth of it for sixteen.
    Turns,
}

/// A run: its load, its size and what goes wrong.
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
    /// Creates a run of 20 seconds with 9 servers and 6 entries, where nothing goes wrong.
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

    /// Sets the length of the run.
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

    /// Sets whether a third of the servers is slow, fails or refuses in the middle of the run.
    #[must_use]
    pub const fn brown_out(mut self, brown_out: bool) -> Self {
        self.brown_out = brown_out;
        self
    }

    /// Sets whether an entry leaves in the run and comes back.
    #[must_use]
    pub const fn churn(mut self, churn: bool) -> Self {
        self.churn = churn;
        self
    }

    /// Sets whether the balancer sends half of the requests to one entry.
    #[must_use]
    pub const fn skewed(mut self, skewed: bool) -> Self {
        self.skewed = skewed;
        self
    }

    pub(crate) const fn end_us(&self) -> u64 {
        self.seconds * 1_000_000
    }

    /// Returns the multiple of the mean at a moment.
    pub(crate) const fn load_factor(&self, at_us: u64) -> f64 {
        match self.load {
            Load::Steady(factor) => factor,
            Load::Turns if at_us % 20_000_000 < 4_000_000 => 5.0,
            Load::Turns => 0.05,
        }
    }
}
