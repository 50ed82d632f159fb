//! Node objects in the object service. A node's object holds its address for peers and the requests
//! and prompt parts that it has quarantined, and its record of streams, so that these survive a
//! restart of the whole fleet.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Era, Name, Revision};
use pomeloridge_platform::{Expect, Object, PlatformError, PutOutcome};
use pomeloridge_policy::crashes::{CrashReport, ServerIncarnation};
use pomeloridge_policy::part_crashes::{PartCrash, PartReport, Suspect};
use pomeloridge_policy::stream_versions::{SETTLE_TIME, StreamRecord, StreamRecords};
use pomeloridge_policy::suspicion::Fingerprint;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::table::ListedNode;
use crate::part_quarantine;
use crate::state::State;
use crate::versions::RecordWire;

/// Timeout of a read of the nodes' records.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(500);
/// Prefix of the keys of node objects.
pub(super) const KEY_PREFIX: &str = "pomeloridge-nodes/";

/// The stored form of a node object.
#[derive(Deserialize, Serialize)]
struct NodeWire {
    address: SocketAddr,
    /// Incarnation of the node.
    life: u64,
    /// Hash of the name of the node's data centre.
    #[serde(default)]
    centre: u32,
    /// Quarantined requests.
    #[serde(default)]
    barred: Vec<QuarantinedWire>,
    /// Crashes of the engines that quarantined prompt parts have crashed.
    #[serde(default)]
    barred_parts: Vec<PartCrashWire>,
    /// Streams that the table of versions does not explain; absent if the node does not know the
    /// table, or is of a build without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    versions: Option<RecordWire>,
}

/// The stored form of a crash with the prompt parts that are suspects.
#[derive(Deserialize, Serialize)]
struct PartCrashWire {
    #[serde(flatten)]
    crash: CrashWire,
    parts: Vec<SuspectWire>,
}

/// The stored form of a prompt part that has crashed servers.
#[derive(Deserialize, Serialize)]
struct SuspectWire {
    /// Identifier of the part in hexadecimal.
    part: String,
    /// Number of parts before it in the prompt.
    depth: u32,
}

impl PartCrashWire {
    fn new(crash: &PartCrash, now_ms: u64) -> Self {
        let parts = crash.suspects.iter().map(|suspect| SuspectWire {
            part: format!("{:x}", suspect.part),
            depth: suspect.depth,
        });
        Self {
            crash: CrashWire::new(crash.server, crash.age, now_ms),
            parts: parts.collect(),
        }
    }

    /// Returns `None` if the server incarnation or a part is malformed.
    fn decode(&self, now_ms: u64) -> Option<PartCrash> {
        let (server, age) = self.crash.decode(now_ms)?;
        let suspects = self.parts.iter();
        let suspects = suspects.map(|suspect| {
            let part = u64::from_str_radix(&suspect.part, 16).ok()?;
            let depth = suspect.depth;
            Some(Suspect { part, depth })
        });
        Some(PartCrash {
            server,
            age,
            suspects: suspects.collect::<Option<_>>()?,
        })
    }
}

/// The stored form of a quarantined request: one that has crashed servers.
#[derive(Deserialize, Serialize)]
struct QuarantinedWire {
    /// Request fingerprint in hexadecimal.
    print: String,
    /// Crashes of servers that were running it.
    ends: Vec<CrashWire>,
    /// Whether it was ever answered completely.
    #[serde(default)]
    answered: bool,
}

/// The stored form of a server crash.
#[derive(Deserialize, Serialize)]
struct CrashWire {
    /// Incarnation of the server in hexadecimal, as some JSON readers do not keep 64-bit
    /// integers exactly.
    start: String,
    /// Time of the crash in milliseconds since the Unix epoch.
    at: u64,
}

impl CrashWire {
    fn new(server: ServerIncarnation, age: Duration, now_ms: u64) -> Self {
        Self {
            start: format!("{:x}", server.0),
            at: now_ms.saturating_sub(age.as_millis() as u64),
        }
    }

    /// Returns the server and the time since the crash, or `None` if the incarnation is
    /// malformed.
    fn decode(&self, now_ms: u64) -> Option<(ServerIncarnation, Duration)> {
        let start = u64::from_str_radix(&self.start, 16).ok()?;
        let age = Duration::from_millis(now_ms.saturating_sub(self.at));
        Some((ServerIncarnation(start), age))
    }
}

impl QuarantinedWire {
    fn new(report: &CrashReport, now_ms: u64) -> Self {
        let crashes = report.crashes.iter();
        let crashes = crashes.map(|(start, age)| CrashWire::new(*start, *age, now_ms));
        Self {
            print: hex::encode(report.fingerprint.0),
            ends: crashes.collect(),
            answered: report.answered,
        }
    }

    /// Returns `None` if the fingerprint or a server incarnation is malformed.
    fn decode(self, now_ms: u64) -> Option<CrashReport> {
        let mut fingerprint = Fingerprint([0; 32]);
        hex::decode_to_slice(self.print, &mut fingerprint.0).ok()?;
        let crashes = self.ends.iter().map(|crash| crash.decode(now_ms));
        Some(CrashReport {
            fingerprint,
            crashes: crashes.collect::<Option<_>>()?,
            cleared: None,
            answered: self.answered,
        })
    }
}

/// The nodes' records of streams, as listed; `None` for a node that writes none.
pub(crate) type ListedRecords = HashMap<Name, Option<StreamRecord>>;

/// Writes this node's object, after merging the quarantined requests and the streams of an earlier
/// incarnation. `known` is the version that this process last wrote.
pub(super) async fn write(
    state: &State,
    known: Option<Revision>,
) -> Result<PutOutcome, PlatformError> {
    let key = format!("{KEY_PREFIX}{}", state.name);
    if let Some(known) = known {
        let expect = Expect::Version(known);
        let update = state.store.put_confirmed(&key, encode(state)?, expect);
        match update.await? {
            PutOutcome::Conflict(_) => {}
            outcome => return Ok(outcome),
        }
    }
    // Most nodes that start are new, and have no object to read before the write.
    let creation = state
        .store
        .put_confirmed(&key, encode(state)?, Expect::Absent);
    match creation.await? {
        PutOutcome::Conflict(Some(found)) => {
            read(state, &found);
            inherit(state, &found);
            let expect = Expect::Version(found.version);
            state
                .store
                .put_confirmed(&key, encode(state)?, expect)
                .await
        }
        PutOutcome::Written(version) if state.store.lost_before().is_none() => {
            // There is no earlier incarnation that could have spent any of the retry budget.
            state.allowance_from.set(state.now());
            set_first(state);
            Ok(PutOutcome::Written(version))
        }
        PutOutcome::Written(version) => {
            set_first(state);
            Ok(PutOutcome::Written(version))
        }
        outcome => Ok(outcome),
    }
}

/// Records that no object of an earlier incarnation was found. A restored service may have lost it.
fn set_first(state: &State) {
    let now = state.now();
    let mut versions = state.versions.borrow_mut();
    if versions.has_inherited() {
        return;
    }
    if state.store.lost_before().is_some() {
        versions.inherit(None, 0, now);
        versions.set_record_due(now);
    } else {
        versions.set_first();
    }
}

/// Takes over the streams of an earlier incarnation from its object. What a restored service lists
/// of an earlier era may be older than what that incarnation wrote last.
fn inherit(state: &State, object: &Object) {
    let Ok(wire) = NodeWire::deserialize(&object.value) else {
        return state.versions.borrow_mut().inherit(None, 0, state.now());
    };
    if wire.life == state.incarnation {
        return set_first(state);
    }
    state.account_quota.record_restart();
    let era = wire.versions.as_ref().map(|record| Era(record.era));
    let is_latest = era == Some(object.version.era());
    let record = wire.versions.and_then(|mut wire| {
        wire.is_final &= is_latest;
        decode_record(wire, &state.name)
    });
    let acknowledged = record.as_ref().filter(|_| is_latest).map_or(0, |record| {
        let inherited = record.inherited.unwrap_or(u64::MAX);
        inherited.min(record.acknowledged)
    });
    let mut versions = state.versions.borrow_mut();
    versions.inherit(record.as_ref(), acknowledged, state.now());
}

/// Decodes a record of streams. Returns `None` if it is malformed.
fn decode_record(wire: RecordWire, name: &Name) -> Option<StreamRecord> {
    let record = StreamRecord::try_from(wire);
    record
        .inspect_err(|error| {
            log::warn!("node name={name} versions choice=ignore reason=\"{error}\"");
        })
        .ok()
}

/// Reads the records of streams of all nodes.
pub(crate) async fn read_records(state: &State) -> Result<ListedRecords, PlatformError> {
    let store = state.store.with_max_timeout(RECORDS_TIMEOUT);
    let (_, objects) = store.list(KEY_PREFIX).await?;
    let peers = state.peers.borrow();
    let records = objects.iter().filter_map(|object| {
        let name = Name::from(object.key.strip_prefix(KEY_PREFIX)?);
        let wire = NodeWire::deserialize(&object.value).ok();
        let record = wire.and_then(|wire| {
            let life = wire.life;
            let mut record = wire.versions?;
            // A later process of the node has not written its record yet, or a restored service
            // has lost it.
            record.is_final &= record.era == object.version.era().0
                && peers.incarnation(&name).is_none_or(|known| known == life);
            decode_record(record, &name)
        });
        Some((name, record))
    });
    Ok(records.collect())
}

/// Returns the records of the nodes that may have begun streams that can still be continued, with
/// this node's own as it would be written now.
pub(crate) fn relevant_records(state: &State, listed: &ListedRecords) -> StreamRecords {
    let now = state.now();
    let peers = state.peers.borrow();
    let is_gone = |name: &Name, record: &Option<StreamRecord>| {
        let silence = peers.silence(name, now);
        let settle_time = record
            .as_ref()
            .map_or(SETTLE_TIME, StreamRecord::settle_time);
        silence.is_some_and(|silence| silence >= settle_time)
    };
    let relevant = listed.iter();
    let relevant = relevant.filter(|(name, record)| !is_gone(name, record));
    let mut records: StreamRecords = relevant
        .map(|(name, record)| (name.clone(), record.clone()))
        .collect();
    for name in peers.live_names(now) {
        records.entry(name.clone()).or_default();
    }
    let versions = state.versions.borrow();
    if versions.has_inherited() {
        records.insert(state.name.clone(), versions.own_record(now));
    } else {
        records.entry(state.name.clone()).or_default();
    }
    records
}

/// Returns whether a listing contains this node's object with all quarantined requests and prompt
/// parts. A restored service may have lost the object or hold an older one.
pub(super) fn is_current(state: &State, objects: &[Object]) -> bool {
    let own = objects
        .iter()
        .find(|object| object.key.strip_prefix(KEY_PREFIX) == Some(state.name.as_str()));
    let Some(Ok(wire)) = own.map(|object| NodeWire::deserialize(&object.value)) else {
        return false;
    };
    let now = state.now();
    let quarantined = state.crashes.borrow().export_quarantined(now);
    let prints = quarantined
        .iter()
        .map(|report| hex::encode(report.fingerprint.0));
    let listed = wire.barred.iter().map(|barred| barred.print.as_str());
    let parts = state.parts.borrow().export_quarantined(now);
    let crashes = parts
        .crashes
        .iter()
        .map(|crash| format!("{:x}", crash.server.0));
    let listed_crashes = wire
        .barred_parts
        .iter()
        .map(|listed| listed.crash.start.as_str());
    let acknowledged = wire.versions.map(|record| record.acknowledged());
    wire.life == state.incarnation
        && acknowledged == state.versions.borrow().number()
        && contains_all(&listed.collect(), prints)
        && contains_all(&listed_crashes.collect(), crashes)
}

fn contains_all(listed: &HashSet<&str>, mut wanted: impl Iterator<Item = String>) -> bool {
    wanted.all(|name| listed.contains(name.as_str()))
}

/// Returns the value of this node's object.
fn encode(state: &State) -> Result<Value, PlatformError> {
    let now = state.now();
    let now_ms = state.fleet_clock.borrow().unix_ms(now);
    let quarantined = state.crashes.borrow().export_quarantined(now);
    let parts = state.parts.borrow().export_quarantined(now);
    let record = state.versions.borrow().own_record(now);
    let era = state.store.era().0;
    let wire = NodeWire {
        versions: record.map(|record| RecordWire::new(&record, era)),
        address: state.peer_address,
        life: state.incarnation,
        centre: state.data_centre_hash,
        barred: quarantined
            .iter()
            .map(|report| QuarantinedWire::new(report, now_ms))
            .collect(),
        barred_parts: parts
            .crashes
            .iter()
            .map(|crash| PartCrashWire::new(crash, now_ms))
            .collect(),
    };
    serde_json::to_value(wire).map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Decodes a node object and merges its quarantined requests. Returns `None` if it is malformed.
pub(super) fn read(state: &State, object: &Object) -> Option<ListedNode> {
    let name = object.key.strip_prefix(KEY_PREFIX)?;
    let wire = match NodeWire::deserialize(&object.value) {
        Ok(wire) => wire,
        Err(error) => {
            log::warn!("node name={name} choice=ignore reason=\"{error}\"");
            return None;
        }
    };
    let now = state.now();
    let now_ms = state.fleet_clock.borrow().unix_ms(now);
    let quarantined = wire.barred.into_iter();
    let quarantined: Vec<CrashReport> =
        quarantined.filter_map(|wire| wire.decode(now_ms)).collect();
    merge_crashes(state, &quarantined, name, now);
    let crashes = wire.barred_parts.iter();
    let parts = PartReport {
        crashes: crashes.filter_map(|crash| crash.decode(now_ms)).collect(),
        answers: Vec::new(),
    };
    part_quarantine::merge(state, &parts, name, now);
    Some(ListedNode {
        name: Name::from(name),
        address: wire.address,
        data_centre_hash: wire.centre,
    })
}

/// Merges another node's reports of requests that crashed servers.
pub(super) fn merge_crashes(state: &State, reports: &[CrashReport], by: &str, now: Instant) {
    let changes = state.crashes.borrow_mut().merge(reports, now);
    for fingerprint in changes.begun {
        log::info!("request print={fingerprint} choice=bar by={by}");
    }
    // The object must not keep the crashes, as with prompt parts.
    for fingerprint in changes.ended {
        log::info!("request print={fingerprint} choice=lift by={by}");
        state.quarantine_changed.set(true);
    }
}
