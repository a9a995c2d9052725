//! Arrivals of a day, drawn from a seed.

use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, ServiceName};
use cyclamentrail_jobs::{JobSpec, Resources, RouteConfig, StepSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Description, PoolDescription};

/// Memory of a machine for each of its cores, in mebibytes.
pub(super) const MEMORY_PER_CORE_MIB: u64 = 4_096;
/// Range of the number of tasks, of durations and of demands around their means, as factors.
const SPREAD: std::ops::RangeInclusive<f64> = 0.4..=1.6;
/// Range of the real duration of each task around that of its step, as factors.
const TASK_SPREAD: std::ops::RangeInclusive<f64> = 0.85..=1.15;
/// Time step in which arrivals are drawn, in milliseconds.
const DRAW_STEP_MS: u64 = 5;

/// A job as its caller submits it, with the real durations of its tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceJob {
    /// Time of the first attempt, in milliseconds.
    pub at_ms: u64,
    /// Index of the pool.
    pub pool: usize,
    /// The job as its caller declares it.
    pub spec: Arc<JobSpec>,
    /// Real durations of the tasks of each step, in milliseconds.
    pub durations_ms: Vec<Vec<u64>>,
    /// Time within which the job has to end to be on time, in milliseconds.
    pub objective_ms: u64,
    /// Processor work of all tasks, in core milliseconds.
    pub work_core_ms: u64,
    /// Whether the caller returns sooner than it is told.
    pub returns_early: bool,
    /// Whether the caller cancels the job once it is late.
    pub cancels: bool,
}

/// Jobs in the order of their first attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The jobs.
    pub jobs: Vec<TraceJob>,
    /// Seed that the jobs were drawn from.
    pub seed: u64,
}

impl Trace {
    /// Draws the arrivals of a day from a seed.
    #[must_use]
    pub fn draw(description: &Description, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length_ms = (description.length_s * 1_000.0) as u64;
        let mut jobs = Vec::new();
        for at_ms in (0..length_ms).step_by(DRAW_STEP_MS as usize) {
            for (pool, pool_description) in description.pools.iter().enumerate() {
                let at_s = at_ms as f64 / 1_000.0;
                let factor =
                    description.demand_factor(pool, at_s) + description.burst_factor(pool, at_s);
                let expected = pool_description.jobs_per_s * factor * DRAW_STEP_MS as f64 / 1_000.0;
                for _ in 0..draw_count(&mut rng, expected) {
                    jobs.push(draw_job(&mut rng, description, pool, at_ms));
                }
            }
        }
        Self { jobs, seed }
    }
}

/// Returns the configuration of a pool's route.
pub(super) fn route_config(pool: &PoolDescription) -> RouteConfig {
    RouteConfig {
        name: RouteName::from(pool.name.as_str()),
        service: ServiceName::from(pool.name.as_str()),
        priority: 0,
        max_attempts: 3,
        stretch: pool.stretch,
        target_latency_ms: pool.target_latency_ms,
        advice: None,
    }
}

/// Returns the id of the job with an index in its trace.
pub(super) fn job_id(index: usize) -> JobId {
    JobId::from(index.to_string())
}

/// Returns the index of a job in its trace; `None` for the long-running jobs of the site.
pub(super) fn index_of(job: &JobId) -> Option<usize> {
    job.as_str().parse().ok()
}

/// Draws the number of arrivals in one time step, of which `expected` are expected: at most one more
/// than the whole part.
fn draw_count(rng: &mut ChaCha8Rng, expected: f64) -> u32 {
    let whole = expected.trunc();
    whole as u32 + u32::from(rng.random_bool(expected - whole))
}

fn draw_job(rng: &mut ChaCha8Rng, description: &Description, pool: usize, at_ms: u64) -> TraceJob {
    let means = &description.pools[pool];
    let mut steps: Vec<StepSpec> = Vec::new();
    let mut durations_ms: Vec<Vec<u64>> = Vec::new();
    let mut work_core_ms = 0;
    for step in 0..rng.random_range(1..=means.max_steps) {
        let count = (means.tasks * rng.random_range(SPREAD)).round().max(1.0) as u32;
        let step_ms = means.task_ms * rng.random_range(SPREAD);
        let cores = (means.task_cores * rng.random_range(SPREAD)).min(f64::from(means.cores));
        let declared = 1.0 + means.declared_error * rng.random_range(-1.0..=1.0);
        let cpu_milli = ((cores * 1_000.0) as u64).max(1);
        let tasks: Vec<u64> = (0..count)
            .map(|_| ((step_ms * rng.random_range(TASK_SPREAD)) as u64).max(1))
            .collect();
        work_core_ms += tasks.iter().sum::<u64>() * cpu_milli / 1_000;
        steps.push(StepSpec {
            count,
            demand: Resources::new(cpu_milli, MEMORY_PER_CORE_MIB / 4, 0),
            estimate_ms: ((step_ms * declared) as u64).max(1),
            predecessors: step.checked_sub(1).into_iter().collect(),
            ..StepSpec::default()
        });
        durations_ms.push(tasks);
    }
    let spec = JobSpec {
        text: Arc::from("work"),
        steps,
        schedule: None,
    };
    let longest_ms = |step: usize| durations_ms[step].iter().copied().max().unwrap_or(0);
    let chain_ms = spec.critical_path_by(|step, _| longest_ms(step));
    TraceJob {
        at_ms,
        pool,
        spec: Arc::new(spec),
        objective_ms: route_config(means).objective_ms(chain_ms),
        durations_ms,
        work_core_ms,
        returns_early: rng.random_bool(description.callers.early_part),
        cancels: rng.random_bool(description.callers.cancel_part),
    }
}
