//! Renders the rows as a text table.

use std::fmt::Write;

use crate::fit::Point;
use crate::row::Row;

/// Values from this on are printed without decimals.
const ROUND_FROM: f64 = 100.0;

/// Renders a heading and one line per row.
pub fn render(rows: &[Row]) -> String {
    let heading = [
        "part", "what", "unit", "for each", "measured", "base", "slope", "r2",
    ];
    let mut lines = vec![heading.map(str::to_owned)];
    lines.extend(rows.iter().map(cells));
    let widths: Vec<usize> = (0..heading.len())
        .map(|column| {
            lines
                .iter()
                .map(|line| line[column].len())
                .max()
                .unwrap_or_default()
        })
        .collect();
    let mut text = String::new();
    for line in &lines {
        let cells: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        // Writing to a `String` does not fail.
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

fn cells(row: &Row) -> [String; 8] {
    let points: Vec<String> = row.points.iter().map(cell).collect();
    [
        row.part.to_owned(),
        row.what.to_owned(),
        row.unit.symbol().to_owned(),
        row.size.to_owned(),
        points.join(" "),
        figure(row.fit.base),
        figure(row.fit.slope),
        format!("{:.3}", row.fit.explained),
    ]
}

fn cell(point: &Point) -> String {
    format!("{}:{}", point.size, figure(point.value))
}

fn figure(value: f64) -> String {
    if value.abs() >= ROUND_FROM {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
