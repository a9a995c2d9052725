//! Tests of steps that can't be placed and stand before others that can.

use crate::world::{Simulation, job};
use cyclamentrail_jobs::{JobSpec, JobState, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
/// Number of workers.
const WORKERS: u32 = 8;
/// Time within which a step that fits is placed, in milliseconds: some passes.
const SOME_PASSES_MS: u64 = 200;

fn lasting(count: u32, cpu_milli: u64) -> JobSpec {
    let mut spec = job(count, cpu_milli, 0);
    spec.steps[0].long_running = true;
    spec
}

/// Returns a job with a task on each worker, which lasts.
fn spread_lasting() -> JobSpec {
    let mut spec = lasting(WORKERS, 200);
    spec.steps[0].max_per_worker = Some(1);
    spec
}

fn spread(max_per_worker: u32) -> JobSpec {
    let mut spec = job(6, 1_800, 1_000);
    spec.steps[0].max_per_worker = Some(max_per_worker);
    spec
}

fn labelled(label: &str) -> JobSpec {
    let mut spec = lasting(1, 200);
    spec.steps[0].required_label = Some(label.into());
    spec
}

/// Returns a gang for which there isn't room at once.
fn huge_gang() -> JobSpec {
    let mut spec = job(WORKERS, 31_900, 1);
    spec.steps[0].gang = true;
    spec
}

/// Returns a simulation in which one worker is lost under jobs with a task on each worker.
fn with_lost_worker(jobs: u32) -> Simulation {
    let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
    for number in 0..jobs {
        sim.submit(&format!("lasting-{number}"), spread_lasting());
    }
    sim.run_for(3_000);
    sim.remove_worker("w3");
    sim.run_for(10_000);
    sim
}

/// Guards against jobs that are never started because steps which only some workers may run, and which lack
/// one, stand before them.
#[rstest]
fn lost_worker_stops_nobody(#[values(47, 48, 50, 100)] jobs: u32) {
    let mut sim = with_lost_worker(jobs);
    for number in 0..20 {
        sim.submit(&format!("j{number}"), spread(2));
        sim.run_for(250);
    }
    sim.run_for(10_000);
    for number in 0..20 {
        let state = sim.state(&format!("j{number}"));
        assert_eq!(state, Some(JobState::Completed), "j{number}");
    }
}

/// Guards against looks at workers for steps that lack one while nothing changes.
#[test]
fn nothing_changed_costs_nothing() {
    let mut sim = with_lost_worker(50);
    let looks = sim.shard.placement_looks();
    sim.run_for(5_000);
    assert_eq!(sim.shard.placement_looks(), looks);
}

/// Guards against a lasting step that isn't started again on a worker that comes.
#[test]
fn worker_returns() {
    let mut sim = with_lost_worker(50);
    assert_eq!(sim.running(), 350);
    sim.add_worker("w9", WORKER, "r9");
    sim.run_for(SOME_PASSES_MS + 2_000);
    assert_eq!(sim.running(), 400);
}

/// Guards against a shape of steps without room that keeps a pass from reaching the others.
#[rstest]
fn any_shape_passed(
    #[values("label", "limit", "gang")] shape: &str,
    #[values(60, 300)] count: u32,
) {
    let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
    sim.submit("lasting", spread_lasting());
    sim.run_for(500);
    for number in 0..count {
        let spec = match shape {
            "label" => labelled(&format!("label-{number}")),
            "limit" => spread_lasting_beyond(),
            _ => huge_gang(),
        };
        sim.submit(&format!("blocked-{number}"), spec);
    }
    sim.run_for(500);
    sim.submit("a", spread(2));
    sim.run_for(SOME_PASSES_MS);
    assert_eq!(sim.state("a"), Some(JobState::Running));
}

/// Returns a job with one task more than there are workers that may run one.
fn spread_lasting_beyond() -> JobSpec {
    let mut spec = spread_lasting();
    spec.steps[0].count = WORKERS + 1;
    spec.steps[0].demand = Resources::new(1, 1, 0);
    spec
}
