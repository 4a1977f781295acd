//! Plot of a run: calls per second over time.

use crate::error::{LoadError, PlotSnafu};
use crate::report::{LoadReport, SecondReport};
use plotters::prelude::*;
use snafu::IntoError;
use std::path::Path;

/// Width and height of the plot, pixels.
const PLOT_SIZE: (u32, u32) = (960, 480);

/// Writes an SVG plot with three lines over time: the calls that were planned, those answered in
/// whole, and those that met the limits.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write_plot(report: &LoadReport, path: &Path) -> Result<(), LoadError> {
    draw(report, path).map_err(|error| {
        let cause = error.to_string();
        PlotSnafu { cause }.into_error(snafu::NoneError)
    })
}

fn draw<'a>(report: &LoadReport, path: &'a Path) -> Result<(), Box<dyn std::error::Error + 'a>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = report.seconds.len().max(1) as u64;
    let highest = report
        .seconds
        .iter()
        .map(|second| second.planned)
        .max()
        .unwrap_or(1)
        .max(1);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0..seconds, 0..highest + highest / 10 + 1)?;
    chart
        .configure_mesh()
        .x_desc("second of the planned arrival")
        .y_desc("calls")
        .draw()?;
    type Series = (&'static str, RGBColor, fn(&SecondReport) -> u64);
    let series: [Series; 3] = [
        ("planned", RGBColor(120, 120, 120), |second| second.planned),
        ("whole", RGBColor(40, 90, 180), |second| second.whole),
        ("within the limits", RGBColor(30, 140, 70), |second| {
            second.met
        }),
    ];
    for (name, color, value) in series {
        let points = report
            .seconds
            .iter()
            .map(move |second| (second.second, value(second)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
