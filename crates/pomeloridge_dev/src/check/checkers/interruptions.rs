//! Guarantee: no request is interrupted by a planned change, every planned stop is
//! graceful, and a crash of an engine interrupts no completion.

use std::collections::BTreeMap;

use crate::check::record::{EventKind, Exchange, Expectation, History, Kind, Violation};

const GUARANTEE: &str = "nothing cut";
/// Maximum number of backend servers that one request may crash.
const MAX_POISONED_SERVERS: usize = 2;
/// Text in a prompt that crashes an engine; such requests need no complete response.
pub const POISON: &str = "poisonous";

/// Finds interrupted requests, stops that were not graceful, and poison requests that
/// crashed too many servers.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found: Vec<_> = history
        .events
        .iter()
        .filter_map(|event| not_graceful(&event.kind))
        .collect();
    found.extend(poisoned(history));
    let counted = |exchange: &&Exchange| match history.expect {
        Expectation::All => true,
        Expectation::Completions => exchange.kind.is_completion(),
        Expectation::Streams => !exchange.texts.is_empty(),
        Expectation::Any => false,
    };
    let interrupted = history
        .exchanges
        .iter()
        .filter(counted)
        .filter(|exchange| is_interrupted(exchange));
    found.extend(interrupted.map(|exchange| {
        let detail = format!(
            "{} ({}) by {} at {} to {}: status {} {} {} after {} tokens, resumed {}, {}",
            exchange.marker,
            exchange.request_id,
            exchange.node,
            exchange.sent_at,
            exchange.ended_at,
            exchange.status,
            exchange.code,
            exchange.run,
            exchange.texts.len(),
            exchange.resumes,
            exchange.error
        );
        Violation::new(GUARANTEE, detail)
    }));
    found
}

/// Returns whether a request was accepted but got no complete response.
fn is_interrupted(exchange: &Exchange) -> bool {
    let refused = exchange.is_not_run()
        || (exchange.kind == Kind::Filing && exchange.code.starts_with("claim_"));
    exchange.connected
        && !exchange.abandoned
        && !exchange.is_answered()
        && !refused
        && !exchange.prompt.contains(POISON)
}

fn not_graceful(kind: &EventKind) -> Option<Violation> {
    let EventKind::Stopped { node, code } = kind else {
        return None;
    };
    (*code != Some(0))
        .then(|| Violation::new(GUARANTEE, format!("{node} stopped with code {code:?}")))
}

/// Finds requests that crashed more servers than allowed.
fn poisoned(history: &History) -> Vec<Violation> {
    let crashes = history
        .lines
        .iter()
        .filter(|line| line.kind == "crashed" && line.text("why") == "poison");
    let mut counts = BTreeMap::<&str, usize>::new();
    for line in crashes {
        *counts.entry("poison").or_default() += usize::from(!line.source.is_empty());
    }
    let excess = counts
        .into_values()
        .filter(|count| *count > MAX_POISONED_SERVERS);
    excess
        .map(|count| Violation::new("poison", format!("one request crashed {count} engines")))
        .collect()
}
