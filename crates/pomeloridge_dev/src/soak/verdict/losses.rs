//! Requests whose connection ended without a complete answer or a refusal.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use pomeloridge_fleet_standin::history::Entry;

use super::sends::{Send, next_end, sends};
use crate::soak::callers::{Call, Failure};
use crate::soak::events::{CONTACT_TIME, Event, EventKind, happened};

/// Allowed losses of a gateway at any time.
const MAX_LOSSES: usize = 3;
/// Time within which a connection may end under a request that no server got.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after SIGTERM in which a gateway finishes its requests.
const GRACE_TIME: Duration = Duration::from_secs(8);
/// Time within which a configuration is applied.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time by which planned work is taken to last longer.
const PLANNED_SLACK: Duration = Duration::from_secs(1);
/// Part of a request's time after which a loss beside a change of the configuration is allowed.
const LATE_PART: f64 = 0.7;
/// Factor by which losses must be more frequent beside such a change than at other times.
const CONFIG_FACTOR: f64 = 3.0;
/// Time that callers give a request.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time that a server's end may take to reach the caller.
const RELAY_TIME: Duration = Duration::from_millis(50);

/// Returns the violations: more than a few losses of a gateway, and any beside planned work.
pub(super) fn check(calls: &[Call], entries: &[Entry], events: &[Event]) -> Vec<String> {
    let sends = sends(calls, entries);
    let mut by_attempt: HashMap<&str, Vec<&Send<'_>>> = HashMap::new();
    for send in &sends {
        by_attempt.entry(&send.call.attempt).or_default().push(send);
    }
    let reached = |call: &Call| by_attempt.get(call.attempt.as_str());
    let lost = calls.iter().filter(|call| {
        let is_broken = |send: &&Send<'_>| {
            send.broken || next_end(entries, send.server, send.at) <= call.ended + RELAY_TIME
        };
        let broke_off = reached(call).is_some_and(|sends| sends.iter().any(is_broken));
        call.answer
            .as_ref()
            .is_err_and(|failure| *failure == Failure::Closed)
            && !broke_off
            && call.duration() + RELAY_TIME < time_limit(call, events)
            && !is_impaired(call, events)
    });
    let lost: Vec<&Call> = lost.collect();

    let mut by_gateway: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
    for call in &lost {
        if call.kept && reached(call).is_some() {
            by_gateway
                .entry(call.gateway)
                .or_default()
                .push(&call.attempt);
        }
    }
    by_gateway.retain(|_, attempts| attempts.len() > MAX_LOSSES);
    let violations = by_gateway
        .into_iter()
        .map(|(gateway, attempts)| format!("gateway {gateway} lost requests: {attempts:?}"));
    let mut violations: Vec<String> = violations.collect();

    let was_read =
        |call: &&&Call| reached(call).is_some() || call.duration() > LOSS_SLACK + RELAY_TIME;
    let read: Vec<&Call> = lost.iter().filter(was_read).copied().collect();
    let frequent = is_frequent_beside_config(calls, &read, events);
    for call in &read {
        let beside_config = frequent && is_beside_config(call, events) && !is_late(call, events);
        if beside_config || is_beside_signal(call, events) {
            violations.push(format!("lost beside planned work: {call:?}"));
        }
    }
    violations
}

/// Returns the time after which a request may end without an answer: the caller's deadline, or
/// the lowest timeout that its route has had.
fn time_limit(call: &Call, events: &[Event]) -> Duration {
    let timeouts = events.iter().filter_map(|event| match event.kind {
        EventKind::Timeout(route, timeout) if route == call.route && event.from <= call.ended => {
            Some(timeout)
        }
        _ => None,
    });
    timeouts.fold(DEADLINE, Duration::min)
}

/// Returns whether a gateway was killed or paused shortly before a request or during it.
fn is_impaired(call: &Call, events: &[Event]) -> bool {
    let from = call.sent.saturating_sub(CONTACT_TIME);
    let kinds = [EventKind::Kill, EventKind::Pause];
    happened(events, &kinds, call.gateway, (from, call.ended))
}

/// Returns whether a request was lost after a signal: SIGTERM, or SIGHUP.
fn is_beside_signal(call: &Call, events: &[Event]) -> bool {
    let own = events
        .iter()
        .filter(|event| event.gateway == Some(call.gateway));
    let mut beside = own.filter(|event| match event.kind {
        EventKind::Stop => {
            call.ended >= event.from && call.ended <= event.from + GRACE_TIME + PLANNED_SLACK
        }
        EventKind::Reload => call.ended >= event.from && call.sent <= event.from + APPLY_TIME,
        _ => false,
    });
    beside.next().is_some()
}

/// Returns whether a request ended while a configuration was being applied.
fn is_beside_config(call: &Call, events: &[Event]) -> bool {
    let mut beside = events.iter().filter(|event| {
        event.kind == EventKind::Config
            && call.ended >= event.from
            && call.ended <= event.to + APPLY_TIME + PLANNED_SLACK
    });
    beside.next().is_some()
}

/// Returns whether a request had used most of its time.
fn is_late(call: &Call, events: &[Event]) -> bool {
    call.duration() >= time_limit(call, events).mul_f64(LATE_PART)
}

/// Returns whether requests are lost more often beside changes of the configuration.
fn is_frequent_beside_config(calls: &[Call], lost: &[&Call], events: &[Event]) -> bool {
    let count = |beside: bool| {
        let lost = lost
            .iter()
            .filter(|call| is_beside_config(call, events) == beside);
        let all = calls
            .iter()
            .filter(|call| is_beside_config(call, events) == beside);
        (lost.count() as f64, all.count() as f64)
    };
    let ((lost, all), (other_lost, other_all)) = (count(true), count(false));
    // Without requests at other times, there is nothing to compare with.
    lost * other_all > CONFIG_FACTOR * other_lost * all || (other_all == 0.0 && lost > 0.0)
}
