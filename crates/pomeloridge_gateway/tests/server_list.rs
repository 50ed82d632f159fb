//! Tests of the server list that nodes pass on to one another.

use pomeloridge_base::id::{Era, Revision};
use pomeloridge_gateway::{ApplyOutcome, ServerList, ServerListDelta};
use pomeloridge_platform::{Event, Object};
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
