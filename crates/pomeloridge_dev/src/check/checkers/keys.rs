//! Guarantee: a request runs only for the client account whose key it carries, no backend
//! server receives the key, and a withdrawn key stops working.

use std::collections::BTreeSet;

use crate::check::record::{EventKind, Exchange, History, KeyProbe, Timing, Violation};

const GUARANTEE: &str = "keys";
/// Status of a request whose key is unknown or withdrawn.
const UNAUTHORIZED: u16 = 401;
/// Status of a node that accepts no requests, whether or not the key is valid.
const UNAVAILABLE: u16 = 503;
/// Maximum time for which a withdrawn key may work under any fault, in ms.
const MAX_DELAY_MS: u64 = 14_000;
/// Time after which a node must have refused a withdrawn key at least once, in ms.
const FIRST_REFUSAL_MS: u64 = 5_000;
/// Account name recorded for requests with a key that was never issued.
pub const UNKNOWN_ACCOUNT: &str = "nobody";
/// Headers that may carry a key.
const KEY_HEADERS: [&str; 3] = ["authorization", "x-api-key", "proxy-authorization"];

/// Finds keys at backend servers, and requests accepted with an unknown or withdrawn key.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = exposed(history);
    let unauthorized = history
        .exchanges
        .iter()
        .filter(|exchange| exchange.account == UNKNOWN_ACCOUNT);
    let wrong = |exchange: &&Exchange| exchange.status != 0 && !exchange.is_not_run();
    found.extend(unauthorized.filter(wrong).map(|exchange| {
        let detail = format!(
            "{} with an unknown key got {}",
            exchange.marker, exchange.status
        );
        Violation::new(GUARANTEE, detail)
    }));
    found.extend(late_refusals(history));
    found
}

fn exposed(history: &History) -> Vec<Violation> {
    let work = history.lines.iter().filter(|line| line.is_work());
    let exposed = work.filter(|line| {
        let headers = line.fields["header_names"].as_array();
        let mut headers = headers
            .into_iter()
            .flatten()
            .filter_map(|name| name.as_str());
        line.fields["leaks_key"] == true || headers.any(|name| KEY_HEADERS.contains(&name))
    });
    exposed
        .map(|line| {
            Violation::new(
                GUARANTEE,
                format!("{} saw a key: {}", line.source, line.fields),
            )
        })
        .collect()
}

/// Finds withdrawn keys that a node accepted for too long, or still at its last probe.
fn late_refusals(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (at, key) in withdrawals(history) {
        let after = |probe: &&KeyProbe| probe.key == key && probe.status != 0 && probe.sent_at > at;
        let probes = || history.key_probes.iter().filter(after);
        let nodes: BTreeSet<&str> = probes().map(|probe| probe.node.as_str()).collect();
        for node in nodes {
            let own = || probes().filter(|probe| probe.node == node);
            let accepted = own().rfind(|probe| is_accepted(probe.status));
            let Some(accepted) = accepted else { continue };
            let delay = accepted.sent_at - at;
            let until_end = own()
                .next_back()
                .is_some_and(|last| last.sent_at == accepted.sent_at);
            if delay > MAX_DELAY_MS || (until_end && delay > FIRST_REFUSAL_MS) {
                let detail =
                    format!("{node} accepted the key {key} {delay} ms after its withdrawal");
                found.push(Violation::new(GUARANTEE, detail));
            }
        }
    }
    found
}

fn withdrawals(history: &History) -> impl Iterator<Item = (u64, &str)> {
    history.events.iter().filter_map(|event| match &event.kind {
        EventKind::Withdrawn { key } => Some((event.at, key.as_str())),
        _ => None,
    })
}

fn is_accepted(status: u16) -> bool {
    status != 0 && status != UNAUTHORIZED && status != UNAVAILABLE
}

/// Measures the time from each withdrawal to the sending of the last accepted request.
pub fn timing(history: &History) -> Timing {
    let times = withdrawals(history).map(|(at, key)| {
        let probes = history.key_probes.iter();
        let accepted = probes.filter(|probe| probe.key == key && is_accepted(probe.status));
        let last = accepted.map(|probe| probe.sent_at).max();
        last.unwrap_or(at).saturating_sub(at)
    });
    Timing {
        name: "withdrawal",
        values: times.collect(),
    }
}
