//! Linear least-squares regression.

use serde::Serialize;

/// Line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at `x` = 0.
    pub base: f64,
    /// Increase per unit of `x`.
    pub slope: f64,
    /// Root mean square of the residuals, as a fraction of the mean value.
    pub residual: f64,
}

impl Line {
    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Fits a line to the points by least squares. The slope is zero if all points have the same `x`.
///
/// ```
/// use daisymast_load::slopes::fit;
/// let line = fit::line(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
/// assert!((line.slope - 2.0).abs() < 1e-9);
/// assert!((line.base - 1.0).abs() < 1e-9);
/// ```
#[allow(clippy::cast_precision_loss, reason = "a handful of points")]
pub fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let squared_residuals: f64 = points
        .iter()
        .map(|(x, y)| (y - base - slope * x).powi(2))
        .sum();
    let residual = if mean_y.abs() > 0.0 {
        (squared_residuals / count).sqrt() / mean_y.abs()
    } else {
        0.0
    };
    Line {
        base,
        slope,
        residual,
    }
}
