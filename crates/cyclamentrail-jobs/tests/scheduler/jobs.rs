//! Tests of jobs on workers without faults other than loss.

use crate::world::{Simulation, job, step};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{CallerReply, JobState, Resources, Schedule};
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

#[test]
fn job_completes() {
    let mut sim = Simulation::new(3, WORKER);
    let caller = sim.submit("a", job(6, 1_800, 1_000));
    sim.run_for(100);
    assert_eq!(sim.replies[&caller], CallerReply::Accepted);
    assert_eq!(sim.state("a"), Some(JobState::Running));
    sim.run_for(1_500);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 6);
}

#[test]
fn resubmission_runs_once() {
    let mut sim = Simulation::new(3, WORKER);
    let first = sim.submit("a", job(4, 1_000, 500));
    let again = sim.submit("a", job(4, 1_000, 500));
    sim.run_for(50);
    let later = sim.submit("a", job(4, 1_000, 500));
    sim.run_for(2_000);
    for caller in [first, again, later] {
        assert_eq!(sim.replies[&caller], CallerReply::Accepted);
    }
    assert_eq!(sim.starts[&JobId::from("a")], 4);
}

#[test]
fn steps_in_order() {
    let mut sim = Simulation::new(2, WORKER);
    let mut spec = job(4, 1_000, 300);
    let mut second = step(3, 1_000, 300);
    second.predecessors = vec![0];
    let mut third = step(2, 1_000, 300);
    third.predecessors = vec![0, 1];
    spec.steps.extend([second, third]);
    sim.submit("a", spec);
    sim.run_for(2_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

#[test]
fn repeats_when_due() {
    let mut sim = Simulation::new(2, WORKER);
    let mut spec = job(2, 1_000, 200);
    spec.schedule = Some(Schedule {
        repeats: 3,
        first_ms: sim.now().unix_ms + 1_000,
        interval_ms: 1_000,
    });
    sim.submit("a", spec);
    sim.run_for(900);
    assert_eq!(sim.starts.get(&JobId::from("a")), None);
    sim.run_for(1_000);
    assert_eq!(sim.starts[&JobId::from("a")], 2);
    sim.run_for(2_500);
    assert_eq!(sim.starts[&JobId::from("a")], 6);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

#[test]
fn cancel_stops_runs() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", job(4, 1_000, 60_000));
    sim.run_for(500);
    assert_eq!(sim.running(), 4);
    let caller = sim.cancel("a");
    sim.run_for(1_000);
    assert_eq!(sim.replies[&caller], CallerReply::Cancelled);
    assert_eq!(sim.running(), 0);
    assert_eq!(sim.state("a"), Some(JobState::Cancelled));
}

#[test]
fn cancel_prevents_start() {
    let mut sim = Simulation::new(1, WORKER);
    sim.submit("a", job(4, 1_000, 1_000));
    let caller = sim.cancel("a");
    sim.run_for(1_000);
    assert_eq!(sim.replies[&caller], CallerReply::Cancelled);
    assert_eq!(sim.starts.get(&JobId::from("a")), None);
}

#[test]
fn failing_job_gives_up() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit_failing("a", job(1, 1_000, 200));
    sim.run_for(10_000);
    assert_eq!(sim.state("a"), Some(JobState::Failed));
    assert_eq!(
        sim.starts[&JobId::from("a")],
        3,
        "a task runs as often as its route allows"
    );
}

#[rstest]
#[case::too_large(job(1, 64_000, 100))]
#[case::no_label({
    let mut spec = job(1, 1_000, 100);
    spec.steps[0].required_label = Some("gpu-x".into());
    spec
})]
fn infeasible_job_rejected(#[case] spec: cyclamentrail_jobs::JobSpec) {
    let mut sim = Simulation::new(2, WORKER);
    let caller = sim.submit("a", spec);
    sim.run_for(100);
    assert!(matches!(sim.replies[&caller], CallerReply::Rejected { .. }));
    assert_eq!(sim.state("a"), None);
}

#[test]
fn malformed_job_rejected() {
    let mut sim = Simulation::new(2, WORKER);
    let mut spec = job(1, 1_000, 100);
    spec.steps[0].predecessors = vec![0];
    let caller = sim.submit("a", spec);
    sim.run_for(100);
    assert_eq!(sim.replies[&caller], CallerReply::Malformed);
}

#[test]
fn gang_starts_together() {
    let mut sim = Simulation::new(2, Resources::new(4_000, 131_072, 0));
    sim.submit("first", job(3, 2_000, 500));
    let mut spec = job(4, 2_000, 500);
    spec.steps[0].gang = true;
    sim.submit("gang", spec);
    sim.run_for(200);
    assert_eq!(
        sim.starts.get(&JobId::from("gang")),
        None,
        "there is no room for all tasks of the gang"
    );
    sim.run_for(2_000);
    assert_eq!(sim.state("gang"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("gang")], 4);
}

#[test]
fn max_per_worker_kept() {
    let mut sim = Simulation::new(3, WORKER);
    let mut spec = job(6, 1_000, 60_000);
    spec.steps[0].max_per_worker = Some(2);
    sim.submit("a", spec);
    sim.run_for(500);
    for id in ["w0", "w1", "w2"] {
        assert_eq!(sim.running_on(id), 2);
    }
}

#[test]
fn long_running_restarts() {
    let mut sim = Simulation::new(3, WORKER);
    let mut spec = job(3, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    sim.submit("a", spec);
    sim.run_for(500);
    assert_eq!(sim.running(), 3);
    sim.remove_worker("w1");
    sim.add_worker("w9", WORKER, "r0");
    sim.run_for(8_000);
    assert_eq!(sim.running(), 3);
}

/// Guards against placing all tasks of a long-running step on one worker, whose loss takes all of
/// them and whose evacuation moves them one at a time.
#[test]
fn long_running_spread() {
    let mut sim = Simulation::new(6, WORKER);
    let mut spec = job(5, 2_700, 0);
    spec.steps[0].long_running = true;
    sim.submit("a", spec);
    sim.run_for(1_000);
    let counts = (0..6).map(|index| sim.running_on(&format!("w{index}")));
    assert_eq!(counts.max(), Some(2));
}
