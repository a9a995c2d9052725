//! Tests with tasks that crash the workers that start them.

use crate::world::{Simulation, job};
use cyclamentrail_core::{JobId, WorkerId};
use cyclamentrail_jobs::{JobSpec, JobState, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(16_000, 65_536, 0);

fn service(count: u32) -> JobSpec {
    let mut spec = job(count, 1_100, 0);
    spec.steps[0].long_running = true;
    spec
}

fn gang(count: u32) -> JobSpec {
    let mut spec = job(count, 1_100, 640);
    spec.steps[0].gang = true;
    spec
}

/// Returns the workers that run something.
fn busy_workers(sim: &Simulation) -> Vec<WorkerId> {
    let busy = sim
        .workers
        .iter()
        .filter(|(_, worker)| !worker.running.is_empty());
    busy.map(|(id, _)| id.clone()).collect()
}

/// Guards against a task that crashes worker after worker.
#[rstest]
#[case::same_id(3_200, false)]
#[case::other_id(3_200, true)]
#[case::after_lease(7_000, false)]
#[case::other_after_lease(7_000, true)]
fn deadly_task_given_up(#[case] restart_after_ms: u64, #[case] restarts_as_other: bool) {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.insert("deadly", 0);
    sim.deadly_tasks.restart_after_ms = restart_after_ms;
    sim.deadly_tasks.restarts_as_other = restarts_as_other;
    for round in 0..20 {
        sim.submit(&format!("j{round}"), job(6, 1_100, 640));
        if round == 3 {
            sim.submit("deadly", job(6, 1_100, 640));
        }
        sim.run_for(300);
    }
    sim.run_for(40_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
    for round in 0..20 {
        let state = sim.state(&format!("j{round}"));
        assert_eq!(state, Some(JobState::Completed), "j{round}");
    }
}

/// Guards against a new owner that counts the crashes under a task from zero.
#[test]
fn crash_count_outlives_owner() {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.insert("deadly", 0);
    sim.submit("deadly", job(6, 1_100, 640));
    for _ in 0..8 {
        sim.run_for(4_500);
        sim.take_over(0);
    }
    sim.run_for(5_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
}

/// Guards against a task that goes on crashing workers where the owner changes with each crash: a new
/// owner sees the restarted worker only, and counted nothing against the run that its records name.
#[test]
fn crash_beside_takeover_counted() {
    let mut sim = Simulation::new(4, WORKER);
    sim.deadly_tasks.insert("deadly", 0);
    sim.deadly_tasks.restart_after_ms = 500;
    sim.submit("deadly", job(1, 1_100, 640));
    for _ in 0..12 {
        let crashes = sim.deadly_tasks.crash_count();
        for _ in 0..400 {
            if sim.deadly_tasks.crash_count() > crashes {
                break;
            }
            sim.run_for(10);
        }
        sim.is_owner_active = false;
        sim.run_for(600);
        sim.take_over(0);
    }
    sim.run_for(5_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
    assert!(
        sim.deadly_tasks.crash_count() <= 5,
        "the job is given up after five crashes"
    );
}

/// Guards against deadly members of a gang going on for ever.
#[test]
fn deadly_gang_given_up() {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.insert("deadly", 1);
    sim.submit("deadly", gang(3));
    sim.submit("other", service(2));
    sim.run_for(40_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
    assert_eq!(sim.state("other"), Some(JobState::Running));
}

/// Guards against many deadly jobs that take the jobs beside them along.
#[test]
fn neighbours_survive_many() {
    let mut sim = Simulation::new(12, WORKER);
    for round in 0..40_u64 {
        if round % 5 == 0 {
            let id = format!("d{round}");
            sim.deadly_tasks.insert(&id, 0);
            sim.submit(&id, job(6, 1_100, 600 + round));
        }
        sim.submit(&format!("j{round}"), job(6, 1_100, 640));
        sim.run_for(200);
    }
    sim.run_for(60_000);
    for round in 0..40 {
        let state = sim.state(&format!("j{round}"));
        assert_eq!(state, Some(JobState::Completed), "j{round}");
    }
    let crashes = sim.deadly_tasks.crash_count();
    assert!(crashes <= 3 * 8, "{crashes} crashes by 8 tasks");
}

/// Guards against jobs that are failed because their racks lost power again and again.
#[test]
fn rack_loss_blames_nobody() {
    let mut sim = Simulation::new(12, WORKER);
    for round in 0..4 {
        for index in 0..6 {
            sim.submit(&format!("j{round}-{index}"), job(6, 1_100, 2_000));
        }
        sim.run_for(800);
        for id in busy_workers(&sim) {
            sim.crash_worker(&id);
        }
        sim.run_for(6_500);
    }
    sim.run_for(30_000);
    for round in 0..4 {
        for index in 0..6 {
            let state = sim.state(&format!("j{round}-{index}"));
            assert_eq!(state, Some(JobState::Completed), "j{round}-{index}");
        }
    }
}

/// Guards against taking a worker that is unreachable, or that leaves, for a crashed one.
#[rstest]
#[case::unreachable(false)]
#[case::leaving(true)]
fn lost_contact_no_crash(#[case] leaves: bool) {
    let mut sim = Simulation::new(9, WORKER);
    sim.submit("a", service(1));
    for _ in 0..6 {
        sim.run_for(1_000);
        let [id] = &*busy_workers(&sim) else {
            panic!("one worker runs the task");
        };
        if leaves {
            sim.announce_leaving(id.as_str());
            sim.run_for(300);
            sim.crash_worker(id);
        } else {
            sim.worker(id.as_str()).is_reachable = false;
        }
        sim.run_for(7_000);
        sim.worker(id.as_str()).is_reachable = true;
    }
    sim.run_for(1_000);
    assert_eq!(sim.state("a"), Some(JobState::Running));
    assert_eq!(sim.running(), 1);
}

/// Guards against giving up a service because two workers that ran nothing else crashed.
#[test]
fn service_alone_survives() {
    let mut sim = Simulation::new(9, WORKER);
    sim.submit("a", service(1));
    for _ in 0..2 {
        sim.run_for(8_000);
        let [id] = &*busy_workers(&sim) else {
            panic!("one worker runs the task");
        };
        sim.crash_worker(id);
    }
    sim.run_for(6_000);
    assert_eq!(sim.state("a"), Some(JobState::Running));
}

/// Guards against giving up a service that lives through many crashes of its workers.
#[test]
fn old_service_survives() {
    let mut sim = Simulation::new(9, WORKER);
    sim.submit("a", service(1));
    for _ in 0..6 {
        sim.run_for(16_000);
        let [id] = &*busy_workers(&sim) else {
            panic!("one worker runs the task");
        };
        sim.crash_worker(id);
    }
    sim.run_for(6_000);
    assert_eq!(sim.state("a"), Some(JobState::Running));
    assert_eq!(sim.running(), 1);
}

/// Guards against a caller who hands the same deadly job in again and again and takes the pool down.
#[test]
fn same_job_again_apart() {
    let mut sim = Simulation::new(12, WORKER);
    sim.deadly_tasks.insert("first", 0);
    sim.submit("first", job(6, 1_100, 777));
    sim.run_for(12_000);
    assert_eq!(sim.state("first"), Some(JobState::Failed));
    for round in 0..10 {
        let id = format!("again{round}");
        sim.deadly_tasks.insert(&id, 0);
        sim.submit(&id, job(6, 1_100, 777));
    }
    for round in 0..30 {
        sim.submit(&format!("j{round}"), job(6, 1_100, 640));
        sim.run_for(300);
        let down = sim.workers.values().filter(|worker| !worker.is_alive);
        assert!(down.count() <= 6, "half of the pool is left alone");
    }
    for round in 0..30 {
        let starts = sim.starts[&JobId::from(format!("j{round}"))];
        assert_eq!(starts, 6, "no task of j{round} was lost with its worker");
    }
}

/// Guards against waiting for a lease to end on a worker whose address another one has.
#[test]
fn replaced_worker_frees_runs() {
    let mut sim = Simulation::new(2, WORKER);
    sim.deadly_tasks.restarts_as_other = true;
    sim.deadly_tasks.restart_after_ms = 1_000;
    sim.submit("a", job(4, 1_000, 600));
    sim.run_for(300);
    for id in busy_workers(&sim) {
        sim.crash_worker(&id);
    }
    sim.run_for(2_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}
