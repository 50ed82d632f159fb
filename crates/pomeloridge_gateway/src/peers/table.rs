//! The other nodes as this one knows them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Epoch, Name};
use pomeloridge_policy::telling::{is_large, rounds, turn, turns};
use pomeloridge_policy::watchers::{PeerView, Ranked, tells, watcher_ranks};
use pomeloridge_policy::work_meter::WorkRates;

use super::USAGE_ROUNDS;
use crate::usage::{PeerTimes, WINDOWS_KEPT};

/// Silence after which a peer is not counted as live.
const LIVE: Duration = Duration::from_secs(3);
/// The same for a peer in another data centre, where it only holds a place in an order.
const FAR_LIVE: Duration = Duration::from_secs(12);
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
    /// When it was first listed.
    known: Option<Instant>,
    /// Hash of the name of its data centre; 0 before that is known.
    pub(super) centre: u32,
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
            known: None,
            centre: 0,
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

/// A node as its object says.
pub(super) struct Listed {
    pub(super) name: Name,
    pub(super) address: SocketAddr,
    /// Hash of the name of its data centre.
    pub(super) centre: u32,
}

/// The other nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Hash of the name of this node's data centre.
    centre: u32,
    by_name: HashMap<Name, Peer>,
    pub(super) round: u64,
    /// Whether the nodes' objects have been read.
    pub(super) was_listed: bool,
}

impl Peers {
    /// No other node, seen from a data centre.
    pub(crate) fn new(centre: u32) -> Self {
        Self {
            centre,
            by_name: HashMap::new(),
            round: 0,
            was_listed: false,
        }
    }

    /// Whether a peer takes its place among those that call the object service; one in
    /// another data centre may be heard seldom.
    fn holds_place(&self, peer: &Peer, now: Instant) -> bool {
        let is_near = peer.centre == self.centre;
        let span = if is_near { LIVE } else { FAR_LIVE };
        let recent = |at| now.saturating_duration_since(at) < span;
        peer.heard.is_some_and(recent)
    }

    pub(super) fn answered(&mut self, name: &Name, answered: Option<Instant>) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.answered = answered;
        }
    }

    /// Peers that are known.
    pub(crate) fn known_count(&self) -> usize {
        self.by_name.len()
    }

    /// Peers that were heard of late.
    pub(crate) fn live_count(&self, now: Instant) -> usize {
        self.by_name
            .values()
            .filter(|peer| is_live(peer, now))
            .count()
    }

    /// Whether this node has read the nodes' objects or hears peers: either tells it what
    /// the fleet has barred.
    pub(crate) fn is_initialized(&self, now: Instant) -> bool {
        self.was_listed || self.live_count(now) > 0
    }

    /// Whether a peer that was heard of late holds the duties.
    pub(crate) fn has_live_duty_holder(&self, now: Instant) -> bool {
        let mut live = self.by_name.values().filter(|peer| is_live(peer, now));
        live.any(|peer| peer.duty.is_some())
    }

    /// The peers that are told in this round, near ones and others: all in turn, a bounded
    /// number each time.
    pub(super) fn next_round(&mut self, fan_out: usize, awaited: bool) -> [Vec<SocketAddr>; 2] {
        self.round += 1;
        let [near, far] = self.by_distance();
        let each = turns(near.len(), far.len(), fan_out, awaited);
        [
            turn(near, each.near, self.round),
            turn(far, each.far, self.round),
        ]
    }

    /// Rounds in which every peer is told once.
    pub(super) fn rounds(&self, fan_out: usize, awaited: bool) -> u32 {
        let [near, far] = self.by_distance();
        rounds(near.len(), far.len(), fan_out, awaited) as u32
    }

    /// Whether there are so many peers that those of other data centres are told less.
    pub(super) fn is_large(&self, fan_out: usize) -> bool {
        is_large(self.by_name.len(), fan_out)
    }

    /// The live peers of this node's data centre, if it is the first of them, and so the one
    /// that tells the loads of all to the other data centres.
    pub(super) fn spoken_for(&self, own: &Name, now: Instant) -> Option<HashSet<Name>> {
        let near = self.by_name.iter();
        let near = near.filter(|(_, peer)| peer.centre == self.centre && is_live(peer, now));
        let near: HashSet<Name> = near.map(|(name, _)| name.clone()).collect();
        let own = name_hash(own);
        near.iter()
            .all(|name| name_hash(name) > own)
            .then_some(near)
    }

    /// The peers in this node's data centre, and those in others.
    fn by_distance(&self) -> [Vec<SocketAddr>; 2] {
        [true, false].map(|near| {
            let peers = self
                .by_name
                .values()
                .filter(|peer| (peer.centre == self.centre) == near);
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
        let [near, far] = self.by_distance();
        // Words to the own data centre cost least, but one node there may be alone.
        let others = if near.len() < USAGE_COPIES {
            [near, far].concat()
        } else {
            near
        };
        addresses.extend(turn(others, USAGE_COPIES, self.round / USAGE_ROUNDS));
        addresses
    }

    pub(super) fn listed(&mut self, nodes: Vec<Listed>, now: Instant) {
        self.was_listed = true;
        for peer in self.by_name.values_mut() {
            peer.listed = false;
        }
        for Listed {
            name,
            address,
            centre,
        } in nodes
        {
            let peer = self.by_name.entry(name).or_insert(Peer::new(address));
            peer.address = address;
            peer.centre = centre;
            peer.listed = true;
            peer.known.get_or_insert(now);
        }
        let silent = |peer: &Peer| {
            peer.heard
                .is_none_or(|at| now.saturating_duration_since(at) > FORGET)
        };
        self.by_name.retain(|_, peer| peer.listed || !silent(peer));
    }

    /// Whether a node has told this one anything before.
    pub(super) fn has_heard(&self, name: &Name) -> bool {
        let peer = self.by_name.get(name);
        peer.is_some_and(|peer| peer.heard.is_some())
    }

    pub(super) fn heard(&mut self, name: &Name, address: SocketAddr, now: Instant) -> &mut Peer {
        let known = self.by_name.get(name);
        if !known.is_some_and(|peer| self.holds_place(peer, now)) {
            log::info!("dependency name=node/{name} state=regained address={address}");
        }
        let peer = self.by_name.entry(name.clone());
        let peer = peer.or_insert(Peer::new(address));
        peer.address = address;
        peer.heard = Some(now);
        peer
    }

    /// The live peers, for the choice of those that call the object service; one that has
    /// just been listed counts before it is heard.
    pub(crate) fn peer_views(&self, now: Instant) -> Vec<PeerView> {
        let live = self.by_name.iter();
        let live = live.filter(|(_, peer)| self.holds_place(peer, now) || is_new(peer, now));
        let views = live.map(|(name, peer)| PeerView {
            node: Ranked {
                rank: name_hash(name),
                centre: peer.centre,
            },
            answered: peer.answered.map(|at| now.saturating_duration_since(at)),
        });
        views.collect()
    }

    /// The peers that this node tells at once of what it has just read.
    pub(super) fn told_at_once(&self, own: &Name, now: Instant) -> Vec<SocketAddr> {
        let own = name_hash(own);
        let watchers = watcher_ranks(own, &self.peer_views(now));
        let told = self.by_name.iter();
        let told = told.filter(|(name, _)| tells(own, &watchers, name_hash(name)));
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
pub(crate) fn name_hash(name: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// Whether a peer has been listed for a moment only, and not been heard yet.
fn is_new(peer: &Peer, now: Instant) -> bool {
    let recent = |at| now.saturating_duration_since(at) < LIVE;
    peer.heard.is_none() && peer.known.is_some_and(recent)
}

fn is_live(peer: &Peer, now: Instant) -> bool {
    let recent = |at| now.saturating_duration_since(at) < LIVE;
    peer.heard.is_some_and(recent)
}
