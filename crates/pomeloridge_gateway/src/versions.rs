//! The software versions of streams: the table in the object service, which all nodes share, this
//! node's record of the streams that the table does not explain, and the version of a stream that
//! this node did not begin.

mod copies;
mod known;
mod lookup;
mod shared_read;
mod table;
mod wire;

use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::stream_versions::{
    BegunStream, MAX_UNCONFIRMED, StreamId, StreamVersion, UnknownVersion, VersionTable,
};
use prost::Message;

use crate::peers;
use crate::state::State;

pub use known::StreamVersions;
pub use wire::{InvalidStreamIds, RecordWire, SlotsWire, TableWire};

pub(crate) use copies::{handle_copy, known_stream};
pub(crate) use lookup::{
    RECORDS_READ_INTERVAL, TABLE_READ_INTERVAL, TABLE_READ_TIMEOUT, version_of_resumed,
};
pub(crate) use shared_read::SharedRead;
pub(crate) use table::{check_table, follow_table, read_table};

/// Time within which the server list follows a table.
const SERVER_LIST_DELAY: Duration = Duration::from_millis(500);
/// Interval between checks whether a server is listed.
const SERVER_LIST_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks whether the table is known.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a node that ends waits until its last record is written.
const LAST_RECORD_TIME: Duration = Duration::from_millis(300);
/// Time over which the nodes spread the writes of their records, for each node.
const WRITE_SPREAD_PER_NODE: Duration = Duration::from_micros(2500);
/// Maximum number of services whose slots are logged.
const MAX_LOGGED_SERVICES: usize = 8;

/// Returns the version at which a stream of a new request begins; `None` if no server of the
/// service is listed, or if its streams are not bound to a version.
pub(crate) fn version_of_new(
    state: &State,
    service: &Name,
    attempt: &[u8],
) -> Result<Option<Name>, UnknownVersion> {
    if !table::is_bound(state, service) {
        return Ok(None);
    }
    let (id, now) = (StreamId::of(attempt), state.now());
    let mut versions = state.versions.borrow_mut();
    if let Some(version) = versions.remembered(service, id, now) {
        return Ok(Some(version.clone()));
    }
    if is_cut_off(state, now) {
        return Err(UnknownVersion::CutOff);
    }
    if versions.number().is_none() {
        return Err(UnknownVersion::NoTable);
    }
    let version = match versions.table().version(service, id) {
        Some(version) => version.clone(),
        None => match table::sole_listed_version(state, service)? {
            Some(version) => version,
            None => return Ok(None),
        },
    };
    let begun = StreamVersion {
        service: service.clone(),
        version: version.clone(),
    };
    versions.expect(id, begun, now);
    Ok(Some(version))
}

/// Waits until the table is known, at most for the time of a call of the object service.
pub(crate) async fn wait_for_table(state: &State) {
    let due = state.now() + state.store.timeout();
    while state.versions.borrow().number().is_none() && state.now() < due {
        monoio::time::sleep(TABLE_POLL_INTERVAL).await;
    }
}

/// Returns whether the table may have changed without this node, which reaches neither the object
/// service nor most of the other nodes. In an outage of the service, no table can change.
fn is_cut_off(state: &State, now: Instant) -> bool {
    let peers = state.peers.borrow();
    peers.freshness.age(now) > MAX_UNCONFIRMED && peers.is_in_minority(now)
}

/// Has this node's last record written, which names all streams that it began and that callers may
/// continue at other nodes.
pub(crate) async fn write_last_record(state: &State) {
    state.versions.borrow_mut().set_ended(state.now());
    let due = state.now() + LAST_RECORD_TIME;
    while !state.last_record_written.get() {
        if state.now() >= due {
            log::warn!("versions choice=end reason=\"the last record is not written\"");
            return;
        }
        monoio::time::sleep(SERVER_LIST_POLL_INTERVAL).await;
    }
}

/// Waits until a server of a version is listed, if this node has just adopted the table: that may
/// arrive before the changes of the server list that led to it.
pub(crate) async fn wait_for_servers(state: &State, service: &Name, version: &Name) {
    let is_listed = || {
        let dispatcher = state.dispatcher.borrow();
        let mut listed = dispatcher.targets().map(|(_, target)| &target.info);
        listed.any(|info| info.service == *service && info.version == *version)
    };
    let is_new = || state.versions.borrow().table_age(state.now()) < SERVER_LIST_DELAY;
    while is_new() && !is_listed() {
        monoio::time::sleep(SERVER_LIST_POLL_INTERVAL).await;
    }
}

/// Records that a stream has begun or is continued at a server of a version.
pub(crate) fn record_begun(
    state: &Rc<State>,
    service: &Name,
    attempt: &[u8],
    version: &Name,
    expires: Instant,
) {
    let version = StreamVersion {
        service: service.clone(),
        version: version.clone(),
    };
    let (id, now) = (StreamId::of(attempt), state.now());
    let mut versions = state.versions.borrow_mut();
    versions.extend_longest(expires.saturating_duration_since(now), now);
    versions.record(id, version.clone(), expires, now);
    let needs_copies = versions.needs_copies(service, now);
    drop(versions);
    if needs_copies {
        peers::send_copies(state, id, &BegunStream { version, expires });
    }
}

/// Adopts a table if it is newer than the one in force. Returns whether it was.
pub(crate) fn adopt(state: &State, table: VersionTable, from: &str) -> bool {
    let now = state.now();
    let nodes = state.peers.borrow().known_count() as u32 + 1;
    let mut versions = state.versions.borrow_mut();
    if !versions.adopt(table, now) {
        return false;
    }
    let spread = WRITE_SPREAD_PER_NODE * nodes;
    versions.set_record_due(now + rand::random_range(Duration::ZERO..spread));
    let table = versions.table();
    log::info!(
        "versions table={} choice=adopt from={from} services=\"{}\"",
        table.number,
        shares(table)
    );
    true
}

/// Formats the number of slots of each version, for the log.
fn shares(table: &VersionTable) -> String {
    let services = table.services.iter().take(MAX_LOGGED_SERVICES);
    let services = services.map(|(service, slots)| {
        let versions = slots.versions().iter().enumerate();
        let versions = versions.map(|(index, version)| {
            let owned = slots.slots().iter().filter(|slot| slot.version == index);
            format!("{version}:{}", owned.count())
        });
        format!("{service}={}", versions.collect::<Vec<_>>().join("+"))
    });
    services.collect::<Vec<_>>().join(" ")
}

/// Returns the table as it is sent in a datagram.
pub(crate) fn encoded_table(state: &State) -> Vec<u8> {
    TableWire::from(state.versions.borrow().table()).encode_to_vec()
}

/// Handles the table that a peer has sent in a datagram.
pub(crate) fn handle_table(state: &State, bytes: &[u8], name: &Name) {
    match decode_table(bytes) {
        Ok(table) => {
            adopt(state, table, &format!("node/{name}"));
        }
        Err(error) => log::warn!("versions from={name} choice=ignore reason=\"{error}\""),
    }
}

fn decode_table(bytes: &[u8]) -> Result<VersionTable, String> {
    let wire = TableWire::decode(bytes).map_err(|error| error.to_string())?;
    VersionTable::try_from(wire).map_err(|error| error.to_string())
}

/// Handles the number of the table that a peer has named. Returns whether that table has to be
/// read.
pub(crate) fn handle_number(state: &State, number: u64) -> bool {
    let mut versions = state.versions.borrow_mut();
    if number == 0 {
        versions.set_known();
    }
    versions.hear(number, state.now())
}

/// Drops what can't be asked for any more.
pub(crate) fn sweep(state: &Rc<State>) {
    state.versions.borrow_mut().sweep(state.now());
}
