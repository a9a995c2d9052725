//! Tests of run times that a shard learns from its runs.

use crate::world::{ROUTE, Simulation, job};
use cyclamentrail_core::{JobId, RouteName, WorkerId};
use cyclamentrail_jobs::{
    CallerReply, Decision, JobState, KeyedRecord, RUN_TIMES_PREFIX, Resources, RunTimeUses, Shard,
    ShardTiming,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

fn key() -> String {
    format!("{RUN_TIMES_PREFIX}{ROUTE}")
}

/// Returns a simulation with `count` workers, whose decisions use the learned run times.
fn simulation(count: u64, uses: RunTimeUses) -> Simulation {
    let mut sim = Simulation::new(count, WORKER);
    sim.timing.run_time_uses = uses;
    sim.take_over(0);
    sim
}

/// Runs `count` jobs one after another that are declared to take `declared_ms`.
fn run_jobs(sim: &mut Simulation, name: &str, count: u32, declared_ms: u64, actual_ms: u64) {
    for index in 0..count {
        let id = format!("{name}{index}");
        sim.durations.insert(JobId::from(id.as_str()), actual_ms);
        sim.submit(&id, job(2, 1_000, declared_ms));
        sim.run_for(actual_ms + 100);
    }
}

fn expected_ms(sim: &Simulation) -> u64 {
    let times = sim.shard.run_times(&RouteName::from(ROUTE));
    times.map_or(0, |times| times.expected_ms(100))
}

/// What was learned must outlast the owner, or each takeover begins with the declared durations.
#[test]
fn takeover_keeps_run_times() {
    let mut sim = simulation(2, RunTimeUses::ALL);
    run_jobs(&mut sim, "a", 60, 100, 700);
    let before = expected_ms(&sim);
    assert!(before.abs_diff(700) < 100, "{before}");
    sim.take_over(0);
    let after = expected_ms(&sim);
    assert!(after.abs_diff(before) < 70, "{before} {after}");
    run_jobs(&mut sim, "b", 2, 100, 700);
    assert_eq!(sim.state("b1"), Some(JobState::Completed));
}

/// The records must stay rare: an owner writes few bytes a second.
#[test]
fn records_are_rare() {
    let mut sim = simulation(2, RunTimeUses::ALL);
    let mut earlier = Vec::new();
    let (mut writes, mut bytes) = (0, 0);
    for round in 0..120 {
        run_jobs(&mut sim, &format!("{round}-"), 1, 100, 700 + round);
        let value = sim.records.get(&key()).cloned().unwrap_or_default();
        if value != earlier {
            writes += 1;
            bytes += value.len();
            earlier = value;
        }
    }
    println!("{writes} records of {bytes} bytes in 100 s");
    assert!((1..=4).contains(&writes), "{writes}");
    assert!(bytes < 3_000, "{bytes}");
}

/// An owner that gives up its shard stores what it has learned since the last record.
#[test]
fn release_stores_run_times() {
    let mut sim = simulation(2, RunTimeUses::ALL);
    run_jobs(&mut sim, "a", 2, 100, 700);
    assert!(!sim.records.contains_key(&key()));
    let now = sim.now();
    let records = sim.shard.run_times_records(now);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].key, key());
    assert!(sim.shard.run_times_records(now).is_empty());
}

/// Damaged run times and those of a later version must not be taken for jobs, nor stop a takeover.
#[test]
fn unreadable_records_counted() {
    let mut sim = simulation(2, RunTimeUses::ALL);
    run_jobs(&mut sim, "a", 60, 100, 700);
    let stored = sim.records[&key()].clone();
    let mut newer = stored.clone();
    newer[0] = 9;
    let mut records: Vec<KeyedRecord> = sim
        .records
        .iter()
        .map(|(key, value)| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
        })
        .collect();
    let jobs = sim.shard.jobs().count();
    for (route, value) in [
        ("newer", newer),
        ("damaged", stored[..40].to_vec()),
        ("x/p", vec![1]),
        ("deleted", Vec::new()),
    ] {
        records.push(KeyedRecord {
            key: format!("{RUN_TIMES_PREFIX}{route}"),
            value,
        });
    }
    let mut shard = Shard::new(sim.timing);
    assert_eq!(shard.restore(sim.now(), records, 0), 3);
    assert_eq!(shard.jobs().count(), jobs);
    assert!(shard.run_times(&RouteName::from(ROUTE)).is_some());
    assert!(shard.run_times(&RouteName::from("newer")).is_none());
}

/// A job whose id is the key of another record would be lost at the next takeover.
#[test]
fn reserved_id_rejected() {
    let mut sim = Simulation::new(1, WORKER);
    for id in ["~release", "~run-times/route"] {
        let caller = sim.submit(id, job(1, 1_000, 100));
        sim.run_for(20);
        assert_eq!(sim.replies[&caller], CallerReply::Malformed);
    }
}

/// Where nothing uses run times, nothing is learned or written.
#[test]
fn unused_learns_nothing() {
    let mut sim = Simulation::new(2, WORKER);
    run_jobs(&mut sim, "a", 60, 100, 700);
    assert_eq!(ShardTiming::default().run_time_uses, RunTimeUses::NONE);
    assert!(sim.shard.run_times(&RouteName::from(ROUTE)).is_none());
    assert!(!sim.records.contains_key(&key()));
}

/// Routes that are no longer configured take no memory, and their records are deleted.
#[test]
fn removed_route_dropped() {
    let mut sim = simulation(2, RunTimeUses::ALL);
    run_jobs(&mut sim, "a", 60, 100, 700);
    sim.submit("last", job(1, 1_000, 100));
    sim.run_for(60);
    sim.shard.set_routes([]);
    assert!(sim.shard.run_times(&RouteName::from(ROUTE)).is_none());
    sim.cancel("last");
    sim.run_for(500);
    assert_eq!(sim.records.get(&key()), None);
}

/// Runs that are cancelled half-way say that the task takes at least so long.
#[test]
fn cancelled_run_is_censored() {
    let mut sim = simulation(2, RunTimeUses::ALL);
    run_jobs(&mut sim, "a", 20, 100, 700);
    sim.durations.insert(JobId::from("long"), 60_000);
    sim.submit("long", job(1, 1_000, 100));
    sim.run_for(3_000);
    sim.cancel("long");
    sim.run_for(1_000);
    let times = sim
        .shard
        .run_times(&RouteName::from(ROUTE))
        .expect("runs have ended");
    assert_eq!(times.censored(), 1);
    assert_eq!(times.observations(), 40);
    assert!(times.quantile_ms(100, 1.0) > 2_000);
}

/// A run that goes on over a takeover lasted longer than its new owner saw.
#[test]
fn restored_run_is_censored() {
    let mut sim = simulation(2, RunTimeUses::ALL);
    sim.durations.insert(JobId::from("a"), 2_000);
    sim.submit("a", job(1, 1_000, 100));
    sim.run_for(1_500);
    sim.take_over(0);
    sim.run_for(2_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    let times = sim
        .shard
        .run_times(&RouteName::from(ROUTE))
        .expect("the run has ended");
    assert_eq!((times.observations(), times.censored()), (0, 1));
}

/// A job whose running task turns out long has a longer objective, too: its remaining step isn't
/// counted as late, and goes on before jobs that are.
#[test]
fn long_run_keeps_its_turn() {
    let mut sim = simulation(1, RunTimeUses::ALL);
    run_jobs(&mut sim, "a", 60, 1_000, 700);
    run_jobs(&mut sim, "b", 4, 1_000, 3_500);
    run_jobs(&mut sim, "c", 40, 1_000, 700);
    let times = sim
        .shard
        .run_times(&RouteName::from(ROUTE))
        .expect("runs have ended");
    assert!(times.usual_remaining_ms(1_000, 0) < 900);
    assert!(times.usual_remaining_ms(1_000, 1_500) > 1_000);
}

/// Submits bursts of jobs whose declared durations are off by up to nine tenths and of which 3 in 100
/// take seven times as long; returns how many were promised with at least 90%, and how many of these
/// were on time.
fn count_promises(uses: RunTimeUses, seed: u64) -> (u32, u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = simulation(4, uses);
    for index in 0..600_u64 {
        let in_burst = index % 100 < 50;
        let mut actual_ms = rng.random_range(600..1_000);
        let declared_ms = actual_ms * rng.random_range(10..190) / 100;
        if rng.random_bool(0.03) {
            actual_ms *= 7;
        }
        let id = format!("{index}");
        sim.durations.insert(JobId::from(id.as_str()), actual_ms);
        sim.submit(&id, job(5, 2_000, declared_ms));
        sim.run_for(if in_burst { 60 } else { 200 });
    }
    sim.run_for(15_000);
    let (mut promised, mut kept) = (0, 0);
    for decision in &sim.decisions {
        if let Decision::PromiseEnded {
            percent: 90..,
            is_kept,
            ..
        } = decision
        {
            promised += 1;
            kept += u32::from(*is_kept);
        }
    }
    (promised, kept)
}

/// Of the jobs that are promised to end on time with at least 90%, about 90% have to, whatever
/// decides on them.
#[rstest]
#[case::admission(RunTimeUses { admission: true, ..RunTimeUses::NONE })]
#[case::order(RunTimeUses { order: true, ..RunTimeUses::NONE })]
#[case::all(RunTimeUses::ALL)]
fn promises_kept(#[case] uses: RunTimeUses) {
    let (promised, kept) = count_promises(uses, 1);
    println!("{uses:?}: kept {kept} of {promised}");
    assert!(promised > 60, "{promised}");
    assert!(kept * 100 >= promised * 87, "{kept} of {promised}");
}

/// Where nothing uses run times, nothing is promised.
#[test]
fn unused_promises_nothing() {
    assert_eq!(count_promises(RunTimeUses::NONE, 1), (0, 0));
}

/// Returns how many of 60 runs a slow worker got after it was known as slow.
fn runs_on_slow_worker(uses: RunTimeUses) -> usize {
    let mut sim = simulation(2, uses);
    sim.slow_worker = Some(WorkerId::from("w0"));
    for index in 0..60 {
        sim.submit(&format!("a{index}"), job(20, 2_000, 500));
        sim.run_for(2_000);
    }
    let mut runs = 0;
    for index in 0..60 {
        sim.submit(&format!("b{index}"), job(1, 2_000, 500));
        sim.run_for(100);
        runs += usize::from(sim.running_on("w0") > 0);
        sim.run_for(2_000);
    }
    runs
}

/// Tasks must avoid a worker on which runs take three times as long, while another one has room.
#[test]
fn slow_worker_avoided() {
    let placement = RunTimeUses {
        placement: true,
        ..RunTimeUses::NONE
    };
    let usual = runs_on_slow_worker(RunTimeUses::NONE);
    let learned = runs_on_slow_worker(placement);
    println!("{usual} runs by one mean, {learned} by learned run times");
    assert_eq!(learned, 0);
    assert!(usual > 0);
}

/// The pool's load must count what tasks are expected to take, and not what callers declare.
#[test]
fn load_counts_expected_work() {
    let uses = RunTimeUses {
        pool_sizes: true,
        ..RunTimeUses::NONE
    };
    let mut sim = simulation(1, uses);
    run_jobs(&mut sim, "a", 40, 100, 1_000);
    sim.is_owner_active = false;
    sim.submit("b", job(4, 16_000, 100));
    let now = sim.now();
    let waiting_ms = sim.shard.load(now).waiting_work_ms;
    assert!((1_800..2_300).contains(&waiting_ms), "{waiting_ms}");
}

/// A rejected caller is told a time within the limits that other rejections have.
#[test]
fn retry_within_limits() {
    let uses = RunTimeUses {
        retry_after: true,
        ..RunTimeUses::NONE
    };
    let mut sim = simulation(1, uses);
    run_jobs(&mut sim, "a", 40, 1_000, 1_000);
    let mut delays = Vec::new();
    for index in 0..40 {
        let caller = sim.submit(&format!("b{index}"), job(32, 1_000, 1_000));
        sim.run_for(20);
        if let Some(CallerReply::Rejected { retry_after_ms, .. }) = sim.replies.get(&caller) {
            delays.push(*retry_after_ms);
        }
    }
    assert!(delays.len() > 20, "{delays:?}");
    assert!(
        delays.iter().all(|delay| (1_000..=11_500).contains(delay)),
        "{delays:?}"
    );
}
