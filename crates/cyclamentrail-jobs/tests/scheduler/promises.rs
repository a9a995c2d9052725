//! Property test with random jobs and faults: the guarantees that the simulation checks hold, and
//! every accepted job ends.

use crate::world::{Simulation, job, step};
use cyclamentrail_jobs::{CallerReply, JobState, Resources};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const WORKER: Resources = Resources::new(8_000, 32_768, 0);
/// Capacity of a worker that has shrunk; it still holds the largest task.
const SMALL_WORKER: Resources = Resources::new(3_000, 32_768, 0);
/// Number of random cases per property.
const CASES: u32 = 150;
/// Time that an append takes without faults, in milliseconds.
const APPEND_MS: u64 = 6;
/// Time without faults at the end of a case, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// A submission, a cancellation or a fault. A `usize` is the index of a worker, or of a job for
/// `Cancel`.
#[derive(Debug, Clone, Copy)]
enum Action {
    Submit {
        count: u32,
        cpu_milli: u64,
        estimate_ms: u64,
        steps: u32,
    },
    /// Submits a job whose runs all fail.
    SubmitFailing,
    /// Submits a job with a task that crashes its workers.
    SubmitDeadly,
    /// Shrinks a worker, or lets it grow to its size again.
    Resize {
        worker: usize,
        is_small: bool,
    },
    Cancel(usize),
    /// Replaces the owner; a released shard was given up by its owner, any other one may still be
    /// acted on.
    TakeOver {
        is_released: bool,
    },
    /// Replaces the owner after it has stored its last commit.
    HandOver,
    /// Makes a worker unreachable.
    Disconnect(usize),
    /// Ends the faults of a worker.
    Recover(usize),
    /// Drops a worker's responses.
    DropResponses(usize),
    /// Makes start commands of a worker take effect late, without a response.
    DelayStarts(usize),
    /// Restarts a worker under its id, unregistered for a moment.
    Restart(usize),
    StoreDown,
    StoreUp,
    /// Makes each append take this time, in milliseconds.
    SlowStore(u64),
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (1..5_u32, 500..3_000_u64, 100..1_500_u64, 1..3_u32).prop_map(
            |(count, cpu_milli, estimate_ms, steps)| Action::Submit {
                count,
                cpu_milli,
                estimate_ms,
                steps,
            }
        ),
        1 => Just(Action::SubmitFailing),
        1 => Just(Action::SubmitDeadly),
        1 => (0..3_usize, any::<bool>())
            .prop_map(|(worker, is_small)| Action::Resize { worker, is_small }),
        1 => (0..20_usize).prop_map(Action::Cancel),
        2 => any::<bool>().prop_map(|is_released| Action::TakeOver { is_released }),
        2 => Just(Action::HandOver),
        1 => (0..3_usize).prop_map(Action::Disconnect),
        2 => (0..3_usize).prop_map(Action::Recover),
        1 => (0..3_usize).prop_map(Action::DropResponses),
        1 => (0..3_usize).prop_map(Action::DelayStarts),
        1 => (0..3_usize).prop_map(Action::Restart),
        1 => Just(Action::StoreDown),
        2 => Just(Action::StoreUp),
        1 => (6..2_500_u64).prop_map(Action::SlowStore),
    ]
}

/// Applies an action to a simulation; `jobs` gets the name and caller of each submitted job.
fn apply(sim: &mut Simulation, action: Action, jobs: &mut Vec<(String, u64)>) {
    let id = |index: usize| format!("w{index}");
    match action {
        Action::Submit {
            count,
            cpu_milli,
            estimate_ms,
            steps,
        } => {
            let mut spec = job(count, cpu_milli, estimate_ms);
            for index in 1..steps {
                let mut next = step(count, cpu_milli, estimate_ms);
                next.predecessors = vec![index - 1];
                spec.steps.push(next);
            }
            let name = format!("j{}", jobs.len());
            let caller = sim.submit(&name, spec);
            jobs.push((name, caller));
        }
        Action::SubmitFailing => {
            let name = format!("j{}", jobs.len());
            let caller = sim.submit_failing(&name, job(2, 1_000, 300));
            jobs.push((name, caller));
        }
        Action::SubmitDeadly => {
            let name = format!("j{}", jobs.len());
            sim.deadly_tasks.insert(&name, 0);
            let caller = sim.submit(&name, job(2, 1_000, 300));
            jobs.push((name, caller));
        }
        Action::Resize { worker, is_small } => {
            let capacity = if is_small { SMALL_WORKER } else { WORKER };
            sim.resize_worker(&id(worker), capacity);
        }
        Action::Cancel(index) => {
            if let Some((name, _)) = jobs.get(index) {
                sim.cancel(name);
            }
        }
        Action::TakeOver { is_released } => {
            sim.take_over(if is_released { 0 } else { 5_000 });
        }
        Action::HandOver => sim.hand_over(),
        Action::Disconnect(index) => sim.worker(&id(index)).is_reachable = false,
        Action::Recover(index) => {
            let worker = sim.worker(&id(index));
            worker.is_reachable = worker.is_alive;
            worker.responds = true;
            worker.start_delay_ms = None;
        }
        Action::DropResponses(index) => sim.worker(&id(index)).responds = false,
        Action::DelayStarts(index) => sim.worker(&id(index)).start_delay_ms = Some(2_500),
        Action::Restart(index) => {
            sim.restart_under_id(&id(index), 150);
        }
        Action::StoreDown => sim.store_responds = false,
        Action::StoreUp => sim.store_responds = true,
        Action::SlowStore(append_ms) => sim.append_ms = append_ms,
    }
}

/// Checks a property on random inputs with a fixed seed.
fn run_property<S: Strategy>(
    strategy: S,
    property: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, random)
        .run(&strategy, property)
        .unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn accepted_jobs_end() {
    let scenarios = prop::collection::vec((any_action(), 1..900_u64), 5..40);
    run_property(scenarios, |scenario| {
        let mut sim = Simulation::new(3, WORKER);
        let mut jobs = Vec::new();
        for (action, pause_ms) in scenario {
            apply(&mut sim, action, &mut jobs);
            sim.run_for(pause_ms);
        }
        for index in 0..3 {
            apply(&mut sim, Action::Recover(index), &mut jobs);
        }
        sim.store_responds = true;
        sim.append_ms = APPEND_MS;
        sim.run_for(SETTLE_MS);
        for (name, caller) in jobs {
            if sim.replies.get(&caller) == Some(&CallerReply::Accepted) {
                let state = sim.state(&name);
                prop_assert!(state.is_some_and(JobState::is_final), "{name} is {state:?}");
            }
        }
        prop_assert_eq!(sim.running(), 0);
        for worker in sim.shard.workers() {
            prop_assert!(worker.tasks.is_empty(), "{worker:?}");
            prop_assert_eq!(worker.used_capacity, Resources::default());
        }
        Ok(())
    });
}
