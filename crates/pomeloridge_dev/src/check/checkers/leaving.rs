//! A leaving backend server receives no new work after a few seconds.

use crate::check::record::{EventKind, History, Timing, Violation};

const GUARANTEE: &str = "leaving";
/// Time after which new work is a fault on any machine, in ms.
const LOOSE_MS: u64 = 5000;

/// Finds work that reached a server long after it was marked.
pub fn check(history: &History) -> Vec<Violation> {
    let late = delays(history).filter(|(_, delay)| *delay > LOOSE_MS);
    late.map(|(server, delay)| {
        Violation::new(
            GUARANTEE,
            format!("{server} got new work {delay} ms after it was marked"),
        )
    })
    .collect()
}

/// Each marked server and the time from the mark to its last new work, in ms.
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

/// Time from each mark to the last new work.
pub fn timing(history: &History) -> Timing {
    Timing {
        name: "leaving",
        values: delays(history).map(|(_, delay)| delay).collect(),
    }
}
