//! Tests of the table of versions and the nodes' records as they are sent and stored, and of the
//! order in which a node adopts tables.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_gateway::{InvalidStreamIds, RecordWire, StreamVersions, TableWire};
use pomeloridge_policy::stream_versions::{
    BegunStream, MAX_STREAM_AGE, SETTLE_TIME, ServiceCapacities, StreamId, StreamRecord,
    StreamVersion, VersionTable,
};
use proptest::prelude::*;
use prost::Message;
use serde_json::{Value, json};
use yare::parameterized;

const SERVICE: &str = "huvo";

fn capacities(places: &[(&str, u64)]) -> BTreeMap<Name, ServiceCapacities> {
    let places = places.iter().map(|(version, n)| (Name::from(*version), *n));
    [(Name::from(SERVICE), places.collect())].into()
}

/// Returns tables with the numbers 1, 2 and 3.
fn tables() -> [VersionTable; 3] {
    let first = VersionTable::default().rebalanced(&capacities(&[("a", 8)]));
    let first = first.expect("a first table");
    let second = first.rebalanced(&capacities(&[("a", 8), ("b", 8)]));
    let second = second.expect("a second table");
    let third = second.rebalanced(&capacities(&[("b", 8)]));
    let third = third.expect("a third table");
    [first, second, third]
}

fn version(version: &str) -> StreamVersion {
    StreamVersion {
        service: Name::from(SERVICE),
        version: Name::from(version),
    }
}

fn record() -> StreamRecord {
    let streams = [(1, "a"), (u64::MAX, "a"), (7, "b")];
    let streams = streams
        .iter()
        .map(|(id, name)| (StreamId(*id), version(name)));
    StreamRecord {
        is_final: false,
        acknowledged: 3,
        inherited: Some(2),
        longest: MAX_STREAM_AGE,
        streams: streams.collect(),
    }
}

#[test]
fn table_is_the_same_after_it_was_stored_and_sent() {
    for table in tables() {
        let wire = TableWire::from(&table);
        let stored = serde_json::to_value(&wire).unwrap();
        let stored: TableWire = serde_json::from_value(stored).unwrap();
        assert_eq!(VersionTable::try_from(stored), Ok(table.clone()));
        let sent = TableWire::decode(wire.encode_to_vec().as_slice()).unwrap();
        assert_eq!(VersionTable::try_from(sent), Ok(table));
    }
}

#[test]
fn record_is_the_same_after_it_was_stored() {
    let stored = serde_json::to_value(RecordWire::new(&record(), 1)).unwrap();
    let stored: RecordWire = serde_json::from_value(stored).unwrap();
    assert_eq!(stored.acknowledged(), 3);
    assert_eq!(StreamRecord::try_from(stored), Ok(record()));
}

#[parameterized(
    few_slots = { json!({"counts": [63], "slots": [0], "changed": [1]}) },
    many_slots = { json!({"counts": [4_000_000_000_u32], "slots": [0], "changed": [1]}) },
    many_runs = { json!({"counts": [64, 64], "slots": [0, 0], "changed": [1, 1]}) },
    unlisted_version = { json!({"counts": [64], "slots": [1], "changed": [1]}) },
    short_column = { json!({"counts": [32, 32], "slots": [0], "changed": [1, 1]}) },
    empty = { json!({"counts": [], "slots": [], "changed": []}) },
)]
fn malformed_table_is_rejected(columns: Value) {
    let mut slots = columns;
    slots["service"] = json!(SERVICE);
    slots["versions"] = json!(["a"]);
    let wire = json!({"number": 1, "services": [slots]});
    let wire: TableWire = serde_json::from_value(wire).unwrap();
    assert!(VersionTable::try_from(wire).is_err());
}

#[parameterized(
    odd_digits = { "0" },
    cut_off = { "000000000000000" },
    no_hexadecimal = { "000000000000000g" },
    no_ascii = { "äääääääääääääääää" },
)]
fn malformed_record_is_rejected(ids: &str) {
    let streams = json!([{"service": SERVICE, "version": "a", "ids": ids}]);
    let wire: RecordWire = serde_json::from_value(json!({"table": 1, "streams": streams})).unwrap();
    assert_eq!(StreamRecord::try_from(wire), Err(InvalidStreamIds));
}

proptest! {
    #[test]
    fn any_datagram_is_decoded_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(wire) = TableWire::decode(bytes.as_slice()) {
            VersionTable::try_from(wire).ok();
        }
    }
}

#[test]
fn only_newer_tables_are_adopted() {
    let now = Instant::now();
    let [first, second, third] = tables();
    let mut versions = StreamVersions::new(now);
    assert_eq!(versions.number(), None);
    assert!(versions.adopt(second.clone(), now));
    assert!(!versions.adopt(first, now));
    assert!(!versions.adopt(second, now));
    assert!(versions.adopt(third.clone(), now));
    assert_eq!(versions.number(), Some(3));
    assert_eq!(versions.table(), &third);
}

#[test]
fn a_newer_table_that_a_peer_named_is_awaited_for_a_while() {
    let now = Instant::now();
    let [first, second, _] = tables();
    let mut versions = StreamVersions::new(now);
    versions.adopt(first, now);
    assert!(!versions.hear(1, now));
    assert!(versions.hear(2, now));
    assert_eq!(versions.newer(), Some(2));
    assert!(versions.awaits_newer(now));
    let later = now + Duration::from_mins(1);
    assert!(versions.hear(2, later));
    assert!(!versions.awaits_newer(later));
    versions.adopt(second, later);
    assert_eq!(versions.newer(), None);
}

#[test]
fn slot_age_counts_from_its_last_change_or_the_start() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let [first, second, _] = tables();
    let service = Name::from(SERVICE);
    let mut versions = StreamVersions::new(start);
    assert_eq!(versions.slot_age(&service, 0, at(5)), Duration::ZERO);
    versions.adopt(first, at(10));
    versions.adopt(second, at(20));
    let ages: Vec<u64> = (0..64)
        .map(|slot| versions.slot_age(&service, slot, at(30)).as_secs())
        .collect();
    assert_eq!(ages.iter().filter(|age| **age == 10).count(), 32);
    assert_eq!(ages.iter().filter(|age| **age == 20).count(), 32);
}

#[test]
fn streams_begun_before_a_change_are_recorded() {
    let now = Instant::now();
    let [first, second, _] = tables();
    let mut versions = StreamVersions::new(now);
    assert_eq!(versions.own_record(now), None);
    versions.adopt(first, now);
    versions.set_first();
    for id in 0..64 {
        versions.record(StreamId(id), version("a"), now + MAX_STREAM_AGE, now);
    }
    let record = versions.own_record(now).unwrap();
    assert_eq!((record.acknowledged, record.streams.len()), (1, 0));
    versions.adopt(second, now);
    let record = versions.own_record(now).unwrap();
    assert_eq!((record.acknowledged, record.streams.len()), (2, 32));
}

#[test]
fn a_request_on_its_way_keeps_its_version_over_a_change() {
    let now = Instant::now();
    let [first, _, third] = tables();
    let mut versions = StreamVersions::new(now);
    versions.adopt(first, now);
    let id = StreamId(5);
    versions.expect(id, version("a"), now);
    versions.adopt(third, now);
    let record = versions.own_record(now).unwrap();
    assert_eq!(record.streams[&id], version("a"));
    let known = versions.remembered(&Name::from(SERVICE), id, now);
    assert_eq!(known, Some(&Name::from("a")));
}

#[test]
fn a_version_that_the_table_does_not_give_is_written_at_once() {
    let now = Instant::now();
    let [first, ..] = tables();
    let mut versions = StreamVersions::new(now);
    versions.adopt(first, now);
    versions.record(StreamId(1), version("a"), now + MAX_STREAM_AGE, now);
    assert!(!versions.take_due_record(now));
    versions.record(StreamId(2), version("b"), now + MAX_STREAM_AGE, now);
    assert!(versions.take_due_record(now));
    assert!(!versions.take_due_record(now));
}

#[test]
fn the_former_process_is_inherited_once_and_for_a_while() {
    let now = Instant::now();
    let [first, second, _] = tables();
    let mut versions = StreamVersions::new(now);
    versions.adopt(first, now);
    versions.inherit(Some(&record()), 1, now);
    versions.inherit(None, 0, now);
    versions.set_first();
    let own = versions.own_record(now).unwrap();
    assert_eq!(own.inherited, Some(1));
    assert_eq!(own.streams[&StreamId(7)], version("b"));
    versions.adopt(second, now);
    let later = now + SETTLE_TIME;
    versions.sweep(later);
    assert_eq!(versions.own_record(later).unwrap().inherited, None);
    assert!(versions.take_due_record(later));
}

/// Guards against refusing the streams of a process because of those that the process before it
/// began, which no caller continues any more.
#[test]
fn the_process_before_the_former_one_is_forgotten_with_its_streams() {
    let now = Instant::now();
    let [first, second, third] = tables();
    let longest = Duration::from_secs(10);
    let mut middle = StreamVersions::new(now);
    middle.adopt(first, now);
    let former = StreamRecord {
        longest,
        ..record()
    };
    middle.inherit(Some(&former), 1, now);
    middle.adopt(second, now + longest);
    let written = middle.own_record(now + longest).unwrap();
    assert_eq!(written.inherited, None);
    let (restart, mut last) = (now + longest * 2, StreamVersions::new(now + longest * 2));
    last.adopt(third, restart);
    last.inherit(Some(&written), written.acknowledged, restart);
    let own = last.own_record(restart).unwrap();
    assert_eq!(own.inherited, Some(written.acknowledged));
}

/// Guards against forgetting a former process whose callers wait for longer than most.
#[test]
fn callers_that_wait_for_longer_prolong_the_time_of_their_streams() {
    let now = Instant::now();
    let [first, ..] = tables();
    let mut versions = StreamVersions::new(now);
    versions.adopt(first, now);
    assert!(!versions.take_due_record(now));
    versions.extend_longest(Duration::from_secs(9), now);
    assert!(!versions.take_due_record(now));
    versions.extend_longest(Duration::from_secs(21), now);
    assert!(versions.take_due_record(now));
    let written = versions.own_record(now).unwrap();
    assert_eq!(written.longest, Duration::from_secs(30));
    let mut next = StreamVersions::new(now);
    next.inherit(Some(&written), written.acknowledged, now);
    next.set_known();
    let inherited = [29, 30].map(|age| {
        let own = next.own_record(now + Duration::from_secs(age));
        own.unwrap().inherited.is_some()
    });
    assert_eq!(inherited, [true, false]);
}

/// Guards against copies of streams without end: other nodes are told only while the table may not
/// tell a stream's version.
#[test]
fn copies_are_sent_while_the_table_has_changed_lately() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let service = Name::from(SERVICE);
    let [first, second, _] = tables();
    let mut versions = StreamVersions::new(start);
    assert!(!versions.needs_copies(&service, start));
    versions.adopt(first, at(1));
    assert!(!versions.needs_copies(&service, at(1)), "one version only");
    versions.adopt(second, at(10));
    assert!(versions.needs_copies(&service, at(10)));
    assert!(versions.needs_copies(&service, at(44)));
    assert!(!versions.needs_copies(&service, at(45)));
    assert!(!versions.needs_copies(&Name::from("other"), at(10)));
}

/// Guards against a copy that replaces what is known already, outlives its stream, or gets into this
/// node's record, which speaks for its own streams.
#[test]
fn a_copy_tells_the_version_of_a_stream_while_it_may_be_continued() {
    let now = Instant::now();
    let [first, second, _] = tables();
    let service = Name::from(SERVICE);
    let mut versions = StreamVersions::new(now);
    versions.adopt(first, now);
    versions.adopt(second, now);
    let id = StreamId(5);
    let copy = |name| BegunStream {
        version: version(name),
        expires: now + MAX_STREAM_AGE,
    };
    versions.record_copy(id, copy("c"), now);
    versions.record_copy(id, copy("a"), now);
    assert_eq!(versions.copied(&service, id, now), Some(&Name::from("c")));
    assert_eq!(versions.remembered(&service, id, now), None);
    assert!(versions.is_elsewhere(&Name::from("other"), id, now));
    assert_eq!(versions.known_stream(id, now), Some(&copy("c")));
    assert!(versions.own_record(now).unwrap().streams.is_empty());
    let later = now + MAX_STREAM_AGE;
    assert_eq!(versions.copied(&service, id, later), None);
    assert_eq!(versions.known_stream(id, later), None);
}

/// Returns a table of `services` services whose places have moved between three versions often.
fn scattered_table(services: usize) -> VersionTable {
    let mut table = VersionTable::default();
    for round in 0..40_u64 {
        let places = [round * 7 % 40, round * 11 % 40, round * 13 % 40];
        let versions = ["2026.11.1", "2026.11.2", "2026.12.0"].map(Name::from);
        let places: ServiceCapacities = versions.into_iter().zip(places).collect();
        let service = |index| Name::from(format!("service-{index:02}"));
        let capacities = (0..services).map(|index| (service(index), places.clone()));
        if let Some(next) = table.rebalanced(&capacities.collect()) {
            table = next;
        }
    }
    table
}

/// The figures of `docs/CAPACITY.md`; `--nocapture` prints them.
#[test]
fn sizes_are_bounded_at_full_size() {
    let wire = TableWire::from(&scattered_table(4));
    let table_bytes = wire.encode_to_vec().len();
    let stored_bytes = serde_json::to_string(&wire).unwrap().len();
    // 24.2 requests a second at a node of 2,400, each remembered for 30 s; half of them moved.
    let streams = (0..363).map(|id| (StreamId(id << 40 | id), version("2026.11.1")));
    let record = StreamRecord {
        is_final: false,
        acknowledged: 1000,
        inherited: None,
        longest: MAX_STREAM_AGE,
        streams: streams.collect(),
    };
    let record_bytes = |record: &StreamRecord| {
        let wire = RecordWire::new(record, 1);
        serde_json::to_string(&wire).unwrap().len()
    };
    let empty_bytes = record_bytes(&StreamRecord::default());
    let record_bytes = record_bytes(&record);
    println!(
        "table datagram={table_bytes} stored={stored_bytes} record empty={empty_bytes} \
         streams_363={record_bytes}"
    );
    assert!(table_bytes < 2000 && stored_bytes < 4000);
    assert!(empty_bytes < 100 && record_bytes < 7000);
}
