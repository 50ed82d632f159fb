//! Detects whether a server on which a request was lost has crashed.
//!
//! A broken connection is not enough evidence: servers lose responses and reset connections
//! without crashing. A server has crashed if it refuses a new connection, if the server list
//! shows a new incarnation of it, or if it can't be reached and disappears from the list. A
//! server that was leaving ends as planned, which does not count as a crash.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{Connection, Fault};
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::crashes::{QUARANTINE_CRASHES, ServerIncarnation};
use pomeloridge_policy::dispatch::{RemovedTarget, TargetInfo, TargetKey};
use pomeloridge_policy::suspicion::Fingerprint;

use crate::exchange::Failure;
use crate::part_quarantine;
use crate::peers;
use crate::state::State;

/// Timeout for opening the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which an exiting process closes the connections that it still accepted.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Interval at which a task checks whether a probe of another task has finished.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a server remains recorded as unreachable. Its list entry, which lapses after
/// three missed heartbeats, must disappear within this time.
const UNREACHABLE_TTL: Duration = Duration::from_secs(8);
/// Number of crashes during a request from which peers are notified at once.
const MIN_ANNOUNCED_CRASHES: usize = QUARANTINE_CRASHES - 1;

/// Servers that are being probed, and servers that recently could not be reached.
#[derive(Debug, Default)]
pub(crate) struct CrashProbes {
    in_progress: HashSet<ServerIncarnation>,
    unreachable: HashMap<ServerIncarnation, Instant>,
}

/// Starts a task that checks whether a server on which a request was lost has crashed.
pub(crate) fn probe(state: &Rc<State>, server: TargetKey) {
    let Some(info) = crash_candidate(state, server) else {
        return;
    };
    let incarnation = info.incarnation();
    if !state
        .crash_probes
        .borrow_mut()
        .in_progress
        .insert(incarnation)
    {
        return;
    }
    let state = Rc::clone(state);
    monoio::spawn(async move {
        match connect_settled(&state, info.address).await {
            // Later requests may reuse the connection.
            Ok(connection) => state.pool.put(connection, None, state.now()),
            Err(fault) if Failure::before_write(&fault) == Failure::NotListening => {
                state.eject(server, Failure::NotListening);
                record_crash(&state, server);
            }
            Err(fault) => {
                log::info!(
                    "server id={} choice=probe outcome=unreachable reason=\"{fault}\"",
                    info.id
                );
                let mut probes = state.crash_probes.borrow_mut();
                probes.unreachable.insert(incarnation, state.now());
            }
        }
        state
            .crash_probes
            .borrow_mut()
            .in_progress
            .remove(&incarnation);
    });
}

/// Opens a connection and checks that it stays open for [`SETTLE_TIME`]; if not, opens another
/// one. An exiting process may close its connections before its listening port.
async fn connect_settled(state: &State, address: SocketAddr) -> Result<Connection, Fault> {
    let open = async || {
        let now = state.now();
        state.pool.open(address, now + PROBE_TIMEOUT, now).await
    };
    let connection = open().await?;
    monoio::time::sleep(SETTLE_TIME).await;
    if connection.is_idle() {
        Ok(connection)
    } else {
        open().await
    }
}

/// Waits until a running probe of a server, if any, has finished, at most to the deadline.
pub(crate) async fn wait_for_probe(state: &State, server: TargetKey, deadline: Instant) {
    let Some(incarnation) = crash_candidate(state, server).map(|info| info.incarnation()) else {
        return;
    };
    let is_running = || {
        let probes = state.crash_probes.borrow();
        probes.in_progress.contains(&incarnation)
    };
    while is_running() {
        let left = deadline.saturating_duration_since(state.now());
        if left.is_zero() {
            return;
        }
        monoio::time::sleep(PROBE_POLL_INTERVAL.min(left)).await;
    }
}

/// Returns the server unless it is leaving, in which case its end would be planned.
fn crash_candidate(state: &State, server: TargetKey) -> Option<TargetInfo> {
    let dispatcher = state.dispatcher.borrow();
    let target = dispatcher.target(server)?;
    (!target.is_leaving()).then(|| target.info.clone())
}

/// Records that no process listens at a server's address any more.
pub(crate) fn record_crash(state: &Rc<State>, server: TargetKey) {
    let Some(info) = crash_candidate(state, server) else {
        return;
    };
    count_crash(state, &info, "not listening");
}

/// Records that an answer at this node has ended a request's quarantine, and tells peers at once.
pub(crate) fn record_answered(state: &Rc<State>, fingerprint: &Fingerprint) {
    log::info!("request print={fingerprint} choice=lift reason=\"answered\"");
    state.quarantine_changed.set(true);
    peers::announce_crashes(state);
}

/// Records crashes of servers that the server list no longer contains.
pub(crate) fn record_removed(state: &Rc<State>, removed: &[RemovedTarget]) {
    for RemovedTarget { info, replaced, .. } in removed.iter().filter(|server| !server.leaving) {
        let unreachable = state
            .crash_probes
            .borrow_mut()
            .unreachable
            .remove(&info.incarnation());
        if *replaced {
            count_crash(state, info, "replaced");
        } else if unreachable.is_some() {
            count_crash(state, info, "unreachable and not listed");
        }
    }
}

/// Removes expired records.
pub(crate) fn sweep(state: &State) {
    let now = state.now();
    state.crashes.borrow_mut().sweep(now);
    part_quarantine::sweep(state);
    let mut probes = state.crash_probes.borrow_mut();
    let is_recent = |at: Instant| now.saturating_duration_since(at) < UNREACHABLE_TTL;
    probes.unreachable.retain(|_, at| is_recent(*at));
}

/// Counts a crash for each request that was on the server, and for the prompt parts of those
/// that waited for their answers. Notifies peers at once if one of them has been involved in
/// several crashes.
fn count_crash(state: &Rc<State>, info: &TargetInfo, reason: &str) {
    let now = state.now();
    let affected = state
        .crashes
        .borrow_mut()
        .record_crash(info.incarnation(), now);
    if affected.is_empty() {
        return;
    }
    state.meter.increment(Counter::ServerCrashes);
    log::info!(
        "server id={} born={} choice=ended reason=\"{reason}\" requests={}",
        info.id,
        info.started_unix_ms,
        affected.len()
    );
    for (fingerprint, crashes) in affected
        .iter()
        .filter(|(_, crashes)| *crashes >= MIN_ANNOUNCED_CRASHES)
    {
        let left = state.crashes.borrow().quarantine_left(fingerprint, now);
        let choice = if left.is_some() { "bar" } else { "suspect" };
        log::info!("request print={fingerprint} choice={choice} ends={crashes} by=own");
    }
    let max_crashes = affected
        .iter()
        .map(|(_, crashes)| *crashes)
        .max()
        .unwrap_or(0);
    if max_crashes >= QUARANTINE_CRASHES {
        state.quarantine_changed.set(true);
    }
    let max_part_crashes = part_quarantine::record_crash(state, info.incarnation());
    if max_crashes.max(max_part_crashes) >= MIN_ANNOUNCED_CRASHES {
        peers::announce_crashes(state);
    }
}
