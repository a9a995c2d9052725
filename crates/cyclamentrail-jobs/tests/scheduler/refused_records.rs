//! Tests with records that the store refuses for their content.

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{CallerReply, JobState, LEASE_PREFIX, Resources};
use rstest::rstest;

use crate::world::{Simulation, job};

const WORKER: Resources = Resources::new(16_000, 65_536, 0);

/// A submission whose own record is refused is told so and never runs, also with a successor.
#[rstest]
fn submission_rejected(#[values(true, false)] is_taken_over: bool) {
    let mut sim = Simulation::new(1, WORKER);
    sim.refused_keys.insert(String::from("a"));
    let caller = sim.submit("a", job(2, 1_000, 300));
    sim.submit("b", job(2, 1_000, 300));
    sim.run_for(100);
    assert!(matches!(sim.replies[&caller], CallerReply::Rejected { .. }));
    if is_taken_over {
        sim.take_over(0);
    }
    sim.run_for(3_000);
    assert_eq!(sim.state("a"), None);
    assert_eq!(sim.starts.get(&JobId::from("a")), None);
    assert_eq!(sim.state("b"), Some(JobState::Completed));
    assert!(!sim.records.keys().any(|key| key.starts_with("a/")));
}

/// A job whose progress is refused is shown as failed, and its runs are stopped; the others go on.
#[test]
fn job_failed_alone() {
    let mut sim = Simulation::new(1, WORKER);
    sim.submit("a", job(2, 1_000, 20_000));
    sim.run_for(500);
    assert_eq!(sim.running(), 2);
    sim.refused_keys.insert(String::from("a/p"));
    let caller = sim.cancel("a");
    sim.submit("b", job(2, 1_000, 300));
    sim.run_for(100);
    assert!(sim.replies.contains_key(&caller));
    sim.refused_keys.clear();
    sim.run_for(3_000);
    assert_eq!(sim.state("a"), Some(JobState::Cancelled));
    assert_eq!(sim.running(), 0);
    assert_eq!(sim.state("b"), Some(JobState::Completed));
}

/// A failed job whose small record is accepted stays failed with a successor.
#[test]
fn failure_outlives_owner() {
    let mut sim = Simulation::new(1, WORKER);
    sim.refused_keys.insert(String::from("a/p"));
    sim.submit("a", job(2, 1_000, 300));
    sim.run_for(30);
    sim.refused_keys.clear();
    sim.run_for(500);
    assert_eq!(sim.state("a"), Some(JobState::Failed));
    sim.take_over(0);
    sim.run_for(2_000);
    assert_eq!(sim.state("a"), Some(JobState::Failed));
    assert_eq!(sim.starts.get(&JobId::from("a")), None);
}

/// A job of which nothing can be stored any more is shown as it is stored, and costs no further commits.
#[test]
fn nothing_storable() {
    let mut sim = Simulation::new(1, WORKER);
    sim.refused_keys.insert(String::from("a/p"));
    sim.submit("a", job(2, 1_000, 300));
    sim.run_for(500);
    assert_eq!(sim.state("a"), Some(JobState::Queued));
    assert!(!sim.shard.needs_commit());
    assert_eq!(sim.starts.get(&JobId::from("a")), None);
}

/// While the deletion of a lease record is refused, the worker gets no lease: a successor would start its
/// runs elsewhere too early.
#[test]
fn refused_reopening_grants_nothing() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", job(2, 1_000, 20_000));
    sim.run_for(500);
    let busy = ["w0", "w1"]
        .into_iter()
        .find(|id| sim.running_on(id) > 0)
        .expect("a worker runs something");
    sim.worker(busy).is_reachable = false;
    sim.run_for(1_500);
    sim.refused_keys.insert(format!("{LEASE_PREFIX}{busy}"));
    let granted_ms = sim.worker(busy).lease_end_ms;
    sim.worker(busy).is_reachable = true;
    sim.run_for(1_500);
    assert_eq!(sim.worker(busy).lease_end_ms, granted_ms);
}
