//! Checks of a run's guarantees against what callers and servers received.

mod crashes;
mod losses;
mod notices;
mod parts;
mod sends;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use derive_more::Display;
use pomeloridge_base::http::Response;
use pomeloridge_fleet_standin::caller::{KEY, event_ids, is_not_run, with_key};
use pomeloridge_fleet_standin::history::{Entry, count_over_limits};
use serde_json::Value;

use super::allotments;
use super::callers::{Call, Route, request, send_once, wait_until_ready};
use super::changes::{SPARE_ACCOUNT, SPARE_ACCOUNT_KEY, SPARE_KEY};
use super::events::{CONTACT_TIME, Event};
use super::injector::Injected;
use crate::launch::Fleet;

/// Events of a complete stream of the fake.
const EVENTS: u64 = 8;
/// Timeout for recovery after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);
/// Client account of all callers during the faults.
const ACCOUNT: &str = "anna";

/// Returns the violations that calls and history show.
pub fn check(calls: &[Call], history: &[Value], events: &[Event]) -> Vec<String> {
    let entries: Vec<Entry> = history.iter().filter_map(Entry::decode).collect();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let mut violations = Vec::new();
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
        if *key_seen || account != expected_account(attempt) {
            violations.push(format!(
                "a server received a key or the wrong account: {entry:?}"
            ));
        }
    }
    for call in calls {
        let runs = runs.get(call.attempt.as_str()).copied().unwrap_or_default();
        violations.extend(check_call(call, runs));
    }
    violations.extend(check_duties(&entries));
    violations.extend(crashes::check(calls, &entries, events));
    violations.extend(check_limits(&entries));
    violations.extend(losses::check(calls, &entries, events));
    violations.extend(parts::check_budget(calls, &entries, events));
    violations.extend(parts::check_sound(calls, &entries, events));
    violations.extend(notices::check_refusals(calls, &entries, events));
    violations.extend(notices::check_leaving(calls, &entries, events));
    violations
}

/// Returns the client account of an attempt.
fn expected_account(attempt: &str) -> &'static str {
    if attempt.ends_with(SPARE_ACCOUNT_KEY) {
        SPARE_ACCOUNT
    } else if attempt.ends_with(allotments::KEY) {
        allotments::ACCOUNT
    } else {
        ACCOUNT
    }
}

/// Checks that servers get no more requests than the limits that they named allow.
fn check_limits(entries: &[Entry]) -> Vec<String> {
    let over = count_over_limits(entries, CONTACT_TIME).into_iter();
    over.map(|counts| format!("{counts:?}")).collect()
}

fn check_call(call: &Call, runs: usize) -> Vec<String> {
    let mut violations = Vec::new();
    let label = format!("{} {}", call.route, call.attempt);
    if runs > call.route.max_runs() {
        violations.push(format!("{label}: {runs} runs"));
    }
    let Ok(answer) = &call.answer else {
        return violations;
    };
    if is_not_run(answer) && runs > 0 {
        violations.push(format!("{label}: answered as not run, but had {runs} runs"));
    }
    if answer.status == 200 && runs == 0 {
        violations.push(format!("{label}: answered 200 without a run"));
    }
    if answer.status == 200 && call.route.is_stream() {
        let ids = event_ids(answer);
        let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
        let complete = ids.len() as u64 == EVENTS;
        if !in_order || (!complete && call.route == Route::Ask && runs < 2) {
            violations.push(format!("{label}: events {ids:?}"));
        }
    }
    violations
}

/// Checks that duties have one holder at a time and each usage window one count.
fn check_duties(entries: &[Entry]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut highest = 0;
    let mut windows: BTreeMap<u64, &Value> = BTreeMap::new();
    for entry in entries {
        let Entry::Duty { fence, window } = entry else {
            continue;
        };
        if *fence < highest {
            violations.push(format!(
                "a call by {fence} after one by {highest}: {entry:?}"
            ));
        }
        highest = highest.max(*fence);
        if let Some((window, counts)) = window {
            let first = windows.entry(*window).or_insert(counts);
            if *first != counts {
                violations.push(format!(
                    "window {window} reported as {first} and as {counts}"
                ));
            }
        }
    }
    violations
}

/// Path of a request that is sent after the faults.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
enum ProbePath {
    /// No other request has it.
    Own,
    /// That of the callers' repeated requests, under which servers may have crashed.
    Shared,
}

impl ProbePath {
    /// Returns whether an answer has the status that the configuration calls for. A repeated
    /// request that was never answered may be quarantined instead.
    fn allows(self, answer: Result<&Response, &String>, status: u16, was_answered: bool) -> bool {
        let Ok(answer) = answer else {
            return false;
        };
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let is_quarantined = answer.status == 503 && body["error"] == "quarantined";
        let may_be_quarantined = self == Self::Shared && status == 200 && !was_answered;
        answer.status == status || (may_be_quarantined && is_quarantined)
    }
}

/// Returns the violations after all faults have ended: every gateway must serve by the
/// last configuration, and stop on SIGTERM.
pub(super) fn check_recovery(
    fleet: &mut Fleet,
    injected: &Injected,
    calls: &[Call],
) -> Result<Vec<String>, String> {
    let mut violations = injected.violations.clone();
    let ready = fleet.gateways.iter().map(|gateway| gateway.ready);
    if !wait_until_ready(ready.collect(), RECOVERY_TIMEOUT)? {
        violations.push(format!(
            "not all gateways are ready {RECOVERY_TIMEOUT:?} after the faults"
        ));
    }
    let expected = |is_present| if is_present { 200 } else { 401 };
    let keys = [
        (KEY, 200),
        (SPARE_KEY, expected(injected.configured.spare_key)),
        (
            SPARE_ACCOUNT_KEY,
            expected(injected.configured.spare_account),
        ),
    ];
    let is_answered = |key: &str| {
        let mut calls = calls.iter();
        calls.any(|call| {
            call.route == Route::Read
                && call.status() == 200
                && expected_account(&call.attempt) == expected_account(key)
        })
    };
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        for (key, status) in keys {
            for path in [ProbePath::Own, ProbePath::Shared] {
                // Ends with the key, which tells the account.
                let attempt = format!("after-{path}-{index}-{key}");
                let mut message = with_key(request(Route::Read, &attempt), key);
                if path == ProbePath::Own {
                    message.target = format!("/{}/{attempt}", Route::Read);
                }
                let answer = send_once(gateway.caller, &message);
                if !path.allows(answer.as_ref(), status, is_answered(key)) {
                    let answer = answer.map(|answer| (answer.status.as_u16(), answer.body));
                    violations.push(format!("{attempt}: {answer:?}, not {status}"));
                }
            }
        }
    }
    for (index, gateway) in fleet.gateways.iter_mut().enumerate() {
        gateway.process.stop();
        let status = gateway.process.wait(RECOVERY_TIMEOUT);
        if !status.is_some_and(|status| status.success()) {
            violations.push(format!("gateway {index} did not stop cleanly: {status:?}"));
        }
    }
    Ok(violations)
}
