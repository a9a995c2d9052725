//! Prints the figures of maintenance waves, planner and bursts, and draws plots into `docs/plots`.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use cyclamentrail_bench::capacity::{
    BurstRun, OverloadPolicy, TURN_LENGTHS_MS, cheapest_sufficient, evaluate_choices,
};
use cyclamentrail_bench::waves::{
    Baseline, Trace, TraceShape, current_site, design_site, measure_planner, run_baseline,
    run_planner, with_maintenance_room,
};
use cyclamentrail_core::{PlanMethod, Settings, load_settings};
use plotters::prelude::*;
use serde_json::Value;

const SEED: u64 = 6;
const DAYS: u64 = 14;
const PLOT_SIZE: (u32, u32) = (720, 440);

/// Label and points of one line in a plot.
type Series = (String, Vec<(f64, f64)>);

fn main() -> Result<()> {
    let plots = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/plots");
    for site in ["garza", "corran"] {
        let document = current_site(site)?;
        report_waves(site, &document, DAYS)?;
        report_bursts(site, &load_settings(&document)?);
    }
    report_waves("letter", &design_site()?, 1)?;
    report_planners()?;
    plot_room(&plots.join("waves-room.svg"))?;
    for turn_ms in TURN_LENGTHS_MS {
        plot_bursts(&plots.join(format!("bursts-{turn_ms}ms.svg")), turn_ms)?;
    }
    Ok(())
}

fn report_waves(site: &str, document: &Value, days: u64) -> Result<()> {
    let settings = load_settings(document)?;
    let count = settings.instance_racks().len();
    let trace = Trace::draw(&settings, TraceShape::ordinary_days(count), days, SEED);
    println!(
        "{site}: {} losses, {} left out",
        trace.losses.len(),
        trace.omitted
    );
    println!("  planner {:?}", run_planner(document, &trace, days));
    for baseline in [Baseline::OneAtATime, Baseline::FixedShare] {
        let outcome = run_baseline(document, &trace, baseline, days);
        println!("  {baseline:?} {outcome:?}");
    }
    Ok(())
}

fn report_bursts(site: &str, settings: &Settings) {
    for turn_ms in TURN_LENGTHS_MS {
        let base = BurstRun::new(9, 100.0).turn_ms(turn_ms);
        let choices = evaluate_choices(base, &settings.cost_weights);
        println!(
            "{site}: turns of {turn_ms} ms, best {:?}",
            cheapest_sufficient(&choices)
        );
        for choice in choices.iter().filter(|choice| choice.buffer % 4 == 0) {
            println!("  {choice:?}");
        }
    }
}

fn report_planners() -> Result<()> {
    for (name, document) in [
        ("garza", current_site("garza")?),
        ("letter", design_site()?),
    ] {
        for needs in [1, 4, 16, 64] {
            for method in [PlanMethod::Greedy, PlanMethod::Assignment] {
                let begun = std::time::Instant::now();
                let figures = measure_planner(&document, needs, method)?;
                println!(
                    "{name} {method:?} {figures:?} in {:?} with setup",
                    begun.elapsed()
                );
            }
        }
    }
    Ok(())
}

/// Plots the roll-out time against the number of instances that each pool can have in maintenance.
fn plot_room(path: &PathBuf) -> Result<()> {
    let document = current_site("garza")?;
    let quiet = Trace::default();
    let mut planner = Vec::new();
    let mut one_at_a_time = Vec::new();
    let mut fixed_share = Vec::new();
    for room in 1..=4 {
        let roomy = with_maintenance_room(&document, room);
        let x = f64::from(room);
        planner.push((x, run_planner(&roomy, &quiet, 1).roll_out_min));
        one_at_a_time.push((
            x,
            run_baseline(&roomy, &quiet, Baseline::OneAtATime, 1).roll_out_min,
        ));
        fixed_share.push((
            x,
            run_baseline(&roomy, &quiet, Baseline::FixedShare, 1).roll_out_min,
        ));
    }
    println!("room: planner {planner:?} one {one_at_a_time:?} fixed {fixed_share:?}");
    let series = [
        (String::from("contracts (this project)"), planner),
        (String::from("one at a time"), one_at_a_time),
        (String::from("a tenth of each pool at a time"), fixed_share),
    ];
    let titles = [
        "Roll-out of 49 instances",
        "room held in each pool, instances",
        "virtual minutes",
    ];
    draw(path, titles, &series)
}

/// Plots the share of requests answered in time against the buffer, for each overload policy with
/// and without moves.
fn plot_bursts(path: &PathBuf, turn_ms: u64) -> Result<()> {
    let settings = load_settings(&current_site("garza")?)?;
    let base = BurstRun::new(9, 100.0).turn_ms(turn_ms);
    let choices = evaluate_choices(base, &settings.cost_weights);
    let mut series: Vec<Series> = Vec::new();
    for (answer, label) in [
        (OverloadPolicy::RefuseAtOnce, "refuse at once"),
        (OverloadPolicy::Queue, "queue, however late"),
        (
            OverloadPolicy::QueueOrRefuse,
            "queue within the deadline, else refuse",
        ),
    ] {
        for moves in [false, true] {
            let chosen = choices
                .iter()
                .filter(|choice| choice.answer == answer && choice.moves == moves);
            let points = chosen.map(|choice| {
                let share = 100.0 * choice.outcome.in_time_share();
                (
                    f64::from(u32::try_from(choice.buffer).unwrap_or_default()),
                    share,
                )
            });
            let suffix = if moves { ", with moves" } else { "" };
            series.push((format!("{label}{suffix}"), points.collect()));
        }
    }
    let titles = [
        "Bursts of five times the mean",
        "buffer beyond 9 instances",
        "percent in time",
    ];
    draw(path, titles, &series)
}

/// Writes a line plot as SVG; `titles` are the caption and the labels of the x and y axes.
fn draw(path: &PathBuf, titles: [&str; 3], series: &[Series]) -> Result<()> {
    let points = || series.iter().flat_map(|(_, points)| points);
    let max = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
    let min = |values: &mut dyn Iterator<Item = f64>| values.fold(f64::INFINITY, f64::min);
    let (left, right) = (
        min(&mut points().map(|point| point.0)),
        max(&mut points().map(|point| point.0)),
    );
    let top = max(&mut points().map(|point| point.1)) * 1.05;
    let bottom = min(&mut points().map(|point| point.1)) * 0.9;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(titles[0], ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(left..right, bottom..top)?;
    chart
        .configure_mesh()
        .x_desc(titles[1])
        .y_desc(titles[2])
        .draw()?;
    for (index, (label, points)) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                colour.stroke_width(2),
            ))?
            .label(label.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present().context("plot file could not be written")
}
