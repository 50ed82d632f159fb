//! Service reported by peers, as totals since the peer's start.
//!
//! Totals instead of differences make lost and repeated heartbeats harmless.

use std::collections::HashMap;

use pomeloridge_base::id::{Incarnation, Name};

/// Virtual tokens that a node has served an account in a pool since its start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServedTotal {
    /// Pool.
    pub pool: Name,
    /// Client account.
    pub account: Name,
    /// Virtual tokens.
    pub total: f64,
}

/// The totals last heard from each peer.
#[derive(Debug, Default)]
pub struct PeerUsage {
    peers: HashMap<Name, PeerTotals>,
}

#[derive(Debug)]
struct PeerTotals {
    incarnation: Incarnation,
    totals: HashMap<Name, HashMap<Name, f64>>,
}

impl PeerUsage {
    /// Takes a peer's totals; returns what was added since the last ones.
    ///
    /// The history of a peer that is met for the first time is not added: this
    /// node's counters start at the present.
    pub fn update(
        &mut self,
        peer: &Name,
        incarnation: Incarnation,
        totals: &[ServedTotal],
    ) -> Vec<ServedTotal> {
        let known = self.peers.get(peer).map(|totals| totals.incarnation);
        if known.is_some_and(|known| incarnation < known) {
            return Vec::new();
        }
        if known != Some(incarnation) {
            let fresh = PeerTotals {
                incarnation,
                totals: HashMap::new(),
            };
            self.peers.insert(peer.clone(), fresh);
        }
        let Some(entry) = self.peers.get_mut(peer) else {
            return Vec::new();
        };
        let sound = totals
            .iter()
            .filter(|total| total.total.is_finite() && total.total >= 0.0);
        let added = sound.map(|total| entry.add(total));
        let added: Vec<ServedTotal> = added.collect();
        if known.is_none() {
            return Vec::new();
        }
        added
            .into_iter()
            .filter(|added| added.total > 0.0)
            .collect()
    }

    /// Forgets a peer that has left.
    pub fn forget(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }
}

impl PeerTotals {
    /// Replaces one total; returns the difference.
    fn add(&mut self, total: &ServedTotal) -> ServedTotal {
        let pool = self.totals.entry(total.pool.clone()).or_default();
        let last = pool.insert(total.account.clone(), total.total);
        let last = last.unwrap_or_default();
        // A lower total means that the peer forgot the account and began again.
        let added = if total.total >= last {
            total.total - last
        } else {
            total.total
        };
        ServedTotal {
            total: added,
            ..total.clone()
        }
    }
}
