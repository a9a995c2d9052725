//! Tests of workers that are emptied while long-running tasks are on them.

use crate::world::{Simulation, job};
use cyclamentrail_core::WorkerId;
use cyclamentrail_jobs::Resources;
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
const TASKS: u32 = 3;
const WORKERS: [&str; 4] = ["w0", "w1", "w2", "w3"];

/// Returns the workers that run a task which isn't being stopped.
fn working(sim: &mut Simulation) -> Vec<&'static str> {
    let is_working = |id: &&str| {
        let runs = &sim.worker(id).running;
        runs.iter().any(|run| run.stop_ms.is_none())
    };
    WORKERS.into_iter().filter(is_working).collect()
}

fn evacuate(sim: &mut Simulation, id: &str) {
    let now = sim.now();
    sim.shard.set_evacuating(now, &WorkerId::from(id), true);
}

/// An owner that evacuates one worker is replaced while the store doesn't respond to it, and its
/// successor evacuates another worker. Its reports still list the run that the predecessor stops, so
/// that the successor stopped a second task, of which one may be unavailable.
#[rstest]
#[case::store_responds(true)]
#[case::store_silent(false)]
fn successor_knows_stops(#[case] store_responds: bool) {
    let mut sim = Simulation::new(WORKERS.len() as u64, WORKER);
    let mut spec = job(TASKS, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    spec.steps[0].max_unavailable = Some(1);
    sim.submit("a", spec);
    sim.run_for(3_000);
    let busy = working(&mut sim);
    assert_eq!(busy.len(), TASKS as usize);
    sim.store_responds = store_responds;
    evacuate(&mut sim, busy[0]);
    sim.run_for(30);
    sim.take_over(0);
    sim.store_responds = true;
    evacuate(&mut sim, busy[1]);
    for _ in 0..40 {
        sim.run_for(5);
        let count = working(&mut sim).len();
        assert!(count + 1 >= TASKS as usize, "{count} of {TASKS} tasks work");
    }
}
