//! Checks the counted figures of maintenance waves and bursts against their regression bounds.

#![expect(
    clippy::cast_precision_loss,
    reason = "counted figures are far below the precision of a float"
)]

use cyclamentrail_bench::capacity::{BurstRun, cheapest_sufficient, evaluate_choices};
use cyclamentrail_bench::waves::{
    Baseline, Trace, TraceShape, current_site, design_site, measure_planner, run_baseline,
    run_planner, run_planner_for,
};
use cyclamentrail_bench::{Bounds, Figure};
use cyclamentrail_core::{PlanMethod, Settings, load_settings};
use serde_json::Value;

const SEED: u64 = 6;
const DAYS: u64 = 2;
/// Length in virtual milliseconds of the run on the design site, whose wave ends well before.
const DESIGN_RUN_MS: u64 = 2 * 60 * 60 * 1000;

fn site(name: &str) -> (Value, Settings, Trace) {
    let document = current_site(name).expect("settings of the current site exist");
    let settings = load_settings(&document).expect("site settings are valid");
    let count = settings.instance_racks().len();
    let trace = Trace::draw(&settings, TraceShape::ordinary_days(count), DAYS, SEED);
    (document, settings, trace)
}

fn assert_bounds(figures: &[Figure]) {
    let violations = Bounds::load()
        .expect("bounds.json is well-formed")
        .violations(figures);
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn garza_wave_beats_baselines() {
    let (document, _, trace) = site("garza");
    let planner = run_planner(&document, &trace, DAYS);
    let one_at_a_time = run_baseline(&document, &trace, Baseline::OneAtATime, DAYS);
    let fixed_share = run_baseline(&document, &trace, Baseline::FixedShare, DAYS);
    let more_moves = planner.moves as f64 - fixed_share.moves as f64;
    assert_bounds(&[
        Figure::new(
            "waves.garza.roll_out_ratio",
            planner.roll_out_min / one_at_a_time.roll_out_min,
        ),
        Figure::new("waves.garza.moves_above_fixed_share", more_moves),
        Figure::new("waves.garza.broken_min", planner.broken_min),
    ]);
}

#[test]
fn corran_halves_buffer() {
    let (document, _, trace) = site("corran");
    let planner = run_planner(&document, &trace, DAYS);
    let fixed_share = run_baseline(&document, &trace, Baseline::FixedShare, DAYS);
    assert_bounds(&[
        Figure::new(
            "waves.corran.buffer_ratio",
            planner.buffer / fixed_share.buffer,
        ),
        Figure::new("waves.corran.broken_min", planner.broken_min),
    ]);
}

#[test]
fn design_site_fully_maintained() {
    let document = design_site().expect("settings of the current site exist");
    let planner = run_planner_for(&document, &Trace::default(), DESIGN_RUN_MS);
    assert_bounds(&[
        Figure::new("waves.letter.maintained", planner.maintained as f64),
        Figure::new("waves.letter.roll_out_min", planner.roll_out_min),
        Figure::new("waves.letter.broken_min", planner.broken_min),
    ]);
}

#[test]
fn replan_weighs_instances_once() {
    let work = |document: &Value| {
        let figures =
            measure_planner(document, 1, PlanMethod::Greedy).expect("document describes a site");
        assert_eq!(figures.moves, 1);
        figures.work as f64
    };
    let small = work(&current_site("garza").expect("settings of the current site exist"));
    let large = work(&design_site().expect("settings of the current site exist"));
    assert_bounds(&[
        Figure::new("waves.planner.work_one_change_garza", small),
        Figure::new("waves.planner.work_one_change_letter", large),
    ]);
}

#[test]
fn bursts_served_in_time() {
    let (_, settings, _) = site("corran");
    let choices = evaluate_choices(BurstRun::new(9, 100.0), &settings.cost_weights);
    let choice = cheapest_sufficient(&choices).expect("one choice meets the in-time share");
    assert_bounds(&[
        Figure::new("bursts.corran.buffer", choice.buffer as f64),
        Figure::new("bursts.corran.late", choice.outcome.late as f64),
    ]);
}
