//! Snapshot tests of the rendering.
//!
//! `UPDATE_SNAPSHOTS=1` rewrites the snapshots; review and commit the change.

use std::path::Path;
use std::time::Duration;

use pomeloridge_base::error::RunStatus;
use pomeloridge_experiment::plan::Kind;
use pomeloridge_experiment::plot::{svg, write_svg};
use pomeloridge_experiment::record::Outcome;
use pomeloridge_experiment::report::Report;
use pomeloridge_experiment::table::table;
use pomeloridge_experiment::verdict::ServiceRuns;

use crate::support::{good, short_plan};

fn assert_snapshot(name: &str, text: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/snapshots");
    let path = folder.join(name);
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        expected == text,
        "{name} differs; the rendering is now:\n{text}"
    );
}

/// Reports a run in which one of `every` requests is refused and another is late.
fn report(policy: &str, every: u64) -> Report {
    let plan = short_plan();
    let mut records = Vec::new();
    for serial in 0..100 {
        let kind = Kind::ALL[serial as usize % Kind::ALL.len()];
        let mut record = good(kind, serial as usize % 8, serial, serial * 100);
        if serial % every == 0 {
            record.status = 503;
            record.run_status = Some(RunStatus::NotRun);
        }
        if serial % every == 1 {
            record.tokens.clear();
            record.end += Duration::from_secs(2);
        }
        records.push(record);
    }
    records[65].status = 502;
    let outcome = Outcome {
        records,
        lag: Duration::from_millis(3),
    };
    Report::new(policy, &plan, &outcome, &ServiceRuns::default())
}

fn reports() -> [Report; 2] {
    let first = report("pomeloridge", 11).with("role changes", 4.0);
    [first, report("round robin", 4)]
}

#[test]
fn the_table_has_a_column_for_each_policy() {
    assert_snapshot("table.txt", &table(&reports()));
}

#[test]
fn a_report_as_json() {
    let [report, _] = reports();
    let text = report.to_json().unwrap();
    assert_snapshot("report.json", &text);
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}

#[test]
fn the_plot_has_a_line_for_each_policy_and_the_mix() {
    assert_snapshot("goodput.svg", &svg(&reports()).unwrap());
}

#[test]
fn a_plot_without_reports_can_be_drawn_and_written() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("empty.svg");
    write_svg(&[], &path).unwrap();
    let written = std::fs::read_to_string(&path).unwrap();
    assert_eq!(written, svg(&[]).unwrap());
}
