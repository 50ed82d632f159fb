//! The straight line through measured points.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size of the table.
    pub size: f64,
    /// What was measured, in the row's unit.
    pub value: f64,
}

/// The line of least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at size 0.
    pub base: f64,
    /// Growth for one more entry.
    pub slope: f64,
    /// Part of the variance that the line explains, 0 to 1.
    pub explained: f64,
}

impl Fit {
    /// The value that the line gives for a size.
    pub fn at(&self, size: f64) -> f64 {
        self.slope.mul_add(size, self.base)
    }
}

/// Fits a line; a single point or equal sizes give a flat one.
pub fn fit(points: &[Point]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean = |part: fn(&Point) -> f64| points.iter().map(part).sum::<f64>() / count;
    let (size, value) = (mean(|point| point.size), mean(|point| point.value));
    let sum = |term: &dyn Fn(&Point) -> f64| points.iter().map(term).sum::<f64>();
    let spread = sum(&|point| (point.size - size).powi(2));
    let joint = sum(&|point| (point.size - size) * (point.value - value));
    let total = sum(&|point| (point.value - value).powi(2));
    let slope = if spread > 0.0 { joint / spread } else { 0.0 };
    let base = slope.mul_add(-size, value);
    let rest = sum(&|point| (point.value - slope.mul_add(point.size, base)).powi(2));
    let explained = if total > 0.0 { 1.0 - rest / total } else { 1.0 };
    Fit {
        base,
        slope,
        explained,
    }
}
