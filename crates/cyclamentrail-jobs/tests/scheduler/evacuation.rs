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

/// Time from the start of an evacuation after which a run that ends by itself is stopped, in milliseconds.
const GRACE_MS: u64 = 4_000;
/// Interval in which the holder of the machine duties repeats its request, in milliseconds.
const ROUND_MS: u64 = 500;
/// Key of the record of the evacuations.
const RECORD_KEY: &str = "~evacuations";

/// Returns a simulation with a run that ends by itself after a minute on the only worker.
fn ending_run() -> Simulation {
    let mut sim = Simulation::new(1, WORKER);
    sim.submit("a", job(1, 1_000, 60_000));
    sim.run_for(500);
    assert_eq!(sim.running_on("w0"), 1);
    sim
}

/// Evacuates a worker, with the owner replaced each `interval_ms`, until its run has ended; returns after
/// how many milliseconds, or `None` after 20 s.
fn evacuate_until_empty(sim: &mut Simulation, interval_ms: u64) -> Option<u64> {
    for elapsed_ms in (0..20_000).step_by(20) {
        if sim.running_on("w0") == 0 {
            return Some(elapsed_ms);
        }
        if elapsed_ms > 0 && elapsed_ms % interval_ms == 0 {
            sim.hand_over();
        }
        if elapsed_ms % ROUND_MS == 0 {
            evacuate(sim, "w0");
        }
        sim.run_for(20);
    }
    None
}

/// Guards against a grace that begins anew with each owner, so that a worker isn't emptied while processes
/// are restarted in turn.
#[rstest]
#[case::at_once(200)]
#[case::often(700)]
#[case::in_turn(3_000)]
#[case::alone(30_000)]
fn released_owners_count_on(#[case] interval_ms: u64) {
    let mut sim = ending_run();
    let empty_ms = evacuate_until_empty(&mut sim, interval_ms);
    let latest_ms = GRACE_MS + ROUND_MS + 300;
    assert!(
        empty_ms.is_some_and(|empty_ms| (GRACE_MS..=latest_ms).contains(&empty_ms)),
        "empty after {empty_ms:?} ms"
    );
}

/// An evacuation that nobody asks for any more ends at a takeover; a later one has a grace of its own.
#[test]
fn later_evacuation_begins_anew() {
    let mut sim = ending_run();
    evacuate(&mut sim, "w0");
    sim.run_for(3_000);
    sim.hand_over();
    sim.run_for(7_000);
    evacuate(&mut sim, "w0");
    sim.run_for(GRACE_MS - 200);
    assert_eq!(sim.running_on("w0"), 1);
}

/// Neither does any number of takeovers prolong it.
#[test]
fn ended_evacuation_forgotten() {
    let mut sim = ending_run();
    evacuate(&mut sim, "w0");
    sim.run_for(3_000);
    for _ in 0..4 {
        sim.hand_over();
        sim.run_for(2_000);
    }
    assert!(!sim.records.contains_key(RECORD_KEY));
    evacuate(&mut sim, "w0");
    sim.run_for(GRACE_MS - 200);
    assert_eq!(sim.running_on("w0"), 1);
}

/// Only the record of the previous owner counts, and its successor deletes it.
#[test]
fn record_of_earlier_owner_ignored() {
    let mut sim = ending_run();
    evacuate(&mut sim, "w0");
    sim.run_for(3_000);
    sim.hand_over();
    assert!(sim.records.contains_key(RECORD_KEY));
    sim.take_over(0);
    evacuate(&mut sim, "w0");
    sim.run_for(GRACE_MS - 200);
    assert_eq!(sim.running_on("w0"), 1);
    assert!(!sim.records.contains_key(RECORD_KEY));
}

/// An unreadable record counts as one that tells nothing.
#[test]
fn unreadable_record_counted() {
    let mut sim = ending_run();
    sim.records.insert(RECORD_KEY.to_owned(), vec![0xc1]);
    assert_eq!(sim.take_over_unreadable(0), 1);
}
