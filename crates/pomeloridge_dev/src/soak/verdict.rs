//! What a run must have kept, from what callers got and servers received.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde_json::Value;

use super::callers::{Call, Route, ask_once, request, until_ready};
use super::director::{Directed, SPARE_KEY};
use crate::launch::Fleet;

/// Events of a whole stream of the fake.
const EVENTS: u64 = 8;
/// Time after the last fault in which all is as without faults.
const RECOVERY: Duration = Duration::from_secs(8);
/// Statuses that say that the request did not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// The runs of one request: what servers received, but for prompts read apart and for
/// what they turned away.
fn runs<'a>(received: &HashMap<&str, Vec<&'a Value>>, call: &Call) -> Vec<&'a Value> {
    let received = received.get(call.attempt.as_str());
    let received = received.into_iter().flatten().copied();
    let ran = |entry: &&Value| entry["stage"] != "prefill" && entry["fault"] != "shed";
    received.filter(ran).collect()
}

/// What calls and history show to be broken.
pub fn check(calls: &[Call], history: &[Value]) -> Vec<String> {
    let mut received: HashMap<&str, Vec<&Value>> = HashMap::new();
    for entry in history.iter().filter(|entry| !entry["path"].is_null()) {
        let attempt = entry["attempt"].as_str().unwrap_or_default();
        received.entry(attempt).or_default().push(entry);
    }
    let mut broken = Vec::new();
    for call in calls {
        let runs = runs(&received, call);
        broken.extend(check_call(call, &runs));
    }
    for entry in received.values().flatten() {
        if entry["key"] == true || entry["tenant"] != "anna" {
            broken.push(format!("a server got a key or no account: {entry}"));
        }
    }
    broken.extend(check_duties(history));
    broken
}

fn check_call(call: &Call, runs: &[&Value]) -> Vec<String> {
    let mut broken = Vec::new();
    let label = format!("{} {}", call.route, call.attempt);
    if runs.len() > call.route.most_runs() {
        broken.push(format!("{label}: {} runs: {runs:?}", runs.len()));
    }
    let Some(answer) = &call.answer else {
        return broken;
    };
    if NOT_RUN.contains(&answer.status.as_u16()) && !runs.is_empty() {
        broken.push(format!("{label}: said not to have run, and did: {runs:?}"));
    }
    if answer.status == 200 && runs.is_empty() {
        broken.push(format!("{label}: answered by nobody"));
    }
    if answer.status == 200 && call.route.streams() {
        let text = String::from_utf8_lossy(&answer.body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
        let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
        let whole = ids.len() as u64 == EVENTS;
        if !in_order || (!whole && call.route == Route::Ask && runs.len() < 2) {
            broken.push(format!("{label}: events {ids:?}"));
        }
    }
    broken
}

/// One holder at a time, and one count for each window.
fn check_duties(history: &[Value]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut fence = 0;
    let mut windows: BTreeMap<u64, &Value> = BTreeMap::new();
    for entry in history.iter().filter(|entry| !entry["call"].is_null()) {
        let token = entry["fence"].as_str().and_then(|text| text.parse().ok());
        let token: u64 = token.unwrap_or_default();
        if token < fence {
            broken.push(format!("a call by {token} after one by {fence}: {entry}"));
        }
        fence = fence.max(token);
        let body = &entry["body"];
        if let Some(window) = body["windowIndex"].as_u64() {
            let first = windows.entry(window).or_insert(body);
            if *first != body {
                broken.push(format!("window {window} told as {first} and as {body}"));
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
        for (key, status) in [("key-of-anna", 200), (SPARE_KEY, expected)] {
            let message = request(Route::Read, &format!("after-{index}-{key}"), key);
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
