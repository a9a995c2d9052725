//! Tests of best-effort tasks that share workers with latency-sensitive tasks.

use cyclamentrail_jobs::{JobSpec, Resources};

use crate::world::{Simulation, step};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
const TARGET_MS: u64 = 100;

/// Returns a job of one latency-sensitive and two best-effort tasks, all long-running.
fn shared_worker_job() -> JobSpec {
    let mut latency_sensitive = step(1, 8_000, 0);
    latency_sensitive.long_running = true;
    latency_sensitive.target_ms = Some(TARGET_MS);
    let mut best_effort = step(2, 8_000, 0);
    best_effort.long_running = true;
    best_effort.is_best_effort = true;
    JobSpec {
        text: "work".into(),
        steps: vec![latency_sensitive, best_effort],
        schedule: None,
    }
}

/// Guards against best-effort tasks that keep a latency-sensitive task over its target for as long
/// as they run.
#[test]
fn interference_ends() {
    let mut sim = Simulation::new(1, WORKER);
    sim.worker("w0").interference_ms = 80;
    sim.submit("a", shared_worker_job());
    sim.run_for(4_000);
    let over_target = (0..40)
        .filter(|_| {
            sim.run_for(100);
            sim.worker("w0").tail_ms() > TARGET_MS
        })
        .count();
    assert_eq!(
        over_target, 0,
        "the latency-sensitive task is over its target"
    );
    assert_eq!(
        sim.running(),
        3,
        "best-effort tasks are slowed down, not stopped"
    );
}

/// Best-effort tasks get their full share back once they no longer slow down a latency-sensitive
/// task.
#[test]
fn share_restored() {
    let mut sim = Simulation::new(1, WORKER);
    sim.worker("w0").interference_ms = 200;
    sim.submit("a", shared_worker_job());
    sim.run_for(4_000);
    assert!(sim.worker("w0").best_effort_percent() < 50);
    sim.worker("w0").interference_ms = 0;
    sim.run_for(14_000);
    assert_eq!(sim.worker("w0").best_effort_percent(), 100);
}

/// Guards against a share that a worker sets late, after a newer command, and that stays so for as long as
/// the tasks run.
#[test]
fn late_share_corrected() {
    let mut sim = Simulation::new(1, WORKER);
    sim.submit("a", shared_worker_job());
    sim.run_for(1_000);
    sim.late_cpu_shares.extend([11_500, 11_500]);
    sim.worker("w0").interference_ms = 200;
    while !sim.late_cpu_shares.is_empty() {
        sim.run_for(20);
    }
    sim.worker("w0").interference_ms = 0;
    sim.run_for(11_000);
    assert_eq!(
        sim.worker("w0").best_effort_percent(),
        100,
        "it is restored"
    );
    sim.run_for(3_000);
    assert_eq!(
        sim.worker("w0").best_effort_percent(),
        100,
        "a late share stays"
    );
}
