//! Incident LOST: beside a change of the configuration, each request that a caller has sent whole
//! on a kept connection gets an answer or a refusal.
//!
//! Gateways run as separate processes on a fake of the fleet's platform. No connection is idle
//! for longer than any idle time that a test sets, so that no request crosses the close of one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{Connection, OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json};
use pomeloridge_fleet_standin::caller::{
    KEY, event_ids, generation, is_ready, request, send_request,
};
use serde_json::{Value, json};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two configurations, shorter than the requests in flight.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Configurations that follow each other in one test.
const CHANGES: u64 = 16;
/// Callers of each kind, each on a connection of its own.
const CALLERS: u64 = 4;
/// Prompt that needs no separate prefill, in tokens.
const SHORT_PROMPT: u64 = 200;
const ALL_EVENTS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
/// Timeout of routes after a change, shorter than the requests in flight.
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);
const LARGE_BODY_BYTES: usize = 1_000_000;
/// Limit on bodies after a change.
const SMALL_BODY_BYTES: usize = 100_000;
const LARGE_HEAD_BYTES: usize = 12_000;
/// Limit on heads after a change.
const SMALL_HEAD_BYTES: usize = 4096;
/// Pieces in which a caller sends a request.
const PIECES: usize = 20;
const PIECE_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which the limits of an adopted configuration are in force.
const LIMITS_DELAY: Duration = Duration::from_millis(1500);

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn start(name: &str) -> Fleet {
    let fleet = Fleet::start_with(&format!("changes-{name}"), 1, &["--archive", "2"]).unwrap();
    let ready = fleet.gateways[0].ready;
    wait_until(|| block_on(is_ready(ready)));
    fleet
}

fn read_config(fleet: &Fleet) -> Value {
    get_json(fleet.store, "/-/objects/config/main").unwrap()["spec"].clone()
}

/// Sets a configuration, with a version of its own.
fn set_config(fleet: &Fleet, mut config: Value, version: u64) {
    config["version"] = json!(version);
    post_json(fleet.duties, "/-/config", &config).unwrap();
}

fn wait_until_adopted(fleet: &Fleet, version: u64) {
    let adopted = format!("config version={version} ");
    let log = fleet.folder.join("front-0.out");
    wait_until(|| std::fs::read_to_string(&log).unwrap().contains(&adopted));
}

/// Sets a part of each route whose name is `name`.
fn set_route(config: &mut Value, name: &str, key: &str, value: &Value) {
    for route in config["routes"].as_array_mut().unwrap() {
        if route["name"] == name {
            route[key] = value.clone();
        }
    }
}

fn remove_by_name(list: &mut Value, name: &str) {
    let list = list.as_array_mut().unwrap();
    list.retain(|entry| entry["name"] != name);
}

/// Moves the routes of calls to another service.
fn move_routes(config: &mut Value) {
    for name in ["read", "lodge"] {
        set_route(config, name, "service", &json!("archive"));
    }
}

/// Moves the routes of calls to a service without servers.
fn move_routes_to_nowhere(config: &mut Value) {
    for name in ["read", "lodge", "ask", "note"] {
        set_route(config, name, "service", &json!("nowhere"));
    }
}

fn remove_routes(config: &mut Value) {
    for name in ["read", "lodge", "ask", "note"] {
        remove_by_name(&mut config["routes"], name);
    }
}

fn remove_services(config: &mut Value) {
    for name in ["assistant", "filings"] {
        remove_by_name(&mut config["services"], name);
    }
}

fn remove_keys(config: &mut Value) {
    config["tenants"][0]["apiKeys"] = json!(["key-of-another"]);
}

fn shorten_route_timeouts(config: &mut Value) {
    for name in ["read", "lodge", "ask", "note"] {
        set_route(config, name, "timeoutMs", &json!(SHORT_TIMEOUT.as_millis()));
    }
}

fn change_weights(config: &mut Value) {
    for name in ["read", "lodge"] {
        let shares = json!([
            { "service": "filings", "weight": 0.0 },
            { "service": "archive", "weight": 1.0 },
        ]);
        set_route(config, name, "trafficSplit", &shares);
    }
    for name in ["ask", "note"] {
        let shares = json!([{ "service": "assistant", "weight": 0.0 }]);
        set_route(config, name, "trafficSplit", &shares);
    }
}

fn change_kinds(config: &mut Value) {
    set_route(config, "read", "routeType", &json!("non_idempotent"));
    set_route(config, "lodge", "routeType", &json!("streaming"));
    set_route(config, "ask", "resumable", &json!(false));
}

fn lower_limits(config: &mut Value) {
    config["limits"]["headerTimeoutMs"] = json!(800);
    config["limits"]["idleTimeoutMs"] = json!(2500);
    config["limits"]["maxBodyBytes"] = json!(SMALL_BODY_BYTES);
    for service in config["services"].as_array_mut().unwrap() {
        service["maxConnections"] = json!(1);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Call,
    Filing,
    WaitingStream,
    RunningStream,
    UnresumableStream,
}

impl Kind {
    const ALL: [Self; 5] = [
        Self::Call,
        Self::Filing,
        Self::WaitingStream,
        Self::RunningStream,
        Self::UnresumableStream,
    ];

    fn message(self, id: &str) -> OutgoingRequest {
        let (message, fault) = match self {
            Self::Call => (request(Method::GET, "read", id), "pause-0-500"),
            Self::Filing => (
                request(Method::POST, "lodge", id).body(vec![b'x'; 50_000]),
                "pause-0-500",
            ),
            Self::WaitingStream => (generation("ask", id, SHORT_PROMPT), "pause-0-500"),
            Self::RunningStream => (generation("ask", id, SHORT_PROMPT), "slow-80"),
            Self::UnresumableStream => (generation("note", id, SHORT_PROMPT), "slow-80"),
        };
        message.with_header("x-fault", fault)
    }

    /// Returns whether a caller got a whole answer or a refusal.
    fn is_final(self, answer: &Result<Response, String>) -> bool {
        let is_stream = !matches!(self, Self::Call | Self::Filing);
        answer.as_ref().is_ok_and(|answer| {
            answer.status != 200 || !is_stream || event_ids(answer) == ALL_EVENTS
        })
    }
}

/// Sends requests of a kind one after the other on a kept connection, until `end`.
async fn call_until(
    gateway: SocketAddr,
    kind: Kind,
    number: u64,
    end: Instant,
) -> Vec<(Kind, String, Result<Response, String>)> {
    let mut kept: Option<Connection> = None;
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        let id = format!("{kind:?}-{number}-{}", outcomes.len()).to_lowercase();
        let sent = send_request(gateway, kept.take(), &kind.message(&id)).await;
        let answer = sent.map(|(answer, used)| {
            kept = used.reusable().then_some(used);
            answer
        });
        outcomes.push((kind, id, answer));
        let pause = (outcomes.len() as u64 * 97 + number * 31) % 200;
        monoio::time::sleep(Duration::from_millis(pause)).await;
    }
    outcomes
}

/// Sends requests whose bodies arrive in two halves, one after the other on a kept connection.
/// Returns how many were sent, or the first that got no answer.
fn send_halves_until(gateway: SocketAddr, number: u64, end: Instant) -> Result<u64, String> {
    let mut connection = None;
    let mut sent = 0;
    while Instant::now() < end {
        let id = format!("half-{number}-{sent}");
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => TcpStream::connect(gateway).map_err(|error| error.to_string())?,
        };
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let head = format!(
            "POST /lodge/x HTTP/1.1\r\nhost: fleet.example\r\npomeloridge-attempt-id: {id}\r\n\
             pomeloridge-deadline-ms: 3000\r\npomeloridge-key: {KEY}\r\ncontent-length: 8\r\n\r\n"
        );
        let fail = |error: std::io::Error| format!("{id}: {error}");
        stream.write_all(head.as_bytes()).map_err(fail)?;
        stream.write_all(b"half").map_err(fail)?;
        std::thread::sleep(Duration::from_millis(350));
        stream.write_all(b"half").map_err(fail)?;
        let answer = read_answer(&mut stream).map_err(|error| format!("{id}: {error}"))?;
        let closes = answer.to_lowercase().contains("connection: close");
        connection = (!closes).then_some(stream);
        sent += 1;
    }
    Ok(sent)
}

/// Reads an answer with a length and returns its head.
fn read_answer(stream: &mut TcpStream) -> Result<String, String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().unwrap());
            if body.len() >= length {
                return Ok(head.to_owned());
            }
        }
        let count = stream.read(&mut chunk).map_err(|error| error.to_string())?;
        if count == 0 {
            return Err(format!("closed after {} bytes", bytes.len()));
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// Returns whether a request arrived under the shortened route timeout and was cut at its end, as
/// a stream that outlasts its route's timeout always is.
fn is_late(log: &str, id: &str) -> bool {
    let id = format!("request id={id} ");
    let mut lines = log.lines().filter(|line| line.contains(&id));
    let left = |line: &str| -> Option<u128> {
        let (_, left) = line.split_once(" left_ms=")?;
        left.split(' ').next()?.parse().ok()
    };
    let sent = lines.clone().find(|line| line.contains(" choice=send "));
    sent.and_then(left)
        .is_some_and(|left| left <= SHORT_TIMEOUT.as_millis())
        && lines.any(|line| line.contains(" outcome=cut "))
}

/// Guards against ending requests without an answer beside a change that is made and taken back
/// again and again, under requests of all kinds.
#[parameterized(
    route_moved = { "moved", move_routes },
    route_moved_to_no_server = { "nowhere", move_routes_to_nowhere },
    route_removed = { "routes", remove_routes },
    services_removed = { "services", remove_services },
    key_removed = { "keys", remove_keys },
    route_timeout_shorter = { "timeouts", shorten_route_timeouts },
    weights = { "weights", change_weights },
    kinds = { "kinds", change_kinds },
    limits = { "limits", lower_limits },
)]
fn a_change_leaves_no_request_without_an_answer(name: &str, change: fn(&mut Value)) {
    let fleet = start(name);
    let config = read_config(&fleet);
    let first = config["version"].as_u64().unwrap() + 1;
    let gateway = fleet.gateways[0].caller;
    let end = Instant::now() + CHANGE_INTERVAL * u32::try_from(CHANGES).unwrap();
    let halves = (0..CALLERS)
        .map(|number| std::thread::spawn(move || send_halves_until(gateway, number, end)));
    let halves: Vec<_> = halves.collect();
    let callers = std::thread::spawn(move || {
        block_on(async move {
            let callers = Kind::ALL.into_iter().flat_map(|kind| {
                (0..CALLERS)
                    .map(move |number| monoio::spawn(call_until(gateway, kind, number, end)))
            });
            let mut outcomes = Vec::new();
            for caller in callers.collect::<Vec<_>>() {
                outcomes.extend(caller.await);
            }
            outcomes
        })
    });
    for turn in 0..CHANGES {
        let mut next = config.clone();
        if turn % 2 == 0 {
            change(&mut next);
        }
        set_config(&fleet, next, first + turn);
        std::thread::sleep(CHANGE_INTERVAL);
    }
    let outcomes = callers.join().unwrap();
    wait_until_adopted(&fleet, first + CHANGES - 1);
    for half in halves {
        let sent = half.join().unwrap();
        assert!(sent.as_ref().is_ok_and(|sent| *sent > 0), "{sent:?}");
    }
    for kind in Kind::ALL {
        let of_kind = outcomes.iter().filter(|(of, _, _)| *of == kind);
        let answered = of_kind
            .filter(|(_, _, answer)| answer.as_ref().is_ok_and(|answer| answer.status == 200));
        assert!(answered.count() > 0, "{kind:?}");
    }
    let find_lost = || {
        let log = std::fs::read_to_string(fleet.folder.join("front-0.out")).unwrap();
        let lost = outcomes
            .iter()
            .filter(|(kind, id, answer)| !kind.is_final(answer) && !is_late(&log, id));
        lost.collect::<Vec<_>>()
    };
    // The log is written after the answers.
    let end = Instant::now() + TIMEOUT;
    let mut lost = find_lost();
    while !lost.is_empty() && Instant::now() < end {
        std::thread::sleep(POLL_INTERVAL);
        lost = find_lost();
    }
    assert!(
        lost.is_empty(),
        "{} of {}: {lost:#?}",
        lost.len(),
        outcomes.len()
    );
}

fn with_large_body(id: &str) -> OutgoingRequest {
    request(Method::POST, "lodge", id).body(vec![b'x'; LARGE_BODY_BYTES])
}

fn with_large_head(id: &str) -> OutgoingRequest {
    request(Method::POST, "lodge", id).with_header("x-filler", &"x".repeat(LARGE_HEAD_BYTES))
}

/// Guards against resetting the connection of a request that a new limit refuses, before the
/// caller has read the refusal.
#[parameterized(
    body = { "body", with_large_body, 413 },
    head = { "head", with_large_head, 431 },
)]
fn a_request_over_a_lowered_limit_is_refused(
    name: &str,
    message: fn(&str) -> OutgoingRequest,
    status: u16,
) {
    let fleet = start(&format!("lowered-{name}"));
    let mut config = read_config(&fleet);
    let version = config["version"].as_u64().unwrap() + 1;
    config["limits"]["maxBodyBytes"] = json!(SMALL_BODY_BYTES);
    config["limits"]["maxHeaderBytes"] = json!(SMALL_HEAD_BYTES);
    let gateway = fleet.gateways[0].caller;
    let outcomes = block_on(async {
        let mut kept = Vec::new();
        for number in 0..CALLERS * 4 {
            let first = message(&format!("first-{number}"));
            let (answer, used) = send_request(gateway, None, &first).await.unwrap();
            assert_eq!(answer.status, 200);
            kept.push(used);
        }
        let change = || {
            set_config(&fleet, config, version);
            wait_until_adopted(&fleet, version);
            std::thread::sleep(LIMITS_DELAY);
        };
        std::thread::scope(|scope| scope.spawn(change).join().unwrap());
        let mut outcomes = Vec::new();
        for (number, kept) in kept.into_iter().enumerate() {
            let id = format!("second-{number}");
            let answer = send_request(gateway, Some(kept), &message(&id)).await;
            outcomes.push(answer.map(|(answer, _)| answer.status.as_u16()));
        }
        outcomes
    });
    let lost = outcomes.iter().filter(|outcome| **outcome != Ok(status));
    let lost: Vec<_> = lost.collect();
    assert!(
        lost.is_empty(),
        "{} of {}: {lost:?}",
        lost.len(),
        outcomes.len()
    );
}

/// Sends a request in pieces and reads its answer.
fn send_in_pieces(gateway: SocketAddr, message: &[u8]) -> Result<String, String> {
    let mut stream = TcpStream::connect(gateway).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    for piece in message.chunks(message.len().div_ceil(PIECES)) {
        stream
            .write_all(piece)
            .map_err(|error| format!("while sending: {error}"))?;
        std::thread::sleep(PIECE_INTERVAL);
    }
    read_answer(&mut stream)
}

/// Guards against resetting the connection of a caller that is still sending a request which a new
/// limit refuses: a caller that reads the answer only once it has sent all would have none.
#[parameterized(
    length = { "length", "content-length: 1000000\r\n\r\n", LARGE_BODY_BYTES, " 413 " },
    chunks = { "chunks", "transfer-encoding: chunked\r\n\r\nf4240\r\n", LARGE_BODY_BYTES, " 413 " },
    head = { "pieces-head", "x-filler: ", LARGE_HEAD_BYTES, " 431 " },
)]
fn a_caller_that_is_still_sending_gets_the_refusal(
    name: &str,
    rest: &str,
    length: usize,
    status: &str,
) {
    let fleet = start(&format!("sending-{name}"));
    let mut config = read_config(&fleet);
    let version = config["version"].as_u64().unwrap() + 1;
    config["limits"]["maxBodyBytes"] = json!(SMALL_BODY_BYTES);
    config["limits"]["maxHeaderBytes"] = json!(SMALL_HEAD_BYTES);
    set_config(&fleet, config, version);
    wait_until_adopted(&fleet, version);
    std::thread::sleep(LIMITS_DELAY);
    let head = format!(
        "POST /lodge/x HTTP/1.1\r\nhost: fleet.example\r\npomeloridge-attempt-id: {name}\r\n\
         pomeloridge-deadline-ms: 3000\r\npomeloridge-key: {KEY}\r\n{rest}"
    );
    let mut message = head.into_bytes();
    message.resize(message.len() + length, b'x');
    message.extend_from_slice(b"\r\n\r\n");
    let answer = send_in_pieces(fleet.gateways[0].caller, &message);
    assert!(
        answer.as_ref().is_ok_and(|head| head.contains(status)),
        "{answer:?}"
    );
}
