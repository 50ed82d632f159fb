//! What a run must have kept, from what callers got and servers received.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use pomeloridge_fleet_standin::caller::{KEY, event_ids, is_not_run, with_key};
use pomeloridge_fleet_standin::history::{Entry, count_crashes};
use serde_json::Value;

use super::callers::{Call, Route, ask_once, request, until_ready};
use super::director::{Directed, SPARE_KEY};
use crate::launch::Fleet;

/// Events of a whole stream of the fake.
const EVENTS: u64 = 8;
/// Time after the last fault in which all is as without faults.
const RECOVERY: Duration = Duration::from_secs(8);
/// Sendings of a request that ends servers, after it must be known, that are allowed.
const LATE_SENDS: usize = 3;
/// Client account of all callers.
const ACCOUNT: &str = "anna";

/// What calls and history show to be broken.
pub fn check(calls: &[Call], history: &[Value]) -> Vec<String> {
    let entries: Vec<Entry> = history.iter().filter_map(Entry::decode).collect();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let mut broken = Vec::new();
    for entry in &entries {
        let Entry::Sent {
            attempt,
            account,
            key_seen,
            ran,
            ..
        } = entry
        else {
            continue;
        };
        *runs.entry(attempt).or_default() += usize::from(*ran);
        if *key_seen || account != ACCOUNT {
            broken.push(format!("a server got a key or no account: {entry:?}"));
        }
    }
    for call in calls {
        let runs = runs.get(call.attempt.as_str()).copied().unwrap_or_default();
        broken.extend(check_call(call, runs));
    }
    broken.extend(check_duties(&entries));
    broken.extend(check_crashes(&entries));
    broken
}

/// A request that ends servers is no longer sent once it must be known.
fn check_crashes(entries: &[Entry]) -> Vec<String> {
    let crashes = count_crashes(entries).into_iter();
    let late = crashes.filter(|(_, crashes)| crashes.late_sends > LATE_SENDS);
    late.map(|(path, crashes)| format!("{path}: {crashes:?}"))
        .collect()
}

fn check_call(call: &Call, runs: usize) -> Vec<String> {
    let mut broken = Vec::new();
    let label = format!("{} {}", call.route, call.attempt);
    if runs > call.route.most_runs() {
        broken.push(format!("{label}: {runs} runs"));
    }
    let Some(answer) = &call.answer else {
        return broken;
    };
    if is_not_run(answer) && runs > 0 {
        broken.push(format!(
            "{label}: said not to have run, and did: {runs} runs"
        ));
    }
    if answer.status == 200 && runs == 0 {
        broken.push(format!("{label}: answered by nobody"));
    }
    if answer.status == 200 && call.route.streams() {
        let ids = event_ids(answer);
        let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
        let whole = ids.len() as u64 == EVENTS;
        if !in_order || (!whole && call.route == Route::Ask && runs < 2) {
            broken.push(format!("{label}: events {ids:?}"));
        }
    }
    broken
}

/// One holder at a time, and one count for each window.
fn check_duties(entries: &[Entry]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut highest = 0;
    let mut windows: BTreeMap<u64, &Value> = BTreeMap::new();
    for entry in entries {
        let Entry::Duty { fence, window } = entry else {
            continue;
        };
        if *fence < highest {
            broken.push(format!(
                "a call by {fence} after one by {highest}: {entry:?}"
            ));
        }
        highest = highest.max(*fence);
        if let Some((window, counts)) = window {
            let first = windows.entry(*window).or_insert(counts);
            if *first != counts {
                broken.push(format!("window {window} told as {first} and as {counts}"));
            }
        }
    }
    broken
}

/// What is broken once all faults have ended: every gateway serves by the last
/// configuration, and stops when it is told.
pub(super) fn after(fleet: &mut Fleet, directed: &Directed) -> Result<Vec<String>, String> {
    let mut broken = directed.violations.clone();
    let ready = fleet.gateways.iter().map(|gateway| gateway.ready);
    if !until_ready(ready.collect(), RECOVERY)? {
        broken.push(format!(
            "not all gateways are ready {RECOVERY:?} after the faults"
        ));
    }
    let expected = if directed.spare_key { 200 } else { 401 };
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        for (key, status) in [(KEY, 200), (SPARE_KEY, expected)] {
            let message = request(Route::Read, &format!("after-{index}-{key}"));
            let message = with_key(message, key);
            let answer = ask_once(gateway.caller, &message);
            let got = answer.as_ref().map(|answer| answer.status.as_u16());
            if got != Ok(status) {
                broken.push(format!("gateway {index}, {key}: {got:?}, not {status}"));
            }
        }
    }
    for (index, gateway) in fleet.gateways.iter_mut().enumerate() {
        gateway.process.stop();
        let status = gateway.process.wait(RECOVERY);
        if !status.is_some_and(|status| status.success()) {
            broken.push(format!("gateway {index} did not stop well: {status:?}"));
        }
    }
    Ok(broken)
}
