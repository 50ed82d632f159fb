//! Tests of an object store that comes back from an older copy of itself, against gateways as
//! separate processes on a fake of the fleet's platform.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, call};
use pomeloridge_dev::launch::{Fleet, RelayMode, block_on, get_json, post_json, put_json};
use pomeloridge_fleet_standin::caller::{is_ready, request, send_request, with_key};
use serde_json::{Value, json};

const GATEWAYS: usize = 4;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which gateways apply a change of the configuration or of the server list,
/// according to the users' documentation.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time for which callers ask on after the store is back.
const WATCHED_TIME: Duration = Duration::from_secs(5);
/// Time from the return of the store until what it lost is written again, at most 2 s.
const REWRITE_MS: u64 = 1900;
/// Writes that raise the store's revision in the part that is lost.
const LOST_WRITES: u64 = 20;
/// Time for which the store keeps no history.
const FORGET_TIME: Duration = Duration::from_secs(3);
/// Shortest pause of a gateway before it calls a store again that does not answer as it should.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Age of a copy that holds nothing, in milliseconds.
const EMPTY_AGE_MS: u64 = 3_600_000;

struct Store {
    fleet: Fleet,
    /// Number of the next request.
    next: u64,
}

impl Store {
    fn start(name: &str) -> Self {
        Self::start_with(name, GATEWAYS)
    }

    fn start_with(name: &str, gateways: usize) -> Self {
        let fleet = Fleet::start(&format!("era-{name}"), gateways).unwrap();
        for gateway in &fleet.gateways {
            wait_until(|| block_on(is_ready(gateway.ready)));
        }
        let store = Self { fleet, next: 0 };
        wait_until(|| store.has("config/main") && store.has("servers/filings-1"));
        // Copies that are said to be younger than the test hold the entries and the configuration.
        std::thread::sleep(POLL_INTERVAL * 4);
        store
    }

    fn object(&self, key: &str) -> Value {
        get_json(self.fleet.store, &format!("/-/objects/{key}")).unwrap()["spec"].clone()
    }

    fn has(&self, key: &str) -> bool {
        get_json(self.fleet.store, &format!("/-/objects/{key}")).is_ok()
    }

    fn put(&self, key: &str, spec: &Value) {
        let name = key.split_once('/').unwrap().1;
        let body = json!({ "metadata": { "name": name }, "spec": spec });
        put_json(self.fleet.store, &format!("/-/objects/{key}"), &body).unwrap();
    }

    fn delete(&self, key: &str) {
        let message = OutgoingRequest::new(Method::DELETE, format!("/-/objects/{key}"));
        block_on(call(self.fleet.store, &message, CALL_TIMEOUT)).unwrap();
    }

    /// Raises the store's revision by changes of an entry that mean nothing to gateways.
    fn raise_revision(&self) {
        let mut entry = self.object("servers/filings-1");
        for _ in 0..LOST_WRITES {
            let next = entry["sequence"].as_u64().unwrap() + 1;
            entry["sequence"] = next.into();
            self.put("servers/filings-1", &entry);
        }
    }

    /// Brings the store back from a copy and waits until it answers.
    fn restore(&self, age_ms: u64, rewrite_ms: u64) {
        let before = self.restored();
        self.begin_restore(age_ms, rewrite_ms);
        wait_until(|| self.restored() > before);
    }

    fn begin_restore(&self, age_ms: u64, rewrite_ms: u64) {
        let plan = json!({ "age_ms": age_ms, "away_ms": 300, "rewrite_ms": rewrite_ms });
        post_json(self.fleet.duties, "/-/restore", &plan).unwrap();
    }

    /// Brings the store back from a copy of what it was at `copied`, and a killed gateway at the
    /// same time; waits until the gateway is ready.
    fn restore_and_restart(&mut self, gateway: usize, copied: Instant) {
        self.fleet.gateways[gateway].process.kill();
        let age = copied.elapsed() + POLL_INTERVAL;
        self.begin_restore(age.as_millis() as u64, REWRITE_MS);
        self.fleet.restart(gateway).unwrap();
        let ready = self.fleet.gateways[gateway].ready;
        wait_until(|| block_on(is_ready(ready)));
    }

    fn restored(&self) -> usize {
        let history = self.history();
        let restored = history.iter().filter(|entry| entry["era"].is_u64());
        restored.count()
    }

    fn history(&self) -> Vec<Value> {
        let history = get_json(self.fleet.duties, "/-/history").unwrap();
        history.as_array().unwrap().clone()
    }

    /// Adds a key to the configuration.
    fn add_key(&self, key: &str) {
        let mut config = self.object("config/main");
        config["version"] = (config["version"].as_u64().unwrap() + 1).into();
        let keys = config["tenants"][0]["apiKeys"].as_array_mut().unwrap();
        keys.push(key.into());
        post_json(self.fleet.duties, "/-/config", &config).unwrap();
    }

    /// Replaces a key in the configuration by another one.
    fn replace_key(&self, key: &str, by: &str) {
        let mut config = self.object("config/main");
        config["version"] = (config["version"].as_u64().unwrap() + 1).into();
        let keys = config["tenants"][0]["apiKeys"].as_array_mut().unwrap();
        let found = keys.iter_mut().find(|known| *known == key);
        *found.unwrap() = by.into();
        post_json(self.fleet.duties, "/-/config", &config).unwrap();
    }

    /// Sends a read with a key to a gateway; returns the status.
    fn status(&mut self, gateway: usize, key: &str) -> u16 {
        self.next += 1;
        let message = request(Method::GET, "read", &format!("k{}", self.next));
        status(self.fleet.gateways[gateway].caller, &with_key(message, key))
    }

    /// Sends reads to all gateways for a time; returns the statuses.
    fn read_for(&mut self, time: Duration, label: &str) -> Vec<u16> {
        let end = Instant::now() + time;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            statuses.extend(self.read_once(label));
        }
        statuses
    }

    /// Sends a read to each gateway; returns the statuses.
    fn read_once(&mut self, label: &str) -> Vec<u16> {
        let mut statuses = Vec::new();
        for gateway in &self.fleet.gateways {
            self.next += 1;
            let message = request(Method::GET, "read", &format!("{label}-{}", self.next));
            statuses.push(status(gateway.caller, &message));
        }
        statuses
    }

    /// Returns how many of the reads with a label reached a server.
    fn reads_at(&self, server: &str, label: &str) -> usize {
        let label = format!("{label}-");
        let is_read = |entry: &&Value| {
            let attempt = entry["attempt"].as_str().unwrap_or_default();
            entry["server"] == server && entry["path"].is_string() && attempt.starts_with(&label)
        };
        self.history().iter().filter(is_read).count()
    }

    /// Returns the number of calls that gateways have made to the store, watches aside.
    fn store_calls(&self) -> u128 {
        let calls = self.fleet.gateways.iter().map(|gateway| {
            let page = OutgoingRequest::get("/metrics");
            let page = block_on(call(gateway.metrics, &page, CALL_TIMEOUT)).unwrap();
            let page = String::from_utf8(page.body.to_vec()).unwrap();
            let mut lines = page.lines();
            let count = lines.find_map(|line| {
                let (name, count) = line.rsplit_once(' ')?;
                let is_count = name.starts_with("pomeloridge_store_call_seconds_count");
                is_count.then(|| count.parse::<u128>().unwrap())
            });
            count.unwrap_or_default()
        });
        calls.sum()
    }

    fn cut_store(&self, mode: RelayMode) {
        for gateway in &self.fleet.gateways {
            gateway.store.set(mode);
        }
    }
}

fn status(gateway: SocketAddr, message: &OutgoingRequest) -> u16 {
    let (answer, _) = block_on(send_request(gateway, None, message)).unwrap();
    answer.status.as_u16()
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against gateways that take the server list of a restored store for an older one, and
/// go on sending to servers that have left since.
#[test]
fn servers_that_leave_after_a_restore_get_no_requests() {
    let mut store = Store::start("leave");
    let started = Instant::now();
    store.raise_revision();
    std::thread::sleep(APPLY_TIME);
    let age = started.elapsed() + POLL_INTERVAL;
    store.restore(age.as_millis() as u64, 500);
    std::thread::sleep(APPLY_TIME);
    store.delete("servers/filings-0");
    std::thread::sleep(APPLY_TIME);
    let statuses = store.read_for(APPLY_TIME, "left");
    assert!(statuses.iter().all(|status| *status == 200));
    assert_eq!(store.reads_at("filings-0", "left"), 0);
}

/// Guards against watches that go on from a revision that a restored store has given out again,
/// and so miss the changes before it.
#[test]
fn changes_at_revisions_that_are_given_out_again_are_seen() {
    let mut store = Store::start("again");
    let started = Instant::now();
    store.raise_revision();
    std::thread::sleep(APPLY_TIME);
    store.cut_store(RelayMode::Cut);
    let age = started.elapsed() + POLL_INTERVAL;
    store.restore(age.as_millis() as u64, 60_000);
    store.add_key("key-of-the-new-era");
    store.delete("servers/filings-0");
    store.raise_revision();
    store.raise_revision();
    store.cut_store(RelayMode::Pass);
    std::thread::sleep(APPLY_TIME * 2);
    let statuses: Vec<u16> = (0..GATEWAYS)
        .map(|gateway| store.status(gateway, "key-of-the-new-era"))
        .collect();
    assert_eq!(statuses, [200; GATEWAYS]);
    store.read_for(APPLY_TIME, "again");
    assert_eq!(store.reads_at("filings-0", "again"), 0);
}

/// Guards against gateways that do not take the server list of a restored store from a peer,
/// because too few nodes reach the store: they call it themselves, without an answer.
#[test]
fn gateways_that_are_cut_off_learn_of_a_restore_from_a_peer() {
    let mut store = Store::start("cut-off");
    let started = Instant::now();
    store.raise_revision();
    std::thread::sleep(APPLY_TIME);
    for gateway in &store.fleet.gateways[1..] {
        gateway.store.set(RelayMode::Cut);
    }
    let age = started.elapsed() + POLL_INTERVAL;
    store.restore(age.as_millis() as u64, 500);
    for server in ["servers/filings-0", "servers/filings-1"] {
        store.delete(server);
    }
    // The servers run on, and would answer.
    wait_until(|| {
        let statuses = store.read_once("gone");
        statuses.iter().all(|status| *status == 503)
    });
}

/// Guards against a lease whose number is given out again once the store has lost the lease: the
/// platform and the servers could not tell the two holders' calls apart.
#[test]
fn a_fencing_token_has_one_holder_across_a_restore() {
    let mut store = Store::start("fence");
    let duty_calls = |store: &Store| {
        let history = store.history();
        let calls = history
            .into_iter()
            .filter(|entry| entry["call"].is_string());
        calls.collect::<Vec<Value>>()
    };
    store.read_for(APPLY_TIME, "before");
    wait_until(|| !duty_calls(&store).is_empty());
    let first = duty_calls(&store)[0]["holder"].as_str().unwrap().to_owned();
    let index: usize = first.rsplit('-').next().unwrap().parse().unwrap();
    store.fleet.gateways[index].store.set(RelayMode::Cut);
    store.restore(EMPTY_AGE_MS, 500);
    wait_until(|| {
        store.read_for(POLL_INTERVAL, "after");
        let calls = duty_calls(&store);
        calls.iter().any(|call| call["holder"] != first.as_str())
    });
    store.fleet.gateways[index].store.set(RelayMode::Pass);
    store.read_for(WATCHED_TIME, "later");
    let mut holders: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    let mut reported: BTreeMap<u64, Vec<Value>> = BTreeMap::new();
    let mut fences = Vec::new();
    for call in duty_calls(&store) {
        let fence = call["fence"].as_str().unwrap().parse().unwrap();
        let holder = call["holder"].as_str().unwrap().to_owned();
        holders.entry(fence).or_default().insert(holder);
        fences.push(fence);
        if let Some(window) = call["body"]["windowIndex"].as_u64() {
            let counts = reported.entry(window).or_default();
            counts.push(call["body"]["counts"].clone());
            counts.dedup();
        }
    }
    assert!(holders.values().all(|of| of.len() == 1), "{holders:?}");
    assert!(fences.is_sorted(), "{fences:?}");
    assert!(reported.values().all(|counts| counts.len() == 1));
}

/// Guards against nodes that a restored store does not know: nodes that start would not find
/// them, and the requests that they have quarantined would be lost.
#[test]
fn nodes_write_their_objects_again_after_a_restore() {
    let store = Store::start("nodes");
    let nodes = || {
        let listed = get_json(store.fleet.store, "/-/objects/pomeloridge-nodes").unwrap();
        listed["items"].as_array().unwrap().len()
    };
    wait_until(|| nodes() == GATEWAYS);
    for _ in 0..2 {
        store.restore(EMPTY_AGE_MS, 500);
        wait_until(|| nodes() == GATEWAYS);
    }
}

/// Guards against gateways that lose the servers whose entries a restored store lacks.
#[test]
fn requests_are_served_while_entries_are_missing_after_a_restore() {
    let mut store = Store::start("missing");
    store.raise_revision();
    std::thread::sleep(APPLY_TIME);
    store.restore(EMPTY_AGE_MS, 1500);
    let statuses = store.read_for(WATCHED_TIME, "kept");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    for server in ["filings-0", "filings-1"] {
        assert!(store.reads_at(server, "kept") > 0, "{server} got nothing");
    }
}

/// Guards against gateways that send to a server again because a restored store has lost that it
/// is leaving.
#[test]
fn a_leaving_server_gets_no_requests_from_a_restored_entry() {
    let mut store = Store::start("leaving");
    let started = Instant::now();
    let mut entry = store.object("servers/filings-0");
    entry["state"] = "draining".into();
    store.put("servers/filings-0", &entry);
    store.raise_revision();
    std::thread::sleep(APPLY_TIME);
    let age = started.elapsed() + POLL_INTERVAL;
    store.restore(age.as_millis() as u64, 1500);
    assert_eq!(store.object("servers/filings-0")["state"], "ready");
    let statuses = store.read_for(WATCHED_TIME, "stays");
    assert!(statuses.iter().all(|status| *status == 200));
    assert_eq!(store.reads_at("filings-0", "stays"), 0);
}

/// Guards against gateways that list and watch by turns, without a pause, while the store has no
/// history.
#[test]
fn a_store_without_history_is_not_called_without_a_pause() {
    let mut store = Store::start("forget");
    std::thread::sleep(APPLY_TIME);
    let before = store.store_calls();
    let time = json!({ "for_ms": FORGET_TIME.as_millis() as u64 });
    post_json(store.fleet.duties, "/-/forget", &time).unwrap();
    std::thread::sleep(FORGET_TIME);
    let calls = store.store_calls() - before;
    // Each gateway lists for two watches; one holds the lease.
    let pauses = FORGET_TIME.as_millis() / RETRY_PAUSE.as_millis() + 1;
    let most = pauses * (2 * GATEWAYS as u128 + 1);
    assert!(calls <= most, "{calls} calls, {most} allowed");
    store.add_key("key-after-the-gap");
    std::thread::sleep(APPLY_TIME);
    assert_eq!(store.status(GATEWAYS - 1, "key-after-the-gap"), 200);
}

/// Guards against a gateway that starts right after a restore and sends to servers that left in
/// the lost part, as it never knew that they did.
#[test]
fn a_gateway_that_starts_after_a_restore_knows_which_servers_leave() {
    let mut store = Store::start("late-servers");
    let copied = Instant::now();
    let mut entry = store.object("servers/filings-0");
    entry["state"] = "draining".into();
    store.put("servers/filings-0", &entry);
    std::thread::sleep(APPLY_TIME);
    store.restore_and_restart(GATEWAYS - 1, copied);
    let end = Instant::now() + WATCHED_TIME;
    while Instant::now() < end {
        store.next += 1;
        let message = request(Method::GET, "read", &format!("late-{}", store.next));
        let gateway = &store.fleet.gateways[GATEWAYS - 1];
        assert_eq!(status(gateway.caller, &message), 200);
    }
    assert_eq!(store.reads_at("filings-0", "late"), 0);
}

/// Guards against a gateway that starts right after a restore and serves by the copy's
/// configuration, although its peers know a newer one.
#[test]
fn a_gateway_that_starts_after_a_restore_knows_withdrawn_keys() {
    let mut store = Store::start("late-config");
    store.add_key("key-withdrawn");
    std::thread::sleep(APPLY_TIME);
    let copied = Instant::now();
    store.replace_key("key-withdrawn", "key-in-its-place");
    std::thread::sleep(APPLY_TIME);
    store.restore_and_restart(GATEWAYS - 1, copied);
    let end = Instant::now() + WATCHED_TIME;
    let mut statuses = BTreeSet::new();
    while Instant::now() < end {
        statuses.insert(store.status(GATEWAYS - 1, "key-withdrawn"));
    }
    assert_eq!(statuses, [401].into());
}

/// Nodes of a former version that watch the store.
const FORMER_NODES: usize = 6;

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// Appends a field with a number to a datagram.
fn put_number(datagram: &mut Vec<u8>, tag: u8, mut number: u64) {
    datagram.push(tag << 3);
    while number >= 0x80 {
        datagram.push(number as u8 | 0x80);
        number >>= 7;
    }
    datagram.push(number as u8);
}

/// Returns the heartbeat of a node of a former version, which knows no eras and watches the store.
fn former_heartbeat(name: &str, revision: u64) -> Vec<u8> {
    let since_epoch = std::time::UNIX_EPOCH.elapsed().unwrap();
    let mut datagram = vec![1 << 3 | 2, name.len() as u8];
    datagram.extend(name.as_bytes());
    put_number(&mut datagram, 2, 1);
    put_number(&mut datagram, 3, since_epoch.as_millis() as u64);
    put_number(&mut datagram, 11, revision);
    put_number(&mut datagram, 12, 0);
    datagram.extend([15 << 3 | 5]);
    datagram.extend((hash("dc-1") as u32).to_le_bytes());
    datagram
}

/// Guards against a gateway that leaves the watch of the store to nodes of a former version, and
/// takes none of the changes that they tell: their revisions name no era.
#[test]
fn a_gateway_among_nodes_without_eras_sees_changes_of_the_servers() {
    let mut store = Store::start_with("former", 1);
    let own = hash("front-0");
    let names = (0..).map(|number| format!("former-{number}"));
    let names: Vec<String> = names
        .filter(|name| hash(name) < own)
        .take(FORMER_NODES)
        .collect();
    let peer = store.fleet.gateways[0].peer;
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            while !is_over.load(Ordering::Relaxed) {
                for name in &names {
                    let datagram = former_heartbeat(name, 5);
                    socket.send_to(&datagram, peer).unwrap();
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        // The watch that is running when the nodes are heard ends meanwhile.
        std::thread::sleep(WATCHED_TIME);
        store.delete("servers/filings-0");
        std::thread::sleep(APPLY_TIME);
        let statuses = store.read_for(APPLY_TIME, "former");
        is_over.store(true, Ordering::Relaxed);
        assert!(statuses.iter().all(|status| *status == 200));
    });
    assert_eq!(store.reads_at("filings-0", "former"), 0);
}
