//! The stored and sent forms of the table of versions and of the nodes' records.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use displaydoc::Display;
use pomeloridge_base::id::Name;
use pomeloridge_policy::stream_versions::{
    InvalidSlots, MAX_STREAM_AGE, SLOTS, Slot, StreamId, StreamRecord, StreamVersion, VersionSlots,
    VersionTable,
};
use prost::Message;
use serde::{Deserialize, Serialize};

/// Number of hexadecimal digits of a stream's identifier.
const ID_DIGITS: usize = 16;

/// The table of versions, in the object service and in datagrams.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct TableWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, repeated, tag = "2")]
    services: Vec<SlotsWire>,
}

/// The versions of a service's slots. The slots are stored as runs of equal ones, by column.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct SlotsWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, repeated, tag = "2")]
    versions: Vec<String>,
    /// Numbers of slots in the runs.
    #[prost(uint32, repeated, tag = "3")]
    counts: Vec<u32>,
    /// Indexes into `versions`.
    #[prost(uint32, repeated, tag = "4")]
    slots: Vec<u32>,
    /// Numbers of the tables in which the runs last changed.
    #[prost(uint64, repeated, tag = "5")]
    changed: Vec<u64>,
}

impl SlotsWire {
    fn new(service: &Name, slots: &VersionSlots) -> Self {
        let runs = slots.slots().chunk_by(|a, b| a == b);
        let runs: Vec<(Slot, u32)> = runs.map(|run| (run[0], run.len() as u32)).collect();
        Self {
            service: service.to_string(),
            versions: slots.versions().iter().map(Name::to_string).collect(),
            counts: runs.iter().map(|(_, count)| *count).collect(),
            slots: runs.iter().map(|(slot, _)| slot.version as u32).collect(),
            changed: runs.iter().map(|(slot, _)| slot.changed).collect(),
        }
    }
}

impl From<&VersionTable> for TableWire {
    fn from(table: &VersionTable) -> Self {
        let services = table.services.iter();
        Self {
            number: table.number,
            services: services
                .map(|(service, slots)| SlotsWire::new(service, slots))
                .collect(),
        }
    }
}

impl TryFrom<SlotsWire> for VersionSlots {
    type Error = InvalidSlots;

    fn try_from(wire: SlotsWire) -> Result<Self, Self::Error> {
        let runs = wire.counts.into_iter().zip(wire.slots).zip(wire.changed);
        let slots = runs.flat_map(|((count, version), changed)| {
            let version = version as usize;
            // More slots than allowed are rejected below.
            std::iter::repeat_n(Slot { version, changed }, (count as usize).min(SLOTS + 1))
        });
        let slots = slots.take(SLOTS + 1).collect();
        let versions = wire.versions.into_iter().map(Name::from);
        Self::new(versions.collect(), slots)
    }
}

impl TryFrom<TableWire> for VersionTable {
    type Error = InvalidSlots;

    fn try_from(wire: TableWire) -> Result<Self, Self::Error> {
        let services = wire.services.into_iter().map(|mut wire| {
            let service = Name::from(std::mem::take(&mut wire.service));
            Ok((service, wire.try_into()?))
        });
        Ok(Self {
            number: wire.number,
            services: services.collect::<Result<BTreeMap<_, _>, _>>()?,
        })
    }
}

/// A node's record of streams, as part of its node object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RecordWire {
    /// Number of the table that the node has taken over.
    table: u64,
    /// Number of the table that an earlier process of the node had taken over, while its streams
    /// may be continued.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    inherited: Option<u64>,
    /// Longest time for which callers may continue the node's streams, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    longest_ms: Option<u64>,
    /// Whether the node has ended, and `streams` holds all that it began.
    #[serde(default, rename = "final", skip_serializing_if = "std::ops::Not::not")]
    pub(crate) is_final: bool,
    /// Era of the object service in which the record was written.
    #[serde(default)]
    pub(crate) era: u64,
    /// Streams that the table does not explain.
    #[serde(default)]
    streams: Vec<StreamsWire>,
}

/// The stored form of the streams of a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StreamsWire {
    service: String,
    version: String,
    /// Identifiers of the streams in hexadecimal, one after the other.
    ids: String,
}

/// the identifiers of streams are malformed
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct InvalidStreamIds;

impl RecordWire {
    /// Returns the stored form of a record that is written in an era.
    pub fn new(record: &StreamRecord, era: u64) -> Self {
        let mut ids: BTreeMap<&StreamVersion, Vec<StreamId>> = BTreeMap::new();
        for (id, version) in &record.streams {
            ids.entry(version).or_default().push(*id);
        }
        let streams = ids.into_iter().map(|(version, mut ids)| {
            ids.sort_unstable();
            let ids = ids.iter().map(|id| format!("{:0ID_DIGITS$x}", id.0));
            StreamsWire {
                service: version.service.to_string(),
                version: version.version.to_string(),
                ids: ids.collect(),
            }
        });
        Self {
            table: record.acknowledged,
            inherited: record.inherited,
            longest_ms: Some(record.longest.as_millis() as u64),
            is_final: record.is_final,
            era,
            streams: streams.collect(),
        }
    }

    /// Returns the number of the table that the node has taken over.
    pub fn acknowledged(&self) -> u64 {
        self.table
    }
}

impl TryFrom<RecordWire> for StreamRecord {
    type Error = InvalidStreamIds;

    fn try_from(wire: RecordWire) -> Result<Self, Self::Error> {
        let mut streams = HashMap::new();
        for entry in wire.streams {
            let version = StreamVersion {
                service: Name::from(entry.service),
                version: Name::from(entry.version),
            };
            for digits in entry.ids.as_bytes().chunks(ID_DIGITS) {
                let mut id = [0; ID_DIGITS / 2];
                hex::decode_to_slice(digits, &mut id).map_err(|_| InvalidStreamIds)?;
                streams.insert(StreamId(u64::from_be_bytes(id)), version.clone());
            }
        }
        Ok(Self {
            acknowledged: wire.table,
            inherited: wire.inherited,
            longest: wire
                .longest_ms
                .map_or(MAX_STREAM_AGE, Duration::from_millis),
            streams,
            is_final: wire.is_final,
        })
    }
}
