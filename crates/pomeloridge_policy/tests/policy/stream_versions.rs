//! Tests of the software versions of streams.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::stream_versions::{
    ASKED, BegunStream, COPIES, CopyNode, MAX_STREAM_AGE, MAX_STREAMS, MAX_UNCONFIRMED,
    SETTLE_TIME, SLOTS, ServiceCapacities, Slot, StreamId, StreamMemory, StreamRecord,
    StreamRecords, StreamVersion, UnknownVersion, VersionSlots, VersionTable, copy_nodes,
    version_by_records, version_by_table,
};
use proptest::prelude::*;
use yare::parameterized;

const SERVICE: &str = "huvo";

fn service() -> Name {
    Name::from(SERVICE)
}

fn capacities(places: &[(&str, u64)]) -> BTreeMap<Name, ServiceCapacities> {
    let places = places.iter().map(|(version, n)| (Name::from(*version), *n));
    [(service(), places.collect())].into()
}

fn table(places: &[(&str, u64)]) -> VersionTable {
    let first = VersionTable::default().rebalanced(&capacities(places));
    first.expect("a first table")
}

/// Returns the number of slots of each version that has any.
fn shares(table: &VersionTable) -> BTreeMap<String, usize> {
    let slots = &table.services[&service()];
    let mut shares = BTreeMap::new();
    for slot in slots.slots() {
        let version = slots.versions()[slot.version].to_string();
        *shares.entry(version).or_default() += 1;
    }
    shares
}

fn version_at(table: &VersionTable, slot: usize) -> Name {
    let version = table.version(&service(), StreamId(slot as u64));
    version.expect("a version").clone()
}

fn changed_slots(table: &VersionTable) -> Vec<usize> {
    let slots = table.services[&service()].slots();
    let changed = slots.iter().enumerate();
    let changed = changed.filter(|(_, slot)| slot.changed == table.number);
    changed.map(|(index, _)| index).collect()
}

fn stream_version(version: &str) -> StreamVersion {
    StreamVersion {
        service: service(),
        version: Name::from(version),
    }
}

fn begun(version: &str, expires: Instant) -> BegunStream {
    BegunStream {
        version: stream_version(version),
        expires,
    }
}

#[parameterized(
    sole = { &[("a", 8)], &[("a", 64)] },
    equal = { &[("a", 8), ("b", 8)], &[("a", 32), ("b", 32)] },
    small = { &[("a", 8000), ("b", 1)], &[("a", 63), ("b", 1)] },
    thirds = { &[("a", 5), ("b", 5), ("c", 5)], &[("a", 21), ("b", 21), ("c", 22)] },
    without_places = { &[("a", 8), ("b", 0)], &[("a", 64)] },
)]
fn first_slots_follow_places(places: &[(&str, u64)], expected: &[(&str, usize)]) {
    let table = table(places);
    assert_eq!(table.number, 1);
    let expected = expected.iter().map(|(name, n)| ((*name).to_owned(), *n));
    assert_eq!(shares(&table), expected.collect());
    assert_eq!(changed_slots(&table).len(), SLOTS);
}

#[test]
fn small_shifts_of_places_move_no_slots() {
    let table = table(&[("a", 32), ("b", 32)]);
    assert_eq!(table.rebalanced(&capacities(&[("a", 36), ("b", 28)])), None);
    assert!(
        table
            .rebalanced(&capacities(&[("a", 37), ("b", 27)]))
            .is_some()
    );
}

#[test]
fn only_the_needed_slots_move() {
    let before = table(&[("a", 48), ("b", 16)]);
    let after = before.rebalanced(&capacities(&[("a", 32), ("b", 32)]));
    let after = after.expect("a next table");
    assert_eq!(after.number, 2);
    assert_eq!(shares(&after), [("a".into(), 32), ("b".into(), 32)].into());
    let moved: Vec<usize> = (0..SLOTS)
        .filter(|slot| version_at(&before, *slot) != version_at(&after, *slot))
        .collect();
    assert_eq!(moved.len(), 16);
    assert_eq!(moved, changed_slots(&after));
}

#[test]
fn a_new_version_gets_a_slot_and_one_that_has_left_loses_all() {
    let before = table(&[("a", 8000)]);
    let joined = before.rebalanced(&capacities(&[("a", 8000), ("b", 1)]));
    let joined = joined.expect("a table with the new version");
    assert_eq!(shares(&joined), [("a".into(), 63), ("b".into(), 1)].into());
    let left = joined.rebalanced(&capacities(&[("b", 1)]));
    let left = left.expect("a table without the old version");
    assert_eq!(shares(&left), [("b".into(), 64)].into());
    assert_eq!(changed_slots(&left).len(), 63);
}

/// Guards against a take-up at the only version with places, while servers of another one, at which
/// streams began before there was a table, are leaving.
#[test]
fn the_first_table_names_versions_that_are_leaving() {
    let first = table(&[("a", 0), ("b", 8)]);
    let id = StreamId(1);
    let by_table = version_by_table(&first, &service(), Some(id), |_| Duration::ZERO);
    assert_eq!(by_table, Ok(None));
    let written = records(&[Some(record(1, None, &[(1, "a")])), None]);
    let by_records = |id| version_by_records(&first, &service(), id, &written);
    assert_eq!(by_records(id), Ok(Name::from("a")));
    assert_eq!(by_records(StreamId(2)), Err(UnknownVersion::SlotChanged));
}

#[test]
fn a_service_without_places_keeps_its_slots() {
    let before = table(&[("a", 8), ("b", 8)]);
    assert_eq!(before.rebalanced(&capacities(&[])), None);
    assert_eq!(before.rebalanced(&capacities(&[("a", 0)])), None);
    assert_eq!(before.rebalanced(&BTreeMap::new()), None);
}

#[test]
fn versions_without_slots_stay_until_the_table_is_settled() {
    let left = table(&[("a", 8)]).rebalanced(&capacities(&[("b", 8)]));
    let left = left.expect("a next table");
    assert_eq!(left.services[&service()].sole_version(), None);
    let settled = left.settled().expect("a settled table");
    assert_eq!(settled.number, 3);
    let slots = &settled.services[&service()];
    assert_eq!(slots.sole_version(), Some(&Name::from("b")));
    assert!(slots.slots().iter().all(|slot| slot.changed == 2));
    assert_eq!(settled.settled(), None);
}

#[test]
fn all_slots_of_a_restored_table_count_as_changed() {
    let before = table(&[("a", 8), ("b", 8)]);
    let restored = before.restored(9);
    assert_eq!(restored.number, 9);
    assert_eq!(shares(&restored), shares(&before));
    assert_eq!(changed_slots(&restored).len(), SLOTS);
}

#[parameterized(
    too_few = { 1, SLOTS - 1, 0 },
    too_many = { 1, SLOTS + 1, 0 },
    unlisted_version = { 2, SLOTS, 2 },
    no_versions = { 0, SLOTS, 0 },
)]
fn malformed_slots_are_rejected(versions: usize, count: usize, version: usize) {
    let versions = (0..versions).map(|i| Name::from(format!("v{i}")));
    let slots = vec![
        Slot {
            version,
            changed: 1
        };
        count
    ];
    assert!(VersionSlots::new(versions.collect(), slots).is_err());
}

#[test]
fn memory_keeps_the_version_of_a_stream_that_has_begun() {
    let now = Instant::now();
    let (id, later) = (StreamId(7), now + Duration::from_secs(9));
    let mut memory = StreamMemory::default();
    memory.expect(id, begun("a", later), now);
    memory.expect(id, begun("b", later), now);
    assert_eq!(memory.version(&service(), id, now), Some(&Name::from("a")));
    // The server whose event is forwarded first decides.
    assert!(memory.record(id, begun("b", later), now));
    assert!(!memory.record(id, begun("a", later), now));
    assert_eq!(memory.version(&service(), id, now), Some(&Name::from("b")));
    assert_eq!(memory.version(&Name::from("other"), id, now), None);
}

#[test]
fn memory_forgets_a_stream_that_has_expired() {
    let now = Instant::now();
    let (id, end) = (StreamId(7), now + Duration::from_secs(9));
    let mut memory = StreamMemory::default();
    memory.record(id, begun("a", end), now);
    assert_eq!(memory.version(&service(), id, end), None);
    assert!(memory.unexplained(&VersionTable::default(), end).is_empty());
    memory.sweep(end);
    assert!(memory.is_empty());
    // A caller that goes on has more time.
    memory.record(id, begun("a", end), now);
    memory.record(id, begun("a", end + MAX_STREAM_AGE), now);
    memory.sweep(end);
    assert_eq!(memory.version(&service(), id, end), Some(&Name::from("a")));
}

#[test]
fn memory_is_bounded_and_drops_what_expires_first() {
    let now = Instant::now();
    let mut memory = StreamMemory::default();
    let expires = |id: u64| now + Duration::from_secs(1) + Duration::from_micros(id);
    for id in 0..=MAX_STREAMS as u64 {
        memory.record(StreamId(id), begun("a", expires(id)), now);
    }
    assert_eq!(memory.len(), MAX_STREAMS);
    assert_eq!(memory.version(&service(), StreamId(0), now), None);
    assert!(memory.version(&service(), StreamId(1), now).is_some());
}

#[test]
fn only_streams_that_the_table_does_not_explain_are_recorded() {
    let now = Instant::now();
    let table = table(&[("a", 8), ("b", 8)]);
    let end = now + MAX_STREAM_AGE;
    let mut memory = StreamMemory::default();
    for slot in 0..SLOTS {
        memory.record(StreamId(slot as u64), begun("a", end), now);
    }
    let unexplained = memory.unexplained(&table, now);
    assert_eq!(unexplained.len(), 32);
    for (id, version) in unexplained {
        assert_eq!(version, stream_version("a"));
        assert_eq!(version_at(&table, id.0 as usize), Name::from("b"));
    }
}

#[test]
fn sole_version_needs_no_attempt() {
    let table = table(&[("a", 8)]);
    let found = version_by_table(&table, &service(), None, |_| Duration::ZERO);
    assert_eq!(found, Ok(Some(Name::from("a"))));
    let missing = version_by_table(&table, &Name::from("x"), None, |_| Duration::MAX);
    assert_eq!(missing, Err(UnknownVersion::NoTable));
}

#[parameterized(
    unnamed = { None, Duration::MAX, Err(UnknownVersion::NoAttempt) },
    settled = { Some(0), SETTLE_TIME, Ok(Some("a")) },
    changed_lately = { Some(0), MAX_STREAM_AGE, Ok(None) },
)]
fn table_decides_once_its_slot_has_not_changed_for_long(
    stream: Option<u64>,
    age: Duration,
    expected: Result<Option<&str>, UnknownVersion>,
) {
    let table = table(&[("a", 8), ("b", 8)]);
    let found = version_by_table(&table, &service(), stream.map(StreamId), |_| age);
    assert_eq!(found, expected.map(|version| version.map(Name::from)));
}

fn record(acknowledged: u64, inherited: Option<u64>, streams: &[(u64, &str)]) -> StreamRecord {
    let streams = streams
        .iter()
        .map(|(id, version)| (StreamId(*id), stream_version(version)));
    StreamRecord {
        is_final: false,
        acknowledged,
        inherited,
        streams: streams.collect(),
        ..StreamRecord::default()
    }
}

fn records(records: &[Option<StreamRecord>]) -> StreamRecords {
    let records = records.iter().enumerate();
    let records = records.map(|(i, record)| (Name::from(format!("n{i}")), record.clone()));
    records.collect()
}

/// Slot 0 belongs to `a` in the table of number 1 and to `b` in the one of number 2.
fn moved_table() -> VersionTable {
    let moved = table(&[("a", 8)]).rebalanced(&capacities(&[("b", 8)]));
    moved.expect("a next table")
}

#[parameterized(
    all_acknowledged = { &[Some(record(2, None, &[])), Some(record(2, None, &[]))], Ok("b") },
    recorded = { &[Some(record(2, None, &[(0, "a")])), Some(record(2, None, &[]))], Ok("a") },
    recorded_elsewhere = { &[Some(record(2, None, &[(64, "a")]))], Ok("b") },
    recorded_by_an_old_one = { &[Some(record(1, None, &[(0, "a")])), None], Ok("a") },
    unacknowledged = {
        &[Some(record(2, None, &[])), Some(record(1, None, &[]))],
        Err(UnknownVersion::SlotChanged)
    },
    former_build = { &[Some(record(2, None, &[])), None], Err(UnknownVersion::SlotChanged) },
    restarted = { &[Some(record(2, Some(2), &[]))], Ok("b") },
    restarted_with_change = {
        &[Some(record(2, Some(1), &[]))], Err(UnknownVersion::SlotChanged)
    },
    newer_table = { &[Some(record(3, None, &[]))], Err(UnknownVersion::Outdated) },
    newer_table_recorded = { &[Some(record(3, None, &[(0, "a")]))], Ok("a") },
    conflict = {
        &[Some(record(2, None, &[(0, "a")])), Some(record(2, None, &[(0, "c")]))],
        Err(UnknownVersion::Conflict)
    },
    agreement = {
        &[Some(record(2, None, &[(0, "a")])), Some(record(2, None, &[(0, "a")]))], Ok("a")
    },
)]
fn records_decide_after_a_change(
    written: &[Option<StreamRecord>],
    expected: Result<&str, UnknownVersion>,
) {
    let found = version_by_records(&moved_table(), &service(), StreamId(0), &records(written));
    assert_eq!(found, expected.map(Name::from));
}

/// Guards against continuing a stream at a service that did not begin it, whose versions say
/// nothing of the stream.
#[test]
fn a_stream_that_a_record_names_under_another_service_is_not_continued() {
    let mut written = record(2, None, &[(0, "a")]);
    for version in written.streams.values_mut() {
        version.service = Name::from("other");
    }
    let records = records(&[Some(written)]);
    let found = version_by_records(&moved_table(), &service(), StreamId(0), &records);
    assert_eq!(found, Err(UnknownVersion::OtherService));
}

/// Guards against the same at a node that remembers the stream.
#[test]
fn a_stream_that_is_remembered_under_another_service_is_elsewhere() {
    let (now, mut memory) = (Instant::now(), StreamMemory::default());
    let stream = BegunStream {
        version: stream_version("a"),
        expires: now + MAX_STREAM_AGE,
    };
    memory.record(StreamId(0), stream, now);
    let other = Name::from("other");
    assert!(memory.is_elsewhere(&other, StreamId(0), now));
    assert!(!memory.is_elsewhere(&service(), StreamId(0), now));
    assert!(!memory.is_elsewhere(&other, StreamId(1), now));
    assert!(!memory.is_elsewhere(&other, StreamId(0), now + MAX_STREAM_AGE));
}

/// A step of a fleet whose table changes.
#[derive(Clone, Debug)]
enum Step {
    /// The places of the versions become these, and the table changes if it should.
    Places([u64; 3]),
    /// A node adopts the latest table.
    Adopt(usize),
    /// A node writes its record.
    Write(usize),
    /// A node begins the stream of an attempt.
    Begin(usize, u64),
    /// A node is killed and starts again.
    Restart(usize),
}

const NODES: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        prop::array::uniform3(0..20_u64).prop_map(Step::Places),
        (0..NODES).prop_map(Step::Adopt),
        (0..NODES).prop_map(Step::Write),
        (0..NODES, any::<u64>()).prop_map(|(node, id)| Step::Begin(node, id)),
        (0..NODES).prop_map(Step::Restart),
    ]
}

struct Node {
    table: VersionTable,
    memory: StreamMemory,
    inherited: Option<u64>,
    written: StreamRecord,
}

impl Node {
    fn write(&mut self, now: Instant) {
        self.written = StreamRecord {
            is_final: false,
            acknowledged: self.table.number,
            inherited: self.inherited,
            streams: self.memory.unexplained(&self.table, now),
            ..StreamRecord::default()
        };
    }
}

proptest! {
    /// Nodes that know a stream's version agree, whoever began it, through changes of the table
    /// and restarts.
    #[test]
    fn nodes_agree_on_the_version_of_a_stream(steps in prop::collection::vec(step(), 1..60)) {
        let now = Instant::now();
        let end = now + MAX_STREAM_AGE;
        let mut latest = table(&[("a", 8), ("b", 8)]);
        let new_node = || Node {
            table: latest.clone(),
            memory: StreamMemory::default(),
            inherited: None,
            written: record(latest.number, None, &[]),
        };
        let mut nodes: Vec<Node> = (0..NODES).map(|_| new_node()).collect();
        let mut truth: HashMap<StreamId, Name> = HashMap::new();
        for step in steps {
            match step {
                Step::Places(places) => {
                    let places: Vec<(&str, u64)> = ["a", "b", "c"].into_iter().zip(places).collect();
                    if let Some(next) = latest.rebalanced(&capacities(&places)) {
                        latest = next;
                    }
                }
                Step::Adopt(node) => {
                    nodes[node].table = latest.clone();
                }
                Step::Write(node) => nodes[node].write(now),
                Step::Begin(node, id) => {
                    let (node, id) = (&mut nodes[node], StreamId(id));
                    if truth.contains_key(&id) {
                        continue;
                    }
                    let version = node.table.version(&service(), id).expect("a version").clone();
                    node.memory.record(id, begun(version.as_str(), end), now);
                    truth.insert(id, version);
                }
                Step::Restart(node) => {
                    let node = &mut nodes[node];
                    let former = node.written.acknowledged;
                    let former = former.min(node.inherited.unwrap_or(u64::MAX));
                    node.memory = StreamMemory::default();
                    for (id, version) in node.written.streams.clone() {
                        node.memory.record(id, begun(version.version.as_str(), end), now);
                    }
                    node.table = latest.clone();
                    node.inherited = Some(former);
                    node.write(now);
                }
            }
            let records: StreamRecords = nodes
                .iter()
                .enumerate()
                .map(|(i, node)| (Name::from(format!("n{i}")), Some(node.written.clone())))
                .collect();
            for (id, version) in &truth {
                for node in &nodes {
                    if let Some(known) = node.memory.version(&service(), *id, now) {
                        prop_assert_eq!(known, version);
                    }
                }
                if let Ok(known) = version_by_records(&latest, &service(), *id, &records) {
                    prop_assert_eq!(&known, version);
                }
            }
        }
        // Once all nodes have acknowledged the table and none has restarted since, all is known.
        if nodes.iter().all(|node| node.inherited.is_none()) {
            for node in &mut nodes {
                node.table = latest.clone();
                node.write(now);
            }
            let written: Vec<_> = nodes.iter().map(|node| Some(node.written.clone())).collect();
            for (id, version) in &truth {
                let known = version_by_records(&latest, &service(), *id, &records(&written));
                prop_assert_eq!(known, Ok(version.clone()));
            }
        }
    }
}

/// Guards against a version that is not known since a node ended before the slot changed, and
/// against one that is guessed while the former process of that node is not settled.
#[test]
fn a_final_record_covers_later_changes() {
    let last = |inherited| StreamRecord {
        is_final: true,
        ..record(1, inherited, &[(64, "a")])
    };
    let table = moved_table();
    let find = |id, last: StreamRecord| {
        let records = records(&[Some(last), Some(record(2, None, &[]))]);
        version_by_records(&table, &service(), StreamId(id), &records)
    };
    assert_eq!(find(0, last(None)), Ok(Name::from("b")));
    assert_eq!(
        find(64, last(None)),
        Ok(Name::from("a")),
        "named by the record"
    );
    assert_eq!(find(0, last(Some(1))), Err(UnknownVersion::SlotChanged));
    assert_eq!(
        find(0, record(1, None, &[])),
        Err(UnknownVersion::SlotChanged)
    );
}

/// Guards against a wait after a kill that is longer than callers can continue the node's streams,
/// and against one that a node behind a cut outlives.
#[test]
fn a_silent_node_counts_until_its_streams_are_over() {
    let longest = |longest| StreamRecord {
        longest,
        ..StreamRecord::default()
    };
    let settled = longest(Duration::from_secs(10)).settle_time();
    assert!(settled >= Duration::from_secs(10) + MAX_UNCONFIRMED);
    assert!(settled < Duration::from_secs(16), "{settled:?}");
    assert_eq!(longest(MAX_STREAM_AGE).settle_time(), SETTLE_TIME);
}

/// Returns nodes that are spread over data centres, with their numbers as keys.
fn copy_candidates(nodes: u64, data_centres: u32) -> Vec<CopyNode<u64>> {
    let nodes = (0..nodes).map(|key| CopyNode {
        key,
        name_hash: StreamId::of(format!("front-{key}").as_bytes()).0,
        data_centre_hash: key as u32 % data_centres,
    });
    nodes.collect()
}

/// Guards against copies that nobody finds: the node that asks does not know the one that sent them
/// or was killed with others, and knows some that the sender did not.
#[parameterized(
    six_nodes = { 6, 4, 1 },
    eighty_nodes = { 80, 4, 2 },
    a_thousand_nodes = { 1000, 10, 2 },
)]
fn copies_are_found_by_a_node_that_knows_other_nodes(nodes: u64, data_centres: u32, gone: usize) {
    let all = copy_candidates(nodes, data_centres);
    for number in 0..500_u64 {
        let stream = StreamId::of(&number.to_be_bytes());
        let (sender, asker) = (number % nodes, (number + 1) % nodes);
        let known = |own: u64| all.iter().filter(move |node| node.key != own).copied();
        let sent = copy_nodes(stream, known(sender), COPIES);
        // The asker knows the sender still, and nodes that have just started, but not those that
        // have just been killed.
        let asked = known(asker).filter(|node| !sent[..gone].contains(&node.key));
        let asked = copy_nodes(stream, asked, ASKED);
        let left = sent[gone..].iter().filter(|key| **key != asker);
        let mut left = left.peekable();
        if left.peek().is_some() {
            assert!(left.any(|key| asked.contains(key)), "{sent:?} {asked:?}");
        }
    }
}

/// Guards against copies that are all lost with one data centre.
#[test]
fn copies_are_in_several_data_centres() {
    let all = copy_candidates(80, 3);
    let mut held = HashMap::new();
    for number in 0..2000_u64 {
        let stream = StreamId::of(&number.to_be_bytes());
        let sent = copy_nodes(stream, all.iter().copied(), COPIES);
        let mut centres: Vec<u64> = sent.iter().map(|key| key % 3).collect();
        centres.sort_unstable();
        assert_eq!(centres, [0, 1, 2]);
        for key in sent {
            *held.entry(key).or_insert(0) += 1;
        }
    }
    // 75 each on average.
    assert_eq!(held.len(), 80);
    assert!(
        held.values().all(|count| (30..150).contains(count)),
        "{held:?}"
    );
    assert!(copy_nodes(StreamId(1), std::iter::empty::<CopyNode<u64>>(), COPIES).is_empty());
}
