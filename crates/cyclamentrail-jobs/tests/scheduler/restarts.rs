//! Tests with workers that restart under their ids, with counts and clocks that start anew.

use crate::world::{Simulation, job};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{JobState, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(16_000, 65_536, 0);
/// Time from a restart to the reading of the new registration, in milliseconds.
const UNREGISTERED_MS: u64 = 200;

/// Guards against taking the new registration for the end of runs that the new incarnation began.
#[rstest]
#[case::idle(0)]
#[case::just_started(3)]
#[case::started(6)]
#[case::running(100)]
fn start_meant_for_earlier(#[case] started_ms: u64) {
    let mut sim = Simulation::new(2, WORKER);
    sim.run_for(500);
    for id in ["w0", "w1"] {
        sim.restart_under_id(id, UNREGISTERED_MS);
    }
    sim.submit("a", job(4, 1_000, 600));
    sim.run_for(started_ms);
    sim.run_for(UNREGISTERED_MS);
    sim.run_for(5_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against losing starts that are under way while their worker restarts.
#[rstest]
fn restart_under_way(#[values(1, 7, 9, 11, 13, 20, 40)] delay_ms: u64) {
    let mut sim = Simulation::new(1, WORKER);
    sim.run_for(500);
    sim.submit("a", job(4, 1_000, 600));
    sim.run_for(delay_ms);
    sim.restart_under_id("w0", UNREGISTERED_MS);
    sim.run_for(6_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against a new owner that takes the runs of an earlier incarnation on record for ended.
#[rstest]
#[case::unregistered(60)]
#[case::registered(400)]
fn restart_before_takeover(#[case] delay_ms: u64) {
    let mut sim = Simulation::new(2, WORKER);
    sim.run_for(500);
    for id in ["w0", "w1"] {
        sim.restart_under_id(id, 3_000);
    }
    sim.submit("a", job(4, 1_000, 1_500));
    sim.run_for(delay_ms);
    sim.take_over(0);
    sim.run_for(6_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 4, "what ran is taken over");
}

/// Guards against a start that is carried out late, by the next incarnation.
#[test]
fn late_start_after_restart() {
    let mut sim = Simulation::new(2, WORKER);
    sim.run_for(500);
    for id in ["w0", "w1"] {
        sim.worker(id).start_delay_ms = Some(2_500);
    }
    sim.submit("a", job(4, 1_000, 600));
    sim.run_for(300);
    for id in ["w0", "w1"] {
        sim.restart_under_id(id, UNREGISTERED_MS);
    }
    sim.run_for(8_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against acknowledging, by the counts of the earlier incarnation, ends that nobody saw.
#[rstest]
fn ends_counted_anew(#[values(50, 200, 700, 1_400)] registered_ms: u64) {
    let mut sim = Simulation::new(1, WORKER);
    for round in 0..5 {
        sim.submit(&format!("{round}"), job(4, 1_000, 100));
        sim.run_for(600);
    }
    sim.restart_under_id("w0", registered_ms);
    sim.submit("a", job(4, 1_000, 30));
    sim.run_for(6_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against trusting a lease that the new incarnation counts on its own clock.
#[test]
fn lease_of_new_clock() {
    let mut sim = Simulation::new(1, WORKER);
    sim.run_for(30_000);
    let mut spec = job(1, 1_000, 0);
    spec.steps[0].long_running = true;
    sim.restart_under_id("w0", UNREGISTERED_MS);
    sim.submit("a", spec);
    sim.run_for(UNREGISTERED_MS + 20);
    assert_eq!(sim.running_on("w0"), 1);
    sim.worker("w0").is_reachable = false;
    sim.add_worker("w1", WORKER, "r0");
    sim.run_for(12_000);
    assert_eq!(sim.running_on("w1"), 1, "its lease has ended on w0");
}
