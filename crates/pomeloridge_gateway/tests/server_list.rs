//! Tests of the server list that nodes pass on to one another.

use pomeloridge_base::id::Revision;
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
