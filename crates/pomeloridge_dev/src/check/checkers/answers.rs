//! A caller receives the whole answer to its own request.

use std::collections::HashMap;

use crate::caller::expected_tokens;
use crate::check::record::{Exchange, History, Kind, Line, Violation};

const GUARANTEE: &str = "answers";

/// Finds answers that are torn, doubled, or belong to another request.
pub fn check(history: &History) -> Vec<Violation> {
    let filed = filed(&history.lines);
    let mut found = Vec::new();
    for exchange in &history.exchanges {
        let fault = match exchange.kind {
            Kind::Unary => whole(exchange),
            Kind::Stream => stream(exchange),
            Kind::Filing => filing(exchange, &filed),
        };
        if let Some(fault) = fault {
            let detail = format!(
                "{} by {} ({}): {fault}",
                exchange.marker, exchange.node, exchange.request_id
            );
            found.push(Violation::new(GUARANTEE, detail));
        }
    }
    found
}

fn whole(exchange: &Exchange) -> Option<String> {
    if !exchange.is_answered() {
        return None;
    }
    let answer = exchange.json();
    let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
    if text != expected_tokens(&exchange.prompt, exchange.max_tokens).concat() {
        return Some(format!("the text is not the prompt's: {text:.60}"));
    }
    let billed = &answer["usage"]["completion_tokens"];
    (billed.as_u64() != Some(u64::from(exchange.max_tokens)))
        .then(|| format!("{billed} tokens counted"))
}

fn stream(exchange: &Exchange) -> Option<String> {
    let right = expected_tokens(&exchange.prompt, exchange.max_tokens);
    let count = exchange.texts.len();
    let in_order = exchange.indexes.iter().copied().eq(0..count as u32);
    if !in_order {
        return Some(format!("indexes {:?}", exchange.indexes));
    }
    if !right.starts_with(&exchange.texts) {
        return Some("the tokens are not the prompt's".to_owned());
    }
    (exchange.is_answered() && count != right.len())
        .then(|| format!("ended as whole after {count} of {} tokens", right.len()))
}

/// Time within which a service may end two runs in another order, in ms.
const ORDER_MS: u64 = 5;

/// A filing that was run: when, under which number, and for which request.
struct Filed {
    at: u64,
    number: u64,
    request_id: String,
}

/// Every filing that was run.
#[derive(Default)]
struct Filings {
    by_body: HashMap<String, Vec<Filed>>,
    /// When each number was given, by any service.
    numbers: HashMap<u64, Vec<u64>>,
}

/// Every filing that was run, by its body.
///
/// A service numbers what it stores from 1 in the order of its runs, and again
/// from 1 when it has been started again, as do the lines of its history.
fn filed(lines: &[Line]) -> Filings {
    let mut starts = HashMap::<&str, (u64, u64)>::new();
    let mut filed = Filings::default();
    for line in lines {
        let (last, number) = starts.entry(&line.source).or_default();
        if line.number("n") <= *last {
            *number = 0;
        }
        *last = line.number("n");
        if line.kind != "run" || line.text("method") != "POST" {
            continue;
        }
        *number += 1;
        filed.numbers.entry(*number).or_default().push(line.at);
        let run = Filed {
            at: line.at,
            number: *number,
            request_id: line.text("request_id").to_owned(),
        };
        let body = line.text("body").to_owned();
        filed.by_body.entry(body).or_default().push(run);
    }
    filed
}

fn filing(exchange: &Exchange, filed: &Filings) -> Option<String> {
    if !exchange.is_answered() {
        return None;
    }
    let number = exchange.json()["id"].as_u64().unwrap_or_default();
    let Some(runs) = filed.by_body.get(&exchange.prompt) else {
        return Some(format!("answered {} and never run", exchange.body));
    };
    let given = filed.numbers.get(&number).into_iter().flatten();
    let given: Vec<u64> = given.copied().collect();
    let own = |run: &Filed| {
        let same = run.request_id == exchange.request_id || exchange.idempotency_key.is_some();
        let close = given.iter().any(|at| at.abs_diff(run.at) <= ORDER_MS);
        same && (run.number == number || close)
    };
    (!runs.iter().any(own)).then(|| format!("the answer {} is not its own", exchange.body))
}
