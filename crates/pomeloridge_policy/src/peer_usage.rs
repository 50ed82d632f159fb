//! Virtual tokens that peers have served, reported as totals since the peer's start.
//!
//! Totals, unlike differences, tolerate lost and repeated heartbeats.

use std::collections::HashMap;

use pomeloridge_base::id::{Incarnation, Name};

/// Virtual tokens that a node has served to an account in a pool since its start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServedTotal {
    /// The pool.
    pub pool: Name,
    /// The client account.
    pub account: Name,
    /// Total in virtual tokens.
    pub total: f64,
}

/// The totals last received from each peer.
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
    /// Stores a peer's totals; returns the increases since the previous ones.
    ///
    /// The first totals of an unknown peer yield no increase, as this node's counters do not
    /// cover earlier service.
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
            let reset = PeerTotals {
                incarnation,
                totals: HashMap::new(),
            };
            self.peers.insert(peer.clone(), reset);
        }
        let Some(entry) = self.peers.get_mut(peer) else {
            return Vec::new();
        };
        let valid = totals
            .iter()
            .filter(|total| total.total.is_finite() && total.total >= 0.0);
        let added = valid.map(|total| entry.replace(total));
        let added: Vec<ServedTotal> = added.collect();
        if known.is_none() {
            return Vec::new();
        }
        added
            .into_iter()
            .filter(|added| added.total > 0.0)
            .collect()
    }

    /// Removes a peer that has left.
    pub fn remove(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }
}

impl PeerTotals {
    /// Replaces a total; returns the increase.
    fn replace(&mut self, total: &ServedTotal) -> ServedTotal {
        let pool = self.totals.entry(total.pool.clone()).or_default();
        let last = pool.insert(total.account.clone(), total.total);
        let last = last.unwrap_or_default();
        // A lower total means that the peer dropped the account and restarted its total.
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
