//! Tests with workers that give notice that they leave.

use crate::world::{Simulation, job};
use cyclamentrail_core::WorkerId;
use cyclamentrail_jobs::{JobSpec, JobState, Resources};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
const WORKERS: [&str; 2] = ["w0", "w1"];
/// Longest time by which a start is carried out late, in milliseconds.
const MAX_LATE_MS: u64 = 12_000;

/// Submits a job while the store doesn't respond, so that its tasks are placed and wait for their
/// commit; returns the worker with the most tasks, which gives notice then.
fn placed_on_leaving(sim: &mut Simulation, spec: JobSpec) -> &'static str {
    sim.run_for(200);
    sim.store_responds = false;
    sim.submit("a", spec);
    sim.run_for(100);
    let placed = |id: &&str| {
        sim.shard
            .worker(&WorkerId::from(*id))
            .map_or(0, |worker| worker.tasks.len())
    };
    let leaving = WORKERS.into_iter().max_by_key(placed).expect("two workers");
    sim.announce_leaving(leaving);
    leaving
}

/// A start that waits for its commit or behind other starts is decided again when it is sent:
/// workers got tasks seconds after their notice.
#[test]
fn waiting_start_withdrawn() {
    let mut sim = Simulation::new(2, WORKER);
    let leaving = placed_on_leaving(&mut sim, job(3, 1_000, 1_000));
    sim.run_for(3_500);
    sim.store_responds = true;
    sim.run_for(4_000);
    assert!(sim.worker(leaving).highest_run.is_empty(), "nothing starts");
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// The members of a gang are withdrawn together: the others would wait for the missing one.
#[test]
fn waiting_gang_withdrawn() {
    let mut sim = Simulation::new(2, WORKER);
    let mut spec = job(2, 10_000, 1_000);
    spec.steps[0].gang = true;
    spec.steps[0].max_per_worker = Some(1);
    let leaving = placed_on_leaving(&mut sim, spec);
    sim.add_worker("w2", WORKER, "r0");
    sim.run_for(3_500);
    sim.store_responds = true;
    sim.run_for(5_000);
    assert!(sim.worker(leaving).highest_run.is_empty(), "nothing starts");
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// A start without a response isn't sent again to a worker that leaves; a stop makes sure that the
/// earlier command has no late effect there, and the task runs elsewhere once no further incarnation can
/// carry it out, see `open_starts::leaving_worker_restarts`.
#[test]
fn unanswered_start_not_repeated() {
    let mut sim = Simulation::new(2, WORKER);
    sim.run_for(200);
    for id in WORKERS {
        sim.worker(id).start_delay_ms = Some(6_000);
    }
    sim.submit("a", job(1, 1_000, 1_000));
    sim.run_for(100);
    let is_sent_to = |id: &&str| {
        sim.shard
            .worker(&WorkerId::from(*id))
            .is_some_and(|worker| !worker.tasks.is_empty())
    };
    let leaving = WORKERS
        .into_iter()
        .find(is_sent_to)
        .expect("a start is sent");
    sim.announce_leaving(leaving);
    for id in WORKERS {
        sim.worker(id).start_delay_ms = None;
    }
    sim.run_for(MAX_LATE_MS + 2_000);
    assert!(sim.worker(leaving).ended.is_empty(), "nothing ran there");
    assert_eq!(sim.worker(leaving).next_end, 1, "nothing ran there");
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}
