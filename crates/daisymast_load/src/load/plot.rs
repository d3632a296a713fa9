//! Plot of the latency over the duration of a run.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use crate::load::plan::Plan;
use crate::load::report::{CompletedRequest, RequestOutcome};

/// Width and height of the plot in pixels.
const SIZE_PX: (u32, u32) = (900, 480);

/// Writes an SVG file with the 99th percentile of the latency of each kind in each second.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write(path: &Path, plan: &Plan, completed: &[CompletedRequest]) -> anyhow::Result<()> {
    let lines: Vec<Vec<(f64, f64)>> = (0..plan.kinds.len())
        .map(|kind| p99_by_second(plan, completed, kind))
        .collect();
    let values = lines.iter().flatten().map(|point| point.1);
    let max = values.fold(1.0, f64::max);
    let draw_error = |error: &dyn std::fmt::Display| anyhow!("draw {}: {error}", path.display());
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| draw_error(&error))?;
    #[allow(clippy::cast_precision_loss, reason = "at most 600 s")]
    let seconds = plan.seconds as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds, 0.0..max * 1.1)
        .map_err(|error| draw_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("p99 of the wait in ms")
        .draw()
        .map_err(|error| draw_error(&error))?;
    for (index, (line, kind)) in lines.into_iter().zip(&plan.kinds).enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))
            .map_err(|error| draw_error(&error))?
            .label(kind.name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .draw()
        .map_err(|error| draw_error(&error))?;
    area.present().map_err(|error| draw_error(&error))
}

#[allow(
    clippy::cast_precision_loss,
    reason = "waits of minutes in microseconds are below 2^53"
)]
fn p99_by_second(plan: &Plan, completed: &[CompletedRequest], kind: usize) -> Vec<(f64, f64)> {
    let p99_of_second = |second: u64| {
        let mut waits: Vec<u64> = completed
            .iter()
            .filter(|request| {
                request.kind == kind
                    && request.second == second
                    && request.outcome == RequestOutcome::Done
            })
            .map(|request| request.wait_us)
            .collect();
        waits.sort_unstable();
        let index = (waits.len() * 99 / 100).min(waits.len().checked_sub(1)?);
        Some((second as f64, waits[index] as f64 / 1_000.0))
    };
    (0..plan.seconds).filter_map(p99_of_second).collect()
}
