//! Laboratory for scheduling decisions: policies play seeded days of a site in virtual time.
//!
//! The product's own [`Shard`](cyclamentrail_jobs::Shard)s and
//! [`FleetPlanner`](cyclamentrail_jobs::FleetPlanner) decide; workers, machines, store, calls and callers are
//! simulated around them. The same arrivals are also played by a simple policy, first come first
//! served without admission, moves and faults, and compared with a bound that no policy can exceed.
//!
//! A job is on time if it completes within its objective, which counts from the caller's first
//! attempt and follows from the real durations of its tasks. Up to [`LATE_FACTOR`] times that, it
//! is late; after that, and where its caller was rejected for good, it is lost.

mod bound;
mod description;
mod first_come;
mod outcome;
mod plot;
mod site;
mod site_draw;
mod trace;
mod worker;

pub use bound::on_time_bound;
pub use description::{
    Burst, CallerHabits, Description, DescriptionError, Fault, FaultKind, PoolDescription, Turns,
};
pub use first_come::play_first_come;
pub use outcome::{Counts, DayOutcome, JobOutcome};
pub use plot::draw_plot;
pub use site::play_product;
pub use site_draw::draw_description;
pub use trace::{Trace, TraceJob};

/// Multiple of its objective up to which a late job is still of use to its caller.
pub const LATE_FACTOR: u64 = 3;

/// Way of deciding that plays a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The product's decisions.
    Product,
    /// First come first served on the pools as they are, without admission. Faults don't occur.
    FirstCome,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 2] = [Self::FirstCome, Self::Product];

    /// Returns the name of the policy in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::FirstCome => "first come, no faults",
        }
    }
}

/// Plays a trace by a policy.
#[must_use]
pub fn play(description: &Description, trace: &Trace, policy: Policy) -> DayOutcome {
    match policy {
        Policy::Product => play_product(description, trace),
        Policy::FirstCome => play_first_come(description, trace),
    }
}
