//! Plots the goodput over time, one line per report, together with the mix.

use std::io;
use std::path::Path;

use plotters::prelude::*;

use crate::report::Report;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Font size of the caption, in pixels.
const CAPTION: u32 = 20;
/// Margin around the plot, in pixels.
const MARGIN: u32 = 12;
/// Size of an axis's label area, in pixels.
const LABELS: u32 = 48;
/// Length of a legend line, in pixels.
const LEGEND: i32 = 18;
/// Font of all text.
const FONT: &str = "sans-serif";
/// Factor from the greatest goodput to the top of the axis.
const HEADROOM: f64 = 1.1;

/// Renders the plot as SVG.
///
/// # Errors
///
/// Fails if the plot can't be drawn.
pub fn svg(reports: &[Report]) -> io::Result<String> {
    let mut text = String::new();
    let result = draw(&mut text, reports);
    result.map_err(|error| io::Error::other(error.to_string()))?;
    Ok(text)
}

/// Writes the plot to a file.
///
/// # Errors
///
/// Fails if the plot can't be drawn or the file can't be written.
pub fn write_svg(reports: &[Report], path: &Path) -> io::Result<()> {
    std::fs::write(path, svg(reports)?)
}

fn draw(text: &mut String, reports: &[Report]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (seconds, top) = bounds(reports);
    let mut chart = ChartBuilder::on(&area)
        .caption("Weighted goodput and mix over time", (FONT, CAPTION))
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .right_y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..seconds, 0.0..top)?
        .set_secondary_coord(0.0..seconds, 0.0..1.0);
    chart
        .configure_mesh()
        .x_desc("real seconds")
        .y_desc("weighted goodput, unscaled /s")
        .draw()?;
    chart
        .configure_secondary_axes()
        .y_desc("prompt-heavy share")
        .draw()?;
    for (index, report) in reports.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = report.timeline.iter().enumerate();
        let points = points.map(|(second, at)| (second as f64, at.goodput));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(report.policy.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND, y)], color));
    }
    if let Some(longest) = reports.iter().max_by_key(|report| report.timeline.len()) {
        let points = longest.timeline.iter().enumerate();
        let points = points.map(|(second, at)| (second as f64, at.mix));
        let color = BLACK.mix(0.4);
        chart
            .draw_secondary_series(LineSeries::new(points, color))?
            .label("mix")
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the ends of the axes: the last second, and the greatest goodput with headroom.
fn bounds(reports: &[Report]) -> (f64, f64) {
    let length = reports.iter().map(|report| report.timeline.len()).max();
    let seconds = reports.iter().flat_map(|report| &report.timeline);
    let top = seconds.map(|second| second.goodput).fold(0.0, f64::max);
    let top = if top > 0.0 { top * HEADROOM } else { 1.0 };
    (length.unwrap_or_default().max(1) as f64, top)
}
