//! The table of known peers and which of them receive a message.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Epoch, Era, Name, Revision};
use pomeloridge_policy::freshness::Freshness;
use pomeloridge_policy::heartbeat_schedule::{
    is_large_fleet, peers_for_round, peers_per_round, rounds_to_cover,
};
use pomeloridge_policy::stream_versions::{CopyNode, StreamId, copy_nodes};
use pomeloridge_policy::watchers::{
    LivePeer, RankedNode, caller_count, first_callers, notifies, watcher_ranks,
};
use pomeloridge_policy::work_meter::WorkRates;

use super::ROUNDS_PER_USAGE_MESSAGE;
use crate::usage::{PeerTimes, WINDOWS_KEPT};

/// Silence after which a peer no longer counts as live.
const LIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Silence after which a peer in another data centre loses its place in the ranking of the
/// nodes that call the object service. Remote peers send more rarely.
const REMOTE_LIVE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time since a peer was heard for which it counts among the nodes of which a majority must be
/// heard.
const RECENT_TIME: Duration = Duration::from_mins(1);
/// Time since a message for which its sender counts as heard just now.
const JUST_NOW: Duration = Duration::from_secs(1);
/// Time after a pause of this node in which it reads the messages that have waited for it.
const QUEUE_TIME: Duration = Duration::from_millis(200);
/// Time in which every remote peer of a large fleet has sent a message.
const REMOTE_INTERVAL: Duration = Duration::from_secs(6);
/// Silence after which a peer without a node object is removed from the table.
const FORGET_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of peers, besides the duty holder, that receive a message with usage counts.
const USAGE_BACKUP_PEERS: usize = 3;
/// Time for which a new duty holder is sent the counts of all windows.
const NEW_HOLDER_TIME: Duration = Duration::from_secs(2);

/// A peer's view of the object service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreView {
    /// When the service last answered the peer's watch, by this node's clock.
    pub(super) answered: Option<Instant>,
    /// Era of the peer's server list, as far as it has told one.
    pub(super) list_era: Option<Era>,
    /// Whether the peer still keeps servers that the service has lost in a restore.
    pub(super) restored: bool,
}

/// A peer's claim to hold the duties.
#[derive(Clone, Copy, Debug)]
struct DutyClaim {
    /// Fencing token of the duties.
    epoch: Epoch,
    /// Since when the peer claims to hold them.
    since: Instant,
    /// Version of the lease that it last told of, and when that was first received.
    lease: Option<(Revision, Instant)>,
}

/// State of a peer, as known to this node.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    /// Incarnation that was heard last; 0 if none was.
    pub(super) incarnation: u64,
    /// Number of its measurements of servers that this node has recorded or missed.
    pub(super) speeds_seen: u64,
    pub(super) last_heard: Option<Instant>,
    /// When its counts of each window were last received.
    counts_received: BTreeMap<u64, Instant>,
    /// Whether its node object was in the latest listing, or in one of an earlier era and lost.
    pub(super) listed: bool,
    /// Era of the object service in which its node object was last listed.
    listed_era: Era,
    /// When its node object was first listed.
    first_listed: Option<Instant>,
    /// Hash of the name of its data centre; 0 until it is known.
    pub(super) data_centre_hash: u32,
    /// Its claim to hold the duties.
    duty: Option<DutyClaim>,
    /// Its work rates by service.
    pub(super) work: Vec<(Name, WorkRates)>,
    /// Its view of the object service.
    store: StoreView,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            incarnation: 0,
            speeds_seen: 0,
            last_heard: None,
            counts_received: BTreeMap::new(),
            listed: false,
            listed_era: Era::default(),
            first_listed: None,
            data_centre_hash: 0,
            duty: None,
            work: Vec::new(),
            store: StoreView::default(),
        }
    }

    /// Records that the peer has sent its counts of the windows from `first` on.
    pub(super) fn record_counts(&mut self, first: u64, current: u64, now: Instant) {
        let first = first.max(current.saturating_sub(WINDOWS_KEPT));
        self.counts_received
            .extend((first..=current).map(|window| (window, now)));
        while self.counts_received.len() as u64 > WINDOWS_KEPT + 1 {
            self.counts_received.pop_first();
        }
    }

    /// Records the fencing token under which the peer claims to hold the duties, and the version
    /// of its lease if it tells that.
    pub(super) fn record_duty(
        &mut self,
        epoch: Option<Epoch>,
        lease: Option<Revision>,
        now: Instant,
    ) {
        let known = self.duty.filter(|known| Some(known.epoch) == epoch);
        let known_lease = known.and_then(|known| known.lease);
        // Datagrams may arrive out of order.
        let is_newer = |lease: &Revision| known_lease.is_none_or(|(known, _)| *lease > known);
        let new_lease = lease.filter(is_newer).map(|lease| (lease, now));
        self.duty = epoch.map(|epoch| DutyClaim {
            epoch,
            since: known.map_or(now, |known| known.since),
            lease: new_lease.or(known_lease),
        });
    }
}

/// A node as described by its node object.
pub(super) struct ListedNode {
    pub(super) name: Name,
    pub(super) address: SocketAddr,
    /// Hash of the name of its data centre.
    pub(super) data_centre_hash: u32,
}

/// A peer and the time since it was heard, or listed if it never was.
pub(crate) struct KnownPeer {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    /// Whether it is in the same data centre.
    pub(crate) is_local: bool,
    pub(crate) silence: Duration,
}

/// The known other nodes, by name.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Hash of the name of this node's data centre.
    data_centre_hash: u32,
    by_name: HashMap<Name, Peer>,
    /// Number of heartbeat rounds so far.
    pub(super) round: u64,
    /// Whether the node objects have been read.
    pub(super) has_read_nodes: bool,
    /// Whether a peer has told which requests and prompt parts the fleet has quarantined.
    pub(super) has_crash_news: bool,
    /// When this node last noticed that it had not run for a while.
    resumed: Option<Instant>,
    /// When the object service last answered this node or a peer that watches it.
    pub(crate) freshness: Freshness,
}

impl Peers {
    /// Creates an empty table for a node in this data centre.
    pub(crate) fn new(data_centre_hash: u32, now: Instant) -> Self {
        Self {
            data_centre_hash,
            resumed: None,
            freshness: Freshness::new(now),
            by_name: HashMap::new(),
            round: 0,
            has_read_nodes: false,
            has_crash_news: false,
        }
    }

    /// Returns whether a peer counts in the ranking of the nodes that call the object service.
    /// A peer in another data centre may be silent for longer.
    fn is_ranked(&self, peer: &Peer, now: Instant) -> bool {
        let is_local = peer.data_centre_hash == self.data_centre_hash;
        let timeout = if is_local {
            LIVE_TIMEOUT
        } else {
            REMOTE_LIVE_TIMEOUT
        };
        let recent = |at| now.saturating_duration_since(at) < timeout;
        peer.last_heard.is_some_and(recent)
    }

    /// Records a peer's view of the object service. `own_era` is that of this node's server list: a
    /// peer whose list is of an earlier one does not watch for this node, which can't take its
    /// changes.
    pub(super) fn set_store_view(&mut self, name: &Name, view: StoreView, own_era: Option<Era>) {
        let Some(peer) = self.by_name.get_mut(name) else {
            return;
        };
        let list_era = view.list_era.or(peer.store.list_era);
        let is_behind = list_era.is_some() && list_era < own_era;
        peer.store = StoreView {
            answered: view.answered.filter(|_| !is_behind),
            list_era,
            ..view
        };
    }

    /// Returns whether a live peer knows what the object service has lost in the restore that
    /// began `era`, while servers and operators may not have written it again.
    pub(crate) fn remembers_before(&self, era: Era, now: Instant) -> bool {
        let mut live = self.by_name.values().filter(|peer| is_live(peer, now));
        live.any(|peer| {
            let told = peer.store;
            told.restored || told.list_era.is_some_and(|told| told < era)
        })
    }

    /// Returns the number of known peers.
    pub(crate) fn known_count(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the number of live peers.
    pub(crate) fn live_count(&self, now: Instant) -> usize {
        self.by_name
            .values()
            .filter(|peer| is_live(peer, now))
            .count()
    }

    /// Returns whether this node knows the requests and prompt parts that the fleet has
    /// quarantined, from the node objects or from a peer that knows them.
    pub(crate) fn knows_crashes(&self) -> bool {
        self.has_read_nodes || self.has_crash_news
    }

    /// Returns whether this node has read the node objects or has a live peer.
    pub(crate) fn is_initialized(&self, now: Instant) -> bool {
        self.has_read_nodes || self.live_count(now) > 0
    }

    /// Returns the names of the live peers.
    pub(super) fn live_names(&self, now: Instant) -> impl Iterator<Item = &Name> {
        let live = self
            .by_name
            .iter()
            .filter(move |(_, peer)| is_live(peer, now));
        live.map(|(name, _)| name)
    }

    /// Returns the time since a peer was heard, or was first listed if it never was; `None` for an
    /// unknown one.
    pub(super) fn silence(&self, name: &Name, now: Instant) -> Option<Duration> {
        let peer = self.by_name.get(name)?;
        let since = peer.last_heard.or(peer.first_listed)?;
        Some(now.saturating_duration_since(since))
    }

    /// Returns the incarnation of a peer that was heard last; `None` if none was.
    pub(super) fn incarnation(&self, name: &Name) -> Option<u64> {
        let peer = self.by_name.get(name)?;
        (peer.incarnation != 0).then_some(peer.incarnation)
    }

    /// Returns whether this node hears only a minority of the nodes that it heard lately.
    pub(crate) fn is_in_minority(&self, now: Instant) -> bool {
        let lately = |at| now.saturating_duration_since(at) < RECENT_TIME;
        let recent = self.by_name.values();
        let recent = recent.filter(|peer| peer.last_heard.is_some_and(lately));
        (self.live_count(now) + 1) * 2 <= recent.count() + 1
    }

    /// Records that this node has not run for a while.
    pub(crate) fn record_resumed(&mut self, now: Instant) {
        self.resumed = Some(now);
    }

    /// Returns whether most of the nodes that were heard lately have been heard just now. In a large
    /// fleet, remote peers send rarely, but one peer at least must have been heard just now.
    pub(crate) fn hears_majority(&self, fan_out: usize, now: Instant) -> bool {
        // What a node hears as it resumes may have waited for it for long.
        let heard_from = self.resumed.map(|at| at + QUEUE_TIME);
        let heard_within = |time| {
            let heard = self.by_name.values().filter_map(|peer| peer.last_heard);
            let heard = heard.filter(|at| now.saturating_duration_since(*at) < time);
            heard
                .filter(|at| time == RECENT_TIME || heard_from.is_none_or(|from| *at >= from))
                .count()
        };
        let (recent, just_now) = (heard_within(RECENT_TIME), heard_within(JUST_NOW));
        let heard = if self.is_large_fleet(fan_out) {
            heard_within(REMOTE_INTERVAL)
        } else {
            just_now
        };
        recent == 0 || (just_now > 0 && (heard + 1) * 2 > recent + 1)
    }

    /// Returns whether a live peer holds the duties.
    pub(crate) fn has_live_duty_holder(&self, now: Instant) -> bool {
        let mut live = self.by_name.values().filter(|peer| is_live(peer, now));
        live.any(|peer| peer.duty.is_some())
    }

    /// Returns the latest version of the duties' lease that a holder has told of, and when that was
    /// received.
    pub(crate) fn told_lease(&self) -> Option<(Revision, Instant)> {
        let claims = self.by_name.values().filter_map(|peer| peer.duty);
        claims.filter_map(|claim| claim.lease).max()
    }

    /// Returns the addresses of the peers that would be the first to take over the duties from
    /// this node.
    pub(super) fn first_callers(&self, now: Instant) -> Vec<SocketAddr> {
        let first = first_callers(&self.ranked_peers(now));
        let peers = self.by_name.iter();
        let peers = peers.filter(|(name, _)| first.contains(&name_hash(name)));
        peers.map(|(_, peer)| peer.address).collect()
    }

    /// Starts the next round and returns its recipients in this data centre and in others:
    /// a bounded number in each round, in rotation. Remote peers receive more from nodes whose
    /// messages they depend on (`is_awaited`).
    pub(super) fn next_round(&mut self, fan_out: usize, is_awaited: bool) -> [Vec<SocketAddr>; 2] {
        self.round += 1;
        let [local, remote] = self.by_locality();
        let each = peers_per_round(local.len(), remote.len(), fan_out, is_awaited);
        [
            peers_for_round(local, each.local, self.round),
            peers_for_round(remote, each.remote, self.round),
        ]
    }

    /// Returns the number of rounds in which every peer receives one message.
    pub(super) fn rounds_to_cover(&self, fan_out: usize, is_awaited: bool) -> u32 {
        let [local, remote] = self.by_locality();
        rounds_to_cover(local.len(), remote.len(), fan_out, is_awaited) as u32
    }

    /// Returns the number of rounds in which each peer in this data centre receives a heartbeat.
    pub(super) fn rounds_to_cover_local(&self, fan_out: usize) -> u32 {
        let [local, _] = self.by_locality();
        rounds_to_cover(local.len(), 0, fan_out, false) as u32
    }

    /// Records that the first `end` measurements of a peer have been received, or missed. Returns
    /// up to which they had been before.
    pub(super) fn record_speeds(&mut self, name: &Name, end: u64) -> u64 {
        let Some(peer) = self.by_name.get_mut(name) else {
            return end;
        };
        let seen = peer.speeds_seen;
        peer.speeds_seen = seen.max(end);
        seen
    }

    /// Returns whether the fleet is so large that peers in other data centres receive less.
    pub(super) fn is_large_fleet(&self, fan_out: usize) -> bool {
        is_large_fleet(self.by_name.len(), fan_out)
    }

    /// Returns the live peers of this data centre if this node represents it: the node with the
    /// lowest name hash sends the loads of all of them to the other data centres.
    pub(super) fn represented_peers(&self, own: &Name, now: Instant) -> Option<HashSet<Name>> {
        let local = self.by_name.iter();
        let local = local.filter(|(_, peer)| {
            peer.data_centre_hash == self.data_centre_hash && is_live(peer, now)
        });
        let local: HashSet<Name> = local.map(|(name, _)| name.clone()).collect();
        let own = name_hash(own);
        local
            .iter()
            .all(|name| name_hash(name) > own)
            .then_some(local)
    }

    /// Returns the addresses of the peers in this data centre and of those in others, each
    /// sorted.
    fn by_locality(&self) -> [Vec<SocketAddr>; 2] {
        [true, false].map(|is_local| {
            let peers = self
                .by_name
                .values()
                .filter(|peer| (peer.data_centre_hash == self.data_centre_hash) == is_local);
            let mut addresses: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
            addresses.sort_unstable();
            addresses
        })
    }

    /// Returns when each peer was last heard and when its counts of a window were received.
    pub(crate) fn usage_times(&self, window: u64) -> impl Iterator<Item = PeerTimes> {
        self.by_name.values().map(move |peer| PeerTimes {
            last_heard: peer.last_heard,
            counts_received: peer.counts_received.get(&window).copied(),
        })
    }

    /// Returns the hashes of the names of all known peers, sorted.
    pub(crate) fn known_hashes(&self) -> Vec<u64> {
        let mut hashes: Vec<u64> = self.by_name.keys().map(name_hash).collect();
        hashes.sort_unstable();
        hashes
    }

    /// Returns the known peers with the times since they were heard.
    pub(crate) fn known_peers(&self, now: Instant) -> impl Iterator<Item = KnownPeer> {
        self.by_name.iter().map(move |(name, peer)| KnownPeer {
            name: name.clone(),
            address: peer.address,
            is_local: peer.data_centre_hash == self.data_centre_hash,
            silence: self.silence(name, now).unwrap_or_default(),
        })
    }

    /// Returns the addresses of the first `count` peers that keep copies of a stream's version.
    pub(super) fn copy_addresses(
        &self,
        stream: StreamId,
        count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let ranked = self.by_name.iter();
        let ranked = ranked.filter(|(_, peer)| self.is_ranked(peer, now) || is_new(peer, now));
        let nodes = ranked.map(|(name, peer)| CopyNode {
            key: peer.address,
            name_hash: name_hash(name),
            data_centre_hash: peer.data_centre_hash,
        });
        copy_nodes(stream, nodes, count)
    }

    /// Returns the addresses of all peers.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_name.values().map(|peer| peer.address).collect()
    }

    /// Returns whether there is a new duty holder, which may lack the counts of earlier windows.
    pub(super) fn has_new_duty_holder(&self, now: Instant) -> bool {
        let mut holders = self.by_name.values().filter_map(|peer| peer.duty);
        holders.any(|claim| now.saturating_duration_since(claim.since) < NEW_HOLDER_TIME)
    }

    /// Returns the recipients of usage counts in this round: the duty holder, which reports
    /// them, and a few peers that keep them in case this node is killed.
    pub(super) fn usage_recipients(&self) -> Vec<SocketAddr> {
        let holders = self.by_name.values().filter(|peer| peer.duty.is_some());
        let mut addresses: Vec<SocketAddr> = holders.map(|peer| peer.address).collect();
        let [local, remote] = self.by_locality();
        // Traffic within the data centre is cheapest, but it may have too few other nodes.
        let others = if local.len() < USAGE_BACKUP_PEERS {
            [local, remote].concat()
        } else {
            local
        };
        addresses.extend(peers_for_round(
            others,
            USAGE_BACKUP_PEERS,
            self.round / ROUNDS_PER_USAGE_MESSAGE,
        ));
        addresses
    }

    /// Updates the table from a listing of the node objects, and removes peers that are neither
    /// listed nor heard. A node that is cut off can't write its object again after a restore of
    /// the object service, and stays.
    pub(super) fn update_nodes(&mut self, nodes: Vec<ListedNode>, era: Era, now: Instant) {
        self.has_read_nodes = true;
        for peer in self.by_name.values_mut() {
            peer.listed &= peer.listed_era < era;
        }
        for ListedNode {
            name,
            address,
            data_centre_hash,
        } in nodes
        {
            let peer = self.by_name.entry(name).or_insert(Peer::new(address));
            peer.address = address;
            peer.data_centre_hash = data_centre_hash;
            peer.listed = true;
            peer.listed_era = era;
            peer.first_listed.get_or_insert(now);
        }
        let is_silent = |peer: &Peer| {
            peer.last_heard
                .is_none_or(|at| now.saturating_duration_since(at) > FORGET_TIMEOUT)
        };
        self.by_name
            .retain(|_, peer| peer.listed || !is_silent(peer));
    }

    /// Returns whether any message of a node has been received.
    pub(super) fn has_heard_from(&self, name: &Name) -> bool {
        let peer = self.by_name.get(name);
        peer.is_some_and(|peer| peer.last_heard.is_some())
    }

    /// Records a message of a peer.
    pub(super) fn record_heard(
        &mut self,
        name: &Name,
        address: SocketAddr,
        now: Instant,
    ) -> &mut Peer {
        let known = self.by_name.get(name);
        if !known.is_some_and(|peer| self.is_ranked(peer, now)) {
            log::info!("dependency name=node/{name} state=regained address={address}");
        }
        let peer = self.by_name.entry(name.clone());
        let peer = peer.or_insert(Peer::new(address));
        peer.address = address;
        peer.last_heard = Some(now);
        peer
    }

    /// Returns the peers that count in the choice of the nodes that call the object service. One
    /// that has just been listed counts before it is heard.
    pub(crate) fn ranked_peers(&self, now: Instant) -> Vec<LivePeer> {
        let ranked = self.by_name.iter();
        let ranked = ranked.filter(|(_, peer)| self.is_ranked(peer, now) || is_new(peer, now));
        let views = ranked.map(|(name, peer)| LivePeer {
            node: RankedNode {
                rank: name_hash(name),
                data_centre_hash: peer.data_centre_hash,
            },
            last_answer_age: peer
                .store
                .answered
                .filter(|at| self.freshness.is_trusted(*at))
                .map(|at| now.saturating_duration_since(at)),
        });
        views.collect()
    }

    /// Returns the peers that this node notifies at once of what it has read from the object
    /// service; the other watching nodes notify the rest.
    pub(super) fn assigned_peers(&self, own: &Name, now: Instant) -> Vec<SocketAddr> {
        let own = name_hash(own);
        let watchers = watcher_ranks(own, &self.ranked_peers(now));
        let assigned = self.by_name.iter();
        let assigned = assigned.filter(|(name, _)| notifies(own, &watchers, name_hash(name)));
        assigned.map(|(_, peer)| peer.address).collect()
    }

    /// Returns this node's place among the nodes that watch the object service, and their number.
    pub(crate) fn watcher_place(&self, own: &Name, now: Instant) -> (usize, usize) {
        let own = name_hash(own);
        let peers = self.ranked_peers(now);
        let watchers = watcher_ranks(own, &peers);
        let place = watchers.iter().position(|rank| *rank == own);
        (place.unwrap_or(0), watchers.len().max(caller_count(&peers)))
    }

    /// Returns the sum of a service's work rates at the live peers.
    pub(crate) fn work_rates(&self, service: &Name, now: Instant) -> WorkRates {
        let live = self.by_name.values().filter(|peer| is_live(peer, now));
        let work = live.flat_map(|peer| &peer.work);
        let work = work.filter(|(name, _)| name == service);
        work.fold(WorkRates::default(), |sum, (_, rates)| WorkRates {
            prefill: sum.prefill + rates.prefill,
            decode: sum.decode + rates.decode,
        })
    }
}

/// Returns the hash of a node's or data centre's name. All nodes compute the same hash, so that
/// they agree on the ranking of the nodes that watch the object service.
pub(crate) fn name_hash(name: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// Returns whether a peer was first listed a short time ago and has not been heard yet.
fn is_new(peer: &Peer, now: Instant) -> bool {
    let recent = |at| now.saturating_duration_since(at) < LIVE_TIMEOUT;
    peer.last_heard.is_none() && peer.first_listed.is_some_and(recent)
}

/// Returns whether a peer was heard within the last [`LIVE_TIMEOUT`].
fn is_live(peer: &Peer, now: Instant) -> bool {
    let recent = |at| now.saturating_duration_since(at) < LIVE_TIMEOUT;
    peer.last_heard.is_some_and(recent)
}
