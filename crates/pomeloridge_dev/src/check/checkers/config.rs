//! An accepted configuration is in force everywhere and never reverts, and of
//! racing operators exactly one wins each revision.

use std::collections::{BTreeSet, HashMap};

use todc_utils::linearizability::WGLChecker;
use todc_utils::{Action, History as Calls, Specification};

use crate::check::record::{ConfigCall, History, RegisterOp, Timing, Violation};

const GUARANTEE: &str = "configuration";
/// Time before the end of a run in which a node that serves has been looked at, in ms.
const END_MS: u64 = 1000;
/// Object that operators race for.
const FLEET: &str = "config/fleet";

/// Finds revisions that go down, lost changes, and races with two winners.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = reverts(history);
    found.extend(double_wins(&history.config_calls));
    found.extend(not_in_force(history));
    if !is_linearizable(history) {
        let detail = format!(
            "{} calls of operators have no valid order",
            history.config_calls.len()
        );
        found.push(Violation::new(GUARANTEE, detail));
    }
    found
}

fn reverts(history: &History) -> Vec<Violation> {
    let mut newest = HashMap::<(&str, &str), u64>::new();
    let mut found = Vec::new();
    for probe in &history.config_probes {
        let known = newest.entry((&probe.node, &probe.key)).or_default();
        if probe.revision < *known {
            let detail = format!(
                "{} went back from {known} to {} of {} at {}",
                probe.node, probe.revision, probe.key, probe.at
            );
            found.push(Violation::new(GUARANTEE, detail));
        }
        *known = probe.revision.max(*known);
    }
    found
}

/// Every write that took effect: revision it was made from, revision, when sent.
fn wins(calls: &[ConfigCall]) -> impl Iterator<Item = (u64, u64, u64)> {
    calls.iter().filter_map(|call| match call.call {
        RegisterOp::Applied {
            expect, revision, ..
        } => Some((expect, revision, call.sent_at)),
        RegisterOp::Read { .. } | RegisterOp::Conflict { .. } | RegisterOp::Unknown { .. } => None,
    })
}

fn double_wins(calls: &[ConfigCall]) -> Vec<Violation> {
    let mut taken = BTreeSet::new();
    let twice = wins(calls).filter(|(expect, ..)| !taken.insert(*expect));
    twice
        .map(|(expect, ..)| {
            Violation::new(GUARANTEE, format!("two writes won from revision {expect}"))
        })
        .collect()
}

/// Nodes whose last look, after the last accepted change, shows an older revision.
fn not_in_force(history: &History) -> Vec<Violation> {
    let Some((_, newest, _)) = wins(&history.config_calls).max_by_key(|(_, revision, _)| *revision)
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
    // A node that ended before the run did is not asked for the newest revision.
    let end = last.values().map(|(_, at)| *at).max().unwrap_or_default();
    let behind = last
        .iter()
        .filter(|(_, (revision, at))| *revision < newest && at + END_MS >= end);
    behind
        .map(|(node, (revision, _))| {
            let detail = format!("{node} ended at revision {revision}, accepted was {newest}");
            Violation::new(GUARANTEE, detail)
        })
        .collect()
}

/// The register that holds the fleet's configuration, with conditional writes.
struct ConfigRegister;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Held {
    revision: u64,
    value: u64,
}

#[derive(Clone, Debug)]
enum Operation {
    /// Sets what was held before the first call.
    First(Held),
    Call(RegisterOp),
}

impl Specification for ConfigRegister {
    type State = Held;
    type Operation = Operation;

    fn init() -> Held {
        Held::default()
    }

    fn apply(operation: &Operation, state: &Held) -> (bool, Held) {
        let register = match operation {
            Operation::First(first) => return (true, first.clone()),
            Operation::Call(register) => register,
        };
        match *register {
            RegisterOp::Read { revision, value } => {
                (*state == Held { revision, value }, state.clone())
            }
            RegisterOp::Applied {
                expect,
                revision,
                value,
            } => {
                let fits = state.revision == expect && revision > expect;
                (fits, Held { revision, value })
            }
            RegisterOp::Conflict { expect } => (state.revision != expect, state.clone()),
            // Only a write that is known to have failed is left as unknown.
            RegisterOp::Unknown { .. } => (true, state.clone()),
        }
    }
}

fn is_linearizable(history: &History) -> bool {
    let (revision, value) = history.initial;
    let first = Operation::First(Held { revision, value });
    let mut moments = Vec::new();
    for (index, call) in history.config_calls.iter().enumerate() {
        let operation = Operation::Call(call.call.clone());
        // Of a call and an answer in the same ms, the call is taken as earlier.
        moments.push((call.sent_at, 0, index + 1, Action::Call(operation.clone())));
        moments.push((call.ended_at, 1, index + 1, Action::Response(operation)));
    }
    moments.sort_by_key(|(at, order, ..)| (*at, *order));
    let mut actions = vec![
        (0, Action::Call(first.clone())),
        (0, Action::Response(first)),
    ];
    actions.extend(
        moments
            .into_iter()
            .map(|(_, _, process, action)| (process, action)),
    );
    WGLChecker::<ConfigRegister>::is_linearizable(Calls::from_actions(actions))
}

/// Time from the sending of each accepted change to the look that shows it in
/// force on the last node.
pub fn timing(history: &History) -> Timing {
    let mut values = Vec::new();
    for (_, revision, sent_at) in wins(&history.config_calls) {
        let mut seen = HashMap::<&str, u64>::new();
        let probes = history
            .config_probes
            .iter()
            .filter(|probe| probe.key == FLEET);
        for probe in probes.filter(|probe| probe.revision >= revision) {
            seen.entry(&probe.node).or_insert(probe.at);
        }
        // A node started later has it from its first look.
        let latest = seen.values().max().copied().unwrap_or(sent_at);
        values.push(latest.saturating_sub(sent_at));
    }
    Timing {
        name: "configuration",
        values,
    }
}
