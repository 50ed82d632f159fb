//! Renders several reports as a text table, one column each.

use std::collections::BTreeSet;

use crate::loss::LossReport;
use crate::report::{Counts, Report};

/// Separator of columns.
const GUTTER: &str = "  ";

/// Renders a table with a row per figure and a column per policy.
pub fn table(reports: &[Report]) -> String {
    let mut rows = vec![row(reports, "policy", |report| report.policy.clone())];
    let mut add =
        |name: &str, cell: &dyn Fn(&Report) -> String| rows.push(row(reports, name, cell));
    add("deployment", &|report| report.deployment.clone());
    add("seed", &|report| report.seed.to_string());
    add("weighted goodput /s", &|report| figure(report.goodput));
    for kind in reports.first().map_or(&[][..], |report| &report.kinds) {
        let name = format!("{} goodput /s", kind.kind);
        let of = |report: &Report| {
            let found = report.kinds.iter().find(|other| other.kind == kind.kind);
            found.map_or_else(none, |found| figure(found.goodput))
        };
        add(&name, &of);
    }
    for (name, count_of) in COUNTS {
        add(name, &|report| count_of(&report.counts).to_string());
    }
    add("worst account", &|report| report.worst.clone());
    add("its timely part", &|report| figure(report.worst_timely));
    add("least served part", &|report| figure(report.least_served));
    add("first token p50 ms", &|report| {
        figure(report.first_token.p50)
    });
    add("first token p95 ms", &|report| {
        figure(report.first_token.p95)
    });
    add("first token p99 ms", &|report| {
        figure(report.first_token.p99)
    });
    add("gap p50 ms", &|report| figure(report.gap.p50));
    add("gap p95 ms", &|report| figure(report.gap.p95));
    add("gap p99 ms", &|report| figure(report.gap.p99));
    add("stale routing s", &|report| {
        loss(report, |loss| figure(loss.stale_s))
    });
    add("hit by the loss", &|report| {
        loss(report, |loss| loss.hit.to_string())
    });
    add("late excess", &|report| {
        loss(report, |loss| figure(loss.late_excess))
    });
    for name in extras(reports) {
        let of = |report: &Report| report.extra.get(name).map_or_else(none, |v| figure(*v));
        add(name, &of);
    }
    add("generator lag ms", &|report| figure(report.lag_ms));
    render(&rows)
}

type CountOf = fn(&Counts) -> u64;

const COUNTS: [(&str, CountOf); 8] = [
    ("offered", |counts| counts.offered),
    ("good", |counts| counts.good),
    ("late", |counts| counts.late),
    ("refused", |counts| counts.refused),
    ("failed", |counts| counts.failed),
    ("wrong", |counts| counts.wrong),
    ("lost", |counts| counts.lost),
    ("doubled", |counts| counts.doubled),
];

fn row(reports: &[Report], name: &str, cell: impl Fn(&Report) -> String) -> Vec<String> {
    let cells = reports.iter().map(cell);
    std::iter::once(name.to_owned()).chain(cells).collect()
}

fn extras(reports: &[Report]) -> BTreeSet<&str> {
    let names = reports.iter().flat_map(|report| report.extra.keys());
    names.map(String::as_str).collect()
}

fn loss(report: &Report, value: impl Fn(&LossReport) -> String) -> String {
    let found = report.loss.as_ref();
    found.map_or_else(none, value)
}

fn none() -> String {
    "-".to_owned()
}

fn figure(value: f64) -> String {
    format!("{value:.3}")
}

/// Aligns the first column to the left and the others to the right.
fn render(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).enumerate();
        let cells: Vec<String> = cells
            .map(|(column, (cell, width))| match column {
                0 => format!("{cell:<width$}"),
                _ => format!("{cell:>width$}"),
            })
            .collect();
        text.push_str(cells.join(GUTTER).trim_end());
        text.push('\n');
    }
    text
}
