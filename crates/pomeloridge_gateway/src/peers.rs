//! What nodes tell one another: loads they put on servers, counts of usage, the
//! time of day and the configuration's revision, in datagrams of which only the
//! latest matters. Nodes find one another through objects of their own.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;
use pomeloridge_base::id::{Epoch, Name, Revision};
use pomeloridge_platform::{Event, Expect, Object, PlatformError};
use pomeloridge_policy::dispatch::{OwnLoad, PeerLoad, Placed};
use pomeloridge_policy::parts::Part;
use pomeloridge_policy::watchers::PeerView;
use pomeloridge_policy::work_meter::WorkRates;
use prost::Message;
use serde_json::json;

use crate::server_list::{Applied, ListChange};
use crate::state::State;
use crate::usage::{Counts, Source};
use crate::{internal, watch};

/// Prefix of the nodes' objects.
const NODES_PREFIX: &str = "pomeloridge-nodes/";
/// Pause between two reads of the nodes' objects; a node that starts tells the others.
const LIST_PAUSE: Duration = Duration::from_secs(30);
/// Pause between two tries while no node could be read or written.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Silence after which a peer is not counted as live.
const LIVE: Duration = Duration::from_secs(3);
/// Silence after which a peer that is not listed is forgotten.
const FORGET: Duration = Duration::from_secs(20);
/// Rounds between two that carry counts of usage and rates of work.
const USAGE_ROUNDS: u64 = 4;
/// Peers besides the holder that are told the counts in one of those rounds.
const USAGE_COPIES: usize = 3;
/// Age of a peer's last answer up to which the object service is there for it; above
/// the time that a watch may wait, and below that in which entries lapse.
const ANSWERED: Duration = Duration::from_secs(3);
/// Bytes of the largest datagram that is read.
const DATAGRAM_BYTES: usize = 60 * 1024;

/// A datagram to a peer.
#[derive(Clone, PartialEq, Message)]
struct BeatWire {
    #[prost(string, tag = "1")]
    node: String,
    /// The sender's start.
    #[prost(uint64, tag = "2")]
    life: u64,
    /// Believed time of day, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    unix_ms: u64,
    /// Version of the configuration in force; 0 if there is none.
    #[prost(uint64, tag = "4")]
    config: u64,
    #[prost(message, optional, tag = "5")]
    loads: Option<LoadsWire>,
    #[prost(message, repeated, tag = "6")]
    usage: Vec<UsageWire>,
    /// Fencing token of the duties if the sender holds them, else 0.
    #[prost(uint64, tag = "7")]
    duty: u64,
    #[prost(message, optional, tag = "8")]
    placed: Option<PlacedWire>,
    #[prost(message, repeated, tag = "9")]
    work: Vec<WorkWire>,
    /// Hashes of the engines that the holder of the duties has ordered to another stage.
    #[prost(fixed32, repeated, tag = "10")]
    changing: Vec<u32>,
    /// Revision of the list of servers; 0 before it was read.
    #[prost(uint64, tag = "11")]
    servers: u64,
    /// Time since the object service answered the sender's watch, in milliseconds.
    #[prost(uint64, optional, tag = "12")]
    answered_ms: Option<u64>,
    /// Changes of the list of servers that the sender has just seen.
    #[prost(message, optional, tag = "13")]
    change: Option<ChangeWire>,
    /// Whether the sender has lost the object service of late, or has just started.
    #[prost(bool, tag = "14")]
    was_away: bool,
}

/// Changes of the list of servers.
#[derive(Clone, PartialEq, Message)]
struct ChangeWire {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    to: u64,
    #[prost(message, repeated, tag = "3")]
    events: Vec<EventWire>,
}

#[derive(Clone, PartialEq, Message)]
struct EventWire {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    /// JSON of the entry; absent where it was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    value: Option<Vec<u8>>,
}

impl From<&ListChange> for ChangeWire {
    fn from(change: &ListChange) -> Self {
        let events = change.events.iter().map(|event| EventWire {
            key: event.key.clone(),
            version: event.version.0,
            value: event
                .value
                .as_ref()
                .map(|value| value.to_string().into_bytes()),
        });
        Self {
            from: change.from.0,
            to: change.to.0,
            events: events.collect(),
        }
    }
}

impl TryFrom<ChangeWire> for ListChange {
    type Error = serde_json::Error;

    fn try_from(wire: ChangeWire) -> Result<Self, Self::Error> {
        let events = wire.events.into_iter().map(|event| {
            let value = event.value.map(|json| serde_json::from_slice(&json));
            Ok(Event {
                key: event.key,
                version: Revision(event.version),
                value: value.transpose()?,
            })
        });
        Ok(Self {
            from: Revision(wire.from),
            to: Revision(wire.to),
            events: events.collect::<Result<_, _>>()?,
        })
    }
}

/// Work asked for at the sender.
#[derive(Clone, PartialEq, Message)]
struct WorkWire {
    #[prost(string, tag = "1")]
    service: String,
    /// Prompt tokens a second.
    #[prost(float, tag = "2")]
    read: f32,
    /// Output tokens a second.
    #[prost(float, tag = "3")]
    make: f32,
}

/// Shared parts of prompts that servers were given to read, in columns, which take
/// less room than rows.
#[derive(Clone, PartialEq, Message)]
struct PlacedWire {
    /// Hashes of the servers' identities.
    #[prost(fixed32, repeated, tag = "1")]
    servers: Vec<u32>,
    #[prost(uint64, repeated, tag = "2")]
    parts: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    tokens: Vec<u64>,
}

impl From<&[Placed]> for PlacedWire {
    fn from(placed: &[Placed]) -> Self {
        Self {
            servers: placed.iter().map(|placed| placed.server).collect(),
            parts: placed.iter().map(|placed| placed.part.id).collect(),
            tokens: placed.iter().map(|placed| placed.part.tokens).collect(),
        }
    }
}

impl From<PlacedWire> for Vec<Placed> {
    fn from(wire: PlacedWire) -> Self {
        let parts = wire.parts.into_iter().zip(wire.tokens);
        let parts = parts.map(|(id, tokens)| Part { id, tokens });
        let placed = wire.servers.into_iter().zip(parts);
        placed
            .map(|(server, part)| Placed { server, part })
            .collect()
    }
}

/// Loads that the sender has put on servers, in columns.
#[derive(Clone, PartialEq, Message)]
struct LoadsWire {
    /// Hashes of the servers' identities.
    #[prost(fixed32, repeated, tag = "1")]
    servers: Vec<u32>,
    /// Prompt tokens that are not read yet.
    #[prost(uint64, repeated, tag = "2")]
    unread: Vec<u64>,
    #[prost(uint32, repeated, tag = "3")]
    running: Vec<u32>,
}

impl FromIterator<(u32, OwnLoad)> for LoadsWire {
    fn from_iter<I: IntoIterator<Item = (u32, OwnLoad)>>(loads: I) -> Self {
        let mut wire = Self::default();
        for (server, load) in loads {
            wire.servers.push(server);
            wire.unread.push(load.unread);
            wire.running.push(load.running);
        }
        wire
    }
}

impl LoadsWire {
    fn told(self, at: Instant) -> Vec<(u32, PeerLoad)> {
        let loads = self.unread.into_iter().zip(self.running);
        let loads = loads.map(|(unread, running)| OwnLoad { unread, running });
        let told = self.servers.into_iter().zip(loads);
        told.map(|(server, load)| (server, PeerLoad { load, at }))
            .collect()
    }
}

#[derive(Clone, PartialEq, Message)]
struct UsageWire {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(string, tag = "2")]
    account: String,
    #[prost(uint64, tag = "3")]
    count: u64,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    heard: Option<Instant>,
    listed: bool,
    /// Fencing token that the peer says to hold the duties by.
    duty: Option<Epoch>,
    work: Vec<(Name, WorkRates)>,
    /// When the object service last answered its watch, on this node's clock.
    answered: Option<Instant>,
}

/// The other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<Name, Peer>,
    round: u64,
}

impl Peers {
    fn answered(&mut self, name: &Name, answered: Option<Instant>) {
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
    fn next_round(&mut self, fan_out: usize) -> Vec<SocketAddr> {
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
    fn next_counted(&self) -> Vec<SocketAddr> {
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

    fn listed(&mut self, nodes: Vec<(Name, SocketAddr)>, now: Instant) {
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

    fn heard(&mut self, name: &Name, address: SocketAddr, now: Instant) -> &mut Peer {
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

    /// Every peer's address.
    fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
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

/// Writes this node's object and reads those of the others.
pub(crate) async fn discover(state: Rc<State>) {
    let mut announced = false;
    loop {
        if !announced {
            announced = announce(&state).await.is_ok();
        }
        let listed = state.store.list(NODES_PREFIX).await;
        let pause = if listed.is_ok() && announced {
            LIST_PAUSE
        } else {
            RETRY_PAUSE
        };
        if let Ok((_, objects)) = listed {
            let nodes = objects.iter().filter_map(node).collect::<Vec<_>>();
            let others = nodes.into_iter().filter(|(name, _)| *name != state.name);
            let now = state.now();
            state.peers.borrow_mut().listed(others.collect(), now);
        }
        monoio::time::sleep(pause).await;
    }
}

async fn announce(state: &State) -> Result<(), PlatformError> {
    let key = format!("{NODES_PREFIX}{}", state.name);
    let address = state.peer_address.to_string();
    let found = state.store.get(&key).await?;
    let value = json!({ "address": address, "life": state.life_id });
    let expect = Expect::found(found.as_ref());
    state.store.put_confirmed(&key, value, expect).await?;
    Ok(())
}

fn node(object: &Object) -> Option<(Name, SocketAddr)> {
    let name = object.key.strip_prefix(NODES_PREFIX)?;
    let address = object.value.get("address")?.as_str()?.parse().ok()?;
    Some((Name::from(name), address))
}

/// Tells the peers, in rounds, for as long as the node lives.
pub(crate) async fn tell(state: Rc<State>, socket: Rc<UdpSocket>) {
    let pause = state.settings.time("peers", "pause_ms");
    let fan_out = state.settings.number("peers", "fan_out") as usize;
    loop {
        monoio::time::sleep(pause).await;
        let addresses = state.peers.borrow_mut().next_round(fan_out);
        if addresses.is_empty() {
            continue;
        }
        let plain = beat(&state);
        send(&socket, &plain, addresses).await;
        if !state.peers.borrow().round.is_multiple_of(USAGE_ROUNDS) {
            continue;
        }
        let now = state.now();
        let counted = BeatWire {
            usage: usage_wire(&state),
            work: work_wire(&state, now),
            ..plain
        };
        let addresses = state.peers.borrow().next_counted();
        send(&socket, &counted, addresses).await;
    }
}

async fn send(socket: &UdpSocket, beat: &BeatWire, addresses: Vec<SocketAddr>) {
    let bytes = beat.encode_to_vec();
    for address in addresses {
        // A datagram that is lost is made up for by the next one.
        let (sent, _) = socket.send_to(bytes.clone(), address).await;
        if let Err(error) = sent {
            log::debug!("beat address={address} failed: {error}");
        }
    }
}

fn beat(state: &State) -> BeatWire {
    let now = state.now();
    let peers = state.peers.borrow();
    let fan_out = state.settings.number("peers", "fan_out") as usize;
    // Each peer is told once in so many rounds, and once more in case one is lost.
    let rounds = peers.peers.len().div_ceil(fan_out) as u32 + 1;
    let span = state.settings.time("peers", "pause_ms") * rounds;
    let mut dispatcher = state.dispatcher.borrow_mut();
    let placed = dispatcher.placed(span, now);
    let loads = dispatcher.own_loads().collect();
    BeatWire {
        node: state.name.to_string(),
        life: state.life_id,
        unix_ms: state.time.borrow().unix_ms(now),
        config: state.config().map_or(0, |config| config.version),
        loads: Some(loads),
        usage: Vec::new(),
        duty: state.duty.get().map_or(0, |epoch| epoch.0),
        placed: Some(placed.as_slice().into()),
        work: Vec::new(),
        changing: state.changing.borrow().clone(),
        servers: state
            .server_list
            .borrow()
            .revision()
            .map_or(0, |revision| revision.0),
        answered_ms: answered_ms(state, now),
        change: None,
        was_away: state.register.borrow().in_grace(),
    }
}

fn answered_ms(state: &State, now: Instant) -> Option<u64> {
    let answered = state.store_answered.get()?;
    Some(now.saturating_duration_since(answered).as_millis() as u64)
}

/// Tells every peer at once of changes that the object service has told.
pub(crate) fn spread(state: &Rc<State>, change: &ListChange) {
    let now = state.now();
    let beat = BeatWire {
        node: state.name.to_string(),
        life: state.life_id,
        unix_ms: state.time.borrow().unix_ms(now),
        config: state.config().map_or(0, |config| config.version),
        duty: state.duty.get().map_or(0, |epoch| epoch.0),
        answered_ms: answered_ms(state, now),
        change: Some(change.into()),
        was_away: state.register.borrow().in_grace(),
        ..BeatWire::default()
    };
    send_to_all(state, beat);
}

/// Tells every peer at once that a newer configuration is in force here.
pub(crate) fn spread_config(state: &Rc<State>, version: u64) {
    let now = state.now();
    let beat = BeatWire {
        node: state.name.to_string(),
        life: state.life_id,
        unix_ms: state.time.borrow().unix_ms(now),
        config: version,
        duty: state.duty.get().map_or(0, |epoch| epoch.0),
        answered_ms: answered_ms(state, now),
        was_away: state.register.borrow().in_grace(),
        ..BeatWire::default()
    };
    send_to_all(state, beat);
}

fn send_to_all(state: &Rc<State>, beat: BeatWire) {
    let addresses = state.peers.borrow().addresses();
    let state = Rc::clone(state);
    monoio::spawn(async move {
        let socket = state.socket.borrow().clone();
        if let Some(socket) = socket {
            send(&socket, &beat, addresses).await;
        }
    });
}

fn work_wire(state: &State, now: Instant) -> Vec<WorkWire> {
    let work = state.work.borrow();
    let work = work.iter().map(|(service, meter)| {
        let rates = meter.rates(now);
        WorkWire {
            service: service.to_string(),
            read: rates.read as f32,
            make: rates.make as f32,
        }
    });
    work.collect()
}

fn work(wire: WorkWire) -> (Name, WorkRates) {
    let rates = WorkRates {
        read: f64::from(wire.read),
        make: f64::from(wire.make),
    };
    (Name::from(wire.service), rates)
}

fn usage_wire(state: &State) -> Vec<UsageWire> {
    let book = state.usage.borrow();
    let lines = book.own().flat_map(|(window, counts)| {
        counts.iter().map(move |(account, count)| UsageWire {
            window,
            account: account.to_string(),
            count: *count,
        })
    });
    lines.collect()
}

/// Takes in what peers tell, for as long as the node lives.
pub(crate) async fn listen(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let (received, bytes) = socket.recv_from(Vec::with_capacity(DATAGRAM_BYTES)).await;
        match received {
            Ok((count, address)) => match BeatWire::decode(&bytes[..count]) {
                Ok(beat) => take_in(&state, beat, address),
                Err(error) => log::debug!("datagram from {address} not read: {error}"),
            },
            Err(error) => {
                log::warn!("peer datagrams cannot be received: {error}");
                monoio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn take_in(state: &Rc<State>, mut beat: BeatWire, address: SocketAddr) {
    let now = state.now();
    let name = Name::from(beat.node.as_str());
    if name == state.name {
        return;
    }
    let duty = (beat.duty > 0).then_some(Epoch(beat.duty));
    let mut peers = state.peers.borrow_mut();
    let peer = peers.heard(&name, address, now);
    peer.duty = duty;
    if !beat.work.is_empty() {
        let told = std::mem::take(&mut beat.work);
        peer.work = told.into_iter().map(work).collect();
    }
    drop(peers);
    let corrected = state.time.borrow_mut().heard(&name, beat.unix_ms, now);
    if let Some(by) = corrected {
        log::info!("time choice=correct by_ms={by} reason=\"median of the nodes\"");
    }
    take_in_store(state, &beat, &name, address);
    if beat.change.is_some() || beat.servers == 0 {
        // Words about the store alone say nothing of loads.
        return;
    }
    let loads = beat.loads.unwrap_or_default().told(now);
    let placed: Vec<Placed> = beat.placed.unwrap_or_default().into();
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.peer_loads(&name, &loads);
    dispatcher.peer_placed(&placed);
    dispatcher.changing(&beat.changing, now);
    drop(dispatcher);
    let source = Source {
        node: name.clone(),
        life: beat.life,
    };
    let mut told: HashMap<u64, Counts> = HashMap::new();
    for line in beat.usage {
        let counts = told.entry(line.window).or_default();
        counts.insert(Name::from(line.account), line.count);
    }
    let mut usage = state.usage.borrow_mut();
    for (window, counts) in told {
        usage.heard(&source, window, counts);
    }
    drop(usage);
}

/// Takes in what a peer tells of the object service.
fn take_in_store(state: &Rc<State>, beat: &BeatWire, name: &Name, address: SocketAddr) {
    let now = state.now();
    let age = beat.answered_ms.map(Duration::from_millis);
    let answered = age.and_then(|age| now.checked_sub(age));
    state.peers.borrow_mut().answered(name, answered);
    if age.is_some_and(|age| age < ANSWERED) && !beat.was_away {
        watch::store_was_there(state);
    }
    let known = state.config().map_or(0, |config| config.version);
    if beat.config > known {
        fetch_config(state, address);
    }
    let applied = beat.change.clone().map(ListChange::try_from);
    let gap = match applied {
        Some(Ok(change)) => watch::change_servers(state, &change) == Applied::Gap,
        Some(Err(error)) => {
            log::warn!("servers from={name} choice=read_list reason=\"{error}\"");
            true
        }
        None => {
            let known = state.server_list.borrow().revision();
            beat.servers > known.map_or(0, |revision| revision.0)
        }
    };
    if gap && !state.watches() && !state.fetching.replace(true) {
        fetch_servers(state, address);
    }
}

/// Reads the list of servers from a peer that knows a newer one.
fn fetch_servers(state: &Rc<State>, address: SocketAddr) {
    let state = Rc::clone(state);
    monoio::spawn(async move {
        match internal::read_servers(address).await {
            Ok((revision, objects)) => watch::replace_servers(&state, revision, &objects),
            Err(error) => log::debug!("servers from {address} not read: {error}"),
        }
        state.fetching.set(false);
    });
}

/// Reads a newer configuration from a peer, where the object service may be out of reach.
fn fetch_config(state: &Rc<State>, address: SocketAddr) {
    let state = Rc::clone(state);
    monoio::spawn(async move {
        match internal::read_config(address).await {
            Ok(object) => watch::adopt(&state, &object),
            Err(error) => log::debug!("config from {address} not read: {error}"),
        }
    });
}
