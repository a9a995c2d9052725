//! Tests of takeovers by a new owner.

use crate::world::{Simulation, job, step};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{CallerReply, JobState, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

#[rstest]
#[case::at_once(1)]
#[case::accepted(10)]
#[case::placed(16)]
#[case::sent(30)]
#[case::running(500)]
#[case::ended(1_020)]
#[case::recorded(1_080)]
fn takeover_completes_job(#[case] after_ms: u64) {
    let mut sim = Simulation::new(3, WORKER);
    let mut spec = job(6, 1_000, 1_000);
    let mut second = step(3, 1_000, 500);
    second.predecessors = vec![0];
    spec.steps.push(second);
    let caller = sim.submit("a", spec.clone());
    sim.run_for(after_ms);
    sim.take_over(0);
    if !sim.replies.contains_key(&caller) {
        // The caller got no reply, so it submits the job again.
        sim.submit("a", spec);
    }
    sim.run_for(4_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

#[test]
fn unreachable_run_waits() {
    let mut sim = Simulation::new(2, WORKER);
    let mut spec = job(2, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    sim.submit("a", spec);
    sim.run_for(500);
    sim.worker("w0").is_reachable = false;
    sim.take_over(5_000);
    sim.add_worker("w9", WORKER, "r9");
    sim.run_for(9_000);
    assert_eq!(
        sim.running_on("w9"),
        0,
        "the previous owner may still renew the lease"
    );
    sim.run_for(2_000);
    assert_eq!(sim.running_on("w9"), 1);
}

#[test]
fn cancel_survives_takeover() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", job(4, 1_000, 60_000));
    sim.run_for(500);
    let caller = sim.cancel("a");
    sim.run_for(10);
    assert_eq!(sim.replies[&caller], CallerReply::Cancelled);
    sim.take_over(0);
    sim.run_for(2_000);
    assert_eq!(sim.running(), 0);
    assert_eq!(sim.state("a"), Some(JobState::Cancelled));
}

#[test]
fn state_survives_takeover() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", job(2, 1_000, 300));
    sim.run_for(1_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    sim.take_over(0);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    sim.run_for(130_000);
    assert_eq!(sim.state("a"), None, "a final job is dropped after a while");
}

#[test]
fn lost_workers_replaced() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", job(4, 1_000, 1_000));
    sim.run_for(300);
    sim.remove_worker("w0");
    sim.remove_worker("w1");
    sim.add_worker("w9", WORKER, "r9");
    sim.take_over(0);
    sim.run_for(8_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 8);
}

#[test]
fn repeated_takeovers_complete() {
    let mut sim = Simulation::new(4, WORKER);
    for round in 0..20 {
        sim.submit(&format!("{round}"), job(5, 1_500, 700));
        sim.run_for(150 + round * 13);
        sim.take_over(0);
    }
    sim.run_for(6_000);
    for round in 0..20 {
        let state = sim.state(&round.to_string());
        assert!(
            matches!(state, None | Some(JobState::Completed)),
            "{state:?}"
        );
    }
}

#[test]
fn outage_starts_nothing() {
    let mut sim = Simulation::new(2, WORKER);
    sim.store_responds = false;
    let caller = sim.submit("a", job(2, 1_000, 300));
    sim.run_for(2_000);
    assert!(
        !sim.replies.contains_key(&caller),
        "the job isn't stored yet"
    );
    assert_eq!(sim.running(), 0, "no task starts before its job is stored");
    sim.store_responds = true;
    sim.run_for(1_500);
    assert_eq!(sim.replies[&caller], CallerReply::Accepted);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against counting a failure twice: a worker also reports an end to the new owner that the
/// previous owner recorded without acknowledging it.
#[test]
fn failures_count_once() {
    for after_ms in (300..500).step_by(5) {
        let mut sim = Simulation::new(2, WORKER);
        sim.submit_failing("a", job(1, 1_000, 300));
        sim.run_for(after_ms);
        sim.take_over(0);
        sim.run_for(5_000);
        assert_eq!(sim.state("a"), Some(JobState::Failed));
        let starts = sim.starts[&JobId::from("a")];
        assert_eq!(starts, 3, "taken over after {after_ms} ms");
    }
}
