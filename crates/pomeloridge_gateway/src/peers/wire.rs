//! The datagrams between nodes.

use std::time::{Duration, Instant};

use pomeloridge_base::id::{Name, Revision};
use pomeloridge_platform::Event;
use pomeloridge_policy::crashes::{SharedCrashes, StartId};
use pomeloridge_policy::dispatch::{OwnLoad, PeerLoad, Placed};
use pomeloridge_policy::parts::Part;
use pomeloridge_policy::suspicion::Fingerprint;
use pomeloridge_policy::work_meter::WorkRates;
use prost::Message;

use crate::compression::{compress, decompress};
use crate::server_list::ServerListDelta;

/// A datagram to a peer.
#[derive(Clone, PartialEq, Message)]
pub(super) struct PeerMessage {
    #[prost(string, tag = "1")]
    pub(super) node: String,
    /// The sender's start.
    #[prost(uint64, tag = "2")]
    pub(super) life: u64,
    /// Believed time of day, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub(super) unix_ms: u64,
    /// Version of the configuration in force; 0 if there is none.
    #[prost(uint64, tag = "4")]
    pub(super) config: u64,
    #[prost(message, optional, tag = "5")]
    pub(super) loads: Option<LoadsWire>,
    #[prost(message, repeated, tag = "6")]
    pub(super) usage: Vec<UsageWire>,
    /// Fencing token of the duties if the sender holds them, else 0.
    #[prost(uint64, tag = "7")]
    pub(super) duty: u64,
    #[prost(message, optional, tag = "8")]
    pub(super) placed: Option<PlacedWire>,
    #[prost(message, repeated, tag = "9")]
    pub(super) work: Vec<WorkWire>,
    /// Hashes of the engines that the holder of the duties has ordered to another stage.
    #[prost(fixed32, repeated, tag = "10")]
    pub(super) changing: Vec<u32>,
    /// Revision of the list of servers; 0 before it was read.
    #[prost(uint64, tag = "11")]
    pub(super) servers: u64,
    /// Time since the object service answered the sender's watch, in milliseconds.
    #[prost(uint64, optional, tag = "12")]
    pub(super) answered_ms: Option<u64>,
    /// Changes of the list of servers that the sender has just seen.
    #[prost(message, optional, tag = "13")]
    pub(super) change: Option<ChangeWire>,
    /// Whether the sender has lost the object service of late, or has just started.
    #[prost(bool, tag = "14")]
    pub(super) was_away: bool,
    /// Hash of the name of the sender's data centre.
    #[prost(fixed32, tag = "15")]
    pub(super) centre: u32,
    /// First of the windows of which `usage` holds all counts of the sender.
    #[prost(uint64, optional, tag = "16")]
    pub(super) counted_from: Option<u64>,
    /// Requests under which servers have ended.
    #[prost(message, repeated, tag = "17")]
    pub(super) crashes: Vec<CrashesWire>,
    /// Loads that the nodes of the sender's data centre have put on servers.
    #[prost(message, optional, tag = "18")]
    pub(super) centre_loads: Option<LoadsWire>,
}

/// A request under which servers have ended.
#[derive(Clone, PartialEq, Message)]
pub(super) struct CrashesWire {
    #[prost(bytes = "vec", tag = "1")]
    print: Vec<u8>,
    /// Starts of the servers, and below the times since.
    #[prost(fixed64, repeated, tag = "2")]
    starts: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    ages_ms: Vec<u64>,
    /// Time since the request was answered whole, if it was.
    #[prost(uint64, optional, tag = "4")]
    cleared_ms: Option<u64>,
}

impl From<SharedCrashes> for CrashesWire {
    fn from(shared: SharedCrashes) -> Self {
        let millis = |age: Duration| age.as_millis() as u64;
        Self {
            print: shared.print.0.to_vec(),
            starts: shared.ends.iter().map(|(start, _)| start.0).collect(),
            ages_ms: shared.ends.iter().map(|(_, age)| millis(*age)).collect(),
            cleared_ms: shared.cleared.map(millis),
        }
    }
}

/// A request's fingerprint has not 32 bytes.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub(super) struct PrintFault;

impl TryFrom<CrashesWire> for SharedCrashes {
    type Error = PrintFault;

    fn try_from(wire: CrashesWire) -> Result<Self, Self::Error> {
        let print = wire.print.try_into().map_err(|_| PrintFault)?;
        let starts = wire.starts.into_iter().map(StartId);
        let ages = wire.ages_ms.into_iter().map(Duration::from_millis);
        Ok(Self {
            print: Fingerprint(print),
            ends: starts.zip(ages).collect(),
            cleared: wire.cleared_ms.map(Duration::from_millis),
        })
    }
}

/// Changes of the list of servers.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ChangeWire {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    to: u64,
    /// [`EventsWire`], packed.
    #[prost(bytes = "vec", tag = "4")]
    events: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct EventsWire {
    #[prost(message, repeated, tag = "1")]
    events: Vec<EventWire>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct EventWire {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    /// JSON of the entry; absent where it was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    value: Option<Vec<u8>>,
}

/// Why changes of the list of servers can't be written or read.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(super) enum ChangeFault {
    /// They can't be packed or unpacked.
    Packed(std::io::Error),
    /// They are no changes.
    Message(prost::DecodeError),
    /// An entry is no JSON.
    Entry(serde_json::Error),
}

impl TryFrom<&ServerListDelta> for ChangeWire {
    type Error = ChangeFault;

    fn try_from(change: &ServerListDelta) -> Result<Self, Self::Error> {
        let events = change.events.iter().map(|event| EventWire {
            key: event.key.clone(),
            version: event.version.0,
            value: event
                .value
                .as_ref()
                .map(|value| value.to_string().into_bytes()),
        });
        let events = EventsWire {
            events: events.collect(),
        };
        Ok(Self {
            from: change.from.0,
            to: change.to.0,
            events: compress(&events.encode_to_vec())?,
        })
    }
}

impl TryFrom<ChangeWire> for ServerListDelta {
    type Error = ChangeFault;

    fn try_from(wire: ChangeWire) -> Result<Self, Self::Error> {
        let events = decompress(&wire.events)?;
        let events = EventsWire::decode(events.as_slice())?.events;
        let events = events.into_iter().map(|event| {
            let value = event.value.map(|json| serde_json::from_slice(&json));
            Ok::<_, ChangeFault>(Event {
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
pub(super) struct WorkWire {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// Prompt tokens a second.
    #[prost(float, tag = "2")]
    pub(super) read: f32,
    /// Output tokens a second.
    #[prost(float, tag = "3")]
    pub(super) make: f32,
}

/// Shared parts of prompts that servers were given to read, in columns, which take
/// less room than rows.
#[derive(Clone, PartialEq, Message)]
pub(super) struct PlacedWire {
    /// Hashes of the servers' identities.
    #[prost(fixed32, repeated, tag = "1")]
    pub(super) servers: Vec<u32>,
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
pub(super) struct LoadsWire {
    /// Hashes of the servers' identities.
    #[prost(fixed32, repeated, tag = "1")]
    pub(super) servers: Vec<u32>,
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
    pub(super) fn told(self, at: Instant) -> Vec<(u32, PeerLoad)> {
        let loads = self.unread.into_iter().zip(self.running);
        let loads = loads.map(|(unread, running)| OwnLoad { unread, running });
        let told = self.servers.into_iter().zip(loads);
        told.map(|(server, load)| (server, PeerLoad { load, at }))
            .collect()
    }
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct UsageWire {
    #[prost(uint64, tag = "1")]
    pub(super) window: u64,
    #[prost(string, tag = "2")]
    pub(super) account: String,
    #[prost(uint64, tag = "3")]
    pub(super) count: u64,
}

impl From<WorkWire> for (Name, WorkRates) {
    fn from(wire: WorkWire) -> Self {
        let rates = WorkRates {
            read: f64::from(wire.read),
            make: f64::from(wire.make),
        };
        (Name::from(wire.service), rates)
    }
}
