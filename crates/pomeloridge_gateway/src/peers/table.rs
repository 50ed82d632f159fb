//! The other nodes as this one knows them.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Epoch, Name};
use pomeloridge_policy::watchers::{PeerView, tells, watcher_ranks};
use pomeloridge_policy::work_meter::WorkRates;

use super::USAGE_ROUNDS;

/// Silence after which a peer is not counted as live.
const LIVE: Duration = Duration::from_secs(3);
/// Silence after which a peer that is not listed is forgotten.
const FORGET: Duration = Duration::from_secs(20);
/// Peers besides the holder that are told the counts in one of those rounds.
const USAGE_COPIES: usize = 3;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) heard: Option<Instant>,
    pub(super) listed: bool,
    /// Fencing token that the peer says to hold the duties by.
    pub(super) duty: Option<Epoch>,
    pub(super) work: Vec<(Name, WorkRates)>,
    /// When the object service last answered its watch, on this node's clock.
    pub(super) answered: Option<Instant>,
}

/// The other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pub(super) peers: HashMap<Name, Peer>,
    pub(super) round: u64,
}

impl Peers {
    pub(super) fn answered(&mut self, name: &Name, answered: Option<Instant>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.answered = answered;
        }
    }

    /// Peers that are known.
    pub(crate) fn known(&self) -> usize {
        self.peers.len()
    }

    /// Peers that were heard of late.
    pub(crate) fn live(&self, now: Instant) -> usize {
        self.peers
            .values()
            .filter(|peer| is_live(peer, now))
            .count()
    }

    /// Whether a peer that was heard of late holds the duties.
    pub(crate) fn duty_held(&self, now: Instant) -> bool {
        let mut live = self.peers.values().filter(|peer| is_live(peer, now));
        live.any(|peer| peer.duty.is_some())
    }

    /// The peers that are told in this round: all in turn, a bounded number each time.
    pub(super) fn next_round(&mut self, fan_out: usize) -> Vec<SocketAddr> {
        self.round += 1;
        let mut addresses: Vec<SocketAddr> = self.peers.values().map(|peer| peer.address).collect();
        addresses.sort_unstable();
        if addresses.len() > fan_out {
            let start = self.round as usize * fan_out % addresses.len();
            addresses.rotate_left(start);
            addresses.truncate(fan_out);
        }
        addresses
    }

    /// Those that are told the counts of usage in this round: whoever reports them, and
    /// a few that know them should this node be killed.
    pub(super) fn next_counted(&self) -> Vec<SocketAddr> {
        let holders = self.peers.values().filter(|peer| peer.duty.is_some());
        let mut addresses: Vec<SocketAddr> = holders.map(|peer| peer.address).collect();
        let mut others: Vec<SocketAddr> = self.peers.values().map(|peer| peer.address).collect();
        others.sort_unstable();
        let turn = (self.round / USAGE_ROUNDS) as usize * USAGE_COPIES;
        let start = turn.checked_rem(others.len()).unwrap_or_default();
        others.rotate_left(start);
        addresses.extend(others.into_iter().take(USAGE_COPIES));
        addresses
    }

    pub(super) fn listed(&mut self, nodes: Vec<(Name, SocketAddr)>, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for (name, address) in nodes {
            let peer = self.peers.entry(name).or_insert(Peer {
                address,
                heard: None,
                listed: true,
                duty: None,
                work: Vec::new(),
                answered: None,
            });
            peer.address = address;
            peer.listed = true;
        }
        let silent = |peer: &Peer| {
            peer.heard
                .is_none_or(|at| now.saturating_duration_since(at) > FORGET)
        };
        self.peers.retain(|_, peer| peer.listed || !silent(peer));
    }

    pub(super) fn heard(&mut self, name: &Name, address: SocketAddr, now: Instant) -> &mut Peer {
        let known = self.peers.contains_key(name);
        let peer = self.peers.entry(name.clone()).or_insert(Peer {
            address,
            heard: None,
            listed: false,
            duty: None,
            work: Vec::new(),
            answered: None,
        });
        if !known || !is_live(peer, now) {
            log::info!("dependency name=node/{name} state=regained address={address}");
        }
        peer.address = address;
        peer.heard = Some(now);
        peer
    }

    /// The live peers, for the choice of those that watch the object service.
    pub(crate) fn watcher_views(&self, now: Instant) -> Vec<PeerView> {
        let live = self.peers.iter().filter(|(_, peer)| is_live(peer, now));
        let views = live.map(|(name, peer)| PeerView {
            rank: rank(name),
            answered: peer.answered.map(|at| now.saturating_duration_since(at)),
        });
        views.collect()
    }

    /// The peers that this node tells at once of what it has just read.
    pub(super) fn told_at_once(&self, own: &Name, now: Instant) -> Vec<SocketAddr> {
        let own = rank(own);
        let watchers = watcher_ranks(own, &self.watcher_views(now));
        let told = self.peers.iter();
        let told = told.filter(|(name, _)| tells(own, &watchers, rank(name)));
        told.map(|(_, peer)| peer.address).collect()
    }

    /// The rates of a service's work at the live peers.
    pub(crate) fn work(&self, service: &Name, now: Instant) -> WorkRates {
        let live = self.peers.values().filter(|peer| is_live(peer, now));
        let work = live.flat_map(|peer| &peer.work);
        let work = work.filter(|(name, _)| name == service);
        work.fold(WorkRates::default(), |sum, (_, rates)| WorkRates {
            read: sum.read + rates.read,
            make: sum.make + rates.make,
        })
    }
}

/// A node's place in the order of those that watch, the same in every view.
pub(crate) fn rank(name: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.as_bytes().hash(&mut hasher);
    hasher.finish()
}

fn is_live(peer: &Peer, now: Instant) -> bool {
    let recent = |at| now.saturating_duration_since(at) < LIVE;
    peer.heard.is_some_and(recent)
}
