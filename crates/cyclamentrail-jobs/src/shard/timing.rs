//! Times and limits of a shard, and how long leases last on slow clocks.

use crate::RunTimeUses;

/// Part of a lease by which it can last longer on a worker's slow clock, as a divisor: 40 stands
/// for 2.5%.
const SLOW_CLOCK_DIVISOR: u64 = 40;

/// Times and limits of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardTiming {
    /// Length of a worker's lease in milliseconds.
    pub lease_ms: u64,
    /// Longest lease that a worker accepts, in milliseconds.
    pub max_lease_ms: u64,
    /// Longest time for which a worker may hold a poll until a run ends, in milliseconds.
    pub poll_wait_ms: u64,
    /// Like `poll_wait_ms`, for a worker on which best-effort tasks run beside latency-sensitive
    /// ones.
    pub shared_poll_wait_ms: u64,
    /// Time from a poll's result to the next poll of a busy worker, in milliseconds.
    pub poll_interval_ms: u64,
    /// Time for which a final job is kept, in milliseconds.
    pub keep_ms: u64,
    /// Number of jobs from which new ones are rejected; final jobs count until they are dropped.
    pub max_jobs: usize,
    /// Longest record that the store accepts, with its key, in bytes.
    pub max_record_bytes: usize,
    /// Decisions that use the learned run times.
    pub run_time_uses: RunTimeUses,
}

impl Default for ShardTiming {
    fn default() -> Self {
        Self {
            lease_ms: 4_500,
            max_lease_ms: 6_000,
            poll_wait_ms: 1_200,
            shared_poll_wait_ms: 400,
            poll_interval_ms: 60,
            keep_ms: 125_000,
            max_jobs: 20_000,
            max_record_bytes: 262_144,
            run_time_uses: RunTimeUses::NONE,
        }
    }
}

impl ShardTiming {
    /// Returns the longest time in milliseconds that a granted lease lasts on the slowest clock; every
    /// owner grants leases of the same length.
    #[must_use]
    pub const fn longest_lease_ms(&self) -> u64 {
        on_slowest_clock(self.lease_ms)
    }

    /// Returns the longest time in milliseconds after a takeover until the leases have ended that nobody
    /// has recorded, where the earlier owner may act for `active_ms` more.
    ///
    /// What that owner still grants is as short as any grant. What a worker has by then may last as long
    /// as workers accept: a call by the clock of an earlier incarnation names a time far ahead.
    pub(super) fn longest_unrecorded_ms(&self, active_ms: u64) -> u64 {
        (active_ms + self.longest_lease_ms()).max(self.longest_possible_lease_ms())
    }

    /// Returns the longest time in milliseconds that any lease lasts on the slowest clock.
    pub(super) const fn longest_possible_lease_ms(&self) -> u64 {
        on_slowest_clock(self.max_lease_ms)
    }
}

/// Returns how long a time on a worker's clock lasts at most, in milliseconds.
const fn on_slowest_clock(worker_ms: u64) -> u64 {
    worker_ms + worker_ms / SLOW_CLOCK_DIVISOR + 1
}
