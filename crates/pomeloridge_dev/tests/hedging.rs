//! Second attempts of slow requests, by a gateway as a separate process on a fake of the fleet's
//! platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use monoio::time::sleep;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, get_json};
use pomeloridge_fleet_standin::caller::{event_ids, generation, is_ready, request, send_request};
use serde_json::Value;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after its start in which a gateway begins no second attempts.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Requests of each kind from whose latencies the gateway learns what is slow.
const LEARNT: usize = 60;
/// Prompt that needs no separate prefill, in tokens.
const SHORT_PROMPT: u64 = 200;
/// Pause of a slow server, and the time in which the answer of another one arrives.
const SLOW: &str = "pause-0-1500";
const FAST_TIME: Duration = Duration::from_millis(700);
/// Time after which a server notices that its request is cancelled.
const CANCEL_TIME: Duration = Duration::from_millis(500);
/// Every request may be hedged, several at once.
const ON: &str = "[hedge]\nshare = 1\nmost = 100\n";
/// Requests whose answers arrive at nearly the same moment.
const TWINS: usize = 20;
const ALL_EVENTS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

type Message = fn(&str) -> OutgoingRequest;

/// Starts a gateway with these settings and lets it learn how long requests take.
fn start(name: &str, settings: &str) -> Fleet {
    let fleet = Fleet::start_set(&format!("hedge-{name}"), 1, &[], settings).unwrap();
    let ready = fleet.gateways[0].ready;
    wait_until(|| block_on(is_ready(ready)));
    std::thread::sleep(SETTLING_TIME);
    for number in 0..LEARNT {
        assert_eq!(send(&fleet, &read(&format!("r{number}"))).status, 200);
        assert_eq!(send(&fleet, &ask(&format!("s{number}"))).status, 200);
    }
    fleet
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn read(attempt: &str) -> OutgoingRequest {
    request(Method::GET, "read", attempt)
}

fn ask(attempt: &str) -> OutgoingRequest {
    generation("ask", attempt, SHORT_PROMPT)
}

fn lodge(attempt: &str) -> OutgoingRequest {
    request(Method::POST, "lodge", attempt).body("filing")
}

fn note(attempt: &str) -> OutgoingRequest {
    generation("note", attempt, SHORT_PROMPT)
}

fn send(fleet: &Fleet, message: &OutgoingRequest) -> Response {
    let gateway = fleet.gateways[0].caller;
    let (answer, _) = block_on(async { send_request(gateway, None, message).await }).unwrap();
    answer
}

fn history(fleet: &Fleet) -> Vec<Value> {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    history.as_array().cloned().unwrap_or_default()
}

/// Returns the servers that got an attempt, with the time of each.
fn runs(fleet: &Fleet, attempt: &str) -> Vec<(String, u64)> {
    let of = |entry: &Value| entry["attempt"] == attempt && !entry["path"].is_null();
    let runs = history(fleet).into_iter().filter(of);
    let run = |entry: Value| {
        let server = entry["server"].as_str().unwrap_or_default().to_owned();
        (server, entry["at"].as_u64().unwrap_or_default())
    };
    runs.map(run).collect()
}

/// Returns the servers that saw an attempt end before their answers, with the time of each.
fn cancels(fleet: &Fleet, attempt: &str) -> Vec<(String, u64)> {
    let of = |entry: &Value| entry["cancelled"] == attempt;
    let cancels = history(fleet).into_iter().filter(of);
    let cancel = |entry: Value| {
        let server = entry["server"].as_str().unwrap_or_default().to_owned();
        (server, entry["cancelled_at"].as_u64().unwrap_or_default())
    };
    cancels
        .collect::<Vec<_>>()
        .into_iter()
        .map(cancel)
        .collect()
}

/// Returns the number of requests in all usage reports.
fn billed(fleet: &Fleet) -> u64 {
    let reports = history(fleet).into_iter();
    let reports = reports.filter(|entry| entry["call"] == "/usage");
    let count = |report: Value| report["body"]["counts"]["anna"].as_u64().unwrap_or(0);
    reports.map(count).sum()
}

/// Guards against answers that are as late as the slowest server, and against work that goes on
/// at that server in vain.
#[parameterized(
    unary = { "unary", read },
    stream = { "stream", ask },
)]
fn a_slow_server_is_hedged_and_its_run_cancelled(name: &str, message: Message) {
    let fleet = start(name, ON);
    let started = Instant::now();
    let answer = send(&fleet, &message("h1").with_header("x-fault", SLOW));
    assert_eq!(answer.status, 200);
    assert!(started.elapsed() < FAST_TIME, "{:?}", started.elapsed());
    let runs = runs(&fleet, "h1");
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_ne!(runs[0].0, runs[1].0);
    wait_until(|| !cancels(&fleet, "h1").is_empty());
    let cancels = cancels(&fleet, "h1");
    assert_eq!(cancels.len(), 1);
    assert_eq!(cancels[0].0, runs[0].0);
    let time = Duration::from_millis(cancels[0].1.saturating_sub(runs[1].1));
    assert!(time < CANCEL_TIME, "{time:?}");
    if name == "stream" {
        assert_eq!(event_ids(&answer), ALL_EVENTS);
    }
}

/// Guards against an answer that is delivered twice or mixed with its twin, and against usage that
/// is counted for both.
#[test]
fn of_two_answers_at_the_same_moment_one_is_delivered_and_billed() {
    let fleet = start("twins", ON);
    let mut hedged = 0;
    for number in 0..TWINS {
        let attempt = format!("t{number}");
        let twin = read(&attempt).with_header("x-fault", "pause-0-60,pause-0-45");
        let answer = send(&fleet, &twin);
        assert_eq!(answer.status, 200);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(body.starts_with("done by filings-"), "{body}");
        hedged += usize::from(runs(&fleet, &attempt).len() == 2);
        let stream = format!("v{number}");
        let twin = ask(&stream).with_header("x-fault", "pause-0-120,pause-0-40");
        assert_eq!(event_ids(&send(&fleet, &twin)), ALL_EVENTS);
        hedged += usize::from(runs(&fleet, &stream).len() == 2);
    }
    assert!(hedged > 0, "no request had a second attempt");
    let sent = 2 * (LEARNT + TWINS) as u64;
    wait_until(|| billed(&fleet) >= sent);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(billed(&fleet), sent);
}

/// Guards against a request that fails with its first attempt though another one is running, and
/// against one attempt more than the route allows.
#[parameterized(
    second_answers = { "answers", "lost-100,pause-0-300", 200 },
    second_fails_first = { "first", "pause-0-300,lost", 200 },
    both_fail = { "both", "lost-200,lost", 502 },
    error_and_answer = { "error", "pause-0-200,error", 200 },
    answer_of_a_server = { "answer", "lost-200,error", 500 },
)]
fn a_failed_attempt_leaves_the_request_to_the_other(name: &str, faults: &str, status: u16) {
    let fleet = start(&format!("fails-{name}"), ON);
    let answer = send(&fleet, &read("f1").with_header("x-fault", faults));
    assert_eq!(answer.status, status);
    let runs = runs(&fleet, "f1");
    assert_eq!(runs.len(), 2, "{runs:?}");
}

/// Guards against requests that run twice though they must not, and against second attempts that
/// operators did not ask for.
#[parameterized(
    not_idempotent = { "lodge", ON, lodge },
    not_resumable = { "note", ON, note },
    off = { "off", "", read },
    off_stream = { "off-stream", "[hedge]\nmost = 5\n", ask },
)]
fn other_requests_run_once(name: &str, settings: &str, message: Message) {
    let fleet = start(name, settings);
    let answer = send(&fleet, &message("o1").with_header("x-fault", "pause-0-500"));
    assert_eq!(answer.status, 200);
    assert_eq!(runs(&fleet, "o1").len(), 1);
}

/// Guards against runs that go on after their caller has left.
#[test]
fn both_attempts_end_with_their_caller() {
    let fleet = start("leaves", ON);
    let gateway = fleet.gateways[0].caller;
    let faults = format!("{SLOW},{SLOW}");
    let message = read("g1").with_header("x-fault", &faults);
    block_on(send_and_leave(gateway, &message));
    let end = Instant::now() + CANCEL_TIME;
    while cancels(&fleet, "g1").len() < 2 {
        assert!(Instant::now() < end, "{:?}", runs(&fleet, "g1"));
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a request and leaves once its second attempt must have begun.
async fn send_and_leave(gateway: SocketAddr, message: &OutgoingRequest) {
    let connection = Connection::open(gateway, ConnectOptions::default()).await;
    let mut connection = connection.unwrap();
    let sent = connection.send(message, Instant::now() + TIMEOUT).await;
    sent.unwrap();
    sleep(Duration::from_millis(300)).await;
}
