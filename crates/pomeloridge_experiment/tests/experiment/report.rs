//! Tests of reports of synthetic runs.

use std::time::Duration;

use pomeloridge_base::error::RunStatus;
use pomeloridge_experiment::plan::Kind;
use pomeloridge_experiment::record::{Outcome, Record};
use pomeloridge_experiment::report::Report;
use pomeloridge_experiment::verdict::ServiceRuns;
use proptest::prelude::*;

use crate::support::{good, short_plan};

fn any_record() -> impl Strategy<Value = Record> {
    let kind = prop::sample::select(Kind::ALL.to_vec());
    let status = prop::sample::select(vec![0, 200, 201, 404, 429, 502, 503, 504]);
    let run = prop::sample::select(vec![None, Some(RunStatus::NotRun), Some(RunStatus::Ran)]);
    let code = prop::sample::select(vec!["", "cut", "server_lost"]);
    let numbers = (0..8_usize, 0..500_u64, 0..9_000_u64, 0..3_000_u64);
    let flags = (any::<bool>(), any::<bool>());
    (kind, status, run, code, numbers, flags).prop_map(
        |(kind, status, run, code, (account, serial, start, took), (complete, correct))| Record {
            status,
            run_status: run,
            code: code.to_owned(),
            complete,
            correct,
            end: Duration::from_millis(start + took),
            ..good(kind, account, serial, start)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_request_counts_once(records in prop::collection::vec(any_record(), 0..60)) {
        let offered = records.len() as u64;
        let outcome = Outcome { records, lag: Duration::ZERO };
        let mut runs = ServiceRuns::default();
        let twice = r#"{"what":"run","method":"POST","idempotency_key":"annex_b-7-3"}"#;
        runs.add_history(&format!("{twice}\n{twice}"));
        let report = Report::new("any", &short_plan(), &outcome, &runs);
        let kinds: u64 = report.kinds.iter().map(|kind| kind.counts.sum()).sum();
        let accounts: u64 = report.accounts.iter().map(|account| account.counts.sum()).sum();
        let seconds: u64 = report.timeline.iter().map(|second| second.offered).sum();
        prop_assert_eq!(report.counts.offered, offered);
        prop_assert_eq!(report.counts.sum(), offered);
        prop_assert_eq!((kinds, accounts, seconds), (offered, offered, offered));
    }
}

#[test]
fn stale_routing_ends_with_the_last_request_that_hit_a_lost_server() {
    // The loss happens after six seconds.
    let mut records = vec![
        good(Kind::Lookup, 0, 0, 1_000),
        good(Kind::ShortPrompt, 0, 1, 5_950),
        good(Kind::Lookup, 0, 2, 7_000),
        good(Kind::ShortPrompt, 0, 3, 8_500),
        good(Kind::Lookup, 0, 4, 9_000),
    ];
    // The first request failed before the loss, the second was in flight.
    records[0].status = 502;
    records[1].complete = false;
    records[3].complete = false;
    records[3].code = "server_lost".to_owned();
    let outcome = Outcome {
        records,
        lag: Duration::ZERO,
    };
    let report = Report::new("any", &short_plan(), &outcome, &ServiceRuns::default());
    let loss = report.loss.unwrap();
    assert!((loss.stale_s - 2.5).abs() < 1e-9);
    assert_eq!(loss.hit, 2);
    assert!((loss.late_before - 1.0).abs() < 1e-9);
    assert!((loss.late_after - 1.0 / 3.0).abs() < 1e-6);
}

#[test]
fn a_stream_that_stalled_after_the_loss_hit_a_lost_server() {
    // A gap of more than 86 ms is a stall at this scale. The first two streams stall
    // before the loss.
    let mut records: Vec<Record> = [1_000, 5_800, 5_950, 6_500, 7_000]
        .into_iter()
        .zip(0..)
        .map(|(start, serial)| good(Kind::Chat, 0, serial, start))
        .collect();
    for record in &mut records[..4] {
        for token in &mut record.tokens[1..] {
            *token += Duration::from_millis(90);
        }
    }
    let outcome = Outcome {
        records,
        lag: Duration::ZERO,
    };
    let report = Report::new("any", &short_plan(), &outcome, &ServiceRuns::default());
    let loss = report.loss.unwrap();
    assert_eq!(loss.hit, 2);
    assert!((loss.stale_s - 0.5).abs() < 1e-9);
}

#[test]
fn the_late_excess_leaves_out_what_the_lost_capacity_explains() {
    let mut records: Vec<Record> = (0..8)
        .map(|serial| good(Kind::Lookup, 0, serial, 1_000 + serial * 1_000))
        .collect();
    // Two of the three requests after the loss fail; a quarter of the engines is lost.
    for record in &mut records[6..] {
        record.status = 500;
    }
    let outcome = Outcome {
        records,
        lag: Duration::ZERO,
    };
    let report = Report::new("any", &short_plan(), &outcome, &ServiceRuns::default());
    let loss = report.loss.unwrap();
    assert!(
        (loss.late_excess - (2.0 / 3.0 - 0.25)).abs() < 1e-6,
        "{loss:?}"
    );
}
