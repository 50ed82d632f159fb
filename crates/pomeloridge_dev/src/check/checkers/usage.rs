//! Guarantee: no usage window is reported with differing figures, and reported usage matches
//! the delivered responses.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde_json::Value;

use crate::check::record::{Exchange, Expectation, History, Line, Violation};

const GUARANTEE: &str = "usage";

/// Finds windows with differing figures, reports of previous lease holders, and sums that
/// are too high or too low.
pub fn check(history: &History) -> Vec<Violation> {
    let reports: Vec<&Line> = history
        .lines
        .iter()
        .filter(|line| line.kind == "usage")
        .collect();
    let mut found = differing_figures(&reports);
    found.extend(stale_reports(&reports));
    found.extend(overbilled(history));
    found.extend(unbilled(history));
    found
}

fn differing_figures(reports: &[&Line]) -> Vec<Violation> {
    let mut known = HashMap::<String, &Value>::new();
    let mut found = Vec::new();
    for report in reports {
        let window = report.fields["window"].to_string();
        let figures = &report.fields["accounts"];
        if *known.entry(window.clone()).or_insert(figures) != figures {
            let detail = format!("window {window} was reported with differing figures");
            found.push(Violation::new(GUARANTEE, detail));
        }
    }
    found
}

fn stale_reports(reports: &[&Line]) -> Vec<Violation> {
    let mut highest = 0;
    let mut found = Vec::new();
    for report in reports {
        let fence = report.number("fence");
        if fence < highest {
            let detail = format!("a report with fence {fence} arrived after {highest}");
            found.push(Violation::new(GUARANTEE, detail));
        }
        highest = highest.max(fence);
    }
    found
}

/// Account of the key that is probed and withdrawn; its requests are not counted.
pub const UNCOUNTED_ACCOUNT: &str = "account-probe";

/// Requests and output tokens.
type Sum = (u64, u64);

/// Sums the usage reported for each account, counting each window once.
fn reported_usage(history: &History) -> BTreeMap<String, Sum> {
    let mut windows = HashMap::<String, &Value>::new();
    for report in history.lines.iter().filter(|line| line.kind == "usage") {
        windows.insert(
            report.fields["window"].to_string(),
            &report.fields["accounts"],
        );
    }
    let accounts = windows.values().filter_map(|accounts| accounts.as_object());
    let mut reported = BTreeMap::<String, Sum>::new();
    for (account, figures) in accounts
        .flatten()
        .filter(|(account, _)| *account != UNCOUNTED_ACCOUNT)
    {
        let number = |name: &str| figures[name].as_u64().unwrap_or_default();
        let sum = reported.entry(account.clone()).or_default();
        sum.0 += number("requests");
        sum.1 += number("output_tokens");
    }
    reported
}

/// Finds accounts whose reported usage exceeds the cost of the callers' requests.
///
/// An incomplete response may have been billed, so the bound includes every request that
/// may have reached a backend server.
fn overbilled(history: &History) -> Vec<Violation> {
    let bounds = cost(history, |exchange| !exchange.is_not_run());
    let mut found = Vec::new();
    for (account, sum) in reported_usage(history) {
        let bound = bounds.get(account.as_str()).copied().unwrap_or_default();
        if sum.0 > bound.0 || sum.1 > bound.1 {
            let detail = format!("{account} was billed {sum:?}, at most {bound:?} is due");
            found.push(Violation::new(GUARANTEE, detail));
        }
    }
    found
}

/// Finds delivered responses that were never reported although no node was lost.
fn unbilled(history: &History) -> Option<Violation> {
    let loses_nodes = match history.expect {
        Expectation::All | Expectation::Completions => false,
        Expectation::Streams | Expectation::Any => true,
    };
    let (delivered, reported) = totals(history);
    let missing = reported.0 < delivered.0 || reported.1 < delivered.1;
    (missing && !loses_nodes).then(|| {
        let detail =
            format!("{delivered:?} requests and tokens were delivered, {reported:?} reported");
        Violation::new(GUARANTEE, detail)
    })
}

/// Sums the cost of each account's requests; repeats under one idempotency key count once.
fn cost(history: &History, counts: fn(&Exchange) -> bool) -> HashMap<&str, Sum> {
    let mut cost = HashMap::<&str, Sum>::new();
    let mut keys = HashSet::new();
    for exchange in history.exchanges.iter().filter(|exchange| counts(exchange)) {
        if exchange
            .idempotency_key
            .as_ref()
            .is_some_and(|key| !keys.insert(key))
        {
            continue;
        }
        let sum = cost.entry(&exchange.account).or_default();
        sum.0 += 1;
        sum.1 += if exchange.kind.is_completion() {
            u64::from(exchange.max_tokens)
        } else {
            0
        };
    }
    cost
}

/// Returns delivered and reported usage: requests and output tokens.
///
/// They are equal once the last window has been reported.
pub fn totals(history: &History) -> (Sum, Sum) {
    let add = |sum: Sum, more: Sum| (sum.0 + more.0, sum.1 + more.1);
    let delivered = cost(history, Exchange::is_answered)
        .into_values()
        .fold((0, 0), add);
    let reported = reported_usage(history).into_values().fold((0, 0), add);
    (delivered, reported)
}
