//! Tests of the server list that nodes pass on to one another.

use pomeloridge_base::id::{Era, Revision};
use pomeloridge_gateway::{ApplyOutcome, ServerList, ServerListDelta};
use pomeloridge_platform::{Event, Object};
use proptest::prelude::*;
use serde_json::{Value, json};

fn event(key: &str, version: u64, value: Option<Value>) -> Event {
    Event {
        key: key.to_owned(),
        version: Revision(version),
        value,
    }
}

fn delta(from: u64, to: u64, events: Vec<Event>) -> ServerListDelta {
    ServerListDelta {
        from: Revision(from),
        to: Revision(to),
        events,
    }
}

fn list() -> ServerList {
    let mut list = ServerList::default();
    let object = Object {
        key: "servers/a".to_owned(),
        version: Revision(3),
        value: json!(1),
    };
    assert!(list.replace(Revision(5), &[object]));
    list
}

fn keys(list: &ServerList) -> Vec<String> {
    list.objects().map(|object| object.key.clone()).collect()
}

#[test]
fn consecutive_changes_are_applied_once() {
    let mut list = list();
    let added = delta(5, 7, vec![event("servers/b", 7, Some(json!(2)))]);
    let (applied, new) = list.apply(&added);
    assert_eq!((applied, new.len()), (ApplyOutcome::Applied, 1));
    assert_eq!(list.revision(), Some(Revision(7)));
    // Two watching nodes send the same changes.
    let (applied, new) = list.apply(&added);
    assert_eq!((applied, new.len()), (ApplyOutcome::Applied, 0));
    assert_eq!(keys(&list), ["servers/a", "servers/b"]);
}

#[test]
fn missing_change_is_detected() {
    let mut list = list();
    let later = delta(7, 9, vec![event("servers/a", 9, None)]);
    assert_eq!(list.apply(&later).0, ApplyOutcome::Gap);
    assert_eq!(keys(&list), ["servers/a"]);
    assert_eq!(ServerList::default().apply(&later).0, ApplyOutcome::Gap);
}

#[test]
fn overlapping_changes_apply_only_what_is_new() {
    let mut list = list();
    list.apply(&delta(5, 7, vec![event("servers/b", 7, Some(json!(2)))]));
    let both = vec![
        event("servers/b", 7, Some(json!(2))),
        event("servers/a", 8, None),
    ];
    let (applied, new) = list.apply(&delta(5, 8, both));
    assert_eq!((applied, new.len()), (ApplyOutcome::Applied, 1));
    assert_eq!(keys(&list), ["servers/b"]);
}

#[test]
fn older_list_replaces_nothing() {
    let mut list = list();
    assert!(!list.replace(Revision(4), &[]));
    assert_eq!(keys(&list), ["servers/a"]);
}

/// Guards against nodes that take the list of a restored service for an older one.
#[test]
fn list_of_a_later_era_replaces_one_of_a_higher_number() {
    let mut list = list();
    let restored = |number| Revision::in_era(Era(2), number);
    let change = ServerListDelta {
        from: restored(2),
        to: restored(3),
        events: vec![],
    };
    assert_eq!(list.apply(&change).0, ApplyOutcome::Gap);
    assert!(list.replace(restored(2), &[]));
    assert_eq!(list.apply(&change).0, ApplyOutcome::Applied);
    // A peer that has not noticed the restore yet sends changes of the earlier era.
    let earlier = delta(5, 9, vec![event("servers/c", 9, Some(json!(3)))]);
    assert_eq!(list.apply(&earlier).1.len(), 0);
    assert_eq!(list.revision(), Some(restored(3)));
    assert_eq!(keys(&list), Vec::<String>::new());
}

/// Guards against a node that takes no changes any more, as a peer named a revision at the limit.
#[test]
fn changes_to_a_revision_at_the_limit_are_not_applied() {
    let mut list = list();
    let odd = delta(5, u64::MAX, vec![]);
    assert_eq!(list.apply(&odd).0, ApplyOutcome::Gap);
    let (applied, new) = list.apply(&delta(5, 6, vec![event("servers/a", 6, None)]));
    assert_eq!((applied, new.len()), (ApplyOutcome::Applied, 1));
    assert_eq!(keys(&list), Vec::<String>::new());
}

fn known_objects(list: &ServerList) -> Vec<Object> {
    list.objects().cloned().collect()
}

/// Answers a node that missed changes of a long list: it is sent what changed, not the list.
#[test]
fn missed_changes_are_sent_without_the_rest() {
    let mut list = ServerList::default();
    let objects: Vec<Object> = (0..3_000)
        .map(|index| Object {
            key: format!("servers/{index}"),
            version: Revision(index),
            value: json!(index),
        })
        .collect();
    assert!(list.replace(Revision(3_000), &objects));
    list.apply(&delta(
        3_000,
        3_003,
        vec![
            event("servers/7", 3_001, None),
            event("servers/8", 3_002, Some(json!("new"))),
            event("servers/7", 3_003, Some(json!("back"))),
        ],
    ));
    let change = list.changes_since(Revision(3_000)).unwrap();
    assert_eq!(change.events.len(), 3);
    let mut behind = ServerList::default();
    behind.replace(Revision(3_000), &objects);
    assert_eq!(behind.apply(&change).0, ApplyOutcome::Applied);
    assert_eq!(known_objects(&behind), known_objects(&list));
    assert_eq!(list.changes_since(Revision(3_003)).unwrap().events, []);
}

#[test]
fn changes_that_may_be_missing_are_not_sent() {
    let mut list = list();
    // The list was read as a whole at revision 5; what was removed before is not known.
    assert_eq!(list.changes_since(Revision(4)), None);
    assert_eq!(list.changes_since(Revision::in_era(Era(2), 5)), None);
    assert!(list.changes_since(Revision(5)).is_some());
    assert!(list.replace(Revision(9), &[]));
    assert_eq!(list.changes_since(Revision(5)), None);
    assert_eq!(ServerList::default().changes_since(Revision(5)), None);
}

/// A fleet whose servers come and go for days keeps a bounded number of removals.
#[test]
fn forgotten_removals_are_not_left_out() {
    let mut list = list();
    let removals = 10_000;
    let events = (0..removals).map(|index| event("servers/x", 6 + index, None));
    list.apply(&delta(5, 5 + removals, events.collect()));
    assert_eq!(list.changes_since(Revision(5)), None);
    let late = Revision(5 + removals - 10);
    assert_eq!(list.changes_since(late).unwrap().events.len(), 10);
}

proptest! {
    /// A node that takes the changes has the same list as one that reads the whole.
    #[test]
    fn changes_lead_to_the_whole_list(
        writes in prop::collection::vec((0_u64..8, any::<bool>()), 0..40),
        missed_after in 0_u64..40,
    ) {
        let mut list = ServerList::default();
        list.replace(Revision(0), &[]);
        let mut behind = ServerList::default();
        behind.replace(Revision(0), &[]);
        for (index, (key, is_written)) in writes.into_iter().enumerate() {
            let version = index as u64 + 1;
            let value = is_written.then(|| json!(version));
            let change = delta(version - 1, version, vec![event(&key.to_string(), version, value)]);
            list.apply(&change);
            if version <= missed_after {
                behind.apply(&change);
            }
        }
        let change = list.changes_since(behind.revision().unwrap()).unwrap();
        prop_assert_eq!(behind.apply(&change).0, ApplyOutcome::Applied);
        prop_assert_eq!(behind.revision(), list.revision());
        prop_assert_eq!(known_objects(&behind), known_objects(&list));
    }
}
