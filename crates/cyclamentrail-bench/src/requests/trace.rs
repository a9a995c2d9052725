//! Seeded random trace of requests, the same for every policy.

use cyclamentrail_core::{RequestClass, TeamName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{
    LONG_DEADLINE_US, LONG_RATE_PER_S, LONG_WORK_US, MEAN_RATE_PER_S, QUICK_DEADLINE_US,
    QUICK_WORK_US, Scenario,
};

/// Number of teams; team 0 sends half of the requests.
pub(crate) const TEAMS: usize = 9;
/// Share of idempotent requests, which may run more than once.
const IDEMPOTENT_SHARE: f64 = 0.8;

/// A request of the trace.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) class: RequestClass,
    pub(crate) team: usize,
    pub(crate) team_name: TeamName,
    pub(crate) work_us: u64,
    pub(crate) deadline_us: u64,
    pub(crate) idempotent: bool,
    /// Random value by which the load balancer chooses an entry.
    pub(crate) balancer_value: u64,
}

/// Returns the requests of a scenario, ordered by arrival time.
pub(crate) fn trace(scenario: &Scenario) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
    let teams: Vec<TeamName> = (0..TEAMS)
        .map(|team| TeamName::from(format!("team-{team}")))
        .collect();
    let mut arrivals = Vec::new();
    for class in [RequestClass::Quick, RequestClass::Long] {
        let mut at_us = 0.0;
        loop {
            let rate_per_s = match class {
                RequestClass::Quick => MEAN_RATE_PER_S * scenario.load_factor(at_us as u64),
                RequestClass::Long => LONG_RATE_PER_S,
            };
            at_us += exponential(1_000_000.0 / rate_per_s, &mut random);
            if at_us as u64 >= scenario.end_us() {
                break;
            }
            arrivals.push(arrival(at_us as u64, class, &teams, &mut random));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn arrival(
    at_us: u64,
    class: RequestClass,
    teams: &[TeamName],
    random: &mut ChaCha8Rng,
) -> Arrival {
    let (mean_us, deadline_after_us) = match class {
        RequestClass::Quick => (QUICK_WORK_US, QUICK_DEADLINE_US),
        RequestClass::Long => (LONG_WORK_US, LONG_DEADLINE_US),
    };
    let team = if random.random_bool(0.5) {
        0
    } else {
        random.random_range(1..TEAMS)
    };
    Arrival {
        at_us,
        class,
        team,
        team_name: teams[team].clone(),
        work_us: exponential(mean_us, random) as u64,
        deadline_us: at_us + deadline_after_us,
        idempotent: random.random_bool(IDEMPOTENT_SHARE),
        balancer_value: random.random(),
    }
}

fn exponential(mean: f64, random: &mut ChaCha8Rng) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}
