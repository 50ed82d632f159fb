//! Client accounts and their keys.

use std::sync::Mutex;

use pomeloridge_base::config::{ConfigObject, ConfigView, account_key};
use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;
use serde_json::{Value, json};
use yare::parameterized;

use crate::support::{ANNA, BORIS, Node, with_node};

const ADD: &str = "POST /accounts";
const ISSUE: &str = "POST /accounts/tartu/keys";

struct LogLines(Mutex<Vec<String>>);

static LOG_LINES: LogLines = LogLines(Mutex::new(Vec::new()));

impl log::Log for LogLines {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let line = record.args().to_string();
        self.0.lock().expect("no test panics here").push(line);
    }

    fn flush(&self) {}
}

async fn add(node: &Node) {
    node.expect(ADD, json!({"name": "tartu", "weight": 2}), "201")
        .await;
}

/// Issues a key and returns its identifier and the key.
async fn issue(node: &Node) -> (String, String) {
    let value = node
        .expect(ISSUE, json!({"reason": "by mail"}), "201")
        .await;
    let text = |field: &str| value[field].as_str().expect("a string").to_owned();
    (text("id"), text("key"))
}

/// Returns the account that a node authenticates with a key.
fn account_of(node: &Node, key: &str) -> Option<Name> {
    let mut view = ConfigView::default();
    let shard = account_key(&Name::from("tartu"));
    let (revision, value) = node.store.objects.borrow()[&shard].clone();
    view.adopt(ConfigObject {
        key: shard,
        revision,
        value,
    });
    view.account_of(&KeyHash::of(key.as_bytes())).cloned()
}

#[test]
fn a_key_authenticates_its_account_until_withdrawn() {
    with_node(async |node| {
        add(&node).await;
        let (first, key) = issue(&node).await;
        let (second, other) = issue(&node).await;
        assert!(key.starts_with("sk-") && key.len() > 40 && key != other);
        assert_eq!(account_of(&node, &key), Some(Name::from("tartu")));
        let line = format!("{ISSUE}/{first}/withdraw");
        let value = node.expect(&line, json!({"reason": "leaked"}), "200").await;
        assert_eq!(value["history"], "written");
        assert_eq!(account_of(&node, &key), None);
        assert_eq!(account_of(&node, &other), Some(Name::from("tartu")));
        let again = node.expect(&line, json!({}), "200").await;
        assert_eq!(
            (&again["history"], &again["revision"]),
            (&json!("unchanged"), &value["revision"])
        );
        let keys = json!([{"id": first, "withdrawn": true}, {"id": second, "withdrawn": false}]);
        let listed = json!({"accounts": [{"name": "tartu", "weight": 2.0, "keys": keys}]});
        assert_eq!(node.expect("GET /accounts", json!({}), "200").await, listed);
    });
}

#[test]
fn no_key_is_stored_listed_or_logged() {
    log::set_logger(&LOG_LINES).expect("the only logger of this process");
    log::set_max_level(log::LevelFilter::Trace);
    with_node(async |node| {
        add(&node).await;
        let (id, key) = issue(&node).await;
        let stored = format!("{:?}", node.store.objects.borrow());
        assert!(stored.contains(&id) && !stored.contains(&key));
        for line in ["GET /accounts", "GET /config/history", "GET /config"] {
            let value = node.expect(line, json!({}), "200").await;
            assert!(!value.to_string().contains(&key), "{line}");
        }
        let lines = LOG_LINES.0.lock().expect("no test panics here").join("\n");
        assert!(lines.contains(&format!("issued key {id}")));
        assert!(!lines.contains(&key) && !lines.contains(ANNA));
    });
}

#[test]
fn concurrent_changes_of_a_shard_conflict() {
    with_node(async |node| {
        add(&node).await;
        node.store.read_barrier.set(3);
        let one = node.send_as(ANNA, ISSUE, json!({}));
        let two = node.send_as(BORIS, ISSUE, json!({}));
        let (one, two) = monoio::join!(one, two);
        let (won, lost) = if one.0 == "201" {
            (one, two)
        } else {
            (two, one)
        };
        assert_eq!((won.0.as_str(), lost.0.as_str()), ("201", "409 conflict"));
        assert_eq!(lost.1["error"]["revision"], won.1["revision"]);
        assert!(!lost.1.to_string().contains("sk-"));
        let (_, retried) = issue(&node).await;
        for key in [won.1["key"].as_str().expect("a key"), &retried] {
            assert_eq!(account_of(&node, key), Some(Name::from("tartu")));
        }
    });
}

#[test]
fn an_unconfirmed_key_is_identified_but_not_shown() {
    with_node(async |node| {
        add(&node).await;
        node.store.lose_responses.set(true);
        node.store.down_after_write.set(true);
        let value = node.expect(ISSUE, json!({}), "503 change_unknown").await;
        let shard = node.object(&account_key(&Name::from("tartu")));
        let key = &shard["accounts"]["tartu"]["keys"][0];
        assert_eq!(value["error"]["id"], key["id"]);
        assert!(!value.to_string().contains("sk-"));
    });
}

#[parameterized(
    no_name = { json!({}), "400 bad_json", "body" },
    empty_name = { json!({"name": ""}), "400 bad_json", "name" },
    odd_name = { json!({"name": "a/b"}), "400 bad_json", "name" },
    no_weight = { json!({"name": "a", "weight": 0}), "400 bad_json", "weight" },
    negative = { json!({"name": "a", "weight": -1.5}), "400 bad_json", "weight" },
    unknown_field = { json!({"name": "a", "wieght": 1}), "400 bad_json", "body" },
    exists = { json!({"name": "tartu"}), "409 conflict", "name" },
)]
fn an_invalid_account_is_refused(account: Value, outcome: &str, place: &str) {
    with_node(async |node| {
        add(&node).await;
        let before = node.store.objects.borrow().clone();
        let value = node.expect(ADD, account, outcome).await;
        assert_eq!(value["error"]["problems"][0]["place"], place);
        assert_eq!(*node.store.objects.borrow(), before);
    });
}
