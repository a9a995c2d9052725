//! Seeded trace of jobs whose declared durations are wrong and some of whose tasks take long.

use std::sync::Arc;

use cyclamentrail_jobs::{JobSpec, Resources, StepSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time from one burst to the next, in milliseconds.
const PERIOD_MS: u64 = 40_000;
/// Length of a burst in milliseconds.
const BURST_MS: u64 = 6_000;
/// Arrivals in a burst, as a multiple of the mean.
const BURST_FACTOR: f64 = 5.0;
/// Mean number of jobs per second.
const MEAN_JOBS_PER_S: f64 = 5.0;
/// Part of the tasks that take [`LONG_FACTOR`] times as long as the others.
const LONG_PART: f64 = 0.03;
const LONG_FACTOR: u64 = 7;
/// Part of the real duration by which a declared one is off at most, in percent.
const MAX_ERROR_PERCENT: u64 = 90;

/// A job of the trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskJob {
    /// Time of its submission, in milliseconds.
    pub at_ms: u64,
    /// The job as its caller declares it.
    pub spec: JobSpec,
    /// Real durations of the tasks of each step, in milliseconds.
    pub durations_ms: Vec<Vec<u64>>,
}

impl TaskJob {
    /// Returns the real duration of a step in milliseconds.
    #[must_use]
    pub fn step_ms(&self, step: usize) -> u64 {
        self.durations_ms[step].iter().copied().max().unwrap_or(0)
    }

    /// Returns the real duration of the longest chain of steps, in milliseconds.
    #[must_use]
    pub fn chain_ms(&self) -> u64 {
        self.spec.critical_path_by(|step, _| self.step_ms(step))
    }
}

/// Jobs in the order of their submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskTrace {
    /// The jobs.
    pub jobs: Vec<TaskJob>,
    /// Whether tasks take twice as long on one of the workers.
    pub has_slow_worker: bool,
}

impl TaskTrace {
    /// Draws a trace of some length in milliseconds from a seed.
    #[must_use]
    pub fn draw(seed: u64, length_ms: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        for at_ms in 0..length_ms {
            if rng.random_bool(jobs_per_ms(at_ms)) {
                jobs.push(draw_job(&mut rng, at_ms));
            }
        }
        Self {
            jobs,
            has_slow_worker: false,
        }
    }

    /// Makes tasks take twice as long on one of the workers.
    #[must_use]
    pub fn slow_worker(mut self) -> Self {
        self.has_slow_worker = true;
        self
    }

    /// Makes all tasks that are submitted from `from_ms` on take `factor` times as long, while
    /// callers declare what they declared before.
    #[must_use]
    pub fn shifted(mut self, from_ms: u64, factor: u64) -> Self {
        for job in self.jobs.iter_mut().filter(|job| job.at_ms >= from_ms) {
            for duration_ms in job.durations_ms.iter_mut().flatten() {
                *duration_ms *= factor;
            }
        }
        self
    }
}

/// Returns the probability that a job arrives in a millisecond.
fn jobs_per_ms(at_ms: u64) -> f64 {
    let mean = MEAN_JOBS_PER_S / 1_000.0;
    let burst_part = BURST_MS as f64 / PERIOD_MS as f64;
    if at_ms % PERIOD_MS < BURST_MS {
        mean * BURST_FACTOR
    } else {
        mean * (1.0 - BURST_FACTOR * burst_part) / (1.0 - burst_part)
    }
}

fn draw_job(rng: &mut ChaCha8Rng, at_ms: u64) -> TaskJob {
    let mut steps: Vec<StepSpec> = Vec::new();
    let mut durations_ms = Vec::new();
    for step in 0..rng.random_range(1..=3_u32) {
        let count = rng.random_range(1..=8);
        let usual_ms = rng.random_range(300..1_200_u64);
        let error = rng.random_range(0..=2 * MAX_ERROR_PERCENT);
        steps.push(StepSpec {
            count,
            demand: Resources::new(rng.random_range(1..=4) * 1_000, 1_000, 0),
            estimate_ms: usual_ms * (100 - MAX_ERROR_PERCENT + error) / 100,
            predecessors: step.checked_sub(1).into_iter().collect(),
            ..StepSpec::default()
        });
        let tasks = (0..count).map(|_| {
            let task_ms = usual_ms * rng.random_range(85..=115) / 100;
            if rng.random_bool(LONG_PART) {
                task_ms * LONG_FACTOR
            } else {
                task_ms
            }
        });
        durations_ms.push(tasks.collect());
    }
    TaskJob {
        at_ms,
        spec: JobSpec {
            text: Arc::from("work"),
            steps,
            schedule: None,
        },
        durations_ms,
    }
}
