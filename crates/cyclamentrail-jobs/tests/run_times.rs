//! Tests of the learned run times.

use cyclamentrail_jobs::{Distribution, Pace, RunTimeUses, RunTimes, RunTimesError};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Durations of which 3 in 100 are seven times as long, as on one of the deployments.
fn heavy_tail(rng: &mut ChaCha8Rng) -> u64 {
    let typical = rng.random_range(800..1_200);
    if rng.random_bool(0.03) {
        typical * 7
    } else {
        typical
    }
}

/// A declared duration that is off by up to nine tenths of the actual one.
fn declared(rng: &mut ChaCha8Rng, actual_ms: u64) -> u64 {
    actual_ms * rng.random_range(10..190) / 100
}

fn learned(runs: u32, seed: u64) -> RunTimes {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut times = RunTimes::new();
    for _ in 0..runs {
        let actual_ms = heavy_tail(&mut rng);
        times.observe(declared(&mut rng, actual_ms), actual_ms);
    }
    times
}

/// Without observations, nothing but the declared duration is known.
#[test]
fn nothing_known_declared() {
    let times = RunTimes::new();
    assert_eq!(times.expected_ms(700), 700);
    assert_eq!(times.longest_of_ms(700, 100), 700);
    assert_eq!(times.remaining_ms(700, 200), 500);
    assert!((times.probability_within(700, 699)).abs() < 1e-9);
    assert!((times.probability_within(700, 700) - 1.0).abs() < 1e-9);
    assert!(!times.is_known());
}

/// The quantiles of durations in a known range have to be found within the width of a cell.
#[test]
fn quantiles_converge() {
    let mut times = Distribution::new(3_600_000);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..2_000 {
        times.observe(rng.random_range(1_000..2_000));
    }
    for (level, expected) in [(0.1, 1_100), (0.5, 1_500), (0.9, 1_900)] {
        let found = times.quantile(level);
        assert!(found.abs_diff(expected) < 150, "{level}: {found}");
    }
    assert!(times.mean().abs_diff(1_500) < 75, "{}", times.mean());
    let within = times.probability_within(1_500);
    assert!((within - 0.5).abs() < 0.1, "{within}");
}

/// The mean of a heavy tail is longer than the typical task, and shorter than the slowest of many.
#[test]
fn tail_found() {
    let times = learned(600, 5);
    let (median, mean) = (times.quantile_ms(1_000, 0.5), times.expected_ms(1_000));
    assert!((900..1_150).contains(&median), "{median}");
    assert!(mean > median, "{mean} {median}");
    let slowest = times.longest_of_ms(1_000, 64);
    assert!(slowest > 4_000, "{slowest}");
    assert!(times.longest_of_ms(1_000, 2) < 2_000);
}

/// A task that has run longer than the typical one is expected to run longer still.
#[test]
fn remaining_grows() {
    let times = learned(600, 6);
    let new = times.remaining_ms(1_000, 0);
    let old = times.remaining_ms(1_000, 2_000);
    let oldest = times.remaining_ms(1_000, 20_000);
    assert!(new < 1_500, "{new}");
    assert!(old > 2_000, "{old}");
    assert!(oldest > old, "{oldest}");
}

/// When all runs suddenly take three times as long, the estimate must follow within tens of runs.
#[rstest]
#[case::longer(3, 1)]
#[case::shorter(1, 3)]
fn shift_followed(#[case] times: u64, #[case] divisor: u64) {
    let mut known = learned(600, 7);
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let before = known.quantile_ms(1_000, 0.5);
    for _ in 0..24 {
        let usual = heavy_tail(&mut rng);
        known.observe(declared(&mut rng, usual), usual * times / divisor);
    }
    let after = known.quantile_ms(1_000, 0.5);
    let expected = before * times / divisor;
    assert!(after.abs_diff(expected) < expected / 4, "{before} {after}");
    assert_eq!(known.shifts(), 1);
    let (low, high) = (
        known.quantile_ms(1_000, 0.05),
        known.quantile_ms(1_000, 0.95),
    );
    assert!(high > low * 2, "the estimate widens: {low} to {high}");
}

/// Where nothing changes, chance mustn't look like a shift.
#[test]
fn no_false_shift() {
    let shifts: u32 = (0..20).map(|seed| learned(1_000, seed).shifts()).sum();
    assert!(shifts <= 6, "{shifts} shifts in 20,000 runs");
}

/// Runs that are stopped after a second are known to last longer, not to last a second.
#[test]
fn stopped_run_counts_longer() {
    let mut times = RunTimes::new();
    for run in 0..200_u64 {
        let actual_ms = 500 + run * 37 % 200 * 10;
        if actual_ms > 1_500 && run % 2 == 0 {
            times.censor(1_000, 1_500);
        } else {
            times.observe(1_000, actual_ms);
        }
    }
    let mut ignoring = RunTimes::new();
    for run in 0..200_u64 {
        let actual_ms = 500 + run * 37 % 200 * 10;
        if actual_ms <= 1_500 || run % 2 == 1 {
            ignoring.observe(1_000, actual_ms);
        }
    }
    assert!(times.expected_ms(1_000) > ignoring.expected_ms(1_000) + 50);
    assert_eq!(times.censored(), 49);
    assert_eq!(times.observations(), 151);
}

/// Runs stopped early tell nothing about the time that they'd have taken.
#[test]
fn early_stop_changes_nothing() {
    let mut times = learned(300, 9);
    let before = times.expected_ms(1_000);
    for _ in 0..300 {
        times.censor(1_000, 10);
    }
    let after = times.expected_ms(1_000);
    assert!(before.abs_diff(after) < before / 20, "{before} {after}");
}

/// Runs that are all lost before they end still raise the expected duration.
#[test]
fn lost_runs_raise() {
    let mut times = learned(100, 10);
    for _ in 0..60 {
        times.censor(1_000, 30_000);
    }
    assert!(times.expected_ms(1_000) > 5_000);
}

/// A caller that declares next to nothing gains little once runs are known.
#[test]
fn declaring_little_gains_little() {
    let mut times = RunTimes::new();
    for run in 0..300_u64 {
        let actual_ms = 1_000 + run % 7 * 100;
        times.observe(if run % 10 == 0 { 1 } else { actual_ms }, actual_ms);
    }
    assert!(
        times.longest_of_ms(1, 1) >= 900,
        "{}",
        times.longest_of_ms(1, 1)
    );
    assert!(times.expected_ms(1) >= 900);
    assert!(times.probability_within(1, 500) < 0.1);
}

/// A caller that declares all of its tasks too short is believed the less the more runs end.
#[test]
fn understated_route_corrected() {
    let mut times = RunTimes::new();
    for run in 0..50_u64 {
        times.observe(100 + run, (100 + run) * 10);
    }
    let expected = times.expected_ms(120);
    assert!((1_000..1_500).contains(&expected), "{expected}");
}

/// A stored record gives the new owner the same distribution.
#[test]
fn record_keeps_distribution() {
    let times = learned(600, 11);
    let bytes = times.to_bytes();
    assert!(bytes.len() <= 700, "{} bytes", bytes.len());
    let restored = RunTimes::from_bytes(&bytes).expect("the record was just written");
    assert_eq!(restored.observations(), times.observations());
    for level in [0.1, 0.5, 0.9, 0.98] {
        let (old, new) = (
            times.quantile_ms(1_000, level),
            restored.quantile_ms(1_000, level),
        );
        assert!(old.abs_diff(new) <= old / 8, "{level}: {old} {new}");
    }
}

/// New runs outweigh a stored record that is out of date.
#[test]
fn old_record_outweighed() {
    let bytes = learned(600, 12).to_bytes();
    let mut restored = RunTimes::from_bytes(&bytes).expect("the record was just written");
    for _ in 0..30 {
        restored.observe(1_000, 4_000);
    }
    assert!(restored.quantile_ms(1_000, 0.5) > 3_500);
}

/// Records that another version wrote, or that are damaged, must not be taken for run times.
#[test]
fn foreign_records_rejected() {
    let bytes = learned(20, 13).to_bytes();
    let mut newer = bytes.clone();
    newer[0] += 1;
    assert!(matches!(
        RunTimes::from_bytes(&newer),
        Err(RunTimesError::UnknownVersion(2))
    ));
    assert!(matches!(
        RunTimes::from_bytes(&bytes[..bytes.len() / 2]),
        Err(RunTimesError::Unreadable(_))
    ));
    assert!(matches!(
        RunTimes::from_bytes(&[]),
        Err(RunTimesError::Empty)
    ));
}

/// Memory and record stay bounded however many runs end, and whatever they last.
#[test]
fn memory_bounded() {
    let mut times = RunTimes::new();
    let empty = times.memory_bytes();
    let mut rng = ChaCha8Rng::seed_from_u64(14);
    for _ in 0..20_000 {
        times.observe(
            rng.random_range(0..u64::MAX),
            rng.random_range(0..10_000_000_u64),
        );
        times.censor(rng.random_range(1..100_000), rng.random_range(0..u64::MAX));
    }
    println!("{empty} bytes, record of {}", times.to_bytes().len());
    assert_eq!(times.memory_bytes(), empty);
    assert!(empty <= 4_096, "{empty}");
    assert!(times.to_bytes().len() <= 1_024);
}

/// Of what is promised with a probability of 90%, about 90% has to hold.
#[test]
fn promises_hold() {
    let mut rng = ChaCha8Rng::seed_from_u64(15);
    let mut times = learned(600, 15);
    let (mut promised, mut kept) = (0, 0);
    for _ in 0..4_000 {
        let actual_ms = heavy_tail(&mut rng);
        let declared_ms = declared(&mut rng, actual_ms);
        let limit_ms = times.quantile_ms(declared_ms, 0.9);
        promised += 1;
        kept += u32::from(actual_ms <= limit_ms);
        times.observe(declared_ms, actual_ms);
    }
    let share = f64::from(kept) / f64::from(promised);
    println!("kept {kept} of {promised}");
    assert!((0.87..0.94).contains(&share), "{share}");
}

/// A slow worker is told from a pool in which everything became slower.
#[test]
fn slow_worker_told_apart() {
    let (mut pool, mut usual, mut slow) = (Pace::default(), Pace::default(), Pace::default());
    for run in 0..200 {
        let actual_ms = if run % 10 == 0 { 9_000 } else { 3_000 };
        if run % 10 == 0 {
            slow.observe(actual_ms, 1_000);
        } else {
            usual.observe(actual_ms, 1_000);
        }
        pool.observe(actual_ms, 1_000);
    }
    assert!(usual.factor_within(&pool) < 1.3);
    assert!(slow.factor_within(&pool) > 2.0);
}

#[test]
fn failures_counted() {
    let mut times = learned(100, 16);
    for run in 0..100 {
        times.record_failure(run % 2 == 0);
    }
    assert!((0.35..0.65).contains(&times.failed_share()));
}

#[rstest]
#[case("none", RunTimeUses::NONE)]
#[case("all", RunTimeUses::ALL)]
#[case("admission, order", RunTimeUses { admission: true, order: true, ..RunTimeUses::NONE })]
fn uses_read(#[case] text: &str, #[case] uses: RunTimeUses) {
    assert_eq!(text.parse(), Ok(uses));
}

/// A misspelled use must not be ignored.
#[test]
fn unknown_use_named() {
    let error = "admission,ordering"
        .parse::<RunTimeUses>()
        .expect_err("the name is unknown");
    assert!(error.to_string().contains("ordering"));
}
