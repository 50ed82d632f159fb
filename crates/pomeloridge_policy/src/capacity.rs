//! How much a pool can take, and the servers kept for suspects.

use std::time::Instant;

use pomeloridge_base::id::Name;

use crate::fleet::Fleet;
use crate::server::{Server, ServerKey};

/// Engines of a pool for each one that may be kept for a suspect.
const ENGINES_PER_SUSPECT: usize = 4;

/// The capacity of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of the servers that take work.
    pub slots: u32,
    /// Requests that peers have in flight.
    pub peers: u32,
}

impl Fleet {
    /// Keeps a server for a suspect; refused if too many of its pool are kept.
    pub fn occupy(&mut self, key: ServerKey, now: Instant) -> bool {
        let Some(server) = self.servers.get(key) else {
            return false;
        };
        let pool = self.pool(&server.info.pool);
        let occupied = |key: &&ServerKey| self.servers[**key].is_occupied(now);
        let count = pool.iter().filter(occupied).count();
        if server.is_occupied(now) || count >= (pool.len() / ENGINES_PER_SUSPECT).max(1) {
            return false;
        }
        self.servers[key].occupied = true;
        true
    }

    /// Gives back a server that was kept for a suspect.
    pub fn vacate(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.occupied = false;
        }
    }

    /// Whether nothing is known to run on a server.
    pub fn is_empty(&self, key: ServerKey, now: Instant) -> bool {
        self.load(key, now).in_flight == 0
    }

    /// The capacity of a pool, for admission.
    ///
    /// A server that is kept for a suspect counts as one slot.
    pub fn capacity(&self, pool: &Name, now: Instant) -> Capacity {
        let servers = || self.pool(pool).iter().filter_map(|key| self.server(*key));
        let serving = || servers().filter(|server| server.is_serving());
        let up = serving().filter(|server| !server.ejection.is_ejected());
        let mut slots: u32 = up.map(|server| free_slots(server, now)).sum();
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

fn free_slots(server: &Server, now: Instant) -> u32 {
    if server.is_occupied(now) {
        1
    } else {
        server.slots()
    }
}
