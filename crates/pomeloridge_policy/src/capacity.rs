//! Capacity of pools, and reservation of servers for suspect requests.

use std::time::Instant;

use pomeloridge_base::id::Name;

use crate::server::{Server, ServerKey, ServerKind};
use crate::server_table::ServerTable;

/// The capacity of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of the servers that accept work.
    pub slots: u32,
    /// Requests that peers have in flight.
    pub peers: u32,
}

impl ServerTable {
    /// Reserves a server for a suspect request; returns false if another suspect runs there.
    pub fn reserve_for_suspect(&mut self, key: ServerKey, now: Instant) -> bool {
        match self.servers.get_mut(key) {
            Some(server) if !server.is_reserved_for_suspect(now) => {
                server.reserved_for_suspect = true;
                true
            }
            _ => false,
        }
    }

    /// Releases this node's reservation of a server.
    pub fn release_from_suspect(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.reserved_for_suspect = false;
        }
    }

    /// Returns the slots of a server, or 0 if it is ejected or not serving; for an engine with
    /// a long prompt backlog, the slots in use.
    fn open_slots(&self, key: ServerKey, now: Instant) -> u32 {
        let server = self.server(key);
        let is_available = |server: &&Server| server.is_serving() && !server.ejection.is_ejected();
        let Some(server) = server.filter(is_available) else {
            return 0;
        };
        let load = self.load(key, now);
        if server.info.kind == ServerKind::Service || server.rates.has_prefill_headroom(load) {
            server.slots()
        } else {
            server.slots().min(load.in_flight)
        }
    }

    /// Returns whether this node must give up its reservation of a server, as a peer whose
    /// name sorts before its own has reserved it too.
    pub fn must_yield(&self, key: ServerKey, own: &Name, now: Instant) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| server.reserved_by(now).any(|peer| peer < own))
    }

    /// Returns the capacity of a pool, for admission.
    ///
    /// A server whose prompt backlog would delay the first token has no free slots, so that
    /// requests wait in the fair queue and not on the server in order of arrival.
    pub fn capacity(&self, pool: &Name, now: Instant) -> Capacity {
        let servers = || self.pool(pool).iter().filter_map(|key| self.server(*key));
        let keys = || self.pool(pool).iter().copied();
        let serving = || servers().filter(|server| server.is_serving());
        let mut slots: u32 = keys().map(|key| self.open_slots(key, now)).sum();
        if slots == 0 {
            // One ejected server remains as a last resort.
            slots = serving().next().map_or(0, Server::slots);
        }
        let peers = servers().flat_map(|server| server.live_peers(now));
        Capacity {
            slots,
            peers: peers.map(|share| share.running).sum(),
        }
    }
}
