//! How much a pool can take, and the servers on which suspects run.

use std::time::Instant;

use pomeloridge_base::id::Name;

use crate::fleet::Fleet;
use crate::server::{Server, ServerKey, ServerKind};

/// The capacity of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of the servers that take work.
    pub slots: u32,
    /// Requests that peers have in flight.
    pub peers: u32,
}

impl Fleet {
    /// Marks that a suspect runs on a server; refused if another one does.
    pub fn reserve_for_suspect(&mut self, key: ServerKey, now: Instant) -> bool {
        match self.servers.get_mut(key) {
            Some(server) if !server.is_reserved_for_suspect(now) => {
                server.reserved_for_suspect = true;
                true
            }
            _ => false,
        }
    }

    /// Marks that this node's suspect runs on a server no more.
    pub fn release_from_suspect(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.reserved_for_suspect = false;
        }
    }

    /// Slots of a server that takes work now.
    fn open_slots(&self, key: ServerKey, now: Instant) -> u32 {
        let server = self.server(key);
        let up = |server: &&Server| server.is_serving() && !server.ejection.is_ejected();
        let Some(server) = server.filter(up) else {
            return 0;
        };
        let load = self.load(key, now);
        if server.info.kind == ServerKind::Service || server.rates.has_prefill_headroom(load) {
            server.slots()
        } else {
            server.slots().min(load.in_flight)
        }
    }

    /// Whether this node is to yield a server on which a peer has marked a
    /// suspect as well: the node whose name is first keeps it.
    pub fn must_yield(&self, key: ServerKey, own: &Name, now: Instant) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| server.reserved_by(now).any(|peer| peer < own))
    }

    /// The capacity of a pool, for admission.
    ///
    /// A server behind whose prompts the first token would come late has no free
    /// slot: requests wait in the fair queue, not on the server in the order of
    /// their arrival.
    pub fn capacity(&self, pool: &Name, now: Instant) -> Capacity {
        let servers = || self.pool(pool).iter().filter_map(|key| self.server(*key));
        let keys = || self.pool(pool).iter().copied();
        let serving = || servers().filter(|server| server.is_serving());
        let mut slots: u32 = keys().map(|key| self.open_slots(key, now)).sum();
        if slots == 0 {
            // One of the ejected servers is still tried.
            slots = serving().next().map_or(0, Server::slots);
        }
        let peers = servers().flat_map(|server| server.live_peers(now));
        Capacity {
            slots,
            peers: peers.map(|share| share.running).sum(),
        }
    }
}
