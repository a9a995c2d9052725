//! Plot of the jobs on time by second of the day.

use std::path::Path;

use anyhow::{Context, Result};
use plotters::prelude::*;

/// Size of the picture in pixels.
const SIZE: (u32, u32) = (960, 420);

/// Part of the jobs on time in each second of a day, by one policy.
type Line = (String, Vec<Option<f64>>);

/// Draws the part of the jobs on time by the second of their first attempt, a line for each policy,
/// into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw_plot(path: &Path, title: &str, lines: &[Line]) -> Result<()> {
    let seconds = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(0);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("second of the first attempt")
        .y_desc("part on time")
        .draw()?;
    for (index, (name, line)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = line.iter().enumerate();
        let points = points.filter_map(|(second, share)| Some((second as f64, (*share)?)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()
        .with_context(|| format!("the plot can't be written to {}", path.display()))
}
