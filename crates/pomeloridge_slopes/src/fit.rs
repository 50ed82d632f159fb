//! Fits a straight line to measured points.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size of the table.
    pub size: f64,
    /// Measured value, in the row's unit.
    pub value: f64,
}

/// Least-squares line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at size 0.
    pub base: f64,
    /// Growth per entry.
    pub slope: f64,
    /// Coefficient of determination (R²), 0 to 1.
    pub explained: f64,
}

impl Fit {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.slope.mul_add(size, self.base)
    }
}

/// Fits a line by least squares; a single point or equal sizes give a flat one.
pub fn fit(points: &[Point]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean = |part: fn(&Point) -> f64| points.iter().map(part).sum::<f64>() / count;
    let (mean_size, mean_value) = (mean(|point| point.size), mean(|point| point.value));
    let sum = |term: &dyn Fn(&Point) -> f64| points.iter().map(term).sum::<f64>();
    let spread = sum(&|point| (point.size - mean_size).powi(2));
    let joint = sum(&|point| (point.size - mean_size) * (point.value - mean_value));
    let total = sum(&|point| (point.value - mean_value).powi(2));
    let slope = if spread > 0.0 { joint / spread } else { 0.0 };
    let base = slope.mul_add(-mean_size, mean_value);
    let rest = sum(&|point| (point.value - slope.mul_add(point.size, base)).powi(2));
    let explained = if total > 0.0 { 1.0 - rest / total } else { 1.0 };
    Fit {
        base,
        slope,
        explained,
    }
}
