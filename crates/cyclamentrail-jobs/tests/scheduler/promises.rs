//! Random work and faults: whatever happens, the promises hold and every job ends.

use crate::world::{World, job, step};
use cyclamentrail_jobs::{Answer, JobState, Resources};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const WORKER: Resources = Resources::new(8_000, 32_768, 0);
/// Cases of each property.
const CASES: u32 = 150;
/// Time for which everything is calm at the end, in milliseconds.
const CALM_MS: u64 = 30_000;

/// Something that happens.
#[derive(Debug, Clone, Copy)]
enum Happening {
    Submit {
        count: u32,
        cpu_milli: u64,
        estimate_ms: u64,
        steps: u32,
    },
    SubmitHopeless,
    Cancel(usize),
    TakeOver {
        is_released: bool,
    },
    Silence(usize),
    Speak(usize),
    LoseAnswers(usize),
    Late(usize),
    Restart(usize),
    StoreSilent,
    StoreAnswers,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        6 => (1..5_u32, 500..3_000_u64, 100..1_500_u64, 1..3_u32).prop_map(
            |(count, cpu_milli, estimate_ms, steps)| Happening::Submit {
                count,
                cpu_milli,
                estimate_ms,
                steps,
            }
        ),
        1 => Just(Happening::SubmitHopeless),
        1 => (0..20_usize).prop_map(Happening::Cancel),
        2 => any::<bool>().prop_map(|is_released| Happening::TakeOver { is_released }),
        1 => (0..3_usize).prop_map(Happening::Silence),
        2 => (0..3_usize).prop_map(Happening::Speak),
        1 => (0..3_usize).prop_map(Happening::LoseAnswers),
        1 => (0..3_usize).prop_map(Happening::Late),
        1 => (0..3_usize).prop_map(Happening::Restart),
        1 => Just(Happening::StoreSilent),
        2 => Just(Happening::StoreAnswers),
    ]
}

fn apply(world: &mut World, happening: Happening, jobs: &mut Vec<(String, u64)>) {
    let id = |index: usize| format!("w{index}");
    match happening {
        Happening::Submit {
            count,
            cpu_milli,
            estimate_ms,
            steps,
        } => {
            let mut spec = job(count, cpu_milli, estimate_ms);
            for index in 1..steps {
                let mut next = step(count, cpu_milli, estimate_ms);
                next.after = vec![index - 1];
                spec.steps.push(next);
            }
            let name = format!("j{}", jobs.len());
            let caller = world.submit(&name, spec);
            jobs.push((name, caller));
        }
        Happening::SubmitHopeless => {
            let name = format!("j{}", jobs.len());
            let caller = world.submit_hopeless(&name, job(2, 1_000, 300));
            jobs.push((name, caller));
        }
        Happening::Cancel(index) => {
            if let Some((name, _)) = jobs.get(index) {
                world.cancel(name);
            }
        }
        Happening::TakeOver { is_released } => {
            world.take_over(if is_released { 0 } else { 5_000 });
        }
        Happening::Silence(index) => world.worker(&id(index)).is_reachable = false,
        Happening::Speak(index) => {
            let worker = world.worker(&id(index));
            worker.is_reachable = worker.is_alive;
            worker.answers = true;
            worker.late_ms = None;
        }
        Happening::LoseAnswers(index) => world.worker(&id(index)).answers = false,
        Happening::Late(index) => world.worker(&id(index)).late_ms = Some(2_500),
        Happening::Restart(index) => {
            world.lose(&id(index));
            world.add_worker(&id(index), WORKER, "r0");
        }
        Happening::StoreSilent => world.store_answers = false,
        Happening::StoreAnswers => world.store_answers = true,
    }
}

/// Runs a property with a fixed seed.
fn check<S: Strategy>(strategy: S, property: impl Fn(S::Value) -> Result<(), TestCaseError>) {
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
    let days = prop::collection::vec((happening(), 1..900_u64), 5..40);
    check(days, |day| {
        let mut world = World::new(3, WORKER);
        let mut jobs = Vec::new();
        for (happening, pause_ms) in day {
            apply(&mut world, happening, &mut jobs);
            world.run_for(pause_ms);
        }
        for index in 0..3 {
            apply(&mut world, Happening::Speak(index), &mut jobs);
        }
        world.store_answers = true;
        world.run_for(CALM_MS);
        for (name, caller) in jobs {
            if world.answers.get(&caller) == Some(&Answer::Accepted) {
                let state = world.state(&name);
                prop_assert!(state.is_some_and(JobState::is_final), "{name} is {state:?}");
            }
        }
        prop_assert_eq!(world.running(), 0);
        Ok(())
    });
}
