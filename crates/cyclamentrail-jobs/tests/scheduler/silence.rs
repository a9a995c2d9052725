//! Tests with workers that don't respond, respond late, or restart.

use crate::world::{Simulation, job};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{CallerReply, Decision, EndProof, JobState, Resources};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

fn long_running(count: u32) -> cyclamentrail_jobs::JobSpec {
    let mut spec = job(count, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    spec
}

/// Guards against unanswered polls and start commands extending a worker's lease, which then never
/// ends.
#[test]
fn silent_worker_lease_ends() {
    let mut sim = Simulation::new(3, WORKER);
    sim.submit("a", long_running(2));
    sim.run_for(500);
    let silent = ["w0", "w1", "w2"]
        .into_iter()
        .find(|id| sim.running_on(id) == 1)
        .expect("two workers run something");
    sim.worker(silent).is_reachable = false;
    sim.run_for(7_000);
    assert_eq!(sim.running_on(silent), 0, "its lease has lapsed");
    assert_eq!(sim.running(), 2, "another worker runs its task");
    let expired = |entry: &Decision| matches!(entry, Decision::RunGone { proof, .. } if *proof == EndProof::LeaseExpired);
    assert!(sim.decisions.iter().any(expired));
}

/// A start command without a response isn't sent to another worker while it may still take effect.
#[test]
fn late_start_runs_once() {
    let mut sim = Simulation::new(2, WORKER);
    for id in ["w0", "w1"] {
        sim.worker(id).start_delay_ms = Some(2_500);
    }
    sim.submit("a", job(4, 1_000, 1_000));
    sim.run_for(12_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 4);
}

#[test]
fn lost_responses_harmless() {
    let mut sim = Simulation::new(2, WORKER);
    sim.worker("w0").responds = false;
    sim.worker("w1").responds = false;
    sim.submit("a", job(4, 1_000, 1_000));
    sim.run_for(1_000);
    sim.worker("w0").responds = true;
    sim.worker("w1").responds = true;
    sim.run_for(8_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

#[test]
fn restarted_worker_loses_runs() {
    let mut sim = Simulation::new(1, WORKER);
    sim.submit("a", job(4, 1_000, 2_000));
    sim.run_for(500);
    sim.add_worker("w0", WORKER, "r0");
    sim.run_for(5_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    let restarted = |entry: &Decision| matches!(entry, Decision::RunGone { proof, .. } if *proof == EndProof::WorkerRestarted);
    assert!(sim.decisions.iter().any(restarted));
}

#[test]
fn failing_worker_avoided() {
    let mut sim = Simulation::new(3, WORKER);
    sim.worker("w0").fails_all_runs = true;
    for index in 0..12 {
        sim.submit(&format!("{index}"), job(3, 2_000, 300));
        sim.run_for(400);
    }
    sim.run_for(5_000);
    for index in 0..12 {
        assert_eq!(sim.state(&index.to_string()), Some(JobState::Completed));
    }
}

/// The registry may list an ended incarnation until its registration lapses; such a registration is
/// ignored, and a newer one isn't.
#[test]
fn stale_registration_ignored() {
    let mut sim = Simulation::new(2, WORKER);
    sim.run_for(200);
    let stale = sim
        .shard
        .worker(&"w0".into())
        .expect("w0 is listed")
        .registration
        .clone();
    sim.add_worker("w0", WORKER, "r0");
    let fresh = sim
        .shard
        .worker(&"w0".into())
        .expect("w0 is listed")
        .registration
        .clone();
    sim.shard.unregister(&"w0".into());
    sim.shard.register(sim.now(), stale.clone());
    sim.submit("a", job(8, 8_000, 500));
    sim.run_for(500);
    sim.shard.register(sim.now(), stale);
    assert!(
        sim.shard.worker(&"w0".into()).is_none(),
        "that incarnation has ended"
    );
    sim.shard.register(sim.now(), fresh);
    assert!(sim.shard.worker(&"w0".into()).is_some());
    sim.run_for(4_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against a task waiting for the end of a lease although its start command was never sent.
#[test]
fn refused_start_moves() {
    let mut sim = Simulation::new(2, WORKER);
    sim.run_for(200);
    sim.worker("w0").refuses_connections = true;
    sim.worker("w1").refuses_connections = true;
    sim.submit("a", job(4, 1_000, 300));
    sim.run_for(300);
    sim.add_worker("w9", WORKER, "r9");
    sim.run_for(1_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

#[test]
fn stalled_run_moves() {
    let mut sim = Simulation::new(2, WORKER);
    sim.worker("w0").stalls_runs = true;
    sim.submit("a", job(8, 8_000, 500));
    sim.run_for(7_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against moving a long-running task for a duty while another task of its step is on a
/// silent worker.
#[test]
fn silent_task_blocks_move() {
    let mut sim = Simulation::new(5, WORKER);
    let mut spec = long_running(3);
    spec.steps[0].max_unavailable = Some(1);
    sim.submit("a", spec);
    sim.run_for(500);
    let busy: Vec<&str> = ["w0", "w1", "w2", "w3", "w4"]
        .into_iter()
        .filter(|id| sim.running_on(id) == 1)
        .collect();
    sim.worker(busy[0]).is_reachable = false;
    sim.run_for(2_500);
    let now = sim.now();
    sim.shard.set_evacuating(now, &busy[1].into(), true);
    sim.run_for(1_000);
    assert_eq!(
        sim.running_on(busy[1]),
        1,
        "one task is away already, and only one may be"
    );
    sim.run_for(8_000);
    assert_eq!(sim.running_on(busy[1]), 0, "the silent task runs elsewhere");
    assert_eq!(sim.running(), 3);
}

/// Guards against a job not counting as pending because its start commands got no response.
#[test]
fn unanswered_start_pending() {
    let mut sim = Simulation::new(1, WORKER);
    sim.run_for(100);
    sim.worker("w0").is_reachable = false;
    sim.submit("a", job(2, 1_000, 300));
    sim.run_for(1_000);
    assert_eq!(sim.state("a"), Some(JobState::Queued));
    let caller = sim.query_pending();
    sim.run_for(50);
    assert_eq!(sim.replies[&caller], CallerReply::PendingJobs(1));
    sim.worker("w0").is_reachable = true;
    sim.run_for(4_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against never using an idle worker again that refused a connection once.
#[test]
fn refusing_worker_used_again() {
    let mut sim = Simulation::new(1, WORKER);
    sim.run_for(200);
    sim.worker("w0").refuses_connections = true;
    sim.submit("a", job(2, 1_000, 300));
    sim.run_for(300);
    sim.worker("w0").refuses_connections = false;
    sim.run_for(2_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}
