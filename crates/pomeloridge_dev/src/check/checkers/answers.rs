//! Guarantee: a caller receives the complete response to its own request.

use std::collections::HashMap;

use crate::caller::expected_tokens;
use crate::check::record::{Exchange, History, Kind, Line, Violation};

const GUARANTEE: &str = "answers";

/// Finds responses that are truncated, duplicated, or belong to another request.
pub fn check(history: &History) -> Vec<Violation> {
    let filings = run_filings(&history.lines);
    let mut found = Vec::new();
    for exchange in &history.exchanges {
        let error = match exchange.kind {
            Kind::Unary => check_unary(exchange),
            Kind::Stream => check_stream(exchange),
            Kind::Filing => check_filing(exchange, &filings),
        };
        if let Some(error) = error {
            let detail = format!(
                "{} by {} ({}): {error}",
                exchange.marker, exchange.node, exchange.request_id
            );
            found.push(Violation::new(GUARANTEE, detail));
        }
    }
    found
}

fn check_unary(exchange: &Exchange) -> Option<String> {
    if !exchange.is_answered() {
        return None;
    }
    let answer = exchange.json();
    let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
    if text != expected_tokens(&exchange.prompt, exchange.max_tokens).concat() {
        return Some(format!("the text does not match the prompt: {text:.60}"));
    }
    let counted = &answer["usage"]["completion_tokens"];
    (counted.as_u64() != Some(u64::from(exchange.max_tokens)))
        .then(|| format!("{counted} tokens counted"))
}

fn check_stream(exchange: &Exchange) -> Option<String> {
    let tokens = expected_tokens(&exchange.prompt, exchange.max_tokens);
    let count = exchange.texts.len();
    let in_order = exchange.indexes.iter().copied().eq(0..count as u32);
    if !in_order {
        return Some(format!("indexes {:?}", exchange.indexes));
    }
    if !tokens.starts_with(&exchange.texts) {
        return Some("the tokens do not match the prompt".to_owned());
    }
    (exchange.is_answered() && count != tokens.len())
        .then(|| format!("ended as complete after {count} of {} tokens", tokens.len()))
}

/// Time within which a service may record two runs in another order than it numbers them,
/// in ms.
const REORDER_MS: u64 = 5;

/// Run of a filing; `at` is in Unix ms, `number` is the identifier in the response.
struct FilingRun {
    at: u64,
    number: u64,
    request_id: String,
}

/// All filings that were run.
#[derive(Default)]
struct Filings {
    by_body: HashMap<String, Vec<FilingRun>>,
    /// Times at which any service assigned each number, in Unix ms.
    numbers: HashMap<u64, Vec<u64>>,
}

/// Collects the filings that were run, by body.
///
/// A service numbers its filings from 1 in the order of runs, and starts at 1 again after a
/// restart, as does the line number `n` of its history.
fn run_filings(lines: &[Line]) -> Filings {
    let mut counters = HashMap::<&str, (u64, u64)>::new();
    let mut filings = Filings::default();
    for line in lines {
        let (last, number) = counters.entry(&line.source).or_default();
        if line.number("n") <= *last {
            *number = 0;
        }
        *last = line.number("n");
        if line.kind != "run" || line.text("method") != "POST" {
            continue;
        }
        *number += 1;
        filings.numbers.entry(*number).or_default().push(line.at);
        let run = FilingRun {
            at: line.at,
            number: *number,
            request_id: line.text("request_id").to_owned(),
        };
        let body = line.text("body").to_owned();
        filings.by_body.entry(body).or_default().push(run);
    }
    filings
}

fn check_filing(exchange: &Exchange, filings: &Filings) -> Option<String> {
    if !exchange.is_answered() {
        return None;
    }
    let number = exchange.json()["id"].as_u64().unwrap_or_default();
    let Some(runs) = filings.by_body.get(&exchange.prompt) else {
        return Some(format!("answered {} but never run", exchange.body));
    };
    let assigned = filings.numbers.get(&number).into_iter().flatten();
    let assigned: Vec<u64> = assigned.copied().collect();
    let matches = |run: &FilingRun| {
        let same = run.request_id == exchange.request_id || exchange.idempotency_key.is_some();
        let close = assigned.iter().any(|at| at.abs_diff(run.at) <= REORDER_MS);
        same && (run.number == number || close)
    };
    (!runs.iter().any(matches))
        .then(|| format!("the response {} belongs to another request", exchange.body))
}
