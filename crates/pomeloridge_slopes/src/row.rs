//! One row of the report: an operation measured at several sizes.

use serde::Serialize;

use crate::fit::{Fit, Point, fit};

/// Unit of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Unit {
    /// Nanoseconds for one operation.
    #[serde(rename = "ns")]
    Nanoseconds,
    /// Bytes.
    #[serde(rename = "B")]
    Bytes,
    /// Usage lines.
    #[serde(rename = "lines")]
    Lines,
}

impl Unit {
    /// Returns the symbol of the unit.
    pub fn symbol(self) -> &'static str {
        match self {
            Self::Nanoseconds => "ns",
            Self::Bytes => "B",
            Self::Lines => "lines",
        }
    }
}

/// An operation, its measurements and their fit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Component of the node.
    pub part: &'static str,
    /// Measured operation or memory.
    pub what: &'static str,
    /// Kind of table entry that the sizes count.
    pub size: &'static str,
    /// Unit of the values.
    pub unit: Unit,
    /// Measurements, by increasing size.
    pub points: Vec<Point>,
    /// Line fitted to the measurements.
    pub fit: Fit,
}

impl Row {
    /// Creates a row by calling `measure` for each size.
    pub fn measure(
        part: &'static str,
        what: &'static str,
        size: &'static str,
        unit: Unit,
        sizes: &[usize],
        mut measure: impl FnMut(usize) -> f64,
    ) -> Self {
        let point = |size: &usize| Point {
            size: *size as f64,
            value: measure(*size),
        };
        let points: Vec<Point> = sizes.iter().map(point).collect();
        let fit = fit(&points);
        Self {
            part,
            what,
            size,
            unit,
            points,
            fit,
        }
    }
}
