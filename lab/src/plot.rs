//! Draws line plots as SVG.

use derive_more::{Display, Error};
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    element::PathElement,
    series::LineSeries,
    style::{BLACK, Color, Palette, Palette99, WHITE},
};
use std::path::{Path, PathBuf};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 540);

/// A line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points of the line, from left to right.
    pub points: Vec<(f64, f64)>,
}

/// Error of a plot that can't be written.
#[derive(Debug, Display, Error)]
#[display("{}: can't write the plot: {problem}", path.display())]
pub struct PlotError {
    path: PathBuf,
    problem: String,
}

/// Writes a plot of lines with a common axis; values are from 0 to 1.
///
/// # Errors
///
/// When the file can't be written.
pub fn draw(path: &Path, title: &str, axis: &str, lines: &[Line]) -> Result<(), PlotError> {
    let drawn = try_draw(path, title, axis, lines);
    drawn.map_err(|problem| PlotError { path: path.to_owned(), problem: problem.to_string() })
}

fn try_draw(
    path: &Path,
    title: &str,
    axis: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = plotters::backend::SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let xs = || lines.iter().flat_map(|line| &line.points).map(|(x, _)| *x);
    let (min_x, max_x) = (xs().fold(f64::MAX, f64::min), xs().fold(f64::MIN, f64::max));
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(min_x..max_x, 0.0..1.05)?;
    chart.configure_mesh().x_desc(axis).light_line_style(WHITE).draw()?;
    for (number, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).stroke_width(2);
        let series = LineSeries::new(line.points.iter().copied(), colour);
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour);
        chart.draw_series(series)?.label(&line.name).legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
