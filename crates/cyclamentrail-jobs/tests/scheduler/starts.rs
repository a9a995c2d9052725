//! Tests of starts that wait for the commit of their placement.

use cyclamentrail_core::{JobId, WorkerId};
use cyclamentrail_jobs::{JobState, Resources};
use rstest::rstest;

use crate::world::{Simulation, job};

const WORKER: Resources = Resources::new(16_000, 65_536, 0);

/// Returns the worker on which the only task of a job is placed.
fn placed_on(sim: &Simulation, id: &str) -> WorkerId {
    let job = sim.shard.job(&JobId::from(id)).expect("it is kept");
    let task = &job.occurrences[0].steps[0].tasks[0];
    let key = task.placement.expect("it is placed").worker;
    let worker = sim.shard.worker_by_key(key).expect("it is known");
    worker.registration.id.clone()
}

/// Guards against a start that is sent before its placement is durable: the commit of an earlier run
/// of the task released it. A successor doesn't know the run then, and starts the task a second time.
#[rstest]
fn start_waits_for_own_commit(#[values(20, 100, 250)] crash_after_ms: u64) {
    let mut sim = Simulation::new(3, WORKER);
    sim.run_for(500);
    sim.append_ms = 400;
    sim.submit("a", job(1, 1_000, 3_000));
    sim.run_for(20);
    let first = placed_on(&sim, "a");
    sim.run_for(crash_after_ms);
    sim.restart_under_id(first.as_str(), 20);
    sim.run_for(60);
    assert_ne!(placed_on(&sim, "a"), first, "it is placed again");
    // The first commit is done, the second is not, as the owner is replaced.
    sim.run_for(500 - crash_after_ms);
    sim.append_ms = 6;
    sim.take_over(0);
    sim.run_for(12_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 1);
}
