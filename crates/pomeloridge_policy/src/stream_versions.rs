//! Which software version of its service a stream belongs to.
//!
//! A stream may go on only at servers of the version that began it. The version follows from a
//! table that all nodes share: the hash of the attempt that began the stream gives a slot, and the
//! table gives each slot a version. Each node remembers the streams that it began. When the table
//! changes, it records those that the new table does not explain, and acknowledges the table. A
//! node that has neither begun a stream nor finds it in a record knows its version if all nodes
//! have acknowledged the table in which the slot changed last. A node that has ended acknowledges
//! nothing; while the table has changed lately, each node therefore sends a copy of the version of
//! each stream that it begins to a few others.

mod memory;
mod placement;
mod table;

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use pomeloridge_base::id::Name;
use sha2::{Digest, Sha256};

use crate::prefix::leading_number;

pub use memory::{BegunStream, MAX_STREAMS, StreamMemory};
pub use placement::{ASKED, COPIES, CopyNode, copy_nodes};
pub use table::{InvalidSlots, SLOTS, ServiceCapacities, Slot, VersionSlots, VersionTable};

/// Longest time from a stream's first event until its caller stops trying to continue it.
pub const MAX_STREAM_AGE: Duration = Duration::from_secs(30);

/// Time since the last change of a slot after which no stream of an earlier version can be
/// continued, also those begun by a node that was told of the change late.
pub const SETTLE_TIME: Duration = Duration::from_secs(35);

/// Time without an answer of the object service to any known node after which a node that hears
/// only a minority of the others begins no streams.
pub const MAX_UNCONFIRMED: Duration = Duration::from_secs(4);
/// Time added to those that nodes measure by different clocks.
const SETTLE_MARGIN: Duration = Duration::from_secs(1);

/// Identifier of a stream: the hash of the attempt that brought its first event, the same on every
/// node and in every build.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:x}")]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the identifier of the stream that an attempt began.
    pub fn of(attempt: &[u8]) -> Self {
        Self(leading_number(&Sha256::digest(attempt)))
    }

    /// Returns a number that is independent of the stream's slot.
    pub fn draw(self) -> u64 {
        self.0 / SLOTS as u64
    }
}

/// The service and the software version of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamVersion {
    /// Service of its server.
    pub service: Name,
    /// Software version of its server.
    pub version: Name,
}

/// What a node has written about the streams that it began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamRecord {
    /// Number of the latest table that the node has taken over.
    pub acknowledged: u64,
    /// Number of the latest table that an earlier process of the node had taken over, if its
    /// streams may still be continued. The record says nothing about such streams in slots that
    /// have changed since.
    pub inherited: Option<u64>,
    /// Longest time for which callers may continue the streams that the node begins.
    pub longest: Duration,
    /// Versions of the streams that the table does not explain.
    pub streams: HashMap<StreamId, StreamVersion>,
    /// Whether the node has ended, and `streams` holds all that it began and callers may still
    /// continue.
    pub is_final: bool,
}

impl StreamRecord {
    /// Returns whether the record names all of the node's streams in a slot that began before the
    /// slot last changed, in the table with this number.
    fn covers(&self, changed: u64) -> bool {
        (self.is_final || changed <= self.acknowledged)
            && self.inherited.is_none_or(|table| changed <= table)
    }

    /// Returns the silence after which no stream of the node can be continued any more, if it wrote
    /// nothing as it ended: it may have begun streams until it knew that it was cut off.
    pub fn settle_time(&self) -> Duration {
        SETTLE_TIME.min(self.longest + MAX_UNCONFIRMED + SETTLE_MARGIN)
    }
}

/// Why the version of a stream is not known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnknownVersion {
    /// No table names the service.
    #[display("no table")]
    NoTable,
    /// There is a newer table, which this node has not read.
    #[display("table outdated")]
    Outdated,
    /// This node can't tell whether there is a newer table, as it reaches neither the object
    /// service nor most of the other nodes.
    #[display("cut off")]
    CutOff,
    /// The caller does not name the attempt that began the stream.
    #[display("no attempt named")]
    NoAttempt,
    /// Some nodes have not acknowledged the latest change of the slot.
    #[display("slot changed")]
    SlotChanged,
    /// The stream began at another service.
    #[display("other service")]
    OtherService,
    /// Records name several versions.
    #[display("records disagree")]
    Conflict,
    /// The records of the nodes can't be read.
    #[display("records unreadable")]
    NoRecords,
}

impl UnknownVersion {
    /// Returns whether the version is unknown only for want of proof, so that another node may
    /// know the stream.
    pub fn is_lack_of_proof(self) -> bool {
        match self {
            Self::NoTable | Self::Outdated | Self::CutOff | Self::SlotChanged | Self::NoRecords => {
                true
            }
            Self::NoAttempt | Self::OtherService | Self::Conflict => false,
        }
    }
}

/// The records of all nodes; `None` for a node that writes none.
pub type StreamRecords = HashMap<Name, Option<StreamRecord>>;

/// Returns the version of a stream that this node does not remember, without the nodes' records;
/// `Ok(None)` if these are needed. `slot_age` is the time since the stream's slot last changed, at
/// least.
pub fn version_by_table(
    table: &VersionTable,
    service: &Name,
    stream: Option<StreamId>,
    slot_age: impl FnOnce(usize) -> Duration,
) -> Result<Option<Name>, UnknownVersion> {
    let slots = table.services.get(service).ok_or(UnknownVersion::NoTable)?;
    if let Some(version) = slots.sole_version() {
        return Ok(Some(version.clone()));
    }
    let stream = stream.ok_or(UnknownVersion::NoAttempt)?;
    let is_settled = slot_age(VersionSlots::index(stream)) >= SETTLE_TIME;
    Ok(is_settled.then(|| slots.version(stream).clone()))
}

/// Returns the version of a stream that this node does not remember, by the records of all nodes.
pub fn version_by_records(
    table: &VersionTable,
    service: &Name,
    stream: StreamId,
    records: &StreamRecords,
) -> Result<Name, UnknownVersion> {
    let slots = table.services.get(service).ok_or(UnknownVersion::NoTable)?;
    let written = || records.values().flatten();
    let mut named = written().filter_map(|record| record.streams.get(&stream));
    if let Some(first) = named.next() {
        return if named.any(|other| other != first) {
            Err(UnknownVersion::Conflict)
        } else if first.service == *service {
            Ok(first.version.clone())
        } else {
            Err(UnknownVersion::OtherService)
        };
    }
    // Such a record leaves out streams that only the newer table explains.
    if written().any(|record| record.acknowledged > table.number) {
        return Err(UnknownVersion::Outdated);
    }
    let changed = slots.changed(stream);
    let is_covered = |record: &Option<StreamRecord>| {
        let record = record.as_ref();
        record.is_some_and(|record| record.covers(changed))
    };
    if records.values().all(is_covered) {
        Ok(slots.version(stream).clone())
    } else {
        Err(UnknownVersion::SlotChanged)
    }
}
