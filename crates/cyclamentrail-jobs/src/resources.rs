//! Resources of workers and of the tasks that run on them.

use serde::{Deserialize, Serialize};

/// Amount of processor, memory and accelerators.
///
/// ```
/// use cyclamentrail_jobs::Resources;
///
/// let worker = Resources::new(32_000, 131_072, 0);
/// assert!(worker.contains(&Resources::new(1_800, 6_500, 0)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Creates an amount from thousandths of a core, mebibytes and a number of accelerators.
    #[must_use]
    pub const fn new(cpu_milli: u64, memory_mib: u64, gpus: u64) -> Self {
        Self {
            cpu_milli,
            memory_mib,
            gpus,
        }
    }

    /// Returns whether another amount fits into this one in every dimension.
    #[must_use]
    pub const fn contains(&self, other: &Self) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mib >= other.memory_mib
            && self.gpus >= other.gpus
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns the amount that a number of equal tasks take together.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns how many tasks of a demand fit into this amount.
    #[must_use]
    pub fn count_of(&self, demand: &Self) -> u64 {
        let count = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        count(self.cpu_milli, demand.cpu_milli)
            .min(count(self.memory_mib, demand.memory_mib))
            .min(count(self.gpus, demand.gpus))
    }

    /// Returns the difference of two amounts, at least zero in every dimension.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Returns the largest share that this amount takes of one dimension of a capacity, in
    /// thousandths; a share of a dimension without capacity counts as 1000.
    #[must_use]
    pub fn dominant_share_milli(&self, capacity: &Self) -> u64 {
        self.dominant_part(capacity, 1_000)
    }

    /// Returns the largest share that this amount takes of one dimension of a capacity, in parts of
    /// which `parts` make the whole; a share of a dimension without capacity counts as the whole.
    #[must_use]
    pub fn dominant_part(&self, capacity: &Self, parts: u64) -> u64 {
        let share = |part: u64, whole: u64| {
            if part == 0 {
                0
            } else {
                part.saturating_mul(parts)
                    .checked_div(whole)
                    .unwrap_or(parts)
            }
        };
        share(self.cpu_milli, capacity.cpu_milli)
            .max(share(self.memory_mib, capacity.memory_mib))
            .max(share(self.gpus, capacity.gpus))
    }
}
