//! Guarantee: a non-idempotent request runs at most once.

use std::collections::HashMap;

use crate::check::record::{History, Kind, Line, Violation};

const GUARANTEE: &str = "at most once";

/// Finds filings that ran more than once, and repeats with differing responses.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut runs = HashMap::<&str, Vec<&Line>>::new();
    let posts = |line: &&Line| line.kind == "run" && line.text("method") == "POST";
    for line in history.lines.iter().filter(posts) {
        runs.entry(line.text("body")).or_default().push(line);
    }
    for (body, lines) in runs.iter().filter(|(_, lines)| lines.len() > 1) {
        let places = lines.iter().map(|line| {
            format!(
                "{} at {} for {}",
                line.source,
                line.at,
                line.text("request_id")
            )
        });
        let places: Vec<_> = places.collect();
        let detail = format!("{body} ran {} times: {}", lines.len(), places.join(", "));
        found.push(Violation::new(GUARANTEE, detail));
    }
    found.extend(differing_repeats(history));
    found
}

/// Finds repeats under one idempotency key with differing responses.
fn differing_repeats(history: &History) -> Vec<Violation> {
    let mut first = HashMap::<&str, &str>::new();
    let mut found = Vec::new();
    let answered = history
        .exchanges
        .iter()
        .filter(|exchange| exchange.kind == Kind::Filing && exchange.is_answered());
    for exchange in answered {
        let Some(key) = &exchange.idempotency_key else {
            continue;
        };
        let known = *first.entry(key).or_insert(&exchange.body);
        if known != exchange.body {
            let detail = format!("key {key} was answered {known} and {}", exchange.body);
            found.push(Violation::new(GUARANTEE, detail));
        }
    }
    found
}
