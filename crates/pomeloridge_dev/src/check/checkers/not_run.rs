//! Guarantee: a request refused as "not run" was not run.

use std::collections::{HashMap, HashSet};

use pomeloridge_standin::prompt_hash;

use crate::check::record::{Exchange, History, Kind, Line, Violation};

const GUARANTEE: &str = "not run";

/// Finds requests that were run although refused as "not run".
pub fn check(history: &History) -> Vec<Violation> {
    let work: Vec<&Line> = history.lines.iter().filter(|line| line.is_work()).collect();
    let by_id: HashMap<&str, &Line> = work
        .iter()
        .map(|line| (line.text("request_id"), *line))
        .collect();
    let by_content: HashMap<&str, &Line> = work
        .iter()
        .map(|line| (line_content(line), *line))
        .collect();
    let repeated = repeated(&history.exchanges);
    let refused = history
        .exchanges
        .iter()
        .filter(|exchange| exchange.is_not_run());
    let ran = refused.filter_map(|exchange| {
        let line = by_id
            .get(exchange.request_id.as_str())
            .filter(|_| !exchange.request_id.is_empty());
        // Repeats share their content, so only the request identifier distinguishes them.
        let unique = !repeated.contains(exchange.marker.as_str());
        let line = line.or_else(|| {
            by_content
                .get(request_content(exchange).as_str())
                .filter(|_| unique)
        })?;
        let detail = format!(
            "{} ({}) was refused by {} as {} and ran on {} at {}",
            exchange.marker,
            exchange.request_id,
            exchange.node,
            exchange.code,
            line.source,
            line.at
        );
        Some(Violation::new(GUARANTEE, detail))
    });
    ran.collect()
}

/// Returns the content recorded in a history line: prompt hash or body.
fn line_content(line: &Line) -> &str {
    if line.kind == "generate" {
        return line.text("prompt_hash");
    }
    line.text("body")
}

/// Returns the content that a history line of this request would record.
fn request_content(exchange: &Exchange) -> String {
    match exchange.kind {
        Kind::Unary | Kind::Stream => prompt_hash(&exchange.prompt),
        Kind::Filing => exchange.prompt.clone(),
    }
}

/// Returns the markers that were sent more than once.
fn repeated(exchanges: &[Exchange]) -> HashSet<&str> {
    let mut seen = HashSet::new();
    let again = exchanges
        .iter()
        .filter(|exchange| !seen.insert(exchange.marker.as_str()));
    again.map(|exchange| exchange.marker.as_str()).collect()
}
