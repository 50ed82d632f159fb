//! The requests in flight on each backend server: this node's own, and what its
//! peers say of theirs.

use std::time::Instant;

use pomeloridge_base::id::Name;

use crate::fleet::Fleet;
use crate::load::{self, Load};
use crate::server::{Dispatch, DispatchKey, Ended, PeerInFlight, Server, ServerKey, Work};

/// This node's requests in flight on one server, for the peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInFlight {
    /// Server.
    pub id: Name,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens of requests without a first token.
    pub prefill_tokens: u64,
    /// Whether a suspect of this node runs there.
    pub occupied: bool,
}

impl Fleet {
    /// Takes what a peer has in flight, in place of what it said before.
    pub fn set_peer_in_flight(&mut self, peer: &Name, shares: &[ServerInFlight], now: Instant) {
        for server in self.servers.values_mut() {
            server.peers.remove(peer);
        }
        for share in shares {
            let key = self.ids.get(&share.id);
            if let Some(server) = key.and_then(|key| self.servers.get_mut(*key)) {
                let share = PeerInFlight {
                    at: now,
                    running: share.running,
                    prefill_tokens: share.prefill_tokens,
                    occupied: share.occupied,
                };
                server.peers.insert(peer.clone(), share);
            }
        }
    }

    /// What this node has in flight, for the peers.
    pub fn own_in_flight(&self) -> Vec<ServerInFlight> {
        let busy = |server: &&Server| server.occupied || !server.open.is_empty();
        let share = |server: &Server| ServerInFlight {
            id: server.info.id.clone(),
            running: server.own_in_flight_count(),
            prefill_tokens: load::unread_tokens(server, &self.dispatches, |_| true),
            occupied: server.occupied,
        };
        self.servers.values().filter(busy).map(share).collect()
    }

    /// The estimated load on a server.
    pub fn load(&self, key: ServerKey, now: Instant) -> Load {
        let server = self.servers.get(key);
        server.map_or_else(Load::default, |server| {
            load::estimate(server, &self.dispatches, now)
        })
    }

    /// Notes that a request is sent to a server; the prompt tokens of its work
    /// are those that the server is not thought to hold.
    pub fn record_dispatch(&mut self, key: ServerKey, work: Work, now: Instant) -> DispatchKey {
        let load = self.load(key, now);
        let dispatch = self.dispatches.insert(Dispatch {
            server: key,
            work,
            at: now,
            first: None,
            ahead: load.prefill_tokens,
            batch: load.in_flight + 1,
        });
        if let Some(server) = self.servers.get_mut(key) {
            server.open.push(dispatch);
        }
        dispatch
    }

    /// Notes a request's first token, and learns the prefill speed from it.
    pub fn record_first_token(&mut self, key: DispatchKey, now: Instant) {
        let Some(dispatch) = self.dispatches.get_mut(key) else {
            return;
        };
        if dispatch.first.is_some() {
            return;
        }
        dispatch.first = Some(now);
        let Some(server) = self.servers.get_mut(dispatch.server) else {
            return;
        };
        let (prompt, ahead) = (dispatch.work.prompt, dispatch.ahead);
        // A request that waited for a slot says nothing of the prefill speed.
        if dispatch.batch <= server.slots() {
            let taken = now.saturating_duration_since(dispatch.at);
            server.rates.learn_prefill(prompt, ahead, taken);
        }
    }

    /// Ends a request; one that was answered whole teaches the speeds.
    pub fn record_end(&mut self, key: DispatchKey, answered: Option<u64>, now: Instant) {
        let Some(dispatch) = self.dispatches.get(key).copied() else {
            return;
        };
        let in_flight = self.load(dispatch.server, now).in_flight;
        self.dispatches.remove(key);
        let Some(server) = self.servers.get_mut(dispatch.server) else {
            return;
        };
        server.open.retain(|open| *open != key);
        server.remember(Ended {
            sent_at: dispatch.at,
            ended_at: now,
        });
        let Some(tokens) = answered else {
            return;
        };
        let slots = server.slots();
        if let Some(first) = dispatch.first {
            let taken = now.saturating_duration_since(first);
            let batch = dispatch.batch.midpoint(in_flight).clamp(1, slots.max(1));
            server.rates.learn_decode(tokens, batch, slots, taken);
        }
        let taken = now.saturating_duration_since(dispatch.at);
        server.rates.learn_service(taken);
    }
}
