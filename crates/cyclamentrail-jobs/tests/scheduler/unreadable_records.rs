//! Tests with records that a new owner can't read.

use std::collections::BTreeMap;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{CallerReply, Decision, Job, JobState, KeyedRecord, Resources, Shard};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

use crate::world::{Simulation, job, step};

const WORKER: Resources = Resources::new(64_000, 2_000_000, 0);
/// Limit at which a part holds two tasks and one record holds about forty.
const SMALL_LIMIT_BYTES: usize = 2 * 4_096;
/// Number of random cases of the property.
const CASES: u32 = 400;

/// Runs a job whose progress is stored in parts, "large", and one with a single record, "small", until
/// tasks of both are done and others run.
fn busy_site() -> Simulation {
    let mut sim = Simulation::new(3, WORKER);
    sim.timing.max_record_bytes = SMALL_LIMIT_BYTES;
    sim.take_over(0);
    for (id, count) in [("large", 180), ("small", 4)] {
        let mut spec = job(count, 500, 300);
        let mut second = step(count, 500, 2_000);
        second.predecessors = vec![0];
        spec.steps.push(second);
        sim.submit(id, spec);
    }
    sim.run_for(900);
    for id in ["large", "small"] {
        assert_eq!(sim.state(id), Some(JobState::Running), "{id}");
    }
    assert!(sim.records.contains_key("large/t/0.0"));
    sim
}

fn starts_of(sim: &Simulation, id: &str) -> u32 {
    sim.starts[&JobId::from(id)]
}

/// Returns the key of the record because of which a job was held.
fn held_key(sim: &Simulation, id: &str) -> Option<String> {
    let held = |decision: &Decision| match decision {
        Decision::JobHeld { job, key } if job.as_str() == id => Some(key.clone()),
        _ => None,
    };
    sim.decisions.iter().find_map(held)
}

/// How a record is damaged.
#[derive(Debug, Clone, Copy)]
enum Damage {
    Cut,
    Replaced,
    /// The record isn't there.
    Missing,
}

fn damage(sim: &mut Simulation, key: &str, damage: Damage) {
    match damage {
        Damage::Cut => {
            let value = sim.records.get_mut(key).expect("the record is stored");
            value.truncate(value.len() / 2);
        }
        Damage::Replaced => {
            let earlier = sim.records.insert(key.to_owned(), vec![0xc1; 7]);
            assert!(earlier.is_some(), "the record is stored");
        }
        Damage::Missing => {
            let earlier = sim.records.remove(key);
            assert!(earlier.is_some(), "the record is stored");
        }
    }
}

/// Tasks whose ends stood in a record that can't be read were started again: it was taken for tasks that
/// haven't begun.
#[rstest]
#[case::part_cut("large", "large/t/0.3", Damage::Cut)]
#[case::part_replaced("large", "large/t/0.3", Damage::Replaced)]
#[case::part_missing("large", "large/t/0.3", Damage::Missing)]
#[case::head_cut("large", "large/p", Damage::Cut)]
#[case::progress_cut("small", "small/p", Damage::Cut)]
#[case::progress_replaced("small", "small/p", Damage::Replaced)]
#[case::acceptance_cut("small", "small", Damage::Cut)]
fn unreadable_job_held(#[case] id: &str, #[case] key: &str, #[case] how: Damage) {
    let other = if id == "large" { "small" } else { "large" };
    let mut sim = busy_site();
    damage(&mut sim, key, how);
    let stored = sim.records.clone();
    let starts = starts_of(&sim, id);
    sim.take_over_unreadable(0);
    sim.run_for(12_000);
    assert_eq!(starts_of(&sim, id), starts, "no task is started again");
    let callers = [
        sim.submit(id, job(1, 500, 300)),
        sim.ask_state_for(None, id),
        sim.cancel(id),
    ];
    sim.run_for(1_000);
    assert_eq!(starts_of(&sim, id), starts, "its id makes no second job");
    assert_eq!(sim.state(other), Some(JobState::Completed));
    assert_eq!(held_key(&sim, id).as_deref(), Some(key));
    for caller in callers {
        assert_eq!(sim.replies[&caller], CallerReply::Held);
    }
    let is_kept = |(stored_key, value): &(&String, &Vec<u8>)| {
        let is_own = stored_key.as_str() == id || stored_key.starts_with(&format!("{id}/"));
        !is_own || sim.records.get(*stored_key) == Some(*value)
    };
    assert!(
        stored.iter().all(|record| is_kept(&record)),
        "its records stay"
    );
}

/// What is left of a job whose deletion was cut short is deleted, and holds nothing.
#[test]
fn unreadable_leftover_deleted() {
    let mut sim = busy_site();
    damage(&mut sim, "small/p", Damage::Cut);
    damage(&mut sim, "small", Damage::Missing);
    sim.take_over_unreadable(0);
    sim.run_for(500);
    assert_eq!(held_key(&sim, "small"), None);
    assert!(!sim.records.contains_key("small/p"));
}

/// Returns the runs of a job's tasks, and whether these are done.
fn progress(job: &Job) -> Vec<(u32, bool)> {
    let steps = job.occurrences.iter().flat_map(|due| &due.steps);
    let tasks = steps.flat_map(|step| &step.tasks);
    tasks.map(|task| (task.last_run, task.is_done)).collect()
}

fn restored(sim: &Simulation, records: impl IntoIterator<Item = KeyedRecord>) -> Shard {
    let mut shard = sim.new_shard();
    shard.restore(sim.now(), records, 0);
    shard
}

/// Whatever bytes stand in place of a record: nothing panics, and each job is restored as it was, or
/// held. A record that takes the place of another one of its kind can't be told apart.
#[test]
fn damaged_records_never_forget() {
    let sim = busy_site();
    let records = sim.stored_records();
    let whole = restored(&sim, records.clone());
    let expected: BTreeMap<JobId, Vec<(u32, bool)>> = whole
        .jobs()
        .map(|job| (job.id.clone(), progress(job)))
        .collect();
    let any_damage = (
        0..records.len(),
        0..4_096_usize,
        proptest::collection::vec(any::<u8>(), 0..40),
    );
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), rng);
    let result = runner.run(&any_damage, |(index, length, tail)| {
        let mut damaged = records.clone();
        let value = &mut damaged[index].value;
        value.truncate((length % value.len().max(1)).max(1));
        value.extend(tail);
        let shard = restored(&sim, damaged);
        for (id, tasks) in &expected {
            let is_held = shard.is_held(id);
            let found = shard.job(id).map(progress);
            prop_assert!(is_held || found.as_ref() == Some(tasks), "{id}: {found:?}");
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
