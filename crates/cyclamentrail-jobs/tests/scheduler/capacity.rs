//! Tests with workers whose capacity changes while they run.

use crate::world::{Simulation, job};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{JobState, Resources};

const WORKER: Resources = Resources::new(8_000, 32_768, 0);
const SMALL: Resources = Resources::new(2_000, 32_768, 0);

/// Guards against starting what was placed before a worker's capacity shrank, and waited for its
/// commit since.
#[test]
fn placed_before_shrink() {
    let mut sim = Simulation::new(2, WORKER);
    sim.run_for(200);
    sim.submit("a", job(1, 1_000, 200));
    sim.run_for(1_000);
    sim.store_responds = false;
    sim.submit("b", job(8, 1_500, 500));
    sim.run_for(200);
    sim.resize_worker("w0", SMALL);
    sim.resize_worker("w1", SMALL);
    sim.run_for(6_000);
    sim.store_responds = true;
    sim.run_for(20_000);
    assert_eq!(sim.state("b"), Some(JobState::Completed));
}

/// Guards against resending a start without a response to a worker that has shrunk since.
#[test]
fn resent_after_shrink() {
    let mut sim = Simulation::new(1, WORKER);
    sim.run_for(200);
    sim.worker("w0").start_delay_ms = Some(60_000);
    sim.submit("a", job(4, 1_500, 500));
    sim.run_for(100);
    sim.resize_worker("w0", SMALL);
    sim.run_for(5_000);
    sim.worker("w0").start_delay_ms = None;
    sim.run_for(20_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 4);
}

/// Work beyond the new capacity goes on, and the room that grows back is used again.
#[test]
fn grown_room_used() {
    let mut sim = Simulation::new(1, WORKER);
    sim.submit("a", job(5, 1_500, 3_000));
    sim.run_for(500);
    sim.resize_worker("w0", SMALL);
    sim.submit("b", job(2, 1_500, 500));
    sim.run_for(1_500);
    assert_eq!(sim.running(), 5, "what runs goes on, and nothing is added");
    sim.run_for(2_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    sim.submit("c", job(5, 1_500, 3_000));
    sim.run_for(2_000);
    sim.resize_worker("w0", WORKER);
    sim.run_for(500);
    assert_eq!(sim.running(), 5);
}
