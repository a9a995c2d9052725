//! Decisions that use the learned run times.

use std::str::FromStr;

use thiserror::Error;

/// Decisions that use the learned run times; each of the others is made from declared durations and
/// one mean per route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each decision is switched by itself"
)]
pub struct RunTimeUses {
    /// Admission of jobs.
    pub admission: bool,
    /// Order in which jobs are served.
    pub order: bool,
    /// Choice of a worker for a task.
    pub placement: bool,
    /// Load that the sizes of pools follow.
    pub pool_sizes: bool,
    /// Time after which a rejected caller may try again.
    pub retry_after: bool,
}

/// Error of a list of decisions that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "unknown use of run times {0:?}; known are admission, order, placement, pool_sizes, retry_after, all and none"
)]
pub struct RunTimeUsesError(String);

impl RunTimeUses {
    /// Uses for no decision.
    pub const NONE: Self = Self {
        admission: false,
        order: false,
        placement: false,
        pool_sizes: false,
        retry_after: false,
    };
    /// Uses for all decisions.
    pub const ALL: Self = Self {
        admission: true,
        order: true,
        placement: true,
        pool_sizes: true,
        retry_after: true,
    };

    /// Returns whether any decision uses the learned run times.
    #[must_use]
    pub const fn any(self) -> bool {
        self.admission || self.order || self.placement || self.pool_sizes || self.retry_after
    }
}

impl FromStr for RunTimeUses {
    type Err = RunTimeUsesError;

    /// Reads a list such as `admission,order`, `all` or `none`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut uses = Self::NONE;
        for name in text.split(',').map(str::trim) {
            match name {
                "admission" => uses.admission = true,
                "order" => uses.order = true,
                "placement" => uses.placement = true,
                "pool_sizes" => uses.pool_sizes = true,
                "retry_after" => uses.retry_after = true,
                "all" => uses = Self::ALL,
                "none" => {}
                _ => return Err(RunTimeUsesError(name.to_owned())),
            }
        }
        Ok(uses)
    }
}
