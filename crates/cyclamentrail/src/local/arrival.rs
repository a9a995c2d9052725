//! The load's arrivals: demand moves between the queues by turns.

use std::time::Duration;

use cyclamentrail_core::{ServiceName, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Demand of the queue whose turn it is, as a multiple of its mean.
const TURN_FACTOR: f64 = 5.0;
/// Demand of the other queues, as a multiple of their means.
const REST_FACTOR: f64 = 0.05;
/// Longest turn in seconds.
const MAX_TURN_S: f64 = 5.0;
/// Longest work of a request, as a multiple of the mean.
const MAX_WORK_FACTOR: f64 = 8.0;
/// Share of requests that must not run twice.
const ORDER_SHARE: f64 = 0.1;
/// Largest body of a request in bytes.
const MAX_BODY_BYTES: usize = 2048;

/// One request of the load.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Arrival {
    /// When it is sent, from the start of the load.
    pub(super) at: Duration,
    /// The service that it asks.
    pub(super) service: ServiceName,
    /// Work in milliseconds of one slot.
    pub(super) work_ms: u64,
    /// Whether it may run twice.
    pub(super) idempotent: bool,
    /// Length of its body in bytes.
    pub(super) body_bytes: usize,
}

/// All requests of the load in the order of their times; the same seed gives the same schedule.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Schedule {
    /// The requests.
    pub(super) arrivals: Vec<Arrival>,
}

impl Schedule {
    /// Draws the schedule of a site.
    pub(super) fn new(settings: &Settings, seconds: u64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let seconds = Duration::from_secs(seconds).as_secs_f64();
        let queues = settings.services.len().max(1);
        let queue_count = u32::try_from(queues).map_or(1.0, f64::from);
        let turn_s = (seconds / queue_count).clamp(f64::MIN_POSITIVE, MAX_TURN_S);
        let mut arrivals = Vec::new();
        let mut begin_s = 0.0;
        let mut turn = 0;
        while begin_s < seconds {
            let end_s = (begin_s + turn_s).min(seconds);
            for (queue, (service, service_settings)) in settings.services.iter().enumerate() {
                let factor = if queue == turn % queues {
                    TURN_FACTOR
                } else {
                    REST_FACTOR
                };
                let rate_per_s = service_settings.mean_rate_per_s * factor;
                let mut at_s = begin_s + exponential(&mut random, 1.0 / rate_per_s);
                while at_s < end_s {
                    arrivals.push(Arrival {
                        at: Duration::from_secs_f64(at_s),
                        service: service.clone(),
                        work_ms: work_ms(&mut random, service_settings.mean_work_ms),
                        idempotent: !random.random_bool(ORDER_SHARE),
                        body_bytes: random.random_range(0..MAX_BODY_BYTES),
                    });
                    at_s += exponential(&mut random, 1.0 / rate_per_s);
                }
            }
            begin_s = end_s;
            turn += 1;
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }
}

fn exponential(random: &mut impl Rng, mean: f64) -> f64 {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -uniform.ln() * mean
}

fn work_ms(random: &mut impl Rng, mean_ms: f64) -> u64 {
    let drawn = exponential(random, mean_ms).min(mean_ms * MAX_WORK_FACTOR);
    let millis = Duration::from_secs_f64(drawn / 1000.0).as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX).max(1)
}
