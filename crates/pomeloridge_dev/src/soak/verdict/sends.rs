//! The requests that servers received, with the calls that they belong to.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use pomeloridge_fleet_standin::history::Entry;

use crate::soak::callers::Call;

/// A request that reached a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Send<'a> {
    /// Call of the request.
    pub(super) call: &'a Call,
    /// Path and query.
    pub(super) path: &'a str,
    /// Server.
    pub(super) server: &'a str,
    /// Time.
    pub(super) at: Duration,
    /// Whether it ran, rather than being only prefilled or refused.
    pub(super) ran: bool,
    /// Whether the server broke off its answer.
    pub(super) broken: bool,
    /// Deadly part of its prompt, if any.
    pub(super) deadly: Option<&'a str>,
}

/// Returns the calls of a run by attempt id.
pub(super) fn calls_by_attempt(calls: &[Call]) -> HashMap<&str, &Call> {
    let by_attempt = calls.iter().map(|call| (call.attempt.as_str(), call));
    by_attempt.collect()
}

/// Returns the requests that reached servers, in order.
pub(super) fn sends<'a>(calls: &'a [Call], entries: &'a [Entry]) -> Vec<Send<'a>> {
    let calls = calls_by_attempt(calls);
    let sends = entries.iter().filter_map(|entry| match entry {
        Entry::Sent {
            attempt,
            path,
            ran,
            server,
            at,
            deadly,
            broken,
            ..
        } => Some(Send {
            call: calls.get(attempt.as_str())?,
            path,
            server,
            at: *at,
            ran: *ran,
            broken: *broken,
            deadly: deadly.as_deref(),
        }),
        _ => None,
    });
    sends.collect()
}

/// Counts sends; the prefill of a request and the run after it are one.
pub(super) fn count_runs<'a>(sends: impl Iterator<Item = &'a Send<'a>>) -> usize {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for Send { call, ran, .. } in sends {
        *runs.entry(&call.attempt).or_default() += usize::from(*ran);
    }
    runs.values().map(|runs| *runs.max(&1)).sum()
}

/// Returns when a server ended for the first time after `at`; the largest time if it did not.
pub(super) fn next_end(entries: &[Entry], name: &str, at: Duration) -> Duration {
    let ends = entries.iter().filter_map(|entry| match entry {
        Entry::Ended {
            server, at: end, ..
        } if server == name && *end >= at => Some(*end),
        _ => None,
    });
    ends.min().unwrap_or(Duration::MAX)
}
