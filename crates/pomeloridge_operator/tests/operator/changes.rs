//! Changes of the configuration: races, lost responses, history and exceptions.

use pomeloridge_base::config::FLEET_KEY;
use pomeloridge_base::id::Revision;
use serde_json::{Value, json};
use yare::parameterized;

use crate::support::{ANNA, BORIS, Node, with_node};

const ADD: &str = "POST /exceptions";
const PUT_NEW: &str = "PUT /config?expect=0";

fn fleet(path: &str) -> Value {
    json!({"routes": [{"path": path, "kind": "chat"}]})
}

fn drain(id: &str, reason: &str) -> Value {
    json!({"id": id, "kind": "drain", "target": "engine-7", "reason": reason})
}

async fn history(node: &Node) -> Vec<Value> {
    let value = node.expect("GET /config/history", json!({}), "200").await;
    value["changes"].as_array().cloned().expect("a list")
}

#[test]
fn an_applied_configuration_is_read_back_with_its_history() {
    with_node(async |node| {
        let read = node.expect("GET /config", json!({}), "200").await;
        assert_eq!(read["revision"], 0);
        let line = "PUT /config?expect=0&reason=first%20route";
        let value = node.expect(line, fleet("/v1/chat"), "200").await;
        let force = json!({"nodes": 3, "of": 3});
        assert_eq!(
            value,
            json!({"revision": 1, "in_force": force, "history": "written"})
        );
        let read = node.expect("GET /config", json!({}), "200").await;
        assert_eq!((&read["revision"], &read["in_force"]), (&json!(1), &force));
        assert_eq!(read["fleet"]["routes"][0]["path"], "/v1/chat");
        let mut changes = history(&node).await;
        assert!(changes[0]["at"].take().is_u64());
        let what = "replaced the configuration: 0 models, 1 routes, 0 exceptions";
        let entry =
            json!({"at": null, "by": "anna", "what": what, "reason": "first route", "revision": 1});
        assert_eq!(changes, [entry]);
    });
}

#[parameterized(
    short_lag = { 2, 3 },
    permanent_lag = { usize::MAX, 2 },
)]
fn the_response_waits_a_bounded_time_for_all_nodes(lag: usize, nodes: u64) {
    with_node(async |node| {
        node.lag.set(lag);
        let value = node.expect(PUT_NEW, fleet("/a"), "200").await;
        assert_eq!(value["in_force"], json!({"nodes": nodes, "of": 3}));
    });
}

#[test]
fn concurrent_changes_of_a_revision_conflict() {
    with_node(async |node| {
        node.store.read_barrier.set(2);
        let one = node.send_as(ANNA, PUT_NEW, fleet("/a"));
        let two = node.send_as(BORIS, PUT_NEW, fleet("/b"));
        let (one, two) = monoio::join!(one, two);
        let first = one.0 == "200";
        let (won, lost, path) = if first {
            (one, two, "/a")
        } else {
            (two, one, "/b")
        };
        assert_eq!((won.0.as_str(), lost.0.as_str()), ("200", "409 conflict"));
        assert_eq!(lost.1["error"]["revision"], won.1["revision"]);
        assert_eq!(node.object(FLEET_KEY)["routes"][0]["path"], path);
        assert_eq!(history(&node).await.len(), 1);
    });
}

#[test]
fn no_change_is_lost_when_a_conflict_is_retried() {
    with_node(async |node| {
        node.store.read_barrier.set(2);
        let one = node.send_as(ANNA, ADD, drain("e1", "fan is loud"));
        let two = node.send_as(BORIS, ADD, drain("e2", "disk is full"));
        let (one, two) = monoio::join!(one, two);
        let first = one.0 == "201";
        let (won, lost) = if first { (&one, &two) } else { (&two, &one) };
        assert_eq!((won.0.as_str(), lost.0.as_str()), ("201", "409 conflict"));
        let (token, id) = if first { (BORIS, "e2") } else { (ANNA, "e1") };
        assert_eq!(node.send_as(token, ADD, drain(id, "again")).await.0, "201");
        let value = node.expect("GET /exceptions", json!({}), "200").await;
        let exceptions = value["exceptions"].as_array().expect("a list").iter();
        let mut seen: Vec<_> = exceptions
            .map(|found| format!("{} {}", found["id"], found["by"]))
            .collect();
        seen.sort_unstable();
        assert_eq!(seen, [r#""e1" "anna""#, r#""e2" "boris""#]);
        assert_eq!(history(&node).await.len(), 2);
    });
}

#[parameterized(
    stale = { "PUT /config?expect=9", "409 conflict" },
    missing = { "PUT /config", "400 bad_json" },
    not_a_number = { "PUT /config?expect=new", "400 bad_json" },
)]
fn a_wrong_expected_revision_changes_nothing(line: &str, outcome: &str) {
    with_node(async |node| {
        node.expect(line, fleet("/a"), outcome).await;
        assert!(node.store.objects.borrow().is_empty());
    });
}

#[test]
fn an_exception_names_its_operator_and_is_removed_with_a_reason() {
    with_node(async |node| {
        let mut exception = drain("e1", "fan is loud");
        exception["by"] = json!("somebody else");
        node.expect(PUT_NEW, json!({"exceptions": [exception]}), "200")
            .await;
        assert_eq!(node.object(FLEET_KEY)["exceptions"][0]["by"], "anna");
        for (line, outcome) in [
            ("DELETE /exceptions/e1", "400 bad_json"),
            ("DELETE /exceptions/e1?reason=", "400 bad_json"),
            ("DELETE /exceptions/e1?reason=%20", "400 bad_json"),
            ("DELETE /exceptions/e2?reason=fixed", "404 not_found"),
            ("DELETE /exceptions/e1?reason=fixed", "200"),
        ] {
            node.expect(line, json!({}), outcome).await;
        }
        assert_eq!(node.object(FLEET_KEY)["exceptions"], json!([]));
        assert_eq!(history(&node).await[0]["reason"], "fixed");
    });
}

#[parameterized(
    no_reason = { json!({"id": "e1", "kind": "hold", "target": "p"}), "exception.reason" },
    blank_reason = { json!({"id": "e1", "kind": "hold", "target": "p", "reason": " "}), "exceptions[1].reason" },
    unknown_kind = { json!({"id": "e1", "kind": "boost", "target": "p", "reason": "r"}), "exception.kind" },
    unknown_field = { json!({"id": "e1", "kind": "hold", "target": "p", "reason": "r", "until": 1}), "exception.until" },
    same_id = { json!({"id": "e0", "kind": "hold", "target": "p", "reason": "r"}), "exceptions[1].id" },
)]
fn an_invalid_exception_is_refused(exception: Value, place: &str) {
    with_node(async |node| {
        node.expect(ADD, drain("e0", "r"), "201").await;
        let before = node.object(FLEET_KEY);
        let value = node.expect(ADD, exception, "400 bad_json").await;
        assert_eq!(value["error"]["problems"][0]["place"], place);
        assert_eq!(node.object(FLEET_KEY), before);
    });
}

#[test]
fn existing_problems_do_not_block_a_new_exception() {
    with_node(async |node| {
        let old = (Revision(0), json!({"exceptions": [drain("e 0", "r")]}));
        node.store
            .objects
            .borrow_mut()
            .insert(FLEET_KEY.to_owned(), old);
        node.expect(ADD, drain("e1", "r"), "201").await;
    });
}

#[test]
fn a_change_without_a_history_entry_takes_effect() {
    with_node(async |node| {
        node.store.history_down.set(true);
        let value = node.expect(PUT_NEW, fleet("/a"), "200").await;
        assert_eq!(value["history"], "not written");
        assert_eq!(node.object(FLEET_KEY)["routes"][0]["path"], "/a");
    });
}

#[test]
fn an_unconfirmed_change_is_read_back() {
    with_node(async |node| {
        node.store.lose_responses.set(true);
        let value = node.expect(PUT_NEW, fleet("/a"), "200").await;
        assert_eq!(
            (&value["revision"], &value["history"]),
            (&json!(1), &json!("unknown"))
        );
        node.store.down_after_write.set(true);
        let line = "PUT /config?expect=1";
        let value = node.expect(line, fleet("/b"), "503 change_unknown").await;
        assert_eq!(value["error"]["run"], "unknown");
        let value = node
            .expect("GET /config", json!({}), "503 platform_down")
            .await;
        assert_eq!(value["error"]["retry_after_ms"], 5000);
    });
}
