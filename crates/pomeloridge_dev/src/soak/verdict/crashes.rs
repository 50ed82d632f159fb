//! Requests that crash servers, known by their path.

use std::collections::BTreeMap;
use std::time::Duration;

use pomeloridge_fleet_standin::history::{EndCause, Entry, QUARANTINE_CRASHES};

use super::sends::{count_runs, sends};
use crate::soak::callers::Call;
use crate::soak::events::{CONTACT_TIME, Event, is_in_touch};

/// Allowed sends of a crashing request after it had to be quarantined.
const MAX_LATE: usize = 3;

/// Returns the violations: too many sends of a request that is to be quarantined, by gateways in
/// touch.
pub(super) fn check(calls: &[Call], entries: &[Entry], events: &[Event]) -> Vec<String> {
    let sends = sends(calls, entries);
    let mut crashes: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    for entry in entries {
        if let Entry::Ended {
            cause: EndCause::Request(path),
            at,
            ..
        } = entry
        {
            crashes.entry(path).or_default().push(*at);
        }
    }
    let violations = crashes.into_iter().filter_map(|(path, crashes)| {
        let quarantined = *crashes.get(QUARANTINE_CRASHES - 1)? + CONTACT_TIME;
        let late = sends.iter().filter(|send| {
            let is_counted = send.path == path && send.at > quarantined;
            is_counted && is_in_touch(events, send.call.gateway, send.at)
        });
        let (late, crashes) = (count_runs(late), crashes.len());
        (late > MAX_LATE).then(|| {
            format!("{path}: {crashes} crashes, {late} sends after it had to be quarantined")
        })
    });
    violations.collect()
}
