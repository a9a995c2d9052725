//! Tests of how long tasks wait for a worker of their own after a crash.

use crate::world::{Simulation, job};
use cyclamentrail_core::WorkerId;
use cyclamentrail_jobs::{JobSpec, JobState, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(16_000, 64_000, 0);
const JOBS: usize = 24;
/// Number of tasks of the service; all workers but one run one of them.
const PINNED: u32 = 7;
/// Longest time in milliseconds from a crash until the jobs of the crashed worker are done, beside the
/// time for which the worker is down.
const DONE_AFTER_MS: u64 = 5_000;

fn service(count: u32) -> JobSpec {
    let mut spec = job(count, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    spec
}

/// Returns a pool of eight workers of which seven have a task of a service, and the eighth worker.
fn pinned_pool() -> (Simulation, WorkerId) {
    let mut sim = Simulation::new(u64::from(PINNED) + 1, WORKER);
    sim.deadly_tasks.restart_after_ms = 2_000;
    sim.submit("service", service(PINNED));
    sim.run_for(2_000);
    let idle = sim
        .workers
        .iter()
        .find(|(_, worker)| worker.running.is_empty());
    let idle = idle.map(|(id, _)| id.clone());
    (sim, idle.expect("one worker is idle"))
}

fn small_job(duration_ms: u64) -> JobSpec {
    job(1, 500, duration_ms)
}

fn completed(sim: &Simulation, jobs: usize) -> usize {
    let is_completed =
        |number: &usize| sim.state(&format!("j{number}")) == Some(JobState::Completed);
    (0..jobs).filter(is_completed).count()
}

/// Guards against jobs that wait for each other without limit because one worker crashed under all of
/// them, while tasks that last hold all other workers.
#[rstest]
fn shared_crash_waits_end(#[values(4, 8, JOBS, 48)] jobs: usize) {
    let (mut sim, idle) = pinned_pool();
    for number in 0..jobs {
        sim.submit(&format!("j{number}"), small_job(1_500));
    }
    sim.run_for(120);
    assert!(sim.running_on(idle.as_str()) > 1, "they share a worker");
    sim.crash_worker(&idle);
    sim.run_for(2_000 + DONE_AFTER_MS);
    assert_eq!(completed(&sim, jobs), jobs);
}

/// The same where the worker never comes back, and where the owner changes meanwhile.
#[rstest]
fn waits_end_elsewhere(#[values(false, true)] changes_owner: bool) {
    let (mut sim, idle) = pinned_pool();
    for number in 0..JOBS {
        sim.submit(&format!("j{number}"), small_job(1_500));
    }
    sim.run_for(120);
    sim.deadly_tasks.restart_after_ms = 600_000;
    sim.crash_worker(&idle);
    if changes_owner {
        sim.run_for(1_000);
        sim.take_over(0);
    }
    sim.run_for(12_000);
    assert_eq!(completed(&sim, JOBS), JOBS);
}

/// Guards against a deadly task that is tried beside others again and again, and against giving up those
/// beside it.
#[rstest]
fn deadly_among_many(#[values(0, 11, 23)] deadly: usize) {
    let (mut sim, _) = pinned_pool();
    sim.deadly_tasks.insert(&format!("j{deadly}"), 0);
    for number in 0..JOBS {
        sim.submit(&format!("j{number}"), small_job(1_500));
        sim.run_for(2);
    }
    sim.run_for(45_000);
    assert_eq!(completed(&sim, JOBS), JOBS - 1);
    assert_eq!(sim.state("service"), Some(JobState::Running));
    assert_eq!(sim.running(), PINNED as usize);
}

/// The task that has waited for the longest time is the first to get a worker of its own, whatever the
/// order of the jobs.
#[test]
fn oldest_suspect_first() {
    let (mut sim, idle) = pinned_pool();
    for number in 0..JOBS {
        sim.submit(&format!("j{number}"), small_job(20_000));
    }
    sim.run_for(120);
    sim.crash_worker(&idle);
    sim.run_for(6_000);
    let waiting = (0..JOBS).filter(|number| {
        let job = sim.shard.job(&format!("j{number}").as_str().into());
        let task = &job.expect("it is kept").occurrences[0].steps[0].tasks[0];
        task.placement.is_none()
    });
    assert_eq!(waiting.count(), 0, "each has a worker");
}
