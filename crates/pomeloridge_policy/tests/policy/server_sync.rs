//! Tests of a new server list: which servers stay, and which are told as removed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    Dispatcher, EngineModel, RemovedTarget, Stage, TargetInfo, TargetKey,
};
use proptest::prelude::*;

/// What identifies an incarnation, spelt out.
type Start = (String, u64, u16, String);

fn info() -> impl Strategy<Value = TargetInfo> {
    (0_u8..5, 0_u64..2, 0_u16..4, 0_u8..2, 0_u32..3).prop_map(
        |(id, started_unix_ms, port, version, slots)| TargetInfo {
            id: Name::from(format!("server-{id}")),
            started_unix_ms,
            address: ([10, 0, 0, 1], 7000 + port).into(),
            data_centre: Name::from("a"),
            service: Name::from("s"),
            version: Name::from(format!("v{version}")),
            slots,
            kv_capacity: 0,
            stage: Stage::Unified,
            leaving: slots == 0,
            leaves_in: None,
            preemptible: false,
        },
    )
}

fn start(info: &TargetInfo) -> Start {
    let (id, version) = (info.id.to_string(), info.version.to_string());
    (id, info.started_unix_ms, info.address.port(), version)
}

fn keys(dispatcher: &Dispatcher) -> BTreeMap<Start, TargetKey> {
    let targets = dispatcher.targets();
    targets
        .map(|(key, target)| (start(&target.info), key))
        .collect()
}

/// Returns what a scan of the whole list for each server finds.
fn expected_removals(
    before: &BTreeMap<Start, TargetInfo>,
    list: &[TargetInfo],
) -> BTreeMap<Start, (bool, bool)> {
    let gone = before
        .iter()
        .filter(|(known, _)| !list.iter().any(|info| start(info) == **known));
    let removals = gone.map(|(known, info)| {
        let replaces = |other: &TargetInfo| other.id == info.id || other.address == info.address;
        (known.clone(), (info.leaving, list.iter().any(replaces)))
    });
    removals.collect()
}

proptest! {
    /// Lists of a large fleet are taken without a scan of the list for each server; what stays and
    /// what is told is as with the scan.
    #[test]
    fn sync_keeps_and_tells_what_a_scan_finds(
        lists in prop::collection::vec(prop::collection::vec(info(), 0..8), 1..6),
    ) {
        let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), 7);
        let mut before: BTreeMap<Start, TargetInfo> = BTreeMap::new();
        for list in lists {
            let known = keys(&dispatcher);
            let expected = expected_removals(&before, &list);
            let removed = dispatcher.sync(list.clone());
            let told = removed.iter().map(|RemovedTarget { info, leaving, replaced }| {
                (start(info), (*leaving, *replaced))
            });
            prop_assert_eq!(told.collect::<BTreeMap<_, _>>(), expected);
            // Of two entries for one incarnation, the later counts.
            before = list.into_iter().map(|info| (start(&info), info)).collect();
            let now = dispatcher.targets().map(|(_, target)| target.info.clone());
            let now: BTreeMap<Start, TargetInfo> = now.map(|info| (start(&info), info)).collect();
            prop_assert_eq!(&now, &before);
            prop_assert_eq!(dispatcher.targets().count(), before.len());
            let stayed = keys(&dispatcher);
            for (start, key) in &known {
                prop_assert!(stayed.get(start).is_none_or(|kept| kept == key));
            }
        }
    }
}

/// A message without orders, as nearly all are, changes no engine.
#[test]
fn no_orders_change_no_stage() {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), 7);
    let engine = |id: &str| TargetInfo {
        id: Name::from(id),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("a"),
        service: Name::from("s"),
        version: Name::from("v1"),
        slots: 1,
        kv_capacity: 0,
        stage: Stage::Decode,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    };
    dispatcher.sync(vec![engine("e-1"), engine("e-2")]);
    let now = Instant::now();
    let changing = |dispatcher: &Dispatcher| -> BTreeSet<u32> {
        let changing = dispatcher.targets();
        let changing = changing.filter(|(_, target)| target.is_changing_stage(now));
        changing.map(|(_, target)| target.hash()).collect()
    };
    dispatcher.mark_stage_changing(&[], now);
    assert!(changing(&dispatcher).is_empty());
    let hash = dispatcher.targets().next().unwrap().1.hash();
    dispatcher.mark_stage_changing(&[hash], now);
    dispatcher.mark_stage_changing(&[], now);
    assert_eq!(changing(&dispatcher), BTreeSet::from([hash]));
}
