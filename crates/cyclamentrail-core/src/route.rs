//! Chooses the instance to which a request is sent.
//!
//! Two random instances of the entry's own availability zone and two of the other zones are
//! compared by load. An instance of another zone is chosen only if its load is lower by more than
//! [`ZONE_PENALTY`]. The number of examined instances doesn't grow with the size of the pool.
//!
//! ```
//! use cyclamentrail_core::{Candidate, CandidatePool, choose_instance};
//! use rand::SeedableRng;
//!
//! let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
//! let idle = Candidate { in_flight: 0, limit: 8, rack: 0, needs_probe: false };
//! let pool = CandidatePool { same_zone_count: 2, count: 4, avoided_rack: None };
//! let choice = choose_instance(pool, |_| idle, &mut random);
//! assert!(choice.index.is_some_and(|index| index < 2));
//! ```

use rand::Rng;

/// Load added to instances of other availability zones.
pub const ZONE_PENALTY: f64 = 0.5;
/// Load added to instances in the rack of the last failed attempt. It exceeds any real load, so
/// that such an instance is chosen only when no other examined one has room.
const AVOIDED_RACK_PENALTY: f64 = 100.0;
/// Maximum number of further instances that are examined when the random ones have no room or are
/// in the avoided rack.
const MAX_SCANNED: usize = 12;

/// State of one instance that routing depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Requests of this entry in flight at the instance.
    pub in_flight: u32,
    /// Requests that this entry may have in flight at the instance; 0 when it accepts none.
    pub limit: u32,
    /// Number that identifies the rack; instances of one rack may fail together.
    pub rack: u32,
    /// Whether one request should be sent to find out whether the instance works again.
    pub needs_probe: bool,
}

impl Candidate {
    /// Returns whether this entry may send one more request to the instance.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.in_flight < self.limit
    }

    /// Returns the fraction of the limit that would be in use with one more request; 0 when the
    /// instance should be probed, so that it is preferred.
    #[must_use]
    pub fn load(&self) -> f64 {
        if self.needs_probe {
            return 0.0;
        }
        f64::from(self.in_flight + 1) / f64::from(self.limit.max(1))
    }
}

/// Instances among which to choose, as indices; those of the entry's own availability zone come
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidatePool {
    /// Number of instances in the entry's own availability zone.
    pub same_zone_count: usize,
    /// Number of all instances.
    pub count: usize,
    /// Rack of the last failed attempt; its instances are chosen only when no other examined
    /// instance has room.
    pub avoided_rack: Option<u32>,
}

/// Result of a routing decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the chosen instance; `None` when no examined instance has room.
    pub index: Option<usize>,
    /// Number of examined instances.
    pub examined: usize,
}

/// Chooses the instance with the lowest load among a few random ones.
///
/// `candidate` returns the state of the instance at an index below `pool.count`.
pub fn choose_instance(
    pool: CandidatePool,
    candidate: impl Fn(usize) -> Candidate,
    random: &mut impl Rng,
) -> Choice {
    let mut best: Option<(usize, f64)> = None;
    let mut examined = 0;
    let same_zone_count = pool.same_zone_count.min(pool.count);
    for (range, zone_penalty) in [
        (0..same_zone_count, 0.0),
        (same_zone_count..pool.count, ZONE_PENALTY),
    ] {
        for index in sample_two(range, random).into_iter().flatten() {
            examined += 1;
            let instance = candidate(index);
            let is_avoided = pool.avoided_rack == Some(instance.rack);
            let rack_penalty = if is_avoided {
                AVOIDED_RACK_PENALTY
            } else {
                0.0
            };
            let load = instance.load() + zone_penalty + rack_penalty;
            if instance.has_room() && best.is_none_or(|(_, lowest)| load < lowest) {
                best = Some((index, load));
            }
        }
    }
    match best {
        Some((index, load)) if load < AVOIDED_RACK_PENALTY => Choice {
            index: Some(index),
            examined,
        },
        fallback => scan(
            pool,
            candidate,
            fallback.map(|(index, _)| index),
            examined,
            random,
        ),
    }
}

/// Returns up to two different random indices of a range.
fn sample_two(range: std::ops::Range<usize>, random: &mut impl Rng) -> [Option<usize>; 2] {
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

/// Examines consecutive instances from a random one on, and returns the first one with room outside
/// the avoided rack; without such an instance, `fallback` or one with room in the avoided rack.
fn scan(
    pool: CandidatePool,
    candidate: impl Fn(usize) -> Candidate,
    mut fallback: Option<usize>,
    mut examined: usize,
    random: &mut impl Rng,
) -> Choice {
    if pool.count > 0 {
        let start = random.random_range(0..pool.count);
        for step in 0..pool.count.min(MAX_SCANNED) {
            let index = (start + step) % pool.count;
            let instance = candidate(index);
            examined += 1;
            if !instance.has_room() {
                continue;
            }
            if pool.avoided_rack != Some(instance.rack) {
                fallback = Some(index);
                break;
            }
            fallback = fallback.or(Some(index));
        }
    }
    Choice {
        index: fallback,
        examined,
    }
}
