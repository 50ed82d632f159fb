//! Tests of entries among those of the servers that another writer left, against gateways as
//! separate processes on a fake of the fleet's platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, Response, call};
use pomeloridge_dev::launch::{Fleet, block_on};
use pomeloridge_fleet_standin::caller::{is_ready, request, send_request};
use serde_json::{Value, json};
use yare::parameterized;

const GATEWAYS: usize = 3;
/// Servers of the route `read`.
const SERVERS: [&str; 2] = ["filings-0", "filings-1"];
/// Timeout of conditions.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Requests in a row that show which servers a gateway uses.
const SAMPLE: usize = 12;
/// Nesting that no recursive decoder accepts.
const DEEP: usize = 10_000;
/// Nesting that a decoder accepts at the top, but not within the messages between gateways.
const LESS_DEEP: usize = 126;

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "not in time: {what}");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_until_ready(fleet: &Fleet) {
    for gateway in &fleet.gateways {
        wait_until("a gateway is ready", async || is_ready(gateway.ready).await).await;
    }
}

/// Stores the text of a server's entry, whatever it is.
async fn put_entry(fleet: &Fleet, name: &str, text: &[u8]) {
    let path = format!("/-/entry/{name}");
    let message = OutgoingRequest::new(Method::POST, path).body(text.to_vec());
    let answer = call(fleet.duties, &message, CALL_TIMEOUT).await.unwrap();
    assert_eq!(answer.status, 200);
}

/// Returns the text of a server's entry.
async fn entry(fleet: &Fleet, name: &str) -> Vec<u8> {
    let message = OutgoingRequest::get(format!("/-/objects/servers/{name}"));
    let found = call(fleet.store, &message, CALL_TIMEOUT).await.unwrap();
    let found: Value = serde_json::from_slice(&found.body).unwrap();
    found["spec"].to_string().into_bytes()
}

async fn read(gateway: SocketAddr) -> Response {
    let message = request(Method::GET, "read", "o1");
    let sent = send_request(gateway, None, &message).await;
    sent.unwrap().0
}

/// Returns whether a gateway answers several requests in a row without this server.
async fn avoids(gateway: SocketAddr, server: &str) -> bool {
    for _ in 0..SAMPLE {
        let answer = read(gateway).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        if answer.body == format!("done by {server}") {
            return false;
        }
    }
    true
}

/// Replaces the entry of a server, and waits until the gateways use only the other one.
async fn leave_out(fleet: &Fleet, server: &str, text: &[u8]) {
    put_entry(fleet, server, text).await;
    for gateway in &fleet.gateways {
        wait_until("the server is left out", async || {
            avoids(gateway.caller, server).await
        })
        .await;
    }
}

/// Guards against one odd entry after which gateways end, no longer follow the list of servers,
/// or can't read it after a start.
#[parameterized(
    deep = { "deep", nested(DEEP).into_bytes() },
    less_deep = { "less-deep", nested(LESS_DEEP).into_bytes() },
    huge_number = { "number", br#"{"slots":1e999}"#.to_vec() },
    no_number = { "nan", br#"{"slots":NaN}"#.to_vec() },
    port = { "port", br#"{"service":"filings","address":"127.0.0.1:70000","zone":"dc-1","version":"v1","slots":8,"state":"ready"}"#.to_vec() },
    time = { "time", br#"{"service":"filings","address":"127.0.0.1:9","zone":"dc-1","version":"v1","slots":8,"state":"draining","leaves_ms":1e300}"#.to_vec() },
    utf8 = { "utf8", b"{\"service\":\"\xff\"}".to_vec() },
)]
fn gateways_follow_the_servers_beside_an_odd_entry(name: &str, odd: Vec<u8>) {
    let mut fleet = Fleet::start(&format!("odd-{name}"), GATEWAYS).unwrap();
    block_on(async {
        wait_until_ready(&fleet).await;
        put_entry(&fleet, "filings-odd", &odd).await;
        for server in SERVERS {
            let entry = entry(&fleet, server).await;
            let mut draining: Value = serde_json::from_slice(&entry).unwrap();
            draining["state"] = json!("draining");
            leave_out(&fleet, server, draining.to_string().as_bytes()).await;
            put_entry(&fleet, server, &entry).await;
        }
    });
    fleet.gateways[0].process.kill();
    fleet.restart(0).unwrap();
    block_on(async {
        wait_until_ready(&fleet).await;
        let last = SERVERS[SERVERS.len() - 1];
        leave_out(&fleet, last, br#"{"state":"gone"}"#).await;
    });
}

/// Guards against times in a server's response that are out of range and end the process.
#[parameterized(
    idle_timeout = { "endless" },
    backoff = { "away-endless" },
)]
fn odd_times_in_responses_are_bounded(fault: &str) {
    let fleet = Fleet::start(&format!("odd-{fault}"), 1).unwrap();
    block_on(async {
        wait_until_ready(&fleet).await;
        let gateway = fleet.gateways[0].caller;
        let odd = request(Method::GET, "read", "t1").with_header("x-fault", fault);
        let sent = send_request(gateway, None, &odd).await;
        assert_eq!(sent.unwrap().0.status, 200);
        assert_eq!(read(gateway).await.status, 200);
    });
}

/// Guards against a server that stays in use after its entry was replaced by an unreadable one.
#[parameterized(
    deep = { "deep", nested(DEEP).into_bytes() },
    huge_number = { "number", br#"{"slots":1e999}"#.to_vec() },
)]
fn a_server_whose_entry_cannot_be_read_is_not_used(name: &str, odd: Vec<u8>) {
    let fleet = Fleet::start(&format!("odd-for-good-{name}"), GATEWAYS).unwrap();
    block_on(async {
        wait_until_ready(&fleet).await;
        for server in SERVERS {
            let entry = entry(&fleet, server).await;
            leave_out(&fleet, server, &odd).await;
            put_entry(&fleet, server, &entry).await;
        }
    });
}
