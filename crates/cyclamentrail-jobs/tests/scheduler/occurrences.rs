//! Tests of jobs of which many occurrences are due at once.

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{Job, JobSpec, JobState, MAX_TASKS, Resources, Schedule, Shard};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

use crate::world::{Simulation, job, step};

const WORKER: Resources = Resources::new(16_000, 64_000, 0);
const MINUTE_MS: u64 = 60_000;
/// Number of a job's waiting tasks from which no further occurrence of it may begin.
const MAX_WAITING_TASKS: u64 = 256;
/// Number of tasks that may begin in one round, unless the last occurrence of it has more.
const MAX_BEGUN_TASKS: u64 = 4_096;
/// Number of tasks that may be placed in one round.
const MAX_PLACED_TASKS: usize = 1_024;
/// Most tasks of a step in the property, whose jobs have up to four steps.
const MAX_STEP_TASKS: u32 = 5_000;
/// Number of random cases of the property.
const CASES: u32 = 24;

/// Returns a job that is due once a minute, and whose last time is a minute ahead.
fn overdue_job(sim: &Simulation, repeats: u32) -> JobSpec {
    let mut spec = job(1, 500, 200);
    let behind_ms = u64::from(repeats) * MINUTE_MS;
    spec.schedule = Some(Schedule {
        repeats,
        first_ms: (sim.now().unix_ms + 2 * MINUTE_MS).saturating_sub(behind_ms),
        interval_ms: MINUTE_MS,
    });
    spec
}

/// Returns the numbers of a job's tasks that aren't done, and of those that wait for a worker.
fn open_tasks(job: &Job) -> (u64, u64) {
    let mut unfinished = 0;
    let mut waiting = 0;
    for occurrence in &job.occurrences {
        for (progress, step) in occurrence.steps.iter().zip(&job.spec.steps) {
            unfinished += progress.unfinished_tasks();
            if occurrence.is_step_ready(step) {
                waiting += progress.waiting_tasks();
            }
        }
    }
    (unfinished, waiting)
}

/// Guards against a process that hangs because all times past of one job begin in one round.
#[rstest]
fn overdue_schedule_bounded(#[values(3_000, 100_000, u32::MAX)] repeats: u32) {
    let mut sim = Simulation::new(6, WORKER);
    for number in 0..12 {
        sim.submit(&format!("j{number}"), job(1, 500, 300));
    }
    sim.submit("overdue", overdue_job(&sim, repeats));
    for _ in 0..12 {
        sim.run_for(60);
        let (_, waiting) = open_tasks(sim.shard.job(&JobId::from("overdue")).expect("kept"));
        assert!(waiting <= MAX_WAITING_TASKS, "{waiting} tasks wait");
    }
    for number in 0..12 {
        let state = sim.state(&format!("j{number}"));
        assert_eq!(state, Some(JobState::Completed), "j{number}");
    }
    assert!(sim.starts[&JobId::from("overdue")] >= 300);
}

/// All times past are made up for, each once, also by a successor.
#[test]
fn overdue_schedule_completes() {
    const REPEATS: u32 = 1_500;
    let mut sim = Simulation::new(4, WORKER);
    let mut spec = overdue_job(&sim, REPEATS);
    spec.steps.push(step(2, 500, 100));
    spec.steps[1].predecessors = vec![0];
    if let Some(schedule) = &mut spec.schedule {
        schedule.first_ms -= 2 * MINUTE_MS;
    }
    sim.submit("overdue", spec);
    for _ in 0..3 {
        sim.run_for(400);
        sim.take_over(0);
    }
    sim.run_for(8_000);
    assert_eq!(sim.state("overdue"), Some(JobState::Completed));
    assert_eq!(sim.starts[&JobId::from("overdue")], 3 * REPEATS);
}

/// Many jobs with long past schedules all get on.
#[test]
fn overdue_jobs_share_rounds() {
    let mut sim = Simulation::new(6, WORKER);
    for number in 0..30 {
        sim.submit(&format!("o{number}"), overdue_job(&sim, 100_000));
    }
    sim.run_for(1_000);
    for number in 0..30 {
        let job = sim.shard.job(&JobId::from(format!("o{number}")));
        let begun = job.expect("kept").next_occurrence;
        assert!(begun >= 256, "o{number}: {begun} occurrences have begun");
    }
}

/// A gang for which there isn't room waits, however large it is, and holds up no other job.
#[test]
fn oversized_gang_waits() {
    let mut sim = Simulation::new(6, WORKER);
    let mut gang = job(20_000, 1, 200);
    gang.steps[0].gang = true;
    gang.steps[0].demand.memory_mib = 1_000;
    sim.submit("other", job(4, 500, 400));
    sim.submit("gang", gang);
    sim.run_for(700);
    assert_eq!(sim.state("gang"), Some(JobState::Queued));
    assert_eq!(sim.state("other"), Some(JobState::Completed));
}

/// Returns any job that callers may submit: up to the most tasks of an occurrence, and any schedule.
fn any_job() -> impl Strategy<Value = JobSpec> {
    let counts = proptest::collection::vec(1..=MAX_STEP_TASKS, 1..=4);
    let schedule = (any::<u32>(), any::<u64>(), 0..=u64::MAX);
    let schedule = prop_oneof![
        Just(None),
        schedule.clone().prop_map(Some),
        schedule.prop_map(|(repeats, first, interval)| {
            Some((repeats, first % 1_700_000_000_000, interval % 1_000))
        }),
    ];
    (counts, 0..500_u64, any::<bool>(), schedule).prop_map(|(counts, cpu, follows, schedule)| {
        let mut spec = job(1, cpu, 50);
        spec.steps = counts.iter().map(|&count| step(count, cpu, 50)).collect();
        for (number, step) in (0_u32..).zip(&mut spec.steps) {
            step.demand.memory_mib = 0;
            step.predecessors = (0..number).filter(|_| follows).collect();
        }
        spec.schedule = schedule.map(|(repeats, first_ms, interval_ms)| Schedule {
            repeats,
            first_ms,
            interval_ms,
        });
        spec
    })
}

/// Number of tasks that have begun, and of those that are placed.
fn begun_and_placed(shard: &Shard) -> (u64, usize) {
    let begun = |job: &Job| u64::from(job.next_occurrence) * job.spec.task_count();
    let placed = shard.workers().map(|worker| worker.tasks.len());
    (shard.jobs().map(begun).sum(), placed.sum())
}

/// Runs one round, and checks how much it did and how much is held.
fn check_round(sim: &mut Simulation) -> Result<(), TestCaseError> {
    let (begun_before, placed_before) = begun_and_placed(&sim.shard);
    sim.shard.advance(sim.now());
    let (begun, placed) = begun_and_placed(&sim.shard);
    let begun = begun - begun_before;
    prop_assert!(begun < MAX_BEGUN_TASKS + MAX_TASKS as u64, "{begun} begun");
    let placed = placed.saturating_sub(placed_before);
    prop_assert!(placed <= MAX_PLACED_TASKS, "{placed} placed");
    for job in sim.shard.jobs() {
        let (unfinished, waiting) = open_tasks(job);
        let most = MAX_WAITING_TASKS + job.spec.task_count();
        prop_assert!(unfinished <= MAX_TASKS as u64, "{unfinished} unfinished");
        prop_assert!(waiting < most, "{waiting} waiting");
    }
    Ok(())
}

/// Whatever jobs ask for, one round begins and places a bounded number of tasks, and a bounded number
/// is held; for a successor, too.
#[test]
fn rounds_bounded() {
    let any_jobs = proptest::collection::vec(any_job(), 1..6);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), rng);
    let result = runner.run(&any_jobs, |specs| {
        let mut sim = Simulation::new(2, WORKER);
        for (number, spec) in specs.into_iter().enumerate() {
            sim.submit(&format!("j{number}"), spec);
        }
        for _ in 0..3 {
            check_round(&mut sim)?;
            sim.run_for(8);
        }
        sim.take_over(0);
        for _ in 0..3 {
            check_round(&mut sim)?;
            sim.run_for(8);
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
