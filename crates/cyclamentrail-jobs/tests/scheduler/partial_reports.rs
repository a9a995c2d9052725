//! Tests with workers that have more ended runs than they list at a time.

use std::sync::Arc;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{Decision, EndKind, EndProof, EndedRun, JobState, Resources, TaskRunId};
use rstest::rstest;

use crate::world::{Simulation, job};

const WORKER: Resources = Resources::new(32_000, 2_000_000, 0);
/// Number of tasks, of which a worker lists the ends in three parts.
const TASKS: u32 = 1_200;

/// Runs a job on one worker while the store is down, so that all of its ends pile up there.
fn ends_piled_up() -> Simulation {
    let mut sim = Simulation::new(1, WORKER);
    sim.submit("a", job(TASKS, 20, 3_000));
    sim.run_for(1_500);
    assert_eq!(sim.running_on("w0"), TASKS as usize);
    sim.store_responds = false;
    sim.run_for(3_000);
    assert_eq!(sim.worker("w0").ended.len(), TASKS as usize);
    sim
}

fn assert_each_ran_once(sim: &Simulation) {
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], TASKS);
    let not_listed = |entry: &&Decision| matches!(entry, Decision::RunGone { proof, .. } if *proof == EndProof::NotListed);
    assert_eq!(sim.decisions.iter().filter(not_listed).count(), 0);
}

/// A run whose end is on a later part of the list counted as gone and was started again.
#[test]
fn outage_loses_no_end() {
    let mut sim = ends_piled_up();
    sim.store_responds = true;
    sim.run_for(3_000);
    assert_each_ran_once(&sim);
}

/// An owner that takes over meets the first part of the list.
#[test]
fn successor_reads_all_ends() {
    let mut sim = ends_piled_up();
    sim.take_over(0);
    sim.store_responds = true;
    sim.run_for(3_000);
    assert_each_ran_once(&sim);
}

/// A list in parts is worked off without waits between them.
#[test]
fn long_list_worked_off() {
    let mut sim = ends_piled_up();
    sim.store_responds = true;
    sim.run_for(400);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Gives a worker as many ended runs of a job that nobody knows as it lists at a time.
fn add_unknown_ends(sim: &mut Simulation, id: &str) {
    let worker = sim.worker(id);
    worker.ended = (1..=500)
        .map(|sequence| EndedRun {
            sequence,
            id: TaskRunId {
                job: JobId::from("unknown"),
                occurrence: 0,
                step: 0,
                index: 0,
                run: 1,
            },
            end: EndKind::Done,
            checkpoint: Arc::from(""),
        })
        .collect();
    worker.next_end = 501;
}

/// A run in doubt that the new incarnation has ended stands on the second part of its list.
#[rstest]
fn doubt_outlasts_part(#[values(true, false)] is_taken_over: bool) {
    let mut sim = Simulation::new(1, WORKER);
    sim.run_for(500);
    sim.restart_under_id("w0", 200);
    add_unknown_ends(&mut sim, "w0");
    sim.worker("w0").responds = false;
    sim.submit("a", job(4, 1_000, 10));
    sim.run_for(150);
    assert_eq!(
        sim.starts[&JobId::from("a")],
        4,
        "the new incarnation ran all"
    );
    if is_taken_over {
        sim.take_over(0);
    }
    sim.run_for(100);
    sim.worker("w0").responds = true;
    sim.run_for(8_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 4);
    let crashed = |entry: &&Decision| matches!(entry, Decision::RunGone { .. });
    assert_eq!(sim.decisions.iter().filter(crashed).count(), 0);
}
