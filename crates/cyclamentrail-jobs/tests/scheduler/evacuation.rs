//! Tests of workers that are emptied while long-running tasks are on them.

use crate::world::{Simulation, job};
use cyclamentrail_core::WorkerId;
use cyclamentrail_jobs::{Decision, Resources};
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

/// Returns a pool in which three of four workers run a task of a service, of which one may be away.
fn busy_pool() -> (Simulation, Vec<&'static str>) {
    let mut sim = Simulation::new(WORKERS.len() as u64, WORKER);
    sim.deadly_tasks.restart_after_ms = 9_000;
    let mut spec = job(TASKS, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    spec.steps[0].max_unavailable = Some(1);
    sim.submit("a", spec);
    sim.run_for(3_000);
    let busy = working(&mut sim);
    assert_eq!(busy.len(), TASKS as usize);
    (sim, busy)
}

/// Runs for a while and checks that at most one task is away.
fn run_with_one_away(sim: &mut Simulation, duration_ms: u64) {
    for _ in 0..duration_ms / 5 {
        sim.run_for(5);
        let count = working(sim).len();
        assert!(count + 1 >= TASKS as usize, "{count} of {TASKS} tasks work");
    }
}

fn withdrawn(sim: &Simulation) -> Vec<bool> {
    let is_inherited = |decision: &Decision| match decision {
        Decision::StopWithdrawn { is_inherited, .. } => Some(*is_inherited),
        _ => None,
    };
    sim.decisions.iter().filter_map(is_inherited).collect()
}

/// Guards against a stop that was decided before a crash was noticed, and is carried out when the store
/// is back: by then another task of the step has been away for long.
#[rstest]
#[case::commit_not_taken(0, 4_500)]
#[case::commit_under_way(4_500, 0)]
fn stale_stop_withdrawn(#[case] append_ms: u64, #[case] outage_ms: u64) {
    let (mut sim, busy) = busy_pool();
    sim.crash_worker(&WorkerId::from(busy[1]));
    sim.run_for(10);
    sim.store_responds = outage_ms == 0;
    sim.append_ms = append_ms.max(6);
    evacuate(&mut sim, busy[0]);
    sim.run_for(append_ms.max(outage_ms));
    sim.store_responds = true;
    sim.append_ms = 6;
    run_with_one_away(&mut sim, 200);
    assert_eq!(withdrawn(&sim), [false], "the decision was withdrawn");
    sim.run_for(15_000);
    assert_eq!(sim.running_on(busy[0]), 0, "it is emptied later");
    assert_eq!(working(&mut sim).len(), TASKS as usize);
}

/// A withdrawal is durable: a successor doesn't carry the stop out, either.
#[test]
fn withdrawal_outlives_owner() {
    let (mut sim, busy) = busy_pool();
    sim.crash_worker(&WorkerId::from(busy[1]));
    sim.run_for(10);
    sim.append_ms = 4_500;
    evacuate(&mut sim, busy[0]);
    sim.run_for(4_600);
    sim.append_ms = 6;
    sim.run_for(4_600);
    assert_eq!(withdrawn(&sim), [false]);
    sim.take_over(0);
    run_with_one_away(&mut sim, 1_000);
}

/// Guards against a successor that carries out the recorded stop of its predecessor, which never sent
/// it, while another task of the step is away.
#[test]
fn inherited_stop_reviewed() {
    let (mut sim, busy) = busy_pool();
    evacuate(&mut sim, busy[0]);
    // The stop is durable, and the owner ends before it has sent it.
    for _ in 0..200 {
        if sim.kill_amid_commit(usize::MAX) {
            break;
        }
        sim.run_for(1);
    }
    sim.crash_worker(&WorkerId::from(busy[1]));
    run_with_one_away(&mut sim, 4_000);
    sim.run_for(25_000);
    assert_eq!(working(&mut sim).len(), TASKS as usize);
}

/// An owner that evacuates one worker is replaced while the store doesn't respond to it, and its
/// successor evacuates another worker. Its reports still list the run that the predecessor stops, so
/// that the successor stopped a second task, of which one may be unavailable.
#[rstest]
#[case::store_responds(true)]
#[case::store_silent(false)]
fn successor_knows_stops(#[case] store_responds: bool) {
    let (mut sim, busy) = busy_pool();
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
