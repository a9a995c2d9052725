//! Cost of one routing decision as the number of workers grows.

use cyclamentrail_core::{Candidate, CandidatePool, Choice, choose_instance};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::SLOTS;

/// Decisions that a mean is taken of.
const DECISIONS: usize = 10_000;
/// Workers of a rack.
const RACK_SIZE: usize = 4;

/// Workers of one pool, a third of them near, loaded at random.
#[derive(Debug, Clone)]
pub struct RoutingPool {
    workers: Vec<Candidate>,
    random: ChaCha8Rng,
}

impl RoutingPool {
    /// Creates a pool in which each slot is taken with probability `load`.
    #[must_use]
    pub fn new(workers: usize, load: f64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let workers = (0..workers)
            .map(|worker| Candidate {
                in_flight: (0..SLOTS)
                    .map(|_| u32::from(random.random_bool(load)))
                    .sum(),
                limit: SLOTS,
                rack: (worker / RACK_SIZE) as u32,
                needs_probe: false,
            })
            .collect();
        Self { workers, random }
    }

    /// Makes one routing decision.
    pub fn decide(&mut self) -> Choice {
        let pool = CandidatePool {
            same_zone_count: self.workers.len() / 3,
            count: self.workers.len(),
            avoided_rack: None,
        };
        choose_instance(pool, |index| self.workers[index], &mut self.random)
    }
}

/// Returns the mean number of workers that a decision looks at.
#[must_use]
pub fn mean_examined(workers: usize, load: f64, seed: u64) -> f64 {
    let mut pool = RoutingPool::new(workers, load, seed);
    let looks: usize = (0..DECISIONS).map(|_| pool.decide().examined).sum();
    looks as f64 / DECISIONS as f64
}
