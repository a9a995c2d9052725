//! Times and sizes of the load's requests. Demand peaks at one service after the other, so that
//! capacity has to move between the pools.

use std::time::Duration;

use cyclamentrail_core::{ServiceName, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Rate of the service at its peak, as a multiple of the service's mean rate.
const PEAK_RATE_FACTOR: f64 = 5.0;
/// Rate of the other services, as a multiple of their mean rates.
const OFF_PEAK_RATE_FACTOR: f64 = 0.05;
/// Longest peak of one service, in seconds.
const MAX_PEAK_S: f64 = 5.0;
/// Most work of a request, as a multiple of the service's mean work.
const MAX_WORK_FACTOR: f64 = 8.0;
/// Share of requests that aren't idempotent and must run at most once.
const NON_IDEMPOTENT_SHARE: f64 = 0.1;
/// Length limit of a request's body in bytes, exclusive.
const MAX_BODY_BYTES: usize = 2048;

/// One request of the load.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Arrival {
    /// Time from the start of the load until the request is sent.
    pub(super) at: Duration,
    /// Service that the request is sent to.
    pub(super) service: ServiceName,
    /// Time in milliseconds for which the request occupies one slot.
    pub(super) work_ms: u64,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Length of the request's body in bytes.
    pub(super) body_bytes: usize,
}

/// All requests of the load, ordered by the time of sending.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Schedule {
    pub(super) arrivals: Vec<Arrival>,
}

impl Schedule {
    /// Draws the requests of `seconds` seconds of load on a site with Poisson arrivals. The same
    /// settings, length and seed give the same schedule.
    pub(super) fn new(settings: &Settings, seconds: u64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seconds = Duration::from_secs(seconds).as_secs_f64();
        let service_count = settings.services.len().max(1);
        let service_count_f64 = u32::try_from(service_count).map_or(1.0, f64::from);
        let peak_length_s = (seconds / service_count_f64).clamp(f64::MIN_POSITIVE, MAX_PEAK_S);
        let mut arrivals = Vec::new();
        let mut peak_start_s = 0.0;
        let mut peak_index = 0;
        while peak_start_s < seconds {
            let peak_end_s = (peak_start_s + peak_length_s).min(seconds);
            for (service_index, (service, service_settings)) in settings.services.iter().enumerate()
            {
                let rate_factor = if service_index == peak_index % service_count {
                    PEAK_RATE_FACTOR
                } else {
                    OFF_PEAK_RATE_FACTOR
                };
                let rate_per_s = service_settings.mean_rate_per_s * rate_factor;
                let mut at_s = peak_start_s + exponential(&mut rng, 1.0 / rate_per_s);
                while at_s < peak_end_s {
                    arrivals.push(Arrival {
                        at: Duration::from_secs_f64(at_s),
                        service: service.clone(),
                        work_ms: work_ms(&mut rng, service_settings.mean_work_ms),
                        idempotent: !rng.random_bool(NON_IDEMPOTENT_SHARE),
                        body_bytes: rng.random_range(0..MAX_BODY_BYTES),
                    });
                    at_s += exponential(&mut rng, 1.0 / rate_per_s);
                }
            }
            peak_start_s = peak_end_s;
            peak_index += 1;
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }
}

fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    -uniform.ln() * mean
}

fn work_ms(rng: &mut impl Rng, mean_ms: f64) -> u64 {
    let sampled_ms = exponential(rng, mean_ms).min(mean_ms * MAX_WORK_FACTOR);
    let millis = Duration::from_secs_f64(sampled_ms / 1000.0).as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX).max(1)
}
