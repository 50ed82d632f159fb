//! Tests of the table of software versions that gateways share, and of their records, against
//! gateways as separate processes on a fake of the fleet's platform.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json, put_json};
use pomeloridge_fleet_standin::caller::{generation, is_ready, send_request};
use serde_json::{Value, json};

const GATEWAYS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a new version has slots, and all gateways have acknowledged that.
const ADOPTION_TIME: Duration = Duration::from_secs(2);
const STREAMS: usize = 24;
/// Number of times that all gateways are killed and started.
const RESTARTS: usize = 3;
const SERVICE: &str = "assistant";

struct Deployment(Fleet);

impl Deployment {
    fn start(name: &str) -> Self {
        let deployment = Self(Fleet::start(&format!("versions-{name}"), GATEWAYS).unwrap());
        deployment.wait_until_ready();
        deployment.wait_for_table(|table| versions(table) == ["v1"]);
        deployment
    }

    fn wait_until_ready(&self) {
        for gateway in &self.0.gateways {
            wait_until(|| block_on(is_ready(gateway.ready)));
        }
    }

    fn object(&self, key: &str) -> Option<Value> {
        let object = get_json(self.0.store, &format!("/-/objects/{key}")).ok()?;
        Some(object["spec"].clone())
    }

    fn table(&self) -> Value {
        let table = self.object("pomeloridge-versions/table");
        table.unwrap_or_default()
    }

    /// Adds a server of a version, which nothing runs, beside the others of its service.
    fn add_server(&self, version: &str) {
        let mut entry = self.object("servers/assistant-decode-0").unwrap();
        entry["version"] = version.into();
        entry["address"] = "127.0.0.1:9".into();
        let name = format!("assistant-{version}");
        let body = json!({ "metadata": { "name": name }, "spec": entry });
        post_json(self.0.store, "/-/objects/servers", &body).unwrap();
    }

    /// Changes the version in a server's entry.
    fn set_version(&self, server: &str, version: &str) {
        let key = format!("servers/{server}");
        let mut entry = self.object(&key).unwrap();
        entry["version"] = version.into();
        let body = json!({ "metadata": { "name": server }, "spec": entry });
        put_json(self.0.store, &format!("/-/objects/{key}"), &body).unwrap();
    }

    /// Changes the state in a server's entry.
    fn set_state(&self, server: &str, state: &str) {
        let key = format!("servers/{server}");
        let mut entry = self.object(&key).unwrap();
        entry["state"] = state.into();
        let body = json!({ "metadata": { "name": server }, "spec": entry });
        put_json(self.0.store, &format!("/-/objects/{key}"), &body).unwrap();
    }

    /// Sends a request to a gateway; returns the status.
    fn send(&self, gateway: usize, message: &OutgoingRequest) -> u16 {
        let caller = self.0.gateways[gateway].caller;
        let (answer, _) = block_on(send_request(caller, None, message)).unwrap();
        answer.status.as_u16()
    }

    /// Returns the decode engine that ran an attempt.
    fn engine_of(&self, attempt: &str) -> String {
        let history = get_json(self.0.duties, "/-/history").unwrap();
        let mut entries = history.as_array().unwrap().iter();
        let entry = entries.find(|entry| {
            let server = entry["server"].as_str().unwrap_or_default();
            entry["attempt"] == attempt && server.contains("decode")
        });
        entry.unwrap()["server"].as_str().unwrap().to_owned()
    }

    /// Waits for a table and until all gateways have acknowledged it; returns its number.
    fn wait_for_table(&self, is_expected: impl Fn(&Value) -> bool) -> u64 {
        let mut number = 0;
        wait_until(|| {
            let table = self.table();
            number = table["number"].as_u64().unwrap_or_default();
            number > 0 && is_expected(&table) && self.records("table") == [number; GATEWAYS]
        });
        number
    }

    /// Returns the gateways' objects, or their changes.
    fn nodes(&self, query: &str) -> Value {
        get_json(
            self.0.store,
            &format!("/-/objects/pomeloridge-nodes{query}"),
        )
        .unwrap()
    }

    /// Returns a number in the records of the gateways' objects, 0 where it is missing.
    fn records(&self, field: &str) -> Vec<u64> {
        let listed = self.nodes("");
        let nodes = listed["items"].as_array().unwrap().iter();
        let numbers = nodes.map(|node| node["spec"]["versions"][field].as_u64());
        numbers.map(Option::unwrap_or_default).collect()
    }
}

/// Returns the versions that the table lists for the service.
fn versions(table: &Value) -> Vec<&str> {
    let services = table["services"].as_array().into_iter().flatten();
    let slots = services.filter(|slots| slots["service"] == SERVICE);
    let versions = slots.flat_map(|slots| slots["versions"].as_array().unwrap());
    versions.map(|version| version.as_str().unwrap()).collect()
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against streams that begin at a new version which other gateways don't know.
#[test]
fn all_gateways_acknowledge_a_new_version() {
    let deployment = Deployment::start("new");
    let first = deployment.table()["number"].as_u64().unwrap();
    let added = Instant::now();
    deployment.add_server("v2");
    let next = deployment.wait_for_table(|table| versions(table) == ["v1", "v2"]);
    assert!(added.elapsed() < ADOPTION_TIME, "{:?}", added.elapsed());
    assert_eq!(next, first + 1);
}

/// Guards against services in the table whose streams never go on elsewhere.
#[test]
fn only_services_with_resumable_streams_are_in_the_table() {
    let deployment = Deployment::start("bound");
    let table = deployment.table();
    let services = table["services"].as_array().unwrap();
    assert_eq!(services.len(), 1, "{table}");
}

/// Guards against a table, or an acknowledgement, that is lost with all gateways.
#[test]
fn the_table_outlives_all_gateways() {
    let mut deployment = Deployment::start("killed");
    deployment.add_server("v2");
    let before = deployment.wait_for_table(|table| versions(table) == ["v1", "v2"]);
    for gateway in &mut deployment.0.gateways {
        gateway.process.kill();
    }
    for index in 0..GATEWAYS {
        deployment.0.restart(index).unwrap();
    }
    deployment.wait_until_ready();
    let after = deployment.wait_for_table(|table| versions(table) == ["v1", "v2"]);
    assert_eq!(after, before);
    wait_until(|| deployment.records("inherited") == [before; GATEWAYS]);
}

/// Guards against a first table that lists only the version that takes new streams, while servers
/// of another one, whose streams may still be continued, are leaving.
#[test]
fn the_first_table_lists_versions_that_are_leaving() {
    let mut deployment = Deployment::start("first");
    for gateway in &mut deployment.0.gateways {
        gateway.process.kill();
    }
    let empty = json!({ "metadata": { "name": "table" }, "spec": { "number": 0, "services": [] } });
    let key = "/-/objects/pomeloridge-versions/table";
    put_json(deployment.0.store, key, &empty).unwrap();
    deployment.add_server("v2");
    let listed = get_json(deployment.0.store, "/-/objects/servers").unwrap();
    for server in listed["items"].as_array().unwrap() {
        if server["spec"]["version"] == "v1" {
            let name = server["metadata"]["name"].as_str().unwrap();
            deployment.set_state(name, "draining");
        }
    }
    for index in 0..GATEWAYS {
        deployment.0.restart(index).unwrap();
    }
    wait_until(|| versions(&deployment.table()).contains(&"v2"));
    assert_eq!(versions(&deployment.table()), ["v1", "v2"]);
}

/// Guards against a process that replaces the record of its former one by none, as it has not read
/// the table yet: nobody knows the versions of streams in changed slots until it writes again.
#[test]
fn a_started_gateway_keeps_the_record_of_its_former_process() {
    let mut deployment = Deployment::start("record");
    deployment.add_server("v2");
    let number = deployment.wait_for_table(|table| versions(table) == ["v1", "v2"]);
    for _ in 0..RESTARTS {
        let before = deployment.nodes("")["currentRev"].as_u64().unwrap();
        for gateway in &mut deployment.0.gateways {
            gateway.process.kill();
        }
        for index in 0..GATEWAYS {
            deployment.0.restart(index).unwrap();
        }
        deployment.wait_until_ready();
        let mut changes = Vec::new();
        wait_until(|| {
            let listed = deployment.nodes(&format!("?watch={before}&waitMs=0"));
            changes = listed["events"].as_array().cloned().unwrap_or_default();
            let names = changes
                .iter()
                .map(|change| &change["object"]["metadata"]["name"]);
            let names: HashSet<&str> = names.filter_map(Value::as_str).collect();
            names.len() == GATEWAYS
        });
        for change in changes {
            let record = &change["object"]["spec"]["versions"];
            assert_eq!(record["table"], number, "{change}");
        }
    }
}

/// Guards against a number that a restored store gives out again for another table.
#[test]
fn a_table_that_a_restored_store_lacks_is_written_with_a_higher_number() {
    let deployment = Deployment::start("restored");
    deployment.add_server("v2");
    let before = deployment.wait_for_table(|table| versions(table) == ["v1", "v2"]);
    let plan = json!({ "age_ms": 3_600_000, "away_ms": 300, "rewrite_ms": 500 });
    post_json(deployment.0.duties, "/-/restore", &plan).unwrap();
    let after = deployment.wait_for_table(|table| table["number"].as_u64().unwrap() > before);
    assert!(after > before);
    for slots in deployment.table()["services"].as_array().unwrap() {
        let changed = slots["changed"].as_array().unwrap();
        assert!(
            changed
                .iter()
                .all(|changed| changed.as_u64().unwrap() > before)
        );
    }
}

/// Guards against streams that go on at another version than the one that began them, after all
/// gateways were killed, also if the shares of the versions have changed since they began.
#[test]
fn streams_go_on_at_their_version_after_a_kill_of_all_gateways() {
    let mut deployment = Deployment::start("resume");
    deployment.set_version("assistant-decode-1", "v2");
    deployment.wait_for_table(|table| versions(table) == ["v1", "v2"]);
    for index in 0..STREAMS {
        let message = generation("ask", &format!("begin-{index}"), 400);
        assert_eq!(deployment.send(index % GATEWAYS, &message), 200);
    }
    // Nothing runs this server, so that all of its streams would fail.
    deployment.add_server("v3");
    deployment.wait_for_table(|table| versions(table) == ["v1", "v2", "v3"]);
    for gateway in &mut deployment.0.gateways {
        gateway.process.kill();
    }
    for index in 0..GATEWAYS {
        deployment.0.restart(index).unwrap();
    }
    deployment.wait_until_ready();
    let engines: Vec<String> = (0..STREAMS)
        .map(|index| deployment.engine_of(&format!("begin-{index}")))
        .collect();
    assert!(engines.iter().any(|engine| *engine != engines[0]));
    for (index, engine) in engines.iter().enumerate() {
        let message = generation("ask", &format!("go-on-{index}"), 400)
            .with_header("last-event-id", "1")
            .with_header("resumes", &format!("begin-{index}"));
        assert_eq!(deployment.send((index + 1) % GATEWAYS, &message), 200);
        assert_eq!(deployment.engine_of(&format!("go-on-{index}")), *engine);
    }
}
