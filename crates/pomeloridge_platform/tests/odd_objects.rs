//! Tests of lists with entries that cannot be decoded, which must cost only themselves.

mod support;

use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::clock::ManualClock;
use pomeloridge_base::http::Response;
use pomeloridge_base::id::Revision;
use pomeloridge_platform::{ListWire, Object};
use serde_json::Value;
use support::{client, run};
use yare::parameterized;

/// Nesting that no recursive decoder accepts.
const DEEP: usize = 100_000;
/// Nesting that a decoder accepts at the top, but not within a list.
const LESS_DEEP: usize = 126;

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

fn object(key: &str, value: &str) -> String {
    format!("{{\"key\":\"{key}\",\"version\":4,\"value\":{value}}}")
}

fn keys(objects: &[Object]) -> Vec<&str> {
    let keys = objects.iter().map(|object| object.key.as_str());
    keys.collect()
}

/// Guards against one object that keeps a node from reading the list of another node, or of the
/// object service.
#[parameterized(
    deep = { object("odd", &nested(DEEP)) },
    less_deep = { object("odd", &nested(LESS_DEEP)) },
    huge_number = { object("odd", "1e999") },
    no_key = { "{}".to_owned() },
    null = { "null".to_owned() },
)]
fn an_unreadable_object_costs_only_itself(odd: String) {
    let (first, last) = (object("a", "1"), object("z", "2"));
    let list = format!("{{\"revision\":9,\"objects\":[{first},{odd},{last}]}}");
    let wire = ListWire::decode(list.as_bytes()).unwrap();
    let (revision, objects) = wire.into();
    assert_eq!(revision, Revision(9));
    assert!(keys(&objects).contains(&"a") && keys(&objects).contains(&"z"));
    run(async |fake, address| {
        let client = client(address, &Rc::new(ManualClock::new()));
        *fake.fixed.borrow_mut() = Some(Response::new(200, list));
        let (_, objects) = client.list("c/").await.unwrap();
        assert!(keys(&objects).contains(&"a") && keys(&objects).contains(&"z"));
        let events = format!("{{\"revision\":9,\"events\":[{first},{odd},{last}]}}");
        *fake.fixed.borrow_mut() = Some(Response::new(200, events));
        let watched = client.watch("c/", Revision(3), Duration::ZERO).await;
        let events = watched.unwrap().events;
        assert_eq!(events.first().unwrap().key, "a");
        assert_eq!(events.last().unwrap().key, "z");
    });
}

/// Guards against an old value that stays in force after an unreadable one replaced it.
#[test]
fn an_unreadable_value_is_not_taken_for_a_removal() {
    run(async |fake, address| {
        let client = client(address, &Rc::new(ManualClock::new()));
        let odd = object("odd", &nested(DEEP));
        let events = format!("{{\"revision\":9,\"events\":[{odd}]}}");
        *fake.fixed.borrow_mut() = Some(Response::new(200, events));
        let watched = client.watch("c/", Revision(3), Duration::ZERO).await;
        assert_eq!(watched.unwrap().events[0].value, Some(Value::Null));
    });
}

/// Guards against one odd entry that hides all backend servers.
#[parameterized(
    deep = { nested(DEEP) },
    price = { "{\"price\":\"much\"}".to_owned() },
    huge_number = { "{\"price\":1e999}".to_owned() },
)]
fn an_odd_entry_hides_no_server(odd: String) {
    let sound = |id: &str| {
        format!(
            "{{\"id\":\"{id}\",\"address\":\"10.0.0.1:80\",\"data_centre\":\"a\",\"pool\":\"p\",\
             \"kind\":\"engine\",\"state\":\"ready\"}}"
        )
    };
    run(async |fake, address| {
        let client = client(address, &Rc::new(ManualClock::new()));
        let list = format!("{{\"servers\":[{},{odd},{}]}}", sound("x"), sound("y"));
        *fake.fixed.borrow_mut() = Some(Response::new(200, list));
        let servers = client.servers().await.unwrap();
        let ids: Vec<&str> = servers.iter().map(|server| server.id.as_str()).collect();
        assert_eq!(ids, ["x", "y"]);
    });
}
