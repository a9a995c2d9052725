//! Tests of the wait for stalled runs over several owners.

use crate::world::{Simulation, job};
use cyclamentrail_jobs::{Decision, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
/// Time without progress after which a run is stalled, and the interval of the checks, in milliseconds.
const STALLED_MS: u64 = 3_500 + 500;
/// Key of the record of the runs without progress.
const RECORD_KEY: &str = "~unchanged-runs";

/// Returns a simulation with a run that stays at a progress, as its owner knows.
fn stalled_at(percent: u32) -> Simulation {
    let mut sim = Simulation::new(1, WORKER);
    sim.worker("w0").stalls_runs = true;
    sim.worker("w0").stalled_percent = percent;
    sim.submit("a", job(1, 1_000, 500));
    sim.run_for(200);
    assert_eq!(sim.running_on("w0"), 1);
    sim.add_worker("w9", WORKER, "r9");
    sim
}

fn stops(sim: &Simulation) -> usize {
    let is_stop = |decision: &&Decision| matches!(decision, Decision::RunStalled { .. });
    sim.decisions.iter().filter(is_stop).count()
}

/// Replaces the owner each `interval_ms` until a run is stopped as stalled; returns after how many
/// milliseconds, or `None` after 30 s.
fn replace_until_stop(sim: &mut Simulation, interval_ms: u64) -> Option<u64> {
    for elapsed_ms in (0..30_000).step_by(20) {
        if stops(sim) > 0 {
            return Some(elapsed_ms);
        }
        if elapsed_ms > 0 && elapsed_ms % interval_ms == 0 {
            sim.hand_over();
        }
        sim.run_for(20);
    }
    None
}

#[rstest]
#[case::at_once(60)]
#[case::often(700)]
#[case::in_turn(2_000)]
fn released_owners_count_on(#[case] interval_ms: u64) {
    for percent in [0, 37] {
        let mut sim = stalled_at(percent);
        sim.run_for(1_000);
        let stopped_ms = replace_until_stop(&mut sim, interval_ms);
        let latest_ms = STALLED_MS + 500;
        assert!(
            stopped_ms.is_some_and(|stopped_ms| stopped_ms <= latest_ms),
            "at {percent}%: stopped after {stopped_ms:?} ms"
        );
        assert!(stopped_ms >= Some(3_500 - 1_200), "{stopped_ms:?} ms");
        sim.run_for(3_000);
        assert_eq!(sim.running_on("w0"), 0);
    }
}

/// A run that has advanced while the shard had no owner begins a wait of its own.
#[test]
fn advanced_run_waits() {
    let mut sim = stalled_at(37);
    sim.run_for(3_000);
    sim.is_owner_active = false;
    sim.worker("w0").stalled_percent = 38;
    sim.run_for(1_000);
    sim.hand_over();
    sim.run_for(3_000);
    assert_eq!(stops(&sim), 0);
    sim.run_for(1_500);
    assert_eq!(stops(&sim), 1);
}

/// A worker that hasn't reported to the new owner may have advanced.
#[test]
fn unreported_run_waits() {
    let mut sim = stalled_at(0);
    sim.run_for(3_000);
    sim.worker("w0").is_reachable = false;
    sim.hand_over();
    sim.run_for(3_000);
    assert_eq!(stops(&sim), 0);
}

/// Only the record of the previous owner counts; a successor deletes each.
#[test]
fn record_of_earlier_owner_ignored() {
    let mut sim = stalled_at(37);
    sim.run_for(3_000);
    sim.hand_over();
    let stale = sim.records[RECORD_KEY].clone();
    sim.take_over(0);
    assert_eq!(sim.records[RECORD_KEY], stale);
    sim.run_for(3_000);
    assert_eq!(stops(&sim), 0);
    assert!(!sim.records.contains_key(RECORD_KEY));
}

/// A release writes one short record about runs without progress, and none if there are none.
#[test]
fn records_stay_few() {
    let mut sim = Simulation::new(4, WORKER);
    sim.submit("a", job(8, 1_000, 60_000));
    sim.run_for(300);
    sim.hand_over();
    assert!(!sim.records.contains_key(RECORD_KEY));
    sim.run_for(1_000);
    sim.hand_over();
    let bytes = sim.records[RECORD_KEY].len();
    assert!(bytes <= 8 * 16, "{bytes} bytes");
}

/// The record stays within its bound, whatever runs without progress there are.
#[test]
fn record_stays_short() {
    let mut sim = Simulation::new(20, WORKER);
    let long_id = "i".repeat(100);
    sim.submit(&long_id, job(600, 1_000, 60_000));
    sim.submit(&"o".repeat(20_000), job(1, 1_000, 60_000));
    sim.run_for(2_000);
    assert!(sim.running() > 500);
    sim.hand_over();
    let bytes = sim.records[RECORD_KEY].len();
    assert!((8_000..=16_384).contains(&bytes), "{bytes} bytes");
}

/// An unreadable record counts as one that tells nothing.
#[test]
fn unreadable_record_counted() {
    let mut sim = stalled_at(37);
    sim.run_for(3_000);
    sim.records.insert(RECORD_KEY.to_owned(), vec![0xc1]);
    assert_eq!(sim.take_over_unreadable(0), 1);
    sim.run_for(3_000);
    assert_eq!(stops(&sim), 0);
}
