//! Draws slopes as SVG plots with their points, the range of each point and the fit. The same slope always gives the
//! same bytes.

use plotters::prelude::*;

use crate::CapacityError;
use crate::slope::{Fit, Slope};

/// Number of line segments that a fit is drawn with.
const FIT_LINE_SEGMENTS: u32 = 64;

/// Draws a slope as SVG, with logarithmic axes where all sizes and costs are positive and the sizes differ, else with
/// linear axes.
///
/// # Errors
/// The slope has no points, or a point with a figure that is not finite.
pub fn svg(slope: &Slope) -> Result<String, CapacityError> {
    let fail = |cause: &dyn std::fmt::Display| CapacityError::run(format!("plot of {}", slope.name), cause);
    let points = &slope.points;
    let figures = || points.iter().flat_map(|point| [point.x, point.y, point.low, point.high]);
    if points.is_empty() || figures().any(|figure| !figure.is_finite()) {
        return Err(fail(&"the slope has no points, or a point is not finite"));
    }
    let range = |figures: &mut dyn Iterator<Item = f64>| {
        figures.fold((f64::MAX, f64::MIN), |(low, high), figure| (low.min(figure), high.max(figure)))
    };
    let (x_low, x_high) = range(&mut points.iter().map(|point| point.x));
    let (y_low, y_high) = range(&mut points.iter().flat_map(|point| [point.low, point.high]));
    let fit = slope.fit.map_or_else(Vec::new, |fit| fit_points(fit, x_low, x_high));
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (640, 400)).into_drawing_area();
        area.fill(&WHITE).map_err(|cause| fail(&cause))?;
        let mut builder = ChartBuilder::on(&area);
        builder
            .caption(&slope.name, ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(80);
        macro_rules! draw {
            ($x:expr, $y:expr) => {{
                let mut chart = builder.build_cartesian_2d($x, $y).map_err(|cause| fail(&cause))?;
                chart
                    .configure_mesh()
                    .x_desc(&slope.x_unit)
                    .y_desc(&slope.y_unit)
                    .label_style(("sans-serif", 11))
                    .draw()
                    .map_err(|cause| fail(&cause))?;
                let finite = fit.iter().copied().filter(|&(_, y)| y.is_finite());
                chart.draw_series(LineSeries::new(finite, &BLUE)).map_err(|cause| fail(&cause))?;
                let bars = points.iter().map(|point| {
                    PathElement::new(vec![(point.x, point.low), (point.x, point.high)], BLACK.stroke_width(2))
                });
                chart.draw_series(bars).map_err(|cause| fail(&cause))?;
                let medians = points.iter().map(|point| Circle::new((point.x, point.y), 3, BLACK.filled()));
                chart.draw_series(medians).map_err(|cause| fail(&cause))?;
            }};
        }
        if x_low > 0.0 && y_low > 0.0 && x_high > x_low {
            draw!((x_low / 1.2..x_high * 1.2).log_scale(), (y_low / 1.3..y_high * 1.3).log_scale());
        } else {
            let x_margin = ((x_high - x_low) * 0.05).max(1e-9);
            let high = ((y_high - y_low) * 0.1).max(1e-9);
            draw!((x_low - x_margin)..(x_high + x_margin), (y_low - high)..(y_high + high));
        }
        area.present().map_err(|cause| fail(&cause))?;
    }
    Ok(text)
}

/// Points along a fit from size `x_low` to size `x_high`, evenly spaced on the x axis of the plot, which is logarithmic if
/// `x_low` is positive.
fn fit_points(fit: Fit, x_low: f64, x_high: f64) -> Vec<(f64, f64)> {
    let at = |step: u32| {
        let fraction = f64::from(step) / f64::from(FIT_LINE_SEGMENTS);
        let x = if x_low > 0.0 {
            x_low * (x_high / x_low).powf(fraction)
        } else {
            x_low + (x_high - x_low) * fraction
        };
        (x, fit.at(x))
    };
    (0..=FIT_LINE_SEGMENTS).map(at).collect()
}
