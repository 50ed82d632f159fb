//! Tells peers of the limits that servers named.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::Dispatcher;

use super::wire::{LimitWire, PeerMessage};
use super::{base_message, send_to};
use crate::server_limits;
use crate::state::State;

/// Returns the limits that servers named, for peers.
pub(super) fn limits_wire(dispatcher: &Dispatcher, now: Instant) -> Vec<LimitWire> {
    let reports = dispatcher.limit_reports(now);
    reports.into_iter().map(LimitWire::from).collect()
}

/// Tells a process that has just started, and so knows no limits, those of the servers.
pub(super) fn send_limits(state: &Rc<State>, address: SocketAddr) {
    let limits = limits_wire(&state.dispatcher.borrow(), state.now());
    if limits.is_empty() {
        return;
    }
    let message = PeerMessage {
        limits,
        ..base_message(state)
    };
    send_to(state, message, vec![address]);
}

/// Handles a peer's reports of the limits that servers named.
pub(super) fn handle_limits(state: &State, limits: Vec<LimitWire>, name: &Name) {
    let reports = limits.into_iter().filter_map(|wire| {
        let report = wire.try_into();
        report
            .inspect_err(|error| {
                log::warn!("limits from={name} choice=ignore reason=\"{error}\"");
            })
            .ok()
    });
    server_limits::merge(state, &reports.collect::<Vec<_>>(), name);
}
