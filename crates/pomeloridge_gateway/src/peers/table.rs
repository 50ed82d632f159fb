//! The other nodes as this one knows them.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Epoch, Name};
use pomeloridge_policy::telling::{rounds, turn, turns};
use pomeloridge_policy::watchers::{PeerView, tells, watcher_ranks};
use pomeloridge_policy::work_meter::WorkRates;

use super::USAGE_ROUNDS;
use crate::usage::{PeerTimes, WINDOWS_KEPT};

/// Silence after which a peer is not counted as live.
const LIVE: Duration = Duration::from_secs(3);
/// Silence after which a peer that is not listed is forgotten.
const FORGET: Duration = Duration::from_secs(20);
/// Peers besides the holder that are told the counts in one of those rounds.
const USAGE_COPIES: usize = 3;
/// Time for which a new holder of the duties is told the counts of all windows.
const NEW_HOLDER: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) heard: Option<Instant>,
    /// When it last told its counts of a window.
    counted: BTreeMap<u64, Instant>,
    pub(super) listed: bool,
    /// Whether it is in this node's data centre, as far as it is known.
    pub(super) near: bool,
    /// Fencing token that the peer says to hold the duties by, and since when.
    duty: Option<(Epoch, Instant)>,
    pub(super) work: Vec<(Name, WorkRates)>,
    /// When the object service last answered its watch, on this node's clock.
    pub(super) answered: Option<Instant>,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            heard: None,
            counted: BTreeMap::new(),
            listed: false,
            near: false,
            duty: None,
            work: Vec::new(),
            answered: None,
        }
    }

    /// Notes that the peer has told its counts of the windows from `first` on.
    pub(super) fn note_counts(&mut self, first: u64, current: u64, now: Instant) {
        let first = first.max(current.saturating_sub(WINDOWS_KEPT));
        self.counted
            .extend((first..=current).map(|window| (window, now)));
        while self.counted.len() as u64 > WINDOWS_KEPT + 1 {
            self.counted.pop_first();
        }
    }

    /// Notes which duties the peer says to hold.
    pub(super) fn note_duty(&mut self, epoch: Option<Epoch>, now: Instant) {
        let since = self.duty.filter(|(known, _)| Some(*known) == epoch);
        self.duty = epoch.map(|epoch| (epoch, since.map_or(now, |(_, since)| since)));
    }
}

/// The other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_name: HashMap<Name, Peer>,
    pub(super) round: u64,
    /// Whether the nodes' objects have been read.
    pub(super) was_listed: bool,
}

impl Peers {
    pub(super) fn answered(&mut self, name: &Name, answered: Option<Instant>) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.answered = answered;
        }
    }

    /// Peers that are known.
    pub(crate) fn known(&self) -> usize {
        self.by_name.len()
    }

    /// Peers that were heard of late.
    pub(crate) fn live(&self, now: Instant) -> usize {
        self.by_name
            .values()
            .filter(|peer| is_live(peer, now))
            .count()
    }

    /// Whether this node has read the nodes' objects or hears peers: either tells it what
    /// the fleet has barred.
    pub(crate) fn has_met(&self, now: Instant) -> bool {
        self.was_listed || self.live(now) > 0
    }

    /// Whether a peer that was heard of late holds the duties.
    pub(crate) fn duty_held(&self, now: Instant) -> bool {
        let mut live = self.by_name.values().filter(|peer| is_live(peer, now));
        live.any(|peer| peer.duty.is_some())
    }

    /// The peers that are told in this round: all in turn, a bounded number each time.
    pub(super) fn next_round(&mut self, fan_out: usize) -> Vec<SocketAddr> {
        self.round += 1;
        let [near, far] = self.by_distance();
        let each = turns(near.len(), far.len(), fan_out);
        let mut told = turn(near, each.near, self.round);
        told.extend(turn(far, each.far, self.round));
        told
    }

    /// Rounds in which every peer is told once.
    pub(super) fn rounds(&self, fan_out: usize) -> u32 {
        let [near, far] = self.by_distance();
        rounds(near.len(), far.len(), fan_out) as u32
    }

    /// The peers in this node's data centre, and those in others.
    fn by_distance(&self) -> [Vec<SocketAddr>; 2] {
        [true, false].map(|near| {
            let peers = self.by_name.values().filter(|peer| peer.near == near);
            let mut addresses: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
            addresses.sort_unstable();
            addresses
        })
    }

    /// When the peers were heard, and when they told their counts of a window.
    pub(crate) fn usage_times(&self, window: u64) -> impl Iterator<Item = PeerTimes> {
        self.by_name.values().map(move |peer| PeerTimes {
            heard: peer.heard,
            counted: peer.counted.get(&window).copied(),
        })
    }

    /// Where the peers are reached.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_name.values().map(|peer| peer.address).collect()
    }

    /// Whether a holder of the duties is new, and may not know earlier counts.
    pub(super) fn has_new_holder(&self, now: Instant) -> bool {
        let mut holders = self.by_name.values().filter_map(|peer| peer.duty);
        holders.any(|(_, since)| now.saturating_duration_since(since) < NEW_HOLDER)
    }

    /// Those that are told the counts of usage in this round: whoever reports them, and
    /// a few that know them should this node be killed.
    pub(super) fn next_counted(&self) -> Vec<SocketAddr> {
        let holders = self.by_name.values().filter(|peer| peer.duty.is_some());
        let mut addresses: Vec<SocketAddr> = holders.map(|peer| peer.address).collect();
        let others = self.by_distance().concat();
        addresses.extend(turn(others, USAGE_COPIES, self.round / USAGE_ROUNDS));
        addresses
    }

    pub(super) fn listed(&mut self, nodes: Vec<(Name, SocketAddr)>, now: Instant) {
        self.was_listed = true;
        for peer in self.by_name.values_mut() {
            peer.listed = false;
        }
        for (name, address) in nodes {
            let peer = self.by_name.entry(name).or_insert(Peer::new(address));
            peer.address = address;
            peer.listed = true;
        }
        let silent = |peer: &Peer| {
            peer.heard
                .is_none_or(|at| now.saturating_duration_since(at) > FORGET)
        };
        self.by_name.retain(|_, peer| peer.listed || !silent(peer));
    }

    pub(super) fn heard(&mut self, name: &Name, address: SocketAddr, now: Instant) -> &mut Peer {
        let known = self.by_name.contains_key(name);
        let peer = self
            .by_name
            .entry(name.clone())
            .or_insert(Peer::new(address));
        if !known || !is_live(peer, now) {
            log::info!("dependency name=node/{name} state=regained address={address}");
        }
        peer.address = address;
        peer.heard = Some(now);
        peer
    }

    /// The live peers, for the choice of those that watch the object service.
    pub(crate) fn watcher_views(&self, now: Instant) -> Vec<PeerView> {
        let live = self.by_name.iter().filter(|(_, peer)| is_live(peer, now));
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
        let told = self.by_name.iter();
        let told = told.filter(|(name, _)| tells(own, &watchers, rank(name)));
        told.map(|(_, peer)| peer.address).collect()
    }

    /// The rates of a service's work at the live peers.
    pub(crate) fn work(&self, service: &Name, now: Instant) -> WorkRates {
        let live = self.by_name.values().filter(|peer| is_live(peer, now));
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
