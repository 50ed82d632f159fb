//! The limits that servers name: what responses and peers say of them, and this node's part.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::TargetKey;
use pomeloridge_policy::rate_limit::{LimitReport, RateLimit, sender_place, turn_at};

use crate::peers;
use crate::request::ResponseHead;
use crate::state::State;

/// Time after its start in which a node sends nothing to a server with a limit: its peers may not
/// know of it yet and use the whole limit themselves.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Records the limit that a server named in its response to a request sent at `sent_at`. `by`
/// identifies the request in the log.
pub(crate) fn record_response(
    state: &State,
    server: TargetKey,
    head: &ResponseHead,
    sent_at: Instant,
    by: &str,
) {
    let limit = match head.notice.rate_limit.transpose() {
        Ok(limit) => limit,
        Err(reason) => {
            let is_new = state.dispatcher.borrow_mut().record_malformed_limit(server);
            if is_new {
                log::info!(
                    "server id={} choice=ignore_limit reason=\"{reason}\" by=\"request {by}\"",
                    state.server_name(server)
                );
            }
            return;
        }
    };
    if limit.is_none() && !head.status.is_success() {
        // Something in front of the server may have refused the request, without its limit.
        return;
    }
    let now = state.now();
    let is_change = state
        .dispatcher
        .borrow_mut()
        .record_limit(server, limit, sent_at, now);
    if is_change {
        log_change(
            &state.server_name(server),
            limit,
            &format_args!("request {by}"),
        );
        update_places(state);
    }
}

/// Merges the limits that a peer knows.
pub(crate) fn merge(state: &State, reports: &[LimitReport], peer: &Name) {
    let changed = state
        .dispatcher
        .borrow_mut()
        .merge_limits(reports, state.now());
    for (server, limit) in &changed {
        log_change(server, *limit, &format_args!("node {peer}"));
    }
    if !changed.is_empty() {
        update_places(state);
    }
}

fn log_change(server: &Name, limit: Option<RateLimit>, by: &dyn std::fmt::Display) {
    match limit {
        Some(limit) => {
            log::info!("server id={server} choice=learn_limit per_s={limit} by=\"{by}\"");
        }
        None => log::info!("server id={server} choice=drop_limit by=\"{by}\""),
    }
}

/// Forgets limits that ended long ago, and updates this node's places if the turn or the known
/// nodes have changed.
pub(crate) fn refresh(state: &State) {
    if !state.dispatcher.borrow().has_limits() {
        return;
    }
    let now = state.now();
    state.dispatcher.borrow_mut().forget_ended_limits(now);
    if state.senders.borrow().as_ref() != Some(&Senders::current(state, now)) {
        update_places(state);
    }
}

/// Updates this node's place among the senders of each server with a limit.
fn update_places(state: &State) {
    let now = state.now();
    let senders = Senders::current(state, now);
    let own = peers::name_hash(&state.name);
    let place = |server| {
        let place = || sender_place(own, &senders.peers, server, senders.turn);
        senders.is_settled.then(place)
    };
    state.dispatcher.borrow_mut().set_sender_places(place, now);
    state.senders.replace(Some(senders));
}

/// What decides which nodes are senders.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Senders {
    turn: u64,
    /// Whether this node may be one.
    is_settled: bool,
    /// Hashes of the known peers. Silent ones may still be running, cut off, and use their part.
    peers: Vec<u64>,
}

impl Senders {
    fn current(state: &State, now: Instant) -> Self {
        let peers = state.peers.borrow();
        let age = now.saturating_duration_since(state.started);
        Self {
            turn: turn_at(state.fleet_clock.borrow().unix_ms(now)),
            is_settled: age >= SETTLING_TIME && peers.is_initialized(now),
            peers: peers.known_hashes(),
        }
    }
}
