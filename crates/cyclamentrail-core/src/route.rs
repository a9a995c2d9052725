//! Chooses the instance that a request is sent to.
//!
//! Two random instances of the entry's own availability zone and two of the others are compared
//! by load; a distant one needs to be less loaded by [`ZONE_PENALTY`] to be chosen. The number of
//! instances that are looked at doesn't grow with their count.
//!
//! ```
//! use cyclamentrail_core::{Candidate, Pool, choose};
//! use rand::SeedableRng;
//!
//! let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
//! let idle = Candidate { in_flight: 0, limit: 8, rack: 0, probe: false };
//! let pool = Pool { near: 2, count: 4, avoid: None };
//! let choice = choose(pool, |_| idle, &mut random);
//! assert!(choice.index.is_some_and(|index| index < 2));
//! ```

use rand::Rng;

/// Load by which an instance of another availability zone must be lower to be chosen.
pub const ZONE_PENALTY: f64 = 0.5;
/// Load added to instances that share a failure domain with the last failed try.
const AVOIDED_PENALTY: f64 = 100.0;
/// Instances looked at, at most, when the random ones have no room.
const MAX_SCANNED: usize = 12;

/// What routing needs to know of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Requests that this entry may have in flight there; 0 when it takes none.
    pub limit: u32,
    /// Number of its rack; equal numbers fail together.
    pub rack: u32,
    /// Whether one request is to find out whether it works again.
    pub probe: bool,
}

impl Candidate {
    /// Returns whether the instance has a free slot.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.in_flight < self.limit
    }

    /// Returns the share of the limit that one more request would make; a probe counts as none.
    #[must_use]
    pub fn load(&self) -> f64 {
        if self.probe {
            return 0.0;
        }
        f64::from(self.in_flight + 1) / f64::from(self.limit.max(1))
    }
}

/// The instances among which to choose; those of the entry's own zone come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pool {
    /// Instances in the entry's own availability zone.
    pub near: usize,
    /// All instances.
    pub count: usize,
    /// Rack of the last failed try; chosen only when nothing else has room.
    pub avoid: Option<u32>,
}

/// What was chosen, and what it cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the instance; `None` when none was found with room.
    pub index: Option<usize>,
    /// Instances that were looked at.
    pub looked_at: usize,
}

/// Chooses the instance of the lowest load among a few random ones.
///
/// `candidate` describes the instance at an index below `pool.count`.
pub fn choose(pool: Pool, candidate: impl Fn(usize) -> Candidate, random: &mut impl Rng) -> Choice {
    let mut best: Option<(usize, f64)> = None;
    let mut looked_at = 0;
    let near = pool.near.min(pool.count);
    for (range, penalty) in [(0..near, 0.0), (near..pool.count, ZONE_PENALTY)] {
        for index in two_of(range, random).into_iter().flatten() {
            looked_at += 1;
            let seen = candidate(index);
            let avoided = pool.avoid == Some(seen.rack);
            let extra = if avoided { AVOIDED_PENALTY } else { 0.0 };
            let load = seen.load() + penalty + extra;
            if seen.has_room() && best.is_none_or(|(_, least)| load < least) {
                best = Some((index, load));
            }
        }
    }
    match best {
        Some((index, load)) if load < AVOIDED_PENALTY => Choice {
            index: Some(index),
            looked_at,
        },
        fallback => scan(
            pool,
            candidate,
            fallback.map(|(index, _)| index),
            looked_at,
            random,
        ),
    }
}

fn two_of(range: std::ops::Range<usize>, random: &mut impl Rng) -> [Option<usize>; 2] {
    match range.len() {
        0 => [None, None],
        1 => [Some(range.start), None],
        length => {
            let first = random.random_range(0..length);
            let step = random.random_range(1..length);
            let second = (first + step) % length;
            [Some(range.start + first), Some(range.start + second)]
        }
    }
}

fn scan(
    pool: Pool,
    candidate: impl Fn(usize) -> Candidate,
    mut fallback: Option<usize>,
    mut looked_at: usize,
    random: &mut impl Rng,
) -> Choice {
    if pool.count > 0 {
        let start = random.random_range(0..pool.count);
        for step in 0..pool.count.min(MAX_SCANNED) {
            let index = (start + step) % pool.count;
            let seen = candidate(index);
            looked_at += 1;
            if !seen.has_room() {
                continue;
            }
            if pool.avoid != Some(seen.rack) {
                fallback = Some(index);
                break;
            }
            fallback = fallback.or(Some(index));
        }
    }
    Choice {
        index: fallback,
        looked_at,
    }
}
