//! What servers say of themselves in their answers: that they want no requests for a while, and
//! that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use pomeloridge_fleet_standin::history::Entry;

use super::sends::{calls_by_attempt, next_end, sends};
use crate::soak::callers::Call;
use crate::soak::events::{Event, EventKind, happened};

/// Time after a refusal in which requests may be on their way.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach the server after that, within the time that it named.
const MAX_ARRIVALS: usize = 2;
/// Time after which no request is sent to a server that leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Returns the violations: requests to a server within the `Retry-After` of its refusal.
pub(super) fn check_refusals(calls: &[Call], entries: &[Entry], events: &[Event]) -> Vec<String> {
    let (sends, by_attempt) = (sends(calls, entries), calls_by_attempt(calls));
    let excuses = [
        EventKind::Kill,
        EventKind::Stop,
        EventKind::Pause,
        EventKind::Link,
    ];
    // By gateway and server, the refusal after which most requests came.
    let mut worst: BTreeMap<(usize, &str), (usize, Duration)> = BTreeMap::new();
    for entry in entries {
        let Entry::Refused {
            server,
            attempt,
            at,
            wait,
        } = entry
        else {
            continue;
        };
        let Some(gateway) = by_attempt.get(attempt.as_str()).map(|call| call.gateway) else {
            continue;
        };
        let to = (*at + *wait).min(next_end(entries, server, *at));
        if happened(events, &excuses, gateway, (*at, to)) {
            continue;
        }
        let arrivals = sends.iter().filter(|send| {
            send.server == server
                && send.call.gateway == gateway
                && send.at > *at + IN_FLIGHT_TIME
                && send.at < to
        });
        let count = arrivals.count();
        let worst = worst.entry((gateway, server)).or_default();
        *worst = (*worst).max((count, *at));
    }
    worst.retain(|_, (count, _)| *count > MAX_ARRIVALS);
    let violations = worst.into_iter().map(|((gateway, server), (count, at))| {
        format!("gateway {gateway} sent {count} requests to {server} after its refusal at {at:?}")
    });
    violations.collect()
}

/// Returns the violations: requests to a server that the gateway knows to leave.
pub(super) fn check_leaving(calls: &[Call], entries: &[Entry], events: &[Event]) -> Vec<String> {
    let (sends, by_attempt) = (sends(calls, entries), calls_by_attempt(calls));
    let excuses = [EventKind::Kill, EventKind::Stop, EventKind::Pause];
    let mut told: BTreeMap<(usize, &str, Duration), Duration> = BTreeMap::new();
    for entry in entries {
        let Entry::ToldLeaving { server, attempt } = entry else {
            continue;
        };
        let call = by_attempt.get(attempt.as_str()).copied();
        let Some(call) = call.filter(|call| call.status() == 200) else {
            continue;
        };
        // Another server's answer may have been passed on instead.
        let mut servers = sends
            .iter()
            .filter(|send| send.call.attempt == *attempt && send.ran);
        if servers.any(|send| send.server != server) {
            continue;
        }
        let end = next_end(entries, server, call.sent);
        let first = told
            .entry((call.gateway, server, end))
            .or_insert(call.ended);
        *first = call.ended.min(*first);
    }
    let mut violations = Vec::new();
    for ((gateway, server, end), first) in told {
        let late = sends.iter().filter(|send| {
            send.server == server
                && send.call.gateway == gateway
                && send.call.sent > first + DRAIN_TIME
                && send.at < end
                && !happened(events, &excuses, gateway, (first, send.at))
        });
        let attempts: Vec<&str> = late.map(|send| send.call.attempt.as_str()).collect();
        if !attempts.is_empty() {
            violations.push(format!(
                "gateway {gateway} sent to {server}, which leaves since {first:?}: {attempts:?}"
            ));
        }
    }
    violations
}
