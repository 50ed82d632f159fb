//! Requests in flight on each backend server: this node's own and those reported
//! by its peers.

use std::time::Instant;

use pomeloridge_base::id::Name;

use crate::load::{self, Load};
use crate::server::{Dispatch, DispatchKey, EndedRequest, PeerInFlight, Server, ServerKey, Work};
use crate::server_table::ServerTable;

/// One node's requests in flight on one server, as exchanged between peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInFlight {
    /// Identifier of the server.
    pub id: Name,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens of requests that have no first token yet.
    pub prefill_tokens: u64,
    /// Whether the node has reserved the server for a suspect.
    pub reserved_for_suspect: bool,
}

impl ServerTable {
    /// Replaces the recorded in-flight requests of a peer.
    pub fn set_peer_in_flight(&mut self, peer: &Name, reported: &[ServerInFlight], now: Instant) {
        for server in self.servers.values_mut() {
            server.peers.remove(peer);
        }
        for in_flight in reported {
            let key = self.ids.get(&in_flight.id);
            if let Some(server) = key.and_then(|key| self.servers.get_mut(*key)) {
                let peer_in_flight = PeerInFlight {
                    received_at: now,
                    running: in_flight.running,
                    prefill_tokens: in_flight.prefill_tokens,
                    reserved_for_suspect: in_flight.reserved_for_suspect,
                };
                server.peers.insert(peer.clone(), peer_in_flight);
            }
        }
    }

    /// Returns this node's in-flight requests per server, to send to peers.
    pub fn own_in_flight(&self) -> Vec<ServerInFlight> {
        let busy = |server: &&Server| server.reserved_for_suspect || !server.in_flight.is_empty();
        let in_flight = |server: &Server| ServerInFlight {
            id: server.info.id.clone(),
            running: server.own_in_flight_count(),
            prefill_tokens: load::pending_prompt_tokens(server, &self.dispatches, |_| true),
            reserved_for_suspect: server.reserved_for_suspect,
        };
        self.servers.values().filter(busy).map(in_flight).collect()
    }

    /// Returns the estimated load on a server.
    pub fn load(&self, key: ServerKey, now: Instant) -> Load {
        let server = self.servers.get(key);
        server.map_or_else(Load::default, |server| {
            load::estimate(server, &self.dispatches, now)
        })
    }

    /// Records that a request is sent to a server.
    ///
    /// The prompt tokens of `work` must exclude those that the server is expected to
    /// have cached.
    pub fn record_dispatch(&mut self, key: ServerKey, work: Work, now: Instant) -> DispatchKey {
        let load = self.load(key, now);
        let dispatch = self.dispatches.insert(Dispatch {
            server: key,
            work,
            sent_at: now,
            first_token_at: None,
            prefill_ahead: load.prefill_tokens,
            batch: load.in_flight + 1,
        });
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight.push(dispatch);
        }
        dispatch
    }

    /// Records the first token of a request and updates the prefill rate from it.
    pub fn record_first_token(&mut self, key: DispatchKey, now: Instant) {
        let Some(dispatch) = self.dispatches.get_mut(key) else {
            return;
        };
        if dispatch.first_token_at.is_some() {
            return;
        }
        dispatch.first_token_at = Some(now);
        let Some(server) = self.servers.get_mut(dispatch.server) else {
            return;
        };
        let (prompt, ahead) = (dispatch.work.prompt, dispatch.prefill_ahead);
        // The time of a request that waited for a slot does not show the prefill rate.
        if dispatch.batch <= server.slots() {
            let taken = now.saturating_duration_since(dispatch.sent_at);
            server.rates.learn_prefill(prompt, ahead, taken);
        }
    }

    /// Records the end of a request.
    ///
    /// `output_tokens` is set if the request was answered completely; the rates of
    /// the server are then updated from it.
    pub fn record_end(&mut self, key: DispatchKey, output_tokens: Option<u64>, now: Instant) {
        let Some(dispatch) = self.dispatches.get(key).copied() else {
            return;
        };
        let in_flight = self.load(dispatch.server, now).in_flight;
        self.dispatches.remove(key);
        let Some(server) = self.servers.get_mut(dispatch.server) else {
            return;
        };
        server.in_flight.retain(|in_flight| *in_flight != key);
        server.record_ended(EndedRequest {
            sent_at: dispatch.sent_at,
            ended_at: now,
        });
        let Some(tokens) = output_tokens else {
            return;
        };
        let slots = server.slots();
        if let Some(first) = dispatch.first_token_at {
            let taken = now.saturating_duration_since(first);
            let batch = dispatch.batch.midpoint(in_flight).clamp(1, slots.max(1));
            server.rates.learn_decode(tokens, batch, slots, taken);
        }
        let taken = now.saturating_duration_since(dispatch.sent_at);
        server.rates.learn_duration(taken);
    }
}
