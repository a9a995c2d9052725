//! Tests of steps that can't be placed and stand before others that can.

use crate::world::{Simulation, job};
use cyclamentrail_jobs::{Decision, JobSpec, JobState, Resources, WaitReason};
use proptest::prelude::*;
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
/// Number of workers.
const WORKERS: u32 = 8;
/// Rack of a worker that is lost.
const LOST_RACK: &str = "lost";
/// Time within which a step that fits is placed, in milliseconds: some passes.
const SOME_PASSES_MS: u64 = 200;

fn lasting(count: u32, cpu_milli: u64) -> JobSpec {
    let mut spec = job(count, cpu_milli, 0);
    spec.steps[0].long_running = true;
    spec
}

/// Returns a job with a task on each worker, which lasts.
fn spread_lasting() -> JobSpec {
    let mut spec = lasting(WORKERS, 200);
    spec.steps[0].max_per_worker = Some(1);
    spec
}

fn spread(max_per_worker: u32) -> JobSpec {
    let mut spec = job(6, 1_800, 1_000);
    spec.steps[0].max_per_worker = Some(max_per_worker);
    spec
}

/// Returns a job for a worker that is lost before it starts, see [`submit_blocked`].
fn labelled() -> JobSpec {
    let mut spec = lasting(1, 200);
    spec.steps[0].required_label = Some(LOST_RACK.into());
    spec
}

/// Submits jobs, beside a worker that is lost before they start.
fn submit_blocked(sim: &mut Simulation, specs: impl IntoIterator<Item = JobSpec>) {
    sim.add_worker("lost", WORKER, LOST_RACK);
    for (number, spec) in specs.into_iter().enumerate() {
        sim.submit(&format!("blocked-{number}"), spec);
    }
    sim.remove_worker("lost");
}

/// Returns a gang for which there isn't room at once.
fn huge_gang() -> JobSpec {
    let mut spec = job(WORKERS, 31_900, 1);
    spec.steps[0].gang = true;
    spec
}

/// Returns a simulation in which one worker is lost under jobs with a task on each worker.
fn with_lost_worker(jobs: u32) -> Simulation {
    let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
    for number in 0..jobs {
        sim.submit(&format!("lasting-{number}"), spread_lasting());
    }
    sim.run_for(3_000);
    sim.remove_worker("w3");
    sim.run_for(10_000);
    sim
}

/// Guards against jobs that are never started because steps which only some workers may run, and which lack
/// one, stand before them.
#[rstest]
fn lost_worker_stops_nobody(#[values(47, 48, 50, 100)] jobs: u32) {
    let mut sim = with_lost_worker(jobs);
    for number in 0..20 {
        sim.submit(&format!("j{number}"), spread(2));
        sim.run_for(250);
    }
    sim.run_for(10_000);
    for number in 0..20 {
        let state = sim.state(&format!("j{number}"));
        assert_eq!(state, Some(JobState::Completed), "j{number}");
    }
}

/// Guards against looks at workers for steps that lack one while nothing changes.
#[test]
fn nothing_changed_costs_nothing() {
    let mut sim = with_lost_worker(50);
    let looks = sim.shard.placement_looks();
    sim.run_for(5_000);
    assert_eq!(sim.shard.placement_looks(), looks);
}

/// Guards against a lasting step that isn't started again on a worker that comes.
#[test]
fn worker_returns() {
    let mut sim = with_lost_worker(50);
    assert_eq!(sim.running(), 350);
    sim.add_worker("w9", WORKER, "r9");
    sim.run_for(SOME_PASSES_MS + 2_000);
    assert_eq!(sim.running(), 400);
}

/// Guards against a shape of steps without room that keeps a pass from reaching the others.
#[rstest]
fn any_shape_passed(
    #[values("label", "limit", "gang")] shape: &str,
    #[values(60, 300)] count: u32,
) {
    let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
    sim.submit("lasting", spread_lasting());
    sim.run_for(500);
    let blocked = || match shape {
        "label" => labelled(),
        "limit" => spread_lasting_beyond(),
        _ => huge_gang(),
    };
    submit_blocked(&mut sim, (0..count).map(|_| blocked()));
    sim.run_for(500);
    sim.submit("a", spread(2));
    sim.run_for(SOME_PASSES_MS);
    assert_eq!(sim.state("a"), Some(JobState::Running));
}

/// Returns a job with one task more than there are workers that may run one.
fn spread_lasting_beyond() -> JobSpec {
    let mut spec = spread_lasting();
    spec.steps[0].count = WORKERS + 1;
    spec.steps[0].demand = Resources::new(1, 1, 0);
    spec
}

/// Guards against lasting steps with different demands, none of which fits now, that keep all others from
/// being placed.
#[rstest]
fn unfitting_demands_stop_nobody(#[values(11, 12, 200)] count: u64) {
    let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
    sim.submit("first", spread_filling());
    sim.run_for(500);
    for number in 0..count {
        sim.submit(&format!("large-{number}"), lasting(1, 30_000 + number));
    }
    for number in 0..20 {
        sim.submit(&format!("j{number}"), job(6, 1_800, 1_000));
        sim.run_for(250);
    }
    sim.run_for(10_000);
    for number in 0..20 {
        let state = sim.state(&format!("j{number}"));
        assert_eq!(state, Some(JobState::Completed), "j{number}");
    }
}

/// Returns a job that leaves too little of each worker for a task of 30 cores.
fn spread_filling() -> JobSpec {
    let mut spec = spread_lasting();
    spec.steps[0].demand = Resources::new(2_700, 1_024, 0);
    spec
}

/// Guards against small tasks that take what becomes free for ever, so that a large step of higher rank is
/// never placed.
#[test]
fn large_step_gets_turn() {
    let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
    for number in 0..80 {
        sim.submit(&format!("j{number}"), job(6, 4_000, 1_000));
        sim.run_for(100);
        if number == 20 {
            sim.submit("large", lasting(1, 31_000));
        }
    }
    let has_turn = |decision: &Decision| matches!(decision, Decision::TurnGiven { .. });
    assert_eq!(sim.state("large"), Some(JobState::Running));
    assert!(sim.decisions.iter().any(has_turn));
}

/// Guards against keeping a worker free for a step that has no room there beside tasks that last.
#[test]
fn no_turn_beside_lasting() {
    let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
    sim.submit("first", spread_filling());
    sim.submit("large", lasting(1, 30_000));
    sim.run_for(10_000);
    let has_turn = |decision: &Decision| matches!(decision, Decision::TurnGiven { .. });
    assert!(!sim.decisions.iter().any(has_turn));
}

/// Guards against a reason that doesn't name what a task lacks.
#[rstest]
#[case::processors(lasting(1, 31_500), WaitReason::Processors)]
#[case::label(labelled(), WaitReason::Label)]
#[case::limit(spread_lasting_beyond(), WaitReason::WorkerLimit)]
fn reason_names_resource(#[case] spec: JobSpec, #[case] expected: WaitReason) {
    let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
    sim.submit("first", spread_filling());
    sim.run_for(500);
    submit_blocked(&mut sim, [spec]);
    sim.run_for(10_000);
    let mut reasons = sim.decisions.iter().filter_map(|decision| match decision {
        Decision::TaskWaiting { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(reasons.next_back(), Some(expected));
}

/// A step without room, of any shape.
fn any_blocked() -> impl Strategy<Value = JobSpec> {
    let demand = (29_400_u64..31_900, 1_u64..100_000)
        .prop_map(|(cpu_milli, memory_mib)| Resources::new(cpu_milli, memory_mib, 0));
    let shape = (
        any::<bool>(),
        proptest::option::of(1_u32..3),
        0_u32..3,
        1_u32..4,
    );
    (demand, shape).prop_map(|(demand, (lasts, limit, kind, count))| {
        let mut spec = if lasts {
            lasting(count, 1)
        } else {
            job(count, 1, 1)
        };
        let step = &mut spec.steps[0];
        step.demand = demand;
        step.max_per_worker = limit;
        step.gang = kind == 1;
        step.required_label = (kind == 2).then(|| LOST_RACK.into());
        spec
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// No set of steps without room keeps one that fits from being placed within some passes.
    #[test]
    fn fitting_step_placed(blocked in proptest::collection::vec(any_blocked(), 1..300), limit in proptest::option::of(1_u32..3)) {
        let mut sim = Simulation::new(u64::from(WORKERS), WORKER);
        sim.submit("first", spread_filling());
        sim.run_for(500);
        submit_blocked(&mut sim, blocked);
        sim.run_for(100);
        let mut spec = lasting(4, 1_800);
        spec.steps[0].max_per_worker = limit;
        sim.submit("a", spec);
        sim.run_for(SOME_PASSES_MS);
        prop_assert_eq!(sim.state("a"), Some(JobState::Running));
    }
}

/// Number of workers at the size that the system is designed for.
const MANY_WORKERS: u32 = 1_100;
/// Number of steps that wait at that size.
const MANY_STEPS: u64 = 5_000;
/// Time between two rounds of an owner in the simulation, in milliseconds.
const ROUND_MS: u64 = 20;

/// Guards against passes that look at all workers for each waiting step, at the size of the design: each step
/// costs two looks after a worker gained room, one for the room and one for a turn, and none in other passes.
#[test]
fn many_steps_bounded() {
    let mut sim = Simulation::new(u64::from(MANY_WORKERS), WORKER);
    let mut filling = spread_filling();
    filling.steps[0].count = MANY_WORKERS;
    sim.submit("first", filling);
    sim.run_for(1_000);
    assert_eq!(sim.running(), MANY_WORKERS as usize);
    for number in 0..MANY_STEPS {
        let mut spec = lasting(1, 29_400 + number / 4);
        spec.steps[0].demand.memory_mib = 1_024 + number % 4;
        sim.submit(&format!("large-{number}"), spec);
    }
    let before = sim.shard.placement_looks();
    sim.run_for(ROUND_MS + 4);
    let first_looks = sim.shard.placement_looks() - before;
    assert!(first_looks <= 2 * MANY_STEPS, "{first_looks} looks");
    let before = sim.shard.placement_looks();
    sim.run_for(ROUND_MS / 4);
    assert_eq!(sim.shard.placement_looks(), before, "nothing has changed");
    sim.submit("a", job(1, 1_800, 1));
    sim.run_for(2 * ROUND_MS);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    let looks = sim.shard.placement_looks() - before;
    let most = 2 * (MANY_STEPS + u64::from(MANY_WORKERS));
    assert!(
        looks <= most,
        "{looks} looks for one task that started and ended"
    );
}
