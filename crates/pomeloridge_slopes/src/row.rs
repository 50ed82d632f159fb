//! One row of the report: an operation at growing sizes.

use serde::Serialize;

use crate::fit::{Fit, Point, fit};

/// What a value is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Unit {
    /// Nanoseconds for one operation.
    #[serde(rename = "ns")]
    Nanoseconds,
    /// Bytes.
    #[serde(rename = "B")]
    Bytes,
    /// Lines of usage.
    #[serde(rename = "lines")]
    Lines,
}

impl Unit {
    /// Symbol of the unit.
    pub fn symbol(self) -> &'static str {
        match self {
            Self::Nanoseconds => "ns",
            Self::Bytes => "B",
            Self::Lines => "lines",
        }
    }
}

/// An operation with its measurements.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Part of the node.
    pub part: &'static str,
    /// What was measured.
    pub what: &'static str,
    /// What the sizes count.
    pub size: &'static str,
    /// Unit of the values.
    pub unit: Unit,
    /// Measurements, by growing size.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}

impl Row {
    /// A row whose `measure` gives the value at each size.
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
