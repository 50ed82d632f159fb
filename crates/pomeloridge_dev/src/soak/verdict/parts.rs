//! Requests with a part that crashes servers, and the sound ones beside them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomeloridge_fleet_standin::history::{EndCause, Entry};

use super::sends::{count_runs, sends};
use crate::soak::callers::{Call, Effect};
use crate::soak::events::{CONTACT_TIME, Event, is_in_touch};

/// Crashes after which a part must be barred.
const BARRING_CRASHES: usize = 5;
/// Allowed requests with the part after that.
const MAX_LATE: usize = 3;
/// Sound requests that are needed to judge whether they are served.
const MIN_SOUND: usize = 20;
/// Share of sound requests that must begin; without faults, all of them do.
const MIN_BEGUN: f64 = 0.5;
/// Service whose answers are streams.
const STREAMING: &str = "assistant";
/// Time after the end of a server's limit in which gateways may still keep it.
const LIMIT_TIME: Duration = Duration::from_secs(15);

/// Returns the violations: too many requests with a part that is to be barred reach servers.
pub(super) fn check_budget(calls: &[Call], entries: &[Entry], events: &[Event]) -> Vec<String> {
    let sends = sends(calls, entries);
    let parts = crashes(entries).into_iter();
    let violations = parts.filter_map(|(part, crashes)| {
        let barred = *crashes.get(BARRING_CRASHES - 1)? + CONTACT_TIME;
        let late = sends.iter().filter(|send| {
            let is_counted = send.deadly == Some(part) && send.at > barred;
            is_counted && is_in_touch(events, send.call.gateway, send.at)
        });
        let (late, crashes) = (count_runs(late), crashes.len());
        (late > MAX_LATE).then(|| {
            format!("part {part}: {crashes} crashes, {late} sends after it had to be barred")
        })
    });
    violations.collect()
}

/// Returns the violations: sound requests of the route of a barred part are not served.
pub(super) fn check_sound(calls: &[Call], entries: &[Entry], events: &[Event]) -> Vec<String> {
    let sends = sends(calls, entries);
    let begun: BTreeSet<&str> = sends
        .iter()
        .filter(|send| send.ran)
        .map(|send| send.call.attempt.as_str())
        .collect();
    let parts = crashes(entries).into_iter();
    let violations = parts.filter_map(|(part, crashes)| {
        let last = *crashes.get(BARRING_CRASHES - 1).or(crashes.last())?;
        let from = last + 2 * CONTACT_TIME;
        let deadly = calls.iter().filter(|call| call.effect == Effect::Deadly);
        let last = deadly.max_by_key(|call| call.sent)?;
        let sound = calls.iter().filter(|call| {
            call.effect == Effect::Sound
                && call.route == last.route
                && call.sent >= from
                && call.sent <= last.sent
                && is_in_touch(events, call.gateway, call.sent)
                && !is_service_impaired(entries, call.sent)
        });
        let sound: Vec<&Call> = sound.collect();
        let served = sound
            .iter()
            .filter(|call| begun.contains(call.attempt.as_str()));
        let (served, count) = (served.count(), sound.len());
        let is_violated = count >= MIN_SOUND && (served as f64) < count as f64 * MIN_BEGUN;
        is_violated.then(|| {
            format!(
                "part {part}: only {served} of {count} sound requests of `{}` begin",
                last.route
            )
        })
    });
    violations.collect()
}

/// Returns the times at which each part crashed servers.
fn crashes(entries: &[Entry]) -> BTreeMap<&str, Vec<Duration>> {
    let mut crashes: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    for entry in entries {
        if let Entry::Ended {
            cause: EndCause::Part(part),
            at,
            ..
        } = entry
        {
            crashes.entry(part).or_default().push(*at);
        }
    }
    crashes
}

/// Returns whether a server of the streams refused requests, was silent or left shortly before
/// `at`.
fn is_service_impaired(entries: &[Entry], at: Duration) -> bool {
    let mut impairments = entries.iter().filter(|entry| match entry {
        Entry::Condition {
            server, from, to, ..
        } => server.starts_with(STREAMING) && *from <= at && at <= *to + CONTACT_TIME,
        Entry::LimitSet {
            server, at: set, ..
        } => server.starts_with(STREAMING) && *set <= at && at <= *set + LIMIT_TIME,
        _ => false,
    });
    impairments.next().is_some()
}
