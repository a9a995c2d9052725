//! Tests with tasks that crash the workers that start them.

use crate::world::{Simulation, job};
use cyclamentrail_jobs::{JobState, Resources};

const WORKER: Resources = Resources::new(16_000, 65_536, 0);

/// Guards against a task that crashes worker after worker.
#[test]
fn deadly_task_given_up() {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.insert("deadly", 0);
    for round in 0..20 {
        sim.submit(&format!("j{round}"), job(6, 1_100, 640));
        if round == 3 {
            sim.submit("deadly", job(6, 1_100, 640));
        }
        sim.run_for(300);
    }
    sim.run_for(20_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
    for round in 0..20 {
        let state = sim.state(&format!("j{round}"));
        assert_eq!(state, Some(JobState::Completed), "j{round}");
    }
}

/// Guards against a new owner that counts the crashes under a task from zero.
#[test]
fn crash_count_outlives_owner() {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.insert("deadly", 0);
    sim.submit("deadly", job(6, 1_100, 640));
    for _ in 0..8 {
        sim.run_for(4_500);
        sim.take_over(0);
    }
    sim.run_for(5_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
}
