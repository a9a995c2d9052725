//! Tests of what counts as an attempt of a gang: a failed run, however many of its members failed.

use crate::world::{Simulation, job};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{EndKind, EndedRun, JobSpec, JobState, Resources, TaskRunId};
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
/// Number of members of the gangs.
const MEMBERS: u32 = 8;
/// Attempts that the tests' route allows.
const MAX_ATTEMPTS: u32 = 3;

/// Returns a gang that fits one worker.
fn gang() -> JobSpec {
    let mut spec = job(MEMBERS, 3_800, 1_300);
    spec.steps[0].gang = true;
    spec
}

/// Makes members of the first run end as failed, each with its next number.
fn fail_members(sim: &mut Simulation, worker: &str, members: std::ops::Range<u32>) {
    let worker = sim.worker(worker);
    for index in members {
        let id = TaskRunId {
            job: "a".into(),
            occurrence: 0,
            step: 0,
            index,
            run: 1,
        };
        worker.running.retain(|run| run.id != id);
        worker.ended.push(EndedRun {
            sequence: worker.next_end,
            id,
            end: EndKind::Failed,
            checkpoint: "".into(),
        });
        worker.next_end += 1;
    }
}

/// Returns the worker of a gang that runs on one.
fn worker_of_gang(sim: &Simulation) -> String {
    let is_used = |id: &&str| sim.running_on(id) == MEMBERS as usize;
    let worker = ["w0", "w1", "w2"].into_iter().find(is_used);
    worker.expect("the gang runs on one worker").to_owned()
}

/// Guards against a job that is shown as failed after one run of its gang, in which all members failed.
#[rstest]
fn failing_worker_costs_one(#[values(2, 3)] workers: u64) {
    let mut sim = Simulation::new(workers, WORKER);
    sim.submit("a", gang());
    sim.run_for(300);
    let failing = worker_of_gang(&sim);
    fail_members(&mut sim, &failing, 0..MEMBERS);
    sim.run_for(5_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("a")], 2 * MEMBERS);
}

/// Guards against a run that counts more than once because the ends of its members arrive over several
/// reports, or partly at a successor.
#[rstest]
fn late_ends_count_once(#[values(false, true)] is_taken_over: bool) {
    let mut sim = Simulation::new(3, WORKER);
    sim.submit("a", gang());
    sim.run_for(300);
    let failing = worker_of_gang(&sim);
    fail_members(&mut sim, &failing, 0..3);
    sim.run_for(100);
    if is_taken_over {
        sim.take_over(0);
    }
    fail_members(&mut sim, &failing, 3..MEMBERS);
    sim.run_for(8_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against a gang that fails everywhere and is shown as failed before or after its last attempt.
#[rstest]
fn failed_at_limit(#[values(0, 1, 2)] takeovers: u32) {
    let mut sim = Simulation::new(3, WORKER);
    sim.submit_failing("a", gang());
    for _ in 0..takeovers {
        sim.run_for(1_700);
        sim.take_over(0);
    }
    sim.run_for(30_000);
    assert_eq!(sim.state("a"), Some(JobState::Failed));
    assert_eq!(sim.starts[&JobId::from("a")], MAX_ATTEMPTS * MEMBERS);
}
