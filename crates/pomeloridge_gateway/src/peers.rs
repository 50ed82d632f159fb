//! What nodes tell one another: loads they put on servers, counts of usage, the
//! time of day and the configuration's revision, in datagrams of which only the
//! latest matters. Nodes find one another through objects of their own.

mod node_object;
mod table;
mod wire;

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;
use pomeloridge_base::counted::Counted;
use pomeloridge_base::id::{Epoch, Name, Revision};
use pomeloridge_platform::PutOutcome;
use pomeloridge_policy::dispatch::Placed;
use pomeloridge_policy::work_meter::WorkRates;
use prost::Message;

use crate::server_list::{ApplyOutcome, ServerListDelta};
use crate::state::State;
use crate::usage::{Counts, UsageSource};
use crate::{internal, watch};

pub(crate) use table::{Peers, name_hash};
use wire::{ChangeWire, CrashesWire, PeerMessage, UsageWire, WorkWire};

/// Pause between two reads of the nodes' objects; a node that starts tells the others.
const LIST_PAUSE: Duration = Duration::from_mins(2);
/// The same for a node that hears no peer.
const ALONE_PAUSE: Duration = Duration::from_secs(2);
/// Pause between two looks whether to read or write objects now.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two tries while no node could be read or written.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Rounds between two that carry counts of usage and rates of work.
const USAGE_ROUNDS: u64 = 4;
/// Time in which changes of the list of servers that were told in another order come.
const GAP_PAUSE: Duration = Duration::from_millis(200);
/// Time over which the nodes of a data centre spread their reads from another one.
const FAR_READ_SPREAD: Duration = Duration::from_millis(500);
/// Pause after a read that failed; the next word of a peer starts another.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Time after a window's end for which its counts are told on.
const USAGE_SPAN: Duration = Duration::from_secs(3);
/// Age of a peer's last answer up to which the object service is there for it; above
/// the time that a watch may wait, and below that in which entries lapse.
const ANSWERED: Duration = Duration::from_secs(3);
/// Time for which a node that has started tells others in short turns.
const NEW: Duration = Duration::from_secs(3);
/// Bytes of the largest datagram that is read.
const DATAGRAM_BYTES: usize = 60 * 1024;

/// Writes this node's object and reads those of the others.
pub(crate) async fn discover(state: Rc<State>) {
    let mut announced = false;
    loop {
        if state.bars_changed.take() {
            announced = false;
        }
        if !announced {
            let written = node_object::write(&state).await;
            announced = matches!(written, Ok(PutOutcome::Written(_)));
            if !announced {
                log::debug!("node object not written: {written:?}");
            }
        }
        let listed = state.store.list(node_object::PREFIX).await;
        let done = listed.is_ok() && announced;
        if let Ok((_, objects)) = listed {
            let nodes = objects
                .iter()
                .filter_map(|object| node_object::read(&state, object));
            let others = nodes.filter(|node| node.name != state.name).collect();
            let mut peers = state.peers.borrow_mut();
            let is_first = !peers.was_listed;
            peers.listed(others, state.now());
            drop(peers);
            if is_first {
                announce(&state);
            }
        }
        if done {
            rest(&state).await;
        } else {
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Waits until the nodes' objects are read again, or this node's is to be written.
async fn rest(state: &State) {
    let since = state.now();
    while !state.bars_changed.get() && !is_rested(state, since) {
        monoio::time::sleep(LOOK_PAUSE).await;
    }
}

fn is_rested(state: &State, since: Instant) -> bool {
    let now = state.now();
    let rested = now.saturating_duration_since(since);
    let peers = state.peers.borrow();
    // Only the object service tells a node that is cut off from its peers.
    let alone = peers.known_count() > 0 && peers.live_count(now) == 0;
    rested >= if alone { ALONE_PAUSE } else { LIST_PAUSE }
}

/// Tells the peers, in rounds, for as long as the node lives.
pub(crate) async fn send_heartbeats(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let settings = state.settings();
        monoio::time::sleep(settings.time("peers", "pause_ms")).await;
        let fan_out = settings.number("peers", "fan_out") as usize;
        let words = Words::of(&state, fan_out);
        let [near, far] = state.peers.borrow_mut().next_round(fan_out, words.awaited);
        if near.is_empty() && far.is_empty() {
            continue;
        }
        let beat = beat(&state, &words, fan_out);
        if words.large {
            send(&socket, &beat, near).await;
            send(&socket, &far_beat(&state, beat, &words), far).await;
        } else {
            send(&socket, &beat, [near, far].concat()).await;
        }
        if state.peers.borrow().round.is_multiple_of(USAGE_ROUNDS) {
            send_usage(&state, &socket).await;
        }
    }
}

/// Tells the counts of usage and the rates of work; also the last word of a node.
pub(crate) async fn send_usage(state: &State, socket: &UdpSocket) {
    let now = state.now();
    let first = first_told(state, now);
    let counted = PeerMessage {
        usage: usage_wire(state, first),
        counted_from: Some(first),
        work: work_wire(state, now),
        ..introduction(state)
    };
    let addresses = state.peers.borrow().next_counted();
    send(socket, &counted, addresses).await;
}

/// The first window whose counts are told: a new holder of the duties needs them all,
/// others those that may have changed since they were last told.
fn first_told(state: &State, now: Instant) -> u64 {
    if state.peers.borrow().has_new_holder(now) {
        return 0;
    }
    state.current_window(now.checked_sub(USAGE_SPAN).unwrap_or(now))
}

async fn send(socket: &UdpSocket, beat: &PeerMessage, addresses: Vec<SocketAddr>) {
    let bytes = beat.encode_to_vec();
    for address in addresses {
        // A datagram that is lost is made up for by the next one.
        let (sent, _) = socket.send_to(bytes.clone(), address).await;
        if let Err(error) = sent {
            log::debug!("beat address={address} failed: {error}");
        }
    }
}

/// What is told in a round, and how often.
struct Words {
    /// Whether peers of other data centres are told less.
    large: bool,
    /// Whether peers in other data centres wait for this node's words: it has just started,
    /// calls the object service, holds the duties or speaks for its data centre.
    awaited: bool,
    /// The peers that it speaks for.
    spoken_for: Option<HashSet<Name>>,
}

impl Words {
    fn of(state: &State, fan_out: usize) -> Self {
        let now = state.now();
        let peers = state.peers.borrow();
        let spoken_for = peers.spoken_for(&state.name, now);
        let is_new = now.saturating_duration_since(state.started) < NEW;
        Self {
            large: peers.is_large(fan_out),
            awaited: is_new || acts_for_all(state) || spoken_for.is_some(),
            spoken_for,
        }
    }
}

/// Whether this node calls the object service for others, or holds the duties.
fn acts_for_all(state: &State) -> bool {
    state.store_answered.get().is_some() || state.duty.get().is_some()
}

/// The word to a peer in another data centre of a large fleet: who speaks for a data centre
/// tells the loads of all of its nodes.
fn far_beat(state: &State, near: PeerMessage, words: &Words) -> PeerMessage {
    let spoken_for = words.spoken_for.as_ref();
    let loads = spoken_for.map(|peers| {
        let loads = state.dispatcher.borrow().loads_with(peers, state.now());
        loads.into_iter().collect()
    });
    PeerMessage {
        loads: None,
        centre_loads: loads,
        ..near
    }
}

fn beat(state: &State, words: &Words, fan_out: usize) -> PeerMessage {
    let now = state.now();
    let peers = state.peers.borrow();
    // Each peer is told once in so many rounds, and once more in case one is lost.
    let rounds = peers.rounds(fan_out, words.awaited) + 1;
    let span = state.settings().time("peers", "pause_ms") * rounds;
    let mut dispatcher = state.dispatcher.borrow_mut();
    let placed = dispatcher.placed(span, now);
    let loads = dispatcher.own_loads().collect();
    PeerMessage {
        loads: Some(loads),
        placed: Some(placed.as_slice().into()),
        changing: state.changing.borrow().clone(),
        crashes: crashes_wire(state, now),
        servers: state
            .server_list
            .borrow()
            .revision()
            .map_or(0, |revision| revision.0),
        ..introduction(state)
    }
}

/// What every datagram says: the sender, and what it knows of the object service.
fn introduction(state: &State) -> PeerMessage {
    let now = state.now();
    PeerMessage {
        node: state.name.to_string(),
        life: state.life_id,
        unix_ms: state.time.borrow().unix_ms(now),
        config: state.config().map_or(0, |config| config.version),
        duty: state.duty.get().map_or(0, |epoch| epoch.0),
        answered_ms: answered_ms(state, now),
        was_away: state.register.borrow().in_grace(),
        centre: state.centre,
        ..PeerMessage::default()
    }
}

/// Time since both of the node's watches were answered.
fn answered_ms(state: &State, now: Instant) -> Option<u64> {
    let answered = state
        .store_answered
        .get()?
        .min(state.config_answered.get()?);
    Some(now.saturating_duration_since(answered).as_millis() as u64)
}

/// Tells peers at once of changes that the object service has told.
pub(crate) fn announce_server_changes(state: &Rc<State>, change: &ServerListDelta) {
    match ChangeWire::try_from(change) {
        Ok(change) => {
            let beat = PeerMessage {
                change: Some(change),
                ..introduction(state)
            };
            send_at_once(state, beat);
        }
        Err(fault) => log::error!("servers choice=tell outcome=failed reason=\"{fault}\""),
    }
}

/// Tells all peers at once of requests under which servers have ended.
pub(crate) fn announce_crashes(state: &Rc<State>) {
    let beat = PeerMessage {
        crashes: crashes_wire(state, state.now()),
        ..introduction(state)
    };
    let addresses = state.peers.borrow().addresses();
    send_to(state, beat, addresses);
}

fn crashes_wire(state: &State, now: Instant) -> Vec<CrashesWire> {
    let told = state.crashes.borrow().told(now);
    told.into_iter().map(CrashesWire::from).collect()
}

/// Tells all peers at once that this node is there, and whether it calls the object
/// service or holds the duties from now on: those that don't hear so would do the same.
pub(crate) fn announce(state: &Rc<State>) {
    let addresses = state.peers.borrow().addresses();
    send_to(state, introduction(state), addresses);
}

/// Tells peers at once that a newer configuration is in force here.
pub(crate) fn announce_config(state: &Rc<State>) {
    send_at_once(state, introduction(state));
}

fn send_at_once(state: &Rc<State>, beat: PeerMessage) {
    let peers = state.peers.borrow();
    let addresses = peers.told_at_once(&state.name, state.now());
    drop(peers);
    send_to(state, beat, addresses);
}

fn send_to(state: &Rc<State>, beat: PeerMessage, addresses: Vec<SocketAddr>) {
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

/// This node's counts of the windows from `first` on.
fn usage_wire(state: &State, first: u64) -> Vec<UsageWire> {
    let book = state.usage.borrow();
    let windows = book.own().filter(|(window, _)| *window >= first);
    let lines = windows.flat_map(|(window, counts)| {
        counts.iter().map(move |(account, count)| UsageWire {
            window,
            account: account.to_string(),
            count: *count,
        })
    });
    lines.collect()
}

/// Takes in what peers tell, for as long as the node lives.
pub(crate) async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let (received, bytes) = socket.recv_from(Vec::with_capacity(DATAGRAM_BYTES)).await;
        match received {
            Ok((count, address)) => match PeerMessage::decode(&bytes[..count]) {
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

fn take_in(state: &Rc<State>, mut beat: PeerMessage, address: SocketAddr) {
    let now = state.now();
    let name = Name::from(beat.node.as_str());
    if name == state.name {
        return;
    }
    let duty = (beat.duty > 0).then_some(Epoch(beat.duty));
    let mut peers = state.peers.borrow_mut();
    let is_new = !peers.has_heard(&name);
    let peer = peers.heard(&name, address, now);
    peer.note_duty(duty, now);
    peer.centre = beat.centre;
    if !beat.work.is_empty() {
        let told = std::mem::take(&mut beat.work);
        peer.work = told.into_iter().map(<(Name, WorkRates)>::from).collect();
    }
    if let Some(first) = beat.counted_from {
        peer.note_counts(first, state.current_window(now), now);
    }
    drop(peers);
    if is_new && acts_for_all(state) {
        send_to(state, introduction(state), vec![address]);
    }
    let corrected = state.time.borrow_mut().observe(&name, beat.unix_ms, now);
    if let Some(by) = corrected {
        log::info!("time choice=correct by_ms={by} reason=\"median of the nodes\"");
    }
    take_in_crashes(state, std::mem::take(&mut beat.crashes), &name);
    take_in_store(state, &beat, &name, address);
    let placed: Vec<Placed> = beat.placed.unwrap_or_default().into();
    let mut dispatcher = state.dispatcher.borrow_mut();
    // Words about the store alone say nothing of loads.
    if let Some(loads) = beat.loads {
        dispatcher.peer_loads(&name, &loads.told(now));
    }
    if let Some(loads) = beat.centre_loads {
        let centre = Name::from(format!("centre/{:08x}", beat.centre));
        dispatcher.peer_loads(&centre, &loads.told(now));
    }
    dispatcher.peer_placed(&placed);
    dispatcher.changing(&beat.changing, now);
    drop(dispatcher);
    let source = UsageSource {
        node: name.clone(),
        incarnation: beat.life,
    };
    let mut told: HashMap<u64, Counts> = HashMap::new();
    for line in beat.usage {
        let counts = told.entry(line.window).or_default();
        counts.insert(Name::from(line.account), line.count);
    }
    let mut usage = state.usage.borrow_mut();
    for (window, counts) in told {
        usage.merge(&source, window, counts);
    }
    drop(usage);
}

/// Takes in what a peer tells of requests that ended servers.
fn take_in_crashes(state: &State, told: Vec<CrashesWire>, name: &Name) {
    let told = told.into_iter().filter_map(|wire| match wire.try_into() {
        Ok(shared) => Some(shared),
        Err(error) => {
            log::warn!("crashes from={name} choice=ignore reason=\"{error}\"");
            None
        }
    });
    let told: Vec<_> = told.collect();
    node_object::take_in_crashes(state, &told, name.as_str(), state.now());
}

/// Takes in what a peer tells of the object service.
fn take_in_store(state: &Rc<State>, beat: &PeerMessage, name: &Name, address: SocketAddr) {
    let now = state.now();
    let age = beat.answered_ms.map(Duration::from_millis);
    let answered = age.and_then(|age| now.checked_sub(age));
    state.peers.borrow_mut().answered(name, answered);
    if age.is_some_and(|age| age < ANSWERED) && !beat.was_away {
        watch::end_removal_grace(state);
    }
    let known = state.config().map_or(0, |config| config.version);
    let near = beat.centre == state.centre;
    if beat.config > known {
        fetch_config(state, address, beat.config, near);
    }
    let change = beat.change.clone().map(ServerListDelta::try_from);
    let missing = match change {
        Some(Ok(change)) => (watch::apply_server_delta(state, &change) == ApplyOutcome::Gap)
            .then_some((change.to, Some(change))),
        Some(Err(error)) => {
            log::warn!("servers from={name} choice=read_list reason=\"{error}\"");
            Some((Revision(u64::MAX), None))
        }
        None => {
            lacks_servers(state, Revision(beat.servers)).then_some((Revision(beat.servers), None))
        }
    };
    if let Some((revision, change)) = missing
        && !state.watches()
    {
        fetch_servers(state, address, revision, change, near);
    }
}

fn lacks_servers(state: &State, revision: Revision) -> bool {
    let known = state.server_list.borrow().revision();
    revision > known.unwrap_or_default()
}

/// Time to wait before a whole object is read from a peer: words that bring it may be on
/// their way, and in a large fleet a peer of the own data centre may have it first.
fn reading_pause(state: &State, near: bool) -> Duration {
    let fan_out = state.settings().number("peers", "fan_out") as usize;
    if near || !state.peers.borrow().is_large(fan_out) {
        return Duration::ZERO;
    }
    rand::random_range(Duration::ZERO..FAR_READ_SPREAD)
}

/// Reads the list of servers from a peer that knows a newer one, unless the changes come
/// by themselves; `change` came before those that it builds on.
fn fetch_servers(
    state: &Rc<State>,
    address: SocketAddr,
    revision: Revision,
    change: Option<ServerListDelta>,
    near: bool,
) {
    let taken = Rc::clone(state);
    let pause = GAP_PAUSE + reading_pause(state, near);
    read_apart(&state.reading_servers, "servers", address, async move {
        monoio::time::sleep(pause).await;
        if let Some(change) = change {
            watch::apply_server_delta(&taken, &change);
        }
        if !lacks_servers(&taken, revision) {
            return Ok(());
        }
        let (revision, objects) = internal::read_servers(address).await?;
        watch::replace_server_list(&taken, revision, &objects);
        Ok(())
    });
}

/// Reads a newer configuration from a peer, where the object service may be out of reach.
fn fetch_config(state: &Rc<State>, address: SocketAddr, version: u64, near: bool) {
    let taken = Rc::clone(state);
    let pause = reading_pause(state, near);
    read_apart(&state.reading_config, "config", address, async move {
        monoio::time::sleep(pause).await;
        if taken
            .config()
            .is_some_and(|config| config.version >= version)
        {
            return Ok(());
        }
        let object = internal::read_config(address).await?;
        watch::adopt_config(&taken, &object);
        Ok(())
    });
}

/// Reads from a peer in a task of its own, one of a kind at a time: a word of each peer
/// would start another.
fn read_apart(
    under_way: &Rc<Cell<usize>>,
    what: &'static str,
    address: SocketAddr,
    read: impl Future<Output = Result<(), String>> + 'static,
) {
    let Some(reading) = Counted::below(under_way, 1) else {
        return;
    };
    monoio::spawn(async move {
        if let Err(error) = read.await {
            log::debug!("{what} from {address} not read: {error}");
            monoio::time::sleep(READ_PAUSE).await;
        }
        drop(reading);
    });
}
