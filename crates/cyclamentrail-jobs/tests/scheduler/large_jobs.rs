//! Tests with jobs whose progress is stored in parts.

use std::sync::Arc;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{CallerReply, JobSpec, JobState, PROGRESS_SUFFIX, Resources, Schedule};
use rstest::rstest;

use crate::world::{ROUTE, Simulation, job, step};

const WORKER: Resources = Resources::new(200_000, 20_000_000, 0);
/// Longest record that the platform's store accepts, in bytes.
const STORE_LIMIT_BYTES: usize = 262_144;

/// A store that refused the progress record of one large job stopped the whole queue.
#[test]
fn large_job_fits_store() {
    let mut sim = Simulation::new(0, WORKER);
    sim.add_worker("worker-with-a-rather-long-name-0", WORKER, "r0");
    sim.submit("a", job(7_000, 20, 2_000));
    sim.run_for(6_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 7_000);
    let longest_bytes = sim.longest_record_bytes;
    assert!(longest_bytes <= STORE_LIMIT_BYTES, "{longest_bytes} bytes");
}

/// Limit in these tests at which a part holds two tasks and one record holds about forty.
const SMALL_LIMIT_BYTES: usize = 2 * 4_096;

/// Creates workers and an owner whose store accepts records of a small length only.
fn simulation() -> Simulation {
    let mut sim = Simulation::new(3, WORKER);
    sim.timing.max_record_bytes = SMALL_LIMIT_BYTES;
    sim.take_over(0);
    sim
}

/// Returns a job of two steps, the second of which waits for the first.
fn two_steps(count: u32) -> JobSpec {
    let mut spec = job(count, 500, 300);
    let mut second = step(count, 500, 300);
    second.predecessors = vec![0];
    spec.steps.push(second);
    spec
}

fn part_count(sim: &Simulation) -> usize {
    sim.records.keys().filter(|key| key.contains("/t/")).count()
}

/// What is stored of a task doesn't depend on which records of a commit its owner got through to.
#[rstest]
fn parts_stand_alone(
    #[values(0, 1, 2, 7, 40, 90, 1_000)] count: usize,
    #[values(40, 60, 330, 350, 680)] after_ms: u64,
) {
    let mut sim = simulation();
    sim.submit("a", two_steps(150));
    sim.run_for(after_ms);
    let mut kills = 0;
    for _ in 0..4_000 {
        if sim.kill_amid_commit(count) {
            kills += 1;
            sim.run_for(25);
        }
        if kills == 4 {
            break;
        }
        sim.run_for(1);
    }
    sim.run_for(12_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert!(sim.longest_record_bytes <= SMALL_LIMIT_BYTES);
}

/// A successor goes on with parts of the length that its predecessor chose.
#[test]
fn part_size_kept() {
    let mut sim = simulation();
    sim.submit("a", two_steps(150));
    sim.run_for(200);
    assert_eq!(part_count(&sim), 150);
    sim.timing.max_record_bytes = 4 * SMALL_LIMIT_BYTES;
    sim.take_over(0);
    sim.run_for(400);
    assert_eq!(part_count(&sim), 150);
    sim.run_for(3_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 300);
}

/// A job that one record held goes on in parts when the record grows too long.
#[test]
fn earlier_record_readable() {
    let mut sim = Simulation::new(3, WORKER);
    sim.submit("a", two_steps(150));
    sim.run_for(200);
    assert_eq!(part_count(&sim), 0);
    sim.timing.max_record_bytes = SMALL_LIMIT_BYTES;
    sim.take_over(0);
    sim.run_for(300);
    assert_eq!(part_count(&sim), 150);
    sim.run_for(3_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 300);
}

/// Only what has changed is written again.
#[test]
fn changed_parts_written() {
    let mut sim = simulation();
    let mut spec = job(400, 500, 60_000);
    spec.steps.push(step(1, 500, 1_000));
    sim.submit("a", spec);
    sim.run_for(800);
    let stored_bytes = sim.stored_bytes;
    sim.run_for(1_000);
    let written_bytes = sim.stored_bytes - stored_bytes;
    assert!((1..500).contains(&written_bytes), "{written_bytes} bytes");
}

/// Occurrences that overlap are stored each in parts of their own, and leave nothing behind.
#[test]
fn ended_parts_deleted() {
    let mut sim = simulation();
    let mut spec = two_steps(100);
    spec.schedule = Some(Schedule {
        repeats: 4,
        first_ms: sim.now().unix_ms + 100,
        interval_ms: 300,
    });
    sim.submit("a", spec);
    sim.run_for(700);
    assert!(part_count(&sim) >= 2 * 100, "{}", part_count(&sim));
    sim.run_for(4_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 4 * 200);
    sim.run_for(sim.timing.keep_ms + 1_000);
    let left: Vec<&String> = sim.records.keys().collect();
    let route_key = format!("~route/{ROUTE}");
    assert_eq!(left, [&route_key], "only the route stays");
}

/// An owner that is killed while it deletes a dropped job leaves no job that begins anew.
#[rstest]
fn deletion_cut_short(#[values(0, 1, 2, 50)] count: usize) {
    let mut sim = simulation();
    sim.submit("a", two_steps(150));
    sim.run_for(3_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    let is_stored = |sim: &Simulation| sim.records.contains_key("a");
    sim.run_for(sim.timing.keep_ms - 4_000);
    for _ in 0..5_000 {
        if sim.kill_amid_commit(count) {
            break;
        }
        sim.run_for(1);
    }
    assert_eq!(is_stored(&sim), count == 0);
    sim.run_for(6_000);
    assert_eq!(sim.starts[&JobId::from("a")], 300);
    assert!(!sim.records.contains_key(&format!("a{PROGRESS_SUFFIX}")));
    assert_eq!(part_count(&sim), 0);
}

/// A part with checkpoints that the store wouldn't accept keeps the shorter ones.
#[test]
fn long_checkpoints_left_out() {
    let mut sim = simulation();
    let mut spec = job(100, 500, 2_000);
    spec.steps[0].checkpoints = true;
    for worker in sim.workers.values_mut() {
        worker.checkpoint = Arc::from("c".repeat(5_000));
    }
    sim.submit("a", spec);
    sim.run_for(4_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert!(sim.longest_record_bytes <= SMALL_LIMIT_BYTES);
}

/// A job that is itself too long for the store used to stop the queue; it is refused.
#[test]
fn too_long_job_refused() {
    let mut sim = simulation();
    let mut spec = job(1, 500, 300);
    spec.text = Arc::from("t".repeat(SMALL_LIMIT_BYTES));
    let caller = sim.submit("a", spec);
    sim.submit("b", job(1, 500, 300));
    sim.run_for(1_000);
    assert_eq!(sim.replies[&caller], CallerReply::Malformed);
    assert_eq!(sim.state("a"), None);
    assert_eq!(sim.state("b"), Some(JobState::Completed));
}
