//! Tests of what counts as a crash under a task, and of what doesn't.

use crate::world::{Simulation, job};
use cyclamentrail_core::WorkerId;
use cyclamentrail_jobs::{Decision, JobSpec, JobState, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(16_000, 65_536, 0);
/// Demand of a task that fills its worker, in thousandths of a core.
const WHOLE_MILLI: u64 = 16_000;

fn service(count: u32, cpu_milli: u64) -> JobSpec {
    let mut spec = job(count, cpu_milli, 0);
    spec.steps[0].long_running = true;
    spec
}

/// Returns a pool of 28 workers over relays, four of which are idle, died and are back under other ids.
fn pool_with_dead_idle() -> Simulation {
    let mut sim = Simulation::new(28, WORKER);
    sim.deadly_tasks.restarts_as_other = true;
    sim.deadly_tasks.restart_after_ms = 1_500;
    sim.submit("service", service(24, WHOLE_MILLI));
    sim.run_for(3_000);
    sim.poll_delay_ms = 30;
    for id in idle_workers(&sim) {
        sim.crash_worker(&id);
    }
    sim.run_for(1_900);
    sim
}

fn idle_workers(sim: &Simulation) -> Vec<WorkerId> {
    let idle = sim
        .workers
        .iter()
        .filter(|(_, worker)| worker.is_alive && worker.running.is_empty());
    idle.map(|(id, _)| id.clone()).collect()
}

fn given_up(sim: &Simulation) -> usize {
    let is_given_up = |decision: &&Decision| matches!(decision, Decision::JobGivenUp { .. });
    sim.decisions.iter().filter(is_given_up).count()
}

/// Guards against counting starts that workers answered with another incarnation's rejection.
#[rstest]
fn rejected_start_uncounted(#[values(1, 4, 40)] count: u32) {
    let mut sim = pool_with_dead_idle();
    sim.submit("a", job(count, 1_100, 600));
    sim.run_for(1_500);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    let job = sim.shard.job(&"a".into()).expect("the job is kept");
    let tasks = job.occurrences.iter().flat_map(|due| &due.steps);
    let mut tasks = tasks.flat_map(|step| &step.tasks);
    assert!(tasks.all(|task| task.crashed_runs.is_empty()));
}

/// Guards against giving up a job whose starts went to workers that had crashed before.
#[test]
fn start_into_silence_uncounted() {
    let mut sim = Simulation::new(1, WORKER);
    sim.deadly_tasks.restarts_as_other = true;
    sim.deadly_tasks.restart_after_ms = 1_500;
    sim.run_for(500);
    let mut id = WorkerId::from("w0");
    sim.crash_worker(&id);
    sim.submit("a", job(1, 1_100, 600));
    for _ in 0..6 {
        sim.run_for(1_550);
        id = WorkerId::from(format!("{id}x"));
        sim.crash_worker(&id);
    }
    sim.run_for(8_000);
    assert_eq!(given_up(&sim), 0);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against a task that crashes its workers before they respond, and is never given up for it.
#[rstest]
fn unanswered_deadly_given_up(#[values(false, true)] restarts_as_other: bool) {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.restarts_as_other = restarts_as_other;
    sim.deadly_tasks.crashes_unanswered = true;
    sim.deadly_tasks.insert("deadly", 0);
    sim.submit("deadly", job(6, 1_100, 640));
    for round in 0..20 {
        sim.submit(&format!("j{round}"), job(6, 1_100, 640));
        sim.run_for(300);
    }
    sim.run_for(30_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
    for round in 0..20 {
        let state = sim.state(&format!("j{round}"));
        assert_eq!(state, Some(JobState::Completed), "j{round}");
    }
}
