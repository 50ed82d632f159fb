//! State exchange between nodes, in datagrams: the load that each node puts on servers, usage
//! counts, the time of day and the configuration's version. Only the latest datagram matters.
//!
//! Nodes discover one another through node objects in the object service. A node is local to
//! another in the same data centre and remote to the others. In a large fleet, remote peers
//! receive fewer messages.

mod crash_news;
mod fetch;
mod limits;
mod node_object;
mod quota;
mod sent_prompt;
mod stream_copies;
mod table;
mod wire;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;
use pomeloridge_base::id::{Epoch, Era, Name, Revision};
use pomeloridge_base::pacing::Turn;
use pomeloridge_base::task::catch_panic;
use pomeloridge_platform::PutOutcome;
use pomeloridge_policy::dispatch::{PartPlacement, SpeedReports};
use pomeloridge_policy::work_meter::WorkRates;
use prost::Message;

use crate::server_list::{ApplyOutcome, ServerListDelta};
use crate::state::State;
use crate::usage::{Counts, UsageSource};
use crate::{account_quota, server_limits, versions, watch};

pub(crate) use crash_news::announce_crashes;
use fetch::{fetch_config, fetch_servers, fetch_versions, is_server_list_behind, read_delay};
use limits::{handle_limits, limits_wire, send_limits};
pub(crate) use node_object::{ListedRecords, read_records, relevant_records};
pub(crate) use quota::send_asks;
pub(crate) use sent_prompt::announce_prompt;
pub(crate) use stream_copies::{ask_for_copy, send_copies};
use table::StoreView;
pub(crate) use table::{Peers, name_hash};
use wire::{PeerMessage, ServerListDeltaWire, SpeedsWire, UsageWire, WorkWire};
pub(crate) use wire::{decode_change, encode_change};

/// Interval between reads of the node objects. It may be long, as a node that starts announces
/// itself to the others.
const DISCOVERY_INTERVAL: Duration = Duration::from_mins(2);
/// Interval between reads of the node objects while this node receives nothing from any peer.
const ISOLATED_DISCOVERY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between checks whether node objects are to be read or written now.
const DISCOVERY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum random delay of the read after a restore of the object service, which all nodes learn
/// of at about the same time.
const MAX_RESTORE_DELAY: Duration = Duration::from_secs(1);
/// Delay after a failure to read or write node objects or to receive datagrams.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of heartbeat rounds from one message with usage counts and work rates to the next.
const ROUNDS_PER_USAGE_MESSAGE: u64 = 4;
/// Further time for which a node that watches the object service waits for its own watch before it
/// reads from a peer what that peer has and it lacks.
const WATCH_DELAY: Duration = Duration::from_millis(300);
/// Time after a usage window's end for which its counts are still sent.
const USAGE_RESEND_TIME: Duration = Duration::from_secs(3);
/// Maximum age of a peer's last answer from the object service for the service to count as
/// reachable from that peer. Longer than a watch may wait, shorter than the time after which
/// entries expire.
const MAX_STORE_ANSWER_AGE: Duration = Duration::from_secs(3);
/// Time after its start for which a node sends to remote peers at the higher rate.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Work of handling a datagram, as a number of bytes read.
const DATAGRAM_WORK: usize = 512;
/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Maximum size of a table of versions that is sent in a datagram; peers read a larger one.
const MAX_TABLE_BYTES: usize = 32 * 1024;

/// Writes this node's object and reads those of the other nodes, until the process ends.
pub(crate) async fn discover(state: Rc<State>) {
    // Era in which this node's object was last seen as it should be.
    let mut written: Option<Era> = None;
    // Version of the object that this process last wrote.
    let mut latest: Option<Revision> = None;
    versions::wait_for_table(&state).await;
    loop {
        let is_record_due = state.versions.borrow_mut().take_due_record(state.now());
        if state.quarantine_changed.take() || is_record_due {
            written = None;
        }
        // Until the table is known, a write would replace the record of the former process by none.
        if written.is_none() && state.versions.borrow().number().is_some() {
            written = write_node_object(&state, &mut latest).await;
        }
        let listing = state.store.list(node_object::KEY_PREFIX).await;
        let era = listing.as_ref().ok().map(|(revision, _)| revision.era());
        if let Ok((_, objects)) = &listing
            && written < era
            && written.is_some()
        {
            written = era.filter(|_| node_object::is_current(&state, objects));
            if written.is_none() {
                log::info!(
                    "node choice=write_again reason=\"the store has lost this node's object\""
                );
            }
        }
        if let Ok((revision, objects)) = listing {
            let nodes = objects
                .iter()
                .filter_map(|object| node_object::read(&state, object));
            let others = nodes.filter(|node| node.name != state.name).collect();
            let mut peers = state.peers.borrow_mut();
            let is_first_listing = !peers.has_read_nodes;
            peers.update_nodes(others, revision.era(), state.now());
            drop(peers);
            if is_first_listing {
                announce(&state);
            }
        }
        match era {
            Some(era) if written.is_some() => {
                let is_written = wait_for_next_discovery(&state, era, &mut latest).await;
                written = written.filter(|_| is_written);
            }
            _ => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Writes this node's object. Returns the era in which it was written, `None` if that is not
/// certain.
async fn write_node_object(state: &State, latest: &mut Option<Revision>) -> Option<Era> {
    let is_last = state.versions.borrow().has_ended();
    match node_object::write(state, *latest).await {
        Ok(PutOutcome::Written(version)) => {
            *latest = Some(version);
            state.last_record_written.set(is_last);
            Some(version.era())
        }
        outcome => {
            log::debug!("node object not written: {outcome:?}");
            None
        }
    }
}

/// Waits until the node objects are due to be read again, this node's object has to be
/// rewritten, or the object service, last read in `era`, has been restored. Meanwhile writes this
/// node's object whenever its record of streams changes; returns false if that fails.
async fn wait_for_next_discovery(state: &State, era: Era, latest: &mut Option<Revision>) -> bool {
    let since = state.now();
    while !state.quarantine_changed.get() && !is_discovery_due(state, since) {
        if state.store.era() > era {
            let delay = rand::random_range(Duration::ZERO..MAX_RESTORE_DELAY);
            monoio::time::sleep(delay).await;
            return true;
        }
        let is_record_due = state.versions.borrow_mut().take_due_record(state.now());
        if is_record_due && write_node_object(state, latest).await.is_none() {
            return false;
        }
        monoio::time::sleep(DISCOVERY_POLL_INTERVAL).await;
    }
    true
}

/// Returns whether the node objects, last read at `since`, are due to be read again.
fn is_discovery_due(state: &State, since: Instant) -> bool {
    let now = state.now();
    let elapsed = now.saturating_duration_since(since);
    let peers = state.peers.borrow();
    // An isolated node learns of other nodes only from the object service.
    let is_isolated = peers.known_count() > 0 && peers.live_count(now) == 0;
    let interval = if is_isolated {
        ISOLATED_DISCOVERY_INTERVAL
    } else {
        DISCOVERY_INTERVAL
    };
    elapsed >= interval
}

/// Sends heartbeats to the peers in rounds, until the process ends.
pub(crate) async fn send_heartbeats(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let settings = state.settings();
        monoio::time::sleep(settings.time("peers", "pause_ms")).await;
        let fan_out = settings.number("peers", "fan_out") as usize;
        server_limits::refresh(&state);
        let peer_count = state.peers.borrow().live_count(state.now());
        state.dispatcher.borrow_mut().set_peer_count(peer_count);
        account_quota::refresh(&state);
        let plan = RoundPlan::new(&state, fan_out);
        let [local, remote] = state
            .peers
            .borrow_mut()
            .next_round(fan_out, plan.is_awaited);
        if local.is_empty() && remote.is_empty() {
            continue;
        }
        let heartbeat = heartbeat(&state, &plan, fan_out);
        if plan.is_large_fleet {
            send(&socket, &heartbeat, local).await;
            send(
                &socket,
                &remote_heartbeat(&state, heartbeat, &plan, fan_out),
                remote,
            )
            .await;
        } else {
            send(&socket, &heartbeat, [local, remote].concat()).await;
        }
        if state
            .peers
            .borrow()
            .round
            .is_multiple_of(ROUNDS_PER_USAGE_MESSAGE)
        {
            send_usage(&state, &socket).await;
        }
    }
}

/// Sends usage counts and work rates; also called once as the node stops.
pub(crate) async fn send_usage(state: &State, socket: &UdpSocket) {
    let now = state.now();
    let first = first_window_to_send(state, now);
    let message = PeerMessage {
        usage: usage_wire(state, first),
        counted_from: Some(first),
        work: work_wire(state, now),
        ..base_message(state)
    };
    let addresses = state.peers.borrow().usage_recipients();
    send(socket, &message, addresses).await;
}

/// Returns the first usage window whose counts are sent: a new duty holder needs all windows,
/// other peers those whose counts may have changed since they were last sent.
fn first_window_to_send(state: &State, now: Instant) -> u64 {
    if state.peers.borrow().has_new_duty_holder(now) {
        return 0;
    }
    state.usage_window_at(now.checked_sub(USAGE_RESEND_TIME).unwrap_or(now))
}

/// Sends a message to each address.
async fn send(socket: &UdpSocket, message: &PeerMessage, addresses: Vec<SocketAddr>) {
    let bytes = message.encode_to_vec();
    for address in addresses {
        // The next datagram makes up for a lost one.
        let (sent, _) = socket.send_to(bytes.clone(), address).await;
        if let Err(error) = sent {
            log::debug!("beat address={address} failed: {error}");
        }
    }
}

/// Parameters of one heartbeat round.
struct RoundPlan {
    /// Whether the fleet is so large that peers in other data centres receive less.
    is_large_fleet: bool,
    /// Whether peers in other data centres depend on this node's messages: it has just
    /// started, calls the object service, holds the duties or represents its data centre.
    is_awaited: bool,
    /// Peers whose loads this node reports, if it represents its data centre.
    represented_peers: Option<HashSet<Name>>,
}

impl RoundPlan {
    fn new(state: &State, fan_out: usize) -> Self {
        let now = state.now();
        let peers = state.peers.borrow();
        let represented_peers = peers.represented_peers(&state.name, now);
        let has_just_started = now.saturating_duration_since(state.started) < STARTUP_TIME;
        Self {
            is_large_fleet: peers.is_large_fleet(fan_out),
            is_awaited: has_just_started || has_fleet_role(state) || represented_peers.is_some(),
            represented_peers,
        }
    }
}

/// Returns whether this node calls the object service for others or holds the duties.
fn has_fleet_role(state: &State) -> bool {
    state.servers_watch_answered.get().is_some() || state.duty_epoch.get().is_some()
}

/// Returns the heartbeat for peers in other data centres of a large fleet. It carries no loads,
/// except that a data centre's representative sends the loads of all of its nodes.
fn remote_heartbeat(
    state: &State,
    local: PeerMessage,
    plan: &RoundPlan,
    fan_out: usize,
) -> PeerMessage {
    let rounds = state
        .peers
        .borrow()
        .rounds_to_cover(fan_out, plan.is_awaited)
        + 1;
    let span = state.settings().time("peers", "pause_ms") * rounds;
    let speeds = state.dispatcher.borrow().recent_speeds(span, state.now());
    let represented_peers = plan.represented_peers.as_ref();
    let loads = represented_peers.map(|peers| {
        let loads = state
            .dispatcher
            .borrow()
            .loads_including(peers, state.now());
        loads.into_iter().collect()
    });
    PeerMessage {
        loads: None,
        data_centre_loads: loads,
        speeds: speeds_wire(speeds),
        ..local
    }
}

/// Returns the heartbeat for all peers, or only for local ones in a large fleet.
fn heartbeat(state: &State, plan: &RoundPlan, fan_out: usize) -> PeerMessage {
    let now = state.now();
    let peers = state.peers.borrow();
    // Each peer receives one heartbeat in this many rounds; one more round covers a loss.
    let rounds = peers.rounds_to_cover(fan_out, plan.is_awaited) + 1;
    let pause = state.settings().time("peers", "pause_ms");
    let span = pause * rounds;
    let local_rounds = peers.rounds_to_cover_local(fan_out) + 1;
    let mut dispatcher = state.dispatcher.borrow_mut();
    let placed = dispatcher.recent_placements(span, now);
    let speeds = dispatcher.recent_speeds(pause * local_rounds, now);
    let loads = dispatcher.own_loads().collect();
    PeerMessage {
        loads: Some(loads),
        placed: Some(placed.as_slice().into()),
        speeds: speeds_wire(speeds),
        changing: state.changing_engines.borrow().clone(),
        crashes: crash_news::crashes_wire(state, now),
        parts: crash_news::parts_wire(state, now),
        knows_crashes: peers.knows_crashes(),
        limits: limits_wire(&dispatcher, now),
        servers: state
            .server_list
            .borrow()
            .revision()
            .map_or(0, |revision| revision.0),
        ..base_message(state)
    }
}

/// Returns the fields that every datagram carries: the sender and its view of the object
/// service.
fn base_message(state: &State) -> PeerMessage {
    let now = state.now();
    PeerMessage {
        node: state.name.to_string(),
        incarnation: state.incarnation,
        unix_ms: state.fleet_clock.borrow().unix_ms(now),
        config: state.config().map_or(0, |config| config.version),
        duty: state.duty_epoch.get().map_or(0, |epoch| epoch.0),
        lease: state.duty_lease.get().map_or(0, |version| version.0),
        answered_ms: answered_ms(state, now),
        lost_store: state.server_registry.borrow().in_grace(),
        era: state.server_list_era().map(Era::into),
        restored: state.server_registry.borrow().is_restored(),
        data_centre_hash: state.data_centre_hash,
        versions: state.versions.borrow().number(),
        confirmed_ms: Some(state.peers.borrow().freshness.age(now).as_millis() as u64),
        ..PeerMessage::default()
    }
}

/// Returns the time since the last answer to the older of the node's two watches; `None` if the
/// node does not watch, or is about to end.
fn answered_ms(state: &State, now: Instant) -> Option<u64> {
    if state.lifecycle.is_stopping() {
        return None;
    }
    let answered = state
        .servers_watch_answered
        .get()?
        .min(state.config_watch_answered.get()?);
    Some(now.saturating_duration_since(answered).as_millis() as u64)
}

/// Sends server list changes that were read from the object service to the assigned peers.
pub(crate) fn announce_server_changes(state: &Rc<State>, change: &ServerListDelta) {
    match ServerListDeltaWire::try_from(change) {
        Ok(change) => {
            let message = PeerMessage {
                change: Some(change),
                ..base_message(state)
            };
            send_to_assigned_peers(state, message);
        }
        Err(error) => log::error!("servers choice=tell outcome=failed reason=\"{error}\""),
    }
}

fn speeds_wire(speeds: SpeedReports) -> Option<SpeedsWire> {
    (!speeds.reports.is_empty()).then(|| speeds.into())
}

/// Records what a peer has measured of servers and did not tell before.
fn handle_speeds(state: &State, speeds: Option<SpeedsWire>, name: &Name) {
    let speeds = match speeds.map(SpeedReports::try_from) {
        None => return,
        Some(Ok(speeds)) => speeds,
        Some(Err(error)) => {
            log::warn!("speeds from={name} choice=ignore reason=\"{error}\"");
            return;
        }
    };
    let seen = state.peers.borrow_mut().record_speeds(name, speeds.end());
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.record_peer_speeds(speeds.after(seen), state.now());
}

/// Announces this node to all peers at once, and whether it now calls the object service or
/// holds the duties: peers that don't know would take the same role.
pub(crate) fn announce(state: &Rc<State>) {
    let addresses = state.peers.borrow().addresses();
    send_to(state, base_message(state), addresses);
}

/// Tells the peers that would be the first to take over the duties of this node's lease, which it
/// has just written.
pub(crate) fn tell_lease(state: &Rc<State>) {
    let addresses = state.peers.borrow().first_callers(state.now());
    send_to(state, base_message(state), addresses);
}

/// Sends the table of versions, which this node has just written, to all peers at once.
pub(crate) fn announce_versions(state: &Rc<State>) {
    let table = versions::encoded_table(state);
    let message = PeerMessage {
        version_table: (table.len() <= MAX_TABLE_BYTES).then_some(table),
        ..base_message(state)
    };
    let addresses = state.peers.borrow().addresses();
    send_to(state, message, addresses);
}

/// Announces to the assigned peers that this node has a newer configuration.
pub(crate) fn announce_config(state: &Rc<State>) {
    send_to_assigned_peers(state, base_message(state));
}

/// Sends a message to the peers that this node is assigned to notify; the other nodes that watch
/// the object service notify the rest.
fn send_to_assigned_peers(state: &Rc<State>, message: PeerMessage) {
    let peers = state.peers.borrow();
    let addresses = peers.assigned_peers(&state.name, state.now());
    drop(peers);
    send_to(state, message, addresses);
}

fn send_to(state: &Rc<State>, message: PeerMessage, addresses: Vec<SocketAddr>) {
    let state = Rc::clone(state);
    monoio::spawn(async move {
        let socket = state.socket.borrow().clone();
        if let Some(socket) = socket {
            send(&socket, &message, addresses).await;
        }
    });
}

fn work_wire(state: &State, now: Instant) -> Vec<WorkWire> {
    let work = state.work_meters.borrow();
    let work = work.iter().map(|(service, meter)| {
        let rates = meter.rates(now);
        WorkWire {
            service: service.to_string(),
            prefill: rates.prefill as f32,
            decode: rates.decode as f32,
        }
    });
    work.collect()
}

/// Returns this node's own counts of the windows from `first` on.
fn usage_wire(state: &State, first: u64) -> Vec<UsageWire> {
    let ledger = state.usage.borrow();
    let windows = ledger.own_counts().filter(|(window, _)| *window >= first);
    let entries = windows.flat_map(|(window, counts)| {
        counts.iter().map(move |(account, count)| UsageWire {
            window,
            account: account.to_string(),
            count: *count,
        })
    });
    entries.collect()
}

/// Receives and handles the peers' datagrams, until the process ends.
pub(crate) async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut turn = Turn::new("datagrams", None);
    loop {
        turn.pause_if_due().await;
        let receiving = socket.recv_from(Vec::with_capacity(MAX_DATAGRAM_BYTES));
        let (received, bytes) = turn.step(receiving, |_| DATAGRAM_WORK).await;
        match received {
            Ok((count, address)) => match PeerMessage::decode(&bytes[..count]) {
                Ok(message) => {
                    let handled = async { handle_message(&state, message, address) };
                    catch_panic("datagram", &state.meter, handled).await;
                }
                Err(error) => log::debug!("datagram from {address} not decoded: {error}"),
            },
            Err(error) => {
                log::warn!("peer datagrams cannot be received: {error}");
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Handles one message of a peer.
fn handle_message(state: &Rc<State>, mut message: PeerMessage, address: SocketAddr) {
    let now = state.now();
    let name = Name::from(message.node.as_str());
    if name == state.name {
        return;
    }
    let duty = (message.duty > 0).then_some(Epoch(message.duty));
    let lease = (message.lease > 0).then_some(Revision(message.lease));
    let mut peers = state.peers.borrow_mut();
    let is_new = !peers.has_heard_from(&name);
    let peer = peers.record_heard(&name, address, now);
    let has_restarted = peer.incarnation != message.incarnation;
    if has_restarted {
        peer.speeds_seen = 0;
    }
    peer.incarnation = message.incarnation;
    peer.record_duty(duty, lease, now);
    peer.data_centre_hash = message.data_centre_hash;
    if !message.work.is_empty() {
        let work = std::mem::take(&mut message.work);
        peer.work = work.into_iter().map(<(Name, WorkRates)>::from).collect();
    }
    if let Some(first) = message.counted_from {
        peer.record_counts(first, state.usage_window_at(now), now);
    }
    drop(peers);
    if is_new && has_fleet_role(state) {
        send_to(state, base_message(state), vec![address]);
    }
    if has_restarted && message.data_centre_hash == state.data_centre_hash {
        send_limits(state, address);
    }
    if has_restarted {
        crash_news::send_quarantines(state, address);
    }
    let correction = state
        .fleet_clock
        .borrow_mut()
        .observe(&name, message.unix_ms, now);
    if let Some(by) = correction {
        log::info!("time choice=correct by_ms={by} reason=\"median of all nodes' clocks\"");
    }
    quota::handle(state, &mut message, address);
    sent_prompt::handle(state, &message, &name);
    stream_copies::handle(state, &mut message, address);
    crash_news::handle(state, &mut message, &name);
    handle_limits(state, std::mem::take(&mut message.limits), &name);
    handle_speeds(state, message.speeds.take(), &name);
    if let Some(table) = &message.version_table {
        versions::handle_table(state, table, &name);
    }
    handle_store_state(state, &message, &name, address);
    let placed: Vec<PartPlacement> = message.placed.unwrap_or_default().into();
    let mut dispatcher = state.dispatcher.borrow_mut();
    // A message without loads leaves the known loads of the peer as they are.
    if let Some(loads) = message.loads {
        dispatcher.set_peer_loads(&name, &loads.into_peer_loads(now));
    }
    if let Some(loads) = message.data_centre_loads {
        let source = data_centre_source(message.data_centre_hash);
        dispatcher.set_peer_loads(&source, &loads.into_peer_loads(now));
    }
    dispatcher.record_peer_placements(&placed);
    dispatcher.mark_stage_changing(&message.changing, now);
    drop(dispatcher);
    let source = UsageSource {
        node: name.clone(),
        incarnation: message.incarnation,
    };
    let mut counts_by_window: HashMap<u64, Counts> = HashMap::new();
    for entry in message.usage {
        let counts = counts_by_window.entry(entry.window).or_default();
        counts.insert(Name::from(entry.account), entry.count);
    }
    let current = state.usage_window_at(now);
    let mut usage = state.usage.borrow_mut();
    for (window, counts) in counts_by_window {
        if !usage.merge(&source, window, counts, current) {
            log::debug!("usage window={window} from={name} current={current} choice=ignore");
        }
    }
    drop(usage);
}

/// Returns the name under which the summed loads of a data centre's nodes are kept.
fn data_centre_source(hash: u32) -> Name {
    Name::from(format!("centre/{hash:08x}"))
}

/// Handles a peer's view of the object service: whether the service answers the peer, and the
/// peer's versions of the configuration and the server list. Reads what is newer.
fn handle_store_state(state: &Rc<State>, message: &PeerMessage, name: &Name, address: SocketAddr) {
    let now = state.now();
    let age = message.answered_ms.map(Duration::from_millis);
    let answered = age.and_then(|age| now.checked_sub(age));
    let store_view = StoreView {
        answered,
        list_era: list_era(message),
        restored: message.restored,
    };
    let mut peers = state.peers.borrow_mut();
    peers.set_store_view(name, store_view, state.server_list_era());
    // A peer of a former build tells only of its own watches.
    let confirmed_ms = message.confirmed_ms.or(message.answered_ms);
    let confirmed = confirmed_ms.and_then(|age| now.checked_sub(Duration::from_millis(age)));
    if let Some(confirmed) = confirmed {
        peers.freshness.record(confirmed);
    }
    drop(peers);
    if age.is_some_and(|age| age < MAX_STORE_ANSWER_AGE) && !message.lost_store {
        watch::end_removal_grace(state);
    }
    let known_version = state.config().map_or(0, |config| config.version);
    let is_local = message.data_centre_hash == state.data_centre_hash;
    if message.config > known_version {
        fetch_config(state, address, message.config, is_local);
    }
    if let Some(number) = message.versions
        && versions::handle_number(state, number)
    {
        fetch_versions(state, address, number, is_local);
    }
    let change = message.change.clone().map(ServerListDelta::try_from);
    let missing = match change {
        Some(Ok(change)) => (watch::apply_server_delta(state, &change) == ApplyOutcome::Gap)
            .then_some((change.to, Some(change))),
        Some(Err(error)) => {
            log::warn!("servers from={name} choice=read_list reason=\"{error}\"");
            Some((Revision(u64::MAX), None))
        }
        None => is_server_list_behind(state, Revision(message.servers))
            .then_some((Revision(message.servers), None)),
    };
    // A node that calls the object service without an answer depends on its peers, too.
    let is_watching = state.should_watch_store() && state.servers_watch_answered.get().is_some();
    if let Some((revision, change)) = missing {
        // This node's own watch may hang while those of the others do not.
        let delay = if is_watching {
            WATCH_DELAY
        } else {
            Duration::ZERO
        };
        fetch_servers(
            state,
            address,
            revision,
            change,
            delay + read_delay(state, is_local),
        );
    }
}

/// Returns the era of the sender's server list, if the message tells it. The revisions of a node
/// that knows no eras count as of the first one.
fn list_era(message: &PeerMessage) -> Option<Era> {
    let by_revision = (message.servers > 0).then(|| Revision(message.servers).era());
    message.era.map(Era).or(by_revision)
}
