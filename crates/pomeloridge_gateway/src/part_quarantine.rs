//! Prompt parts that crash engines: which requests wait for answers, the quarantine of parts, and
//! the trials by which it ends.

use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_policy::crashes::{QUARANTINE_CRASHES, ServerIncarnation};
use pomeloridge_policy::dispatch::TargetKey;
use pomeloridge_policy::part_crashes::{PartId, PartReport, PartRunKey, PartVerdict, trial_turn};
use pomeloridge_policy::rate_limit::sender_place;

use crate::accept::{Accepted, Trial};
use crate::peers;
use crate::state::State;

/// Time after its start in which a node starts no trials: it may not know its peers yet.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Number of crashes from which a suspect part is logged.
const MIN_LOGGED_CRASHES: usize = QUARANTINE_CRASHES - 1;
/// Maximum number of suspects that are logged for a crash.
const MAX_LOGGED_SUSPECTS: usize = 8;

/// Records that a server is to answer a request with shared prompt parts.
pub(crate) fn start_run(
    state: &State,
    server: TargetKey,
    accepted: &Accepted,
) -> Option<PartRunKey> {
    if accepted.shared_parts.is_empty() {
        return None;
    }
    let dispatcher = state.dispatcher.borrow();
    let server = dispatcher.target(server)?.info.incarnation();
    let mut parts = state.parts.borrow_mut();
    let whole = accepted.fingerprint.leading_number();
    Some(parts.start_run(accepted.shared_parts.clone(), whole, server))
}

/// Records the crash of a server. Returns the highest number of crashes of a suspect part.
pub(crate) fn record_crash(state: &State, server: ServerIncarnation) -> usize {
    let suspects = state.parts.borrow_mut().record_crash(server, state.now());
    let logged = suspects.counts.iter();
    let logged = logged.filter(|(_, crashes)| *crashes >= MIN_LOGGED_CRASHES);
    for (part, crashes) in logged.take(MAX_LOGGED_SUSPECTS) {
        log::info!("part id={part:x} choice=suspect ends={crashes} by=own");
    }
    record_quarantined(state, &suspects.quarantined, "own");
    let counts = suspects.counts.iter().map(|(_, crashes)| *crashes);
    counts.max().unwrap_or_default()
}

/// Merges a peer's report.
pub(crate) fn merge(state: &State, report: &PartReport, by: &str, now: Instant) {
    let changes = state.parts.borrow_mut().merge(report, now);
    record_quarantined(state, &changes.begun, by);
    // The object must not keep the crashes: after a restart of all nodes, none knows of the answer
    // that cleared them.
    for part in changes.ended {
        log::info!("part id={part:x} choice=lift by={by}");
        state.quarantine_changed.set(true);
    }
}

fn record_quarantined(state: &State, parts: &[PartId], by: &str) {
    for part in parts {
        log::info!("part id={part:x} choice=bar by={by}");
        state.quarantine_changed.set(true);
    }
}

/// Records that an answer has ended the quarantine of parts, and tells peers at once.
pub(crate) fn record_cleared(state: &Rc<State>, parts: &[PartId]) {
    for part in parts {
        log::info!("part id={part:x} choice=lift reason=\"an answer began\"");
    }
    if !parts.is_empty() {
        state.quarantine_changed.set(true);
        peers::announce_crashes(state);
    }
}

/// Forgets what has expired.
pub(crate) fn sweep(state: &State) {
    for part in state.parts.borrow_mut().sweep(state.now()) {
        log::info!("part id={part:x} choice=lift reason=\"expired\"");
        state.quarantine_changed.set(true);
    }
}

/// Lets the request through if it has a quarantined part and this node is to find out in this turn
/// whether that still crashes engines.
pub(crate) fn grant_trial(state: &State, accepted: &Accepted) {
    if matches!(accepted.trial.get(), Trial::Sent { .. }) {
        return;
    }
    let now = state.now();
    let turn = current_turn(state, now);
    accepted
        .trial
        .set(match verdict(state, accepted, turn, now) {
            PartVerdict::Trial(part) => Trial::Granted(part),
            _ => Trial::None,
        });
}

/// Records that the request is being written to a server. A trial is not repeated; all peers are
/// told of it at once.
pub(crate) fn record_send(state: &Rc<State>, accepted: &Accepted, server: TargetKey) {
    if let Some(run) = accepted.part_run(server) {
        state.parts.borrow_mut().record_sent(run);
    }
    let Trial::Granted(part) = accepted.trial.get() else {
        return;
    };
    let number = rand::random();
    accepted.trial.set(Trial::Sent { part, number });
    log::info!(
        "request id={} part={part:x} choice=try reason=\"quarantine over\"",
        accepted.inbound.label()
    );
    let mut parts = state.parts.borrow_mut();
    parts.record_trial(part, number, state.now());
    drop(parts);
    state.quarantine_changed.set(true);
    peers::announce_crashes(state);
}

/// Records that a server refused the request without running it. A trial then tells nothing of its
/// part; all peers are told at once.
pub(crate) fn record_refusal(state: &Rc<State>, accepted: &Accepted) {
    let Trial::Sent { part, number } = accepted.trial.get() else {
        return;
    };
    accepted.trial.set(Trial::None);
    log::info!(
        "request id={} part={part:x} choice=try_again reason=\"refused unread\"",
        accepted.inbound.label()
    );
    let mut parts = state.parts.borrow_mut();
    parts.record_unread(part, number, state.now());
    drop(parts);
    state.quarantine_changed.set(true);
    peers::announce_crashes(state);
}

/// Returns how long the request remains quarantined for one of its prompt parts.
pub(crate) fn left(state: &State, accepted: &Accepted) -> Option<Duration> {
    let now = state.now();
    // What was granted lapses when another node may start a trial.
    let is_granted = matches!(accepted.trial.get(), Trial::Granted(_));
    let turn = current_turn(state, now).filter(|_| is_granted);
    match verdict(state, accepted, turn, now) {
        PartVerdict::Allowed | PartVerdict::Trial(_) => None,
        PartVerdict::Quarantined { left, .. } => Some(left),
    }
}

/// Returns how long requests with these parts remain quarantined, apart from trials.
pub(crate) fn parts_left(state: &State, parts: &[PartId]) -> Option<Duration> {
    let tracker = state.parts.borrow();
    match tracker.verdict(parts, None, |_, _| false, state.now()) {
        PartVerdict::Allowed | PartVerdict::Trial(_) => None,
        PartVerdict::Quarantined { left, .. } => Some(left),
    }
}

fn verdict(state: &State, accepted: &Accepted, turn: Option<u64>, now: Instant) -> PartVerdict {
    let is_trial_node = |part: PartId, turn: u64| {
        let peers = state.peers.borrow().known_hashes();
        let own = peers::name_hash(&state.name);
        sender_place(own, &peers, ServerIncarnation(part), turn).rank == 0
    };
    let parts = state.parts.borrow();
    parts.verdict(&accepted.shared_parts, turn, is_trial_node, now)
}

/// Returns the turn in which this node may start a trial now.
fn current_turn(state: &State, now: Instant) -> Option<u64> {
    let age = now.saturating_duration_since(state.started);
    let is_settled = age >= SETTLING_TIME && state.peers.borrow().is_initialized(now);
    let unix_ms = state.fleet_clock.borrow().unix_ms(now);
    trial_turn(unix_ms).filter(|_| is_settled)
}
