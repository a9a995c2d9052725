//! Workers that don't answer, answer late, or start anew.

use crate::world::{World, job};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{Answer, GoneProof, JobState, Note, Resources};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

fn long_running(count: u32) -> cyclamentrail_jobs::JobSpec {
    let mut spec = job(count, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    spec
}

/// Looks and starts without an answer extended the lease, so that it never ended.
#[test]
fn silent_lease_ends() {
    let mut world = World::new(3, WORKER);
    world.submit("a", long_running(2));
    world.run_for(500);
    let silent = ["w0", "w1", "w2"]
        .into_iter()
        .find(|id| world.running_on(id) == 1)
        .expect("two workers run something");
    world.worker(silent).is_reachable = false;
    world.run_for(7_000);
    assert_eq!(world.running_on(silent), 0, "its lease has lapsed");
    assert_eq!(world.running(), 2, "another worker runs it");
    let lapsed = |note: &Note| matches!(note, Note::Vanished { proof, .. } if *proof == GoneProof::LeaseOver);
    assert!(world.notes.iter().any(lapsed));
}

/// A start that nobody answered isn't given to another worker while it may still be carried out.
#[test]
fn late_start() {
    let mut world = World::new(2, WORKER);
    for id in ["w0", "w1"] {
        world.worker(id).late_ms = Some(2_500);
    }
    world.submit("a", job(4, 1_000, 1_000));
    world.run_for(12_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
    assert_eq!(world.starts[&JobId::from("a")], 4);
}

#[test]
fn answers_lost() {
    let mut world = World::new(2, WORKER);
    world.worker("w0").answers = false;
    world.worker("w1").answers = false;
    world.submit("a", job(4, 1_000, 1_000));
    world.run_for(1_000);
    world.worker("w0").answers = true;
    world.worker("w1").answers = true;
    world.run_for(8_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

#[test]
fn another_life() {
    let mut world = World::new(1, WORKER);
    world.submit("a", job(4, 1_000, 2_000));
    world.run_for(500);
    world.add_worker("w0", WORKER, "r0");
    world.run_for(5_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
    let reborn =
        |note: &Note| matches!(note, Note::Vanished { proof, .. } if *proof == GoneProof::Reborn);
    assert!(world.notes.iter().any(reborn));
}

#[test]
fn failing_worker_avoided() {
    let mut world = World::new(3, WORKER);
    world.worker("w0").fails_all = true;
    for index in 0..12 {
        world.submit(&format!("{index}"), job(3, 2_000, 300));
        world.run_for(400);
    }
    world.run_for(5_000);
    for index in 0..12 {
        assert_eq!(world.state(&index.to_string()), Some(JobState::Completed));
    }
}

/// A worker whose address answers for another one is listed until its registration lapses.
#[test]
fn address_reused() {
    let mut world = World::new(2, WORKER);
    world.run_for(200);
    let stale = world
        .shard
        .worker(&"w0".into())
        .expect("w0 is listed")
        .registration
        .clone();
    world.add_worker("w0", WORKER, "r0");
    let fresh = world
        .shard
        .worker(&"w0".into())
        .expect("w0 is listed")
        .registration
        .clone();
    world.shard.unregister(&"w0".into());
    world.shard.register(world.now(), stale.clone());
    world.submit("a", job(8, 8_000, 500));
    world.run_for(500);
    world.shard.register(world.now(), stale);
    assert!(
        world.shard.worker(&"w0".into()).is_none(),
        "that life has ended"
    );
    world.shard.register(world.now(), fresh);
    assert!(world.shard.worker(&"w0".into()).is_some());
    world.run_for(4_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

/// A start that never left waited for a lease that was never granted.
#[test]
fn refused_goes_elsewhere() {
    let mut world = World::new(2, WORKER);
    world.run_for(200);
    world.worker("w0").refuses = true;
    world.worker("w1").refuses = true;
    world.submit("a", job(4, 1_000, 300));
    world.run_for(300);
    world.add_worker("w9", WORKER, "r9");
    world.run_for(1_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

#[test]
fn hanging_goes_elsewhere() {
    let mut world = World::new(2, WORKER);
    world.worker("w0").hangs = true;
    world.submit("a", job(8, 8_000, 500));
    world.run_for(7_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

/// A long-running task was moved for a duty while others of its step were on silent workers.
#[test]
fn silent_counts_as_away() {
    let mut world = World::new(5, WORKER);
    let mut spec = long_running(3);
    spec.steps[0].may_miss = Some(1);
    world.submit("a", spec);
    world.run_for(500);
    let busy: Vec<&str> = ["w0", "w1", "w2", "w3", "w4"]
        .into_iter()
        .filter(|id| world.running_on(id) == 1)
        .collect();
    world.worker(busy[0]).is_reachable = false;
    world.run_for(2_500);
    let now = world.now();
    world.shard.set_evacuating(now, &busy[1].into(), true);
    world.run_for(1_000);
    assert_eq!(
        world.running_on(busy[1]),
        1,
        "one is away already, and one may be"
    );
    world.run_for(8_000);
    assert_eq!(world.running_on(busy[1]), 0, "the others are back");
    assert_eq!(world.running(), 3);
}

/// A job whose starts nobody answered wasn't counted as pending any more.
#[test]
fn unanswered_counts_as_pending() {
    let mut world = World::new(1, WORKER);
    world.run_for(100);
    world.worker("w0").is_reachable = false;
    world.submit("a", job(2, 1_000, 300));
    world.run_for(1_000);
    assert_eq!(world.state("a"), Some(JobState::Queued));
    let caller = world.ask_pending();
    world.run_for(50);
    assert_eq!(world.answers[&caller], Answer::Pending(1));
    world.worker("w0").is_reachable = true;
    world.run_for(4_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}
