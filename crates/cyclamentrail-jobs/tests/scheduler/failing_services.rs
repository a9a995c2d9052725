//! Tests with long-running tasks whose runs fail.

use crate::world::{Simulation, job};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{JobSpec, JobState, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(16_000, 65_536, 0);

fn service(count: u32, fails_after_ms: u64) -> JobSpec {
    let mut spec = job(count, 1_100, fails_after_ms);
    spec.steps[0].long_running = true;
    spec
}

/// Guards against services that fail at once and hold up all other jobs of their pool.
#[rstest]
fn failing_services_hold_up_nobody(
    #[values(3, 6)] workers: u64,
    #[values(5, 200, 900)] fails_after_ms: u64,
) {
    let mut sim = Simulation::new(workers, WORKER);
    for id in ["s0", "s1"] {
        sim.submit_failing(id, service(5, fails_after_ms));
    }
    for round in 0..20 {
        let id = format!("j{round}");
        sim.submit(&id, job(2, 1_100, 200));
        sim.run_for(700);
        assert_eq!(sim.state(&id), Some(JobState::Completed), "{id}");
    }
    for id in ["s0", "s1"] {
        assert_eq!(sim.state(id), Some(JobState::Running));
    }
}

/// Guards against blaming a service for a worker that fails all runs.
#[test]
fn failing_worker_avoided() {
    let mut sim = Simulation::new(3, WORKER);
    sim.worker("w0").fails_all_runs = true;
    sim.worker("w0").fails_services = true;
    sim.submit("a", service(3, 50));
    sim.run_for(3_000);
    assert_eq!(sim.running(), 3, "the other workers run them");
    assert_eq!(sim.running_on("w0"), 0);
    let starts = sim.starts[&JobId::from("a")];
    assert!(starts <= 6, "{starts} starts of 3 tasks");
}
