//! Descriptions drawn from a seed, so that policies are judged on sites that nobody has chosen.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Burst, CallerHabits, Description, Fault, FaultKind, PoolDescription, Turns};

/// Part of all machines that the mean demand of a drawn site takes.
const LOAD_PART: std::ops::RangeInclusive<f64> = 0.3..=0.55;
/// Mean number of steps of a job with up to `max_steps` steps is half of this sum.
const FIRST_STEP: f64 = 1.0;

/// Draws a site with its day from a seed: the numbers and sizes of pools and tasks, the turns, the
/// faults and what callers do.
#[must_use]
pub fn draw_description(seed: u64) -> Description {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let pool_count = rng.random_range(2..=6_u32);
    let cores = [8, 16, 32][rng.random_range(0..3)];
    let mut pools: Vec<PoolDescription> = (0..pool_count)
        .map(|index| draw_pool(&mut rng, index, cores))
        .collect();
    let in_pools: u32 = pools.iter().map(|pool| pool.machines).sum();
    let standby_machines = rng.random_range(0..=in_pools / 3);
    // Each pool asks for an even part of the load.
    let capacity_cores = f64::from((in_pools + standby_machines) * cores);
    let load_cores = capacity_cores * rng.random_range(LOAD_PART) / f64::from(pool_count);
    for pool in &mut pools {
        pool.jobs_per_s = load_cores / core_s_per_job(pool);
    }
    let turn_length_s = rng.random_range(3.0..=12.0);
    let turns = rng.random_bool(0.8).then(|| Turns {
        length_s: turn_length_s,
        peak: f64::from(pool_count) * rng.random_range(0.7..=1.1),
        low: 0.05,
    });
    let length_s = (turn_length_s * f64::from(pool_count) * 3.0).clamp(40.0, 120.0);
    let bursts = rng.random_bool(0.3).then(|| Burst {
        pool: pools[0].name.clone(),
        at_s: length_s * rng.random_range(0.2..=0.7),
        for_s: rng.random_range(2.0..=6.0),
        factor: rng.random_range(1.0..=3.0),
    });
    Description {
        name: format!("drawn-{seed}"),
        length_s,
        move_s: rng.random_range(0.5..=3.0),
        standby_machines,
        turns,
        bursts: bursts.into_iter().collect(),
        faults: draw_faults(&mut rng, length_s),
        callers: CallerHabits {
            early_part: rng.random_range(0.0..=0.5),
            cancel_part: rng.random_range(0.0..=0.1),
            ..CallerHabits::default()
        },
        pools,
    }
}

fn draw_pool(rng: &mut ChaCha8Rng, index: u32, cores: u32) -> PoolDescription {
    PoolDescription {
        name: format!("pool{index}"),
        machines: rng.random_range(4..=16),
        cores,
        jobs_per_s: 0.0,
        max_steps: rng.random_range(1..=3),
        tasks: rng.random_range(2.0..=10.0),
        task_ms: rng.random_range(300.0..=2_000.0),
        task_cores: f64::from(cores) * rng.random_range(0.04..=0.15),
        declared_error: rng.random_range(0.0..=0.6),
        long_running_tasks: rng.random_range(0..=4),
        stretch: rng.random_range(1.4..=2.2),
        target_latency_ms: rng.random_range(300..=1_500),
    }
}

fn draw_faults(rng: &mut ChaCha8Rng, length_s: f64) -> Vec<Fault> {
    let kinds = [
        FaultKind::StoreDown,
        FaultKind::MachinesLost(rng.random_range(0.05..=0.2)),
        FaultKind::MachinesSlow(rng.random_range(0.05..=0.2)),
        FaultKind::MachinesFail(rng.random_range(0.05..=0.15)),
    ];
    let mut faults = Vec::new();
    for kind in kinds {
        if rng.random_bool(0.4) {
            faults.push(Fault {
                at_s: length_s * rng.random_range(0.1..=0.8),
                for_s: rng.random_range(2.0..=8.0),
                kind,
            });
        }
    }
    faults
}

/// Returns the mean processor work of a job in core seconds.
fn core_s_per_job(pool: &PoolDescription) -> f64 {
    let mean_steps = f64::midpoint(FIRST_STEP, f64::from(pool.max_steps));
    mean_steps * pool.tasks * pool.task_ms / 1_000.0 * pool.task_cores
}
