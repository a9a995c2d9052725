//! Capacity of a machine for owning shards, and which processes leave ownership to others.
//!
//! The machines of a site may differ by a factor of several in processor share and link. An owner
//! sends a command for each task of its service, so that a small machine holds up a whole service at
//! its peak, while larger machines are idle.

/// Processor time that an owner takes for one task, in millionths of a core-second.
const CPU_PER_TASK_US: u64 = 300;
/// Bytes that an owner sends for one task: the start command with the text of its job, and the
/// task's share of the records and polls.
const BYTES_PER_TASK: u64 = 2_500;
/// Factor, in percent, by which a shard must be better off with another owner for a change.
const MIN_ADVANTAGE_PERCENT: u64 = 150;
/// Number of bits in a byte.
const BITS: u64 = 8;

/// Limits of the machine that a process runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Processor capacity in thousandths of a core.
    pub cpu_milli: u64,
    /// Bandwidth of the machine's link in thousandths of a megabit per second.
    pub link_kbit_per_s: u64,
}

/// Number of tasks that an owner on a machine can start in a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerCapacity(u64);

impl OwnerCapacity {
    /// Creates a capacity in tasks per second.
    #[must_use]
    pub const fn new(tasks_per_s: u64) -> Self {
        Self(tasks_per_s)
    }

    /// Returns the tasks per second.
    #[must_use]
    pub const fn tasks_per_s(self) -> u64 {
        self.0
    }

    /// Returns the capacity for each of `shards` shards of one owner.
    #[must_use]
    pub const fn per_shard(self, shards: u64) -> Self {
        match self.0.checked_div(shards) {
            Some(tasks_per_s) => Self(tasks_per_s),
            None => self,
        }
    }

    /// Returns whether this capacity is larger than another by enough to change an owner for it.
    #[must_use]
    pub const fn is_clearly_above(self, other: Self) -> bool {
        self.0 * 100 >= other.0 * MIN_ADVANTAGE_PERCENT && self.0 > other.0
    }
}

impl From<MachineLimits> for OwnerCapacity {
    /// Returns what the scarcer of processor and link allows.
    ///
    /// ```
    /// use cyclamentrail_jobs::{MachineLimits, OwnerCapacity};
    ///
    /// let small = MachineLimits { cpu_milli: 120, link_kbit_per_s: 10_000 };
    /// let large = MachineLimits { cpu_milli: 500, link_kbit_per_s: 200_000 };
    /// assert!(OwnerCapacity::from(large).is_clearly_above(OwnerCapacity::from(small)));
    /// ```
    fn from(limits: MachineLimits) -> Self {
        let by_cpu = limits.cpu_milli * 1_000 / CPU_PER_TASK_US;
        let by_link = limits.link_kbit_per_s * 1_000 / BITS / BYTES_PER_TASK;
        Self(by_cpu.min(by_link))
    }
}

/// Returns whether a process leaves all shards to other live processes, because these can give each
/// shard clearly more capacity than this process could give to a single one.
///
/// ```
/// use cyclamentrail_jobs::{OwnerCapacity, leaves_shards_to_others};
///
/// let (small, large) = (OwnerCapacity::new(400), OwnerCapacity::new(1_600));
/// assert!(leaves_shards_to_others(small, &[large; 3], 6));
/// // A single large machine would have all six shards.
/// assert!(!leaves_shards_to_others(small, &[large, small], 6));
/// assert!(!leaves_shards_to_others(large, &[large; 8], 6));
/// ```
#[must_use]
pub fn leaves_shards_to_others(
    own: OwnerCapacity,
    others: &[OwnerCapacity],
    shard_count: usize,
) -> bool {
    let better: Vec<OwnerCapacity> = others
        .iter()
        .copied()
        .filter(|other| other.is_clearly_above(own))
        .collect();
    let Some(least) = better.iter().min() else {
        return false;
    };
    let most_shards = shard_count.div_ceil(better.len()) as u64;
    least.per_shard(most_shards).is_clearly_above(own)
}
