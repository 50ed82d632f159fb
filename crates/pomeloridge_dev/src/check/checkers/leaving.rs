//! Guarantee: a leaving backend server receives no new requests after a few seconds.

use crate::check::record::{EventKind, History, Timing, Violation};

const GUARANTEE: &str = "leaving";
/// Maximum delay of new requests, in ms; generous enough for slow hosts.
const MAX_DELAY_MS: u64 = 5000;

/// Finds requests that reached a server long after it was marked as leaving.
pub fn check(history: &History) -> Vec<Violation> {
    let late = delays(history).filter(|(_, delay)| *delay > MAX_DELAY_MS);
    late.map(|(server, delay)| {
        Violation::new(
            GUARANTEE,
            format!("{server} received a new request {delay} ms after it was marked"),
        )
    })
    .collect()
}

/// Returns each server marked as leaving, with the time from the mark to its last new
/// request, in ms.
fn delays(history: &History) -> impl Iterator<Item = (&str, u64)> {
    let marks = history.events.iter().filter_map(|event| match &event.kind {
        EventKind::Leaving { server } => Some((event.at, server.as_str())),
        _ => None,
    });
    marks.map(|(at, server)| {
        let work = history
            .lines
            .iter()
            .filter(|line| line.is_work() && line.source == server);
        let last = work.map(|line| line.at).max().unwrap_or(at);
        (server, last.saturating_sub(at))
    })
}

/// Measures the time from each mark to the last new request.
pub fn timing(history: &History) -> Timing {
    Timing {
        name: "leaving",
        values: delays(history).map(|(_, delay)| delay).collect(),
    }
}
