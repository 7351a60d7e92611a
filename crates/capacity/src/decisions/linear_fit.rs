//! Linear fit of the points of a slope, and a description of the relation where no straight line fits.

use crate::slope::{Fit, Point};

/// Largest relative residual at which a straight line is accepted as a fit.
const MAX_RELATIVE_RESIDUAL: f64 = 0.25;

/// Fits a straight line to the points and returns it if its residual is small enough. Otherwise appends to `note` how
/// large the deviation is, a power law that fits the points, and the marginal cost between the two largest sizes.
pub fn fit_line(points: &[Point], note: &mut String) -> Option<Fit> {
    let fit = Fit::through(points)?;
    if fit.residual <= MAX_RELATIVE_RESIDUAL {
        return Some(fit);
    }
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|point| point.x > 0.0 && point.y > 0.0)
        .map(|point| (point.x.ln(), point.y.ln()))
        .collect();
    note.push_str(&format!(
        " Not a straight line (one would be off by up to {:.0}%), so read between the sizes.",
        fit.residual * 100.0
    ));
    let (Some(first), Some(last)) = (logs.first(), logs.last()) else { return None };
    if logs.len() < 2 || last.0 <= first.0 {
        return None;
    }
    let count = logs.len() as f64;
    let (mean_x, mean_y) = (
        logs.iter().map(|log| log.0).sum::<f64>() / count,
        logs.iter().map(|log| log.1).sum::<f64>() / count,
    );
    let covariance_sum: f64 = logs.iter().map(|log| (log.0 - mean_x) * (log.1 - mean_y)).sum();
    let variance_sum: f64 = logs.iter().map(|log| (log.0 - mean_x).powi(2)).sum();
    let exponent = covariance_sum / variance_sum;
    let max_deviation = logs
        .iter()
        .map(|log| ((mean_y + exponent * (log.0 - mean_x) - log.1).exp() - 1.0).abs())
        .fold(0.0, f64::max);
    note.push_str(&format!(
        " A power fits it: {:.3e} x size^{exponent:.2}, off by up to {:.0}%.",
        (mean_y - exponent * mean_x).exp(),
        max_deviation * 100.0
    ));
    let (a, b) = (points[points.len() - 2], points[points.len() - 1]);
    note.push_str(&format!(" Between the last two sizes one more costs {:.2}.", (b.y - a.y) / (b.x - a.x)));
    None
}
