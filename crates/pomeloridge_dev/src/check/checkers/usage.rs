//! No usage window is reported twice with different figures, and what is
//! reported is what was answered.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde_json::Value;

use crate::check::record::{Exchange, Expectation, History, Line, Violation};

const GUARANTEE: &str = "usage";

/// Finds windows with two figures, old holders, and sums that exceed what ran.
pub fn check(history: &History) -> Vec<Violation> {
    let reports: Vec<&Line> = history
        .lines
        .iter()
        .filter(|line| line.kind == "usage")
        .collect();
    let mut found = differing(&reports);
    found.extend(stale(&reports));
    found.extend(sums(history));
    found.extend(unbilled(history));
    found
}

fn differing(reports: &[&Line]) -> Vec<Violation> {
    let mut known = HashMap::<String, &Value>::new();
    let mut found = Vec::new();
    for report in reports {
        let window = report.fields["window"].to_string();
        let figures = &report.fields["accounts"];
        if *known.entry(window.clone()).or_insert(figures) != figures {
            let detail = format!("window {window} was sent with two figures");
            found.push(Violation::new(GUARANTEE, detail));
        }
    }
    found
}

fn stale(reports: &[&Line]) -> Vec<Violation> {
    let mut highest = 0;
    let mut found = Vec::new();
    for report in reports {
        let fence = report.number("fence");
        if fence < highest {
            let detail = format!("a report with fence {fence} came after {highest}");
            found.push(Violation::new(GUARANTEE, detail));
        }
        highest = highest.max(fence);
    }
    found
}

/// Account of the keys that are issued and withdrawn, whose requests are not counted.
pub const UNCOUNTED_ACCOUNT: &str = "account-probe";

/// Requests and output tokens.
type Sum = (u64, u64);

/// What was reported for each account, each window once.
fn billed(history: &History) -> BTreeMap<String, Sum> {
    let mut windows = HashMap::<String, &Value>::new();
    for report in history.lines.iter().filter(|line| line.kind == "usage") {
        windows.insert(
            report.fields["window"].to_string(),
            &report.fields["accounts"],
        );
    }
    let accounts = windows.values().filter_map(|accounts| accounts.as_object());
    let mut billed = BTreeMap::<String, Sum>::new();
    for (account, figures) in accounts
        .flatten()
        .filter(|(account, _)| *account != UNCOUNTED_ACCOUNT)
    {
        let number = |name: &str| figures[name].as_u64().unwrap_or_default();
        let sum = billed.entry(account.clone()).or_default();
        sum.0 += number("requests");
        sum.1 += number("output_tokens");
    }
    billed
}

/// Accounts whose reported sum is over what the callers' requests can have cost.
///
/// An answer that its caller did not get to the end may have been billed, so
/// the bound is every request that may have reached a backend server.
fn sums(history: &History) -> Vec<Violation> {
    let most = cost(history, |exchange| !exchange.is_not_run());
    let mut found = Vec::new();
    for (account, sum) in billed(history) {
        let most = most.get(account.as_str()).copied().unwrap_or_default();
        if sum.0 > most.0 || sum.1 > most.1 {
            let detail = format!("{account} was billed {sum:?}, at most {most:?} was due");
            found.push(Violation::new(GUARANTEE, detail));
        }
    }
    found
}

/// Answers that were given and never reported, although no node was lost.
fn unbilled(history: &History) -> Option<Violation> {
    let loses_nodes = match history.expect {
        Expectation::All | Expectation::Completions => false,
        Expectation::Streams | Expectation::Any => true,
    };
    let (given, told) = totals(history);
    let missing = told.0 < given.0 || told.1 < given.1;
    (missing && !loses_nodes).then(|| {
        let detail = format!("{given:?} requests and tokens were given, {told:?} reported");
        Violation::new(GUARANTEE, detail)
    })
}

/// What each account's requests cost; repeats under one idempotency key count once.
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

/// Answers given whole, and answers reported: requests and output tokens.
///
/// They are equal once the last window has been reported.
pub fn totals(history: &History) -> (Sum, Sum) {
    let add = |sum: Sum, more: Sum| (sum.0 + more.0, sum.1 + more.1);
    let given = cost(history, Exchange::is_answered)
        .into_values()
        .fold((0, 0), add);
    let told = billed(history).into_values().fold((0, 0), add);
    (given, told)
}
