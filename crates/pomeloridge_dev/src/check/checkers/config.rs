//! Guarantee: an accepted configuration becomes active on every node and is never reverted,
//! and of concurrent writes based on one revision exactly one takes effect.

use std::collections::{BTreeSet, HashMap};

use todc_utils::linearizability::WGLChecker;
use todc_utils::{Action, History as Calls, Specification};

use crate::check::record::{ConfigCall, History, RegisterOp, Timing, Violation};

const GUARANTEE: &str = "configuration";
/// Time before the end of a run within which each running node has been probed, in ms.
const LAST_PROBE_MS: u64 = 1000;
/// Key of the object that operators write concurrently.
const FLEET: &str = "config/fleet";

/// Finds reverted revisions, lost changes, and conflicting writes that both took effect.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = reverted(history);
    found.extend(double_writes(&history.config_calls));
    found.extend(not_active(history));
    if !is_linearizable(history) {
        let detail = format!(
            "{} calls of operators have no valid order",
            history.config_calls.len()
        );
        found.push(Violation::new(GUARANTEE, detail));
    }
    found
}

fn reverted(history: &History) -> Vec<Violation> {
    let mut newest = HashMap::<(&str, &str), u64>::new();
    let mut found = Vec::new();
    for probe in &history.config_probes {
        let known = newest.entry((&probe.node, &probe.key)).or_default();
        if probe.revision < *known {
            let detail = format!(
                "{} reverted from {known} to {} of {} at {}",
                probe.node, probe.revision, probe.key, probe.at
            );
            found.push(Violation::new(GUARANTEE, detail));
        }
        *known = probe.revision.max(*known);
    }
    found
}

/// Returns the writes that took effect: base revision, new revision, time of sending.
fn applied_writes(calls: &[ConfigCall]) -> impl Iterator<Item = (u64, u64, u64)> {
    calls.iter().filter_map(|call| match call.call {
        RegisterOp::Applied {
            expect, revision, ..
        } => Some((expect, revision, call.sent_at)),
        RegisterOp::Read { .. } | RegisterOp::Conflict { .. } | RegisterOp::Unknown { .. } => None,
    })
}

fn double_writes(calls: &[ConfigCall]) -> Vec<Violation> {
    let mut bases = BTreeSet::new();
    let twice = applied_writes(calls).filter(|(expect, ..)| !bases.insert(*expect));
    twice
        .map(|(expect, ..)| {
            Violation::new(
                GUARANTEE,
                format!("two writes took effect from base revision {expect}"),
            )
        })
        .collect()
}

/// Finds nodes whose last probe shows an older revision than the last accepted change.
fn not_active(history: &History) -> Vec<Violation> {
    let Some((_, newest, _)) =
        applied_writes(&history.config_calls).max_by_key(|(_, revision, _)| *revision)
    else {
        return Vec::new();
    };
    let mut last = HashMap::<&str, (u64, u64)>::new();
    for probe in history
        .config_probes
        .iter()
        .filter(|probe| probe.key == FLEET)
    {
        last.insert(&probe.node, (probe.revision, probe.at));
    }
    // A node that ended before the run need not have the newest revision.
    let end = last.values().map(|(_, at)| *at).max().unwrap_or_default();
    let behind = last
        .iter()
        .filter(|(_, (revision, at))| *revision < newest && at + LAST_PROBE_MS >= end);
    behind
        .map(|(node, (revision, _))| {
            let detail = format!("{node} ended at revision {revision}, accepted was {newest}");
            Violation::new(GUARANTEE, detail)
        })
        .collect()
}

/// Sequential specification of the register that holds the fleet configuration, with
/// conditional writes.
struct ConfigRegister;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct RegisterState {
    revision: u64,
    value: u64,
}

#[derive(Clone, Debug)]
enum Operation {
    /// Sets the initial state.
    Initial(RegisterState),
    Call(RegisterOp),
}

impl Specification for ConfigRegister {
    type State = RegisterState;
    type Operation = Operation;

    fn init() -> RegisterState {
        RegisterState::default()
    }

    fn apply(operation: &Operation, state: &RegisterState) -> (bool, RegisterState) {
        let register = match operation {
            Operation::Initial(state) => return (true, state.clone()),
            Operation::Call(register) => register,
        };
        match *register {
            RegisterOp::Read { revision, value } => {
                (*state == RegisterState { revision, value }, state.clone())
            }
            RegisterOp::Applied {
                expect,
                revision,
                value,
            } => {
                let applies = state.revision == expect && revision > expect;
                (applies, RegisterState { revision, value })
            }
            RegisterOp::Conflict { expect } => (state.revision != expect, state.clone()),
            // Writes that took effect have been resolved, so an unknown one failed.
            RegisterOp::Unknown { .. } => (true, state.clone()),
        }
    }
}

fn is_linearizable(history: &History) -> bool {
    let (revision, value) = history.initial;
    let initial = Operation::Initial(RegisterState { revision, value });
    let mut timed = Vec::new();
    for (index, call) in history.config_calls.iter().enumerate() {
        let operation = Operation::Call(call.call.clone());
        // A call is ordered before a response in the same ms.
        timed.push((call.sent_at, 0, index + 1, Action::Call(operation.clone())));
        timed.push((call.ended_at, 1, index + 1, Action::Response(operation)));
    }
    timed.sort_by_key(|(at, order, ..)| (*at, *order));
    let mut actions = vec![
        (0, Action::Call(initial.clone())),
        (0, Action::Response(initial)),
    ];
    actions.extend(
        timed
            .into_iter()
            .map(|(_, _, process, action)| (process, action)),
    );
    WGLChecker::<ConfigRegister>::is_linearizable(Calls::from_actions(actions))
}

/// Measures the time from the sending of each accepted change to the probe that shows it
/// active on the last node.
pub fn timing(history: &History) -> Timing {
    let mut values = Vec::new();
    for (_, revision, sent_at) in applied_writes(&history.config_calls) {
        let mut seen = HashMap::<&str, u64>::new();
        let probes = history
            .config_probes
            .iter()
            .filter(|probe| probe.key == FLEET);
        for probe in probes.filter(|probe| probe.revision >= revision) {
            seen.entry(&probe.node).or_insert(probe.at);
        }
        // A node started later has the revision from its first probe.
        let latest = seen.values().max().copied().unwrap_or(sent_at);
        values.push(latest.saturating_sub(sent_at));
    }
    Timing {
        name: "configuration",
        values,
    }
}
