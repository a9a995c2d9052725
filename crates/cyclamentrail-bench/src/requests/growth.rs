//! Cost of one routing decision as the number of workers grows.

use cyclamentrail_core::{Candidate, CandidatePool, Choice, choose_instance};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::SLOTS;

/// Number of decisions over which the mean is taken.
const DECISIONS: usize = 10_000;
/// Workers in each rack.
const RACK_SIZE: usize = 4;

/// Randomly loaded workers of one pool, a third of them in the zone of the entry.
#[derive(Debug, Clone)]
pub struct RoutingPool {
    workers: Vec<Candidate>,
    random: ChaCha8Rng,
}

impl RoutingPool {
    /// Creates a pool of `workers` workers in which each slot is occupied with probability `load`.
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

/// Returns the mean number of workers that one routing decision examines.
#[must_use]
pub fn mean_examined(workers: usize, load: f64, seed: u64) -> f64 {
    let mut pool = RoutingPool::new(workers, load, seed);
    let looks: usize = (0..DECISIONS).map(|_| pool.decide().examined).sum();
    looks as f64 / DECISIONS as f64
}
