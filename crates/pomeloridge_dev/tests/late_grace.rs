//! Incident LOST: what a gateway has taken within a planned stop is answered before the platform
//! kills the process at the end of the grace time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use http::{HeaderValue, Method};
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json};
use pomeloridge_fleet_standin::caller::{KEY, generation, is_ready, request};
use serde_json::{Value, json};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between SIGTERM and SIGKILL.
const GRACE_TIME: Duration = Duration::from_secs(8);
/// Time for which callers wait.
const CALLER_TIME: Duration = Duration::from_secs(10);
/// Time after SIGTERM at which the load balancer may still send requests.
const LATE: Duration = Duration::from_millis(2600);
/// Time from the opening of all connections to the signal.
const SIGNAL_DELAY: Duration = Duration::from_secs(1);
/// Time after SIGTERM at which a gateway is closing.
const CLOSING: Duration = Duration::from_secs(4);
/// Time after SIGTERM from which requests are refused that may outlast the grace time.
const REFUSAL: Duration = Duration::from_secs(3);
/// Number of requests that are sent from then on, and the time from one to the next.
const CROSSING_REQUESTS: u32 = 30;
const CROSSING_INTERVAL: Duration = Duration::from_millis(3);
/// Silence of two servers that outlasts the grace time.
const SILENT: &str = "pause-0-60000,pause-0-60000";
/// Silence amid a stream that no other server may continue.
const MIDWAY: &str = "pause-5-60000";

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn log(fleet: &Fleet) -> String {
    std::fs::read_to_string(fleet.folder.join("front-0.out")).unwrap()
}

/// Starts a gateway with the delay of a stop and the route timeouts of a deployment.
fn start(name: &str) -> Fleet {
    let fleet = Fleet::start(&format!("late-grace-{name}"), 1).unwrap();
    let ready = fleet.gateways[0].ready;
    wait_until(|| block_on(is_ready(ready)));
    let file = fleet.folder.join("front-0.ini");
    let settings = std::fs::read_to_string(&file).unwrap();
    let settings = settings.replace("unready_ms = 300", "unready_ms = 3000");
    std::fs::write(&file, settings).unwrap();
    fleet.gateways[0].process.signal(libc::SIGHUP);
    wait_until(|| log(&fleet).contains("applied=[stop.unready_ms]"));
    let mut config = get_json(fleet.store, "/-/objects/config/main").unwrap()["spec"].clone();
    let version = config["version"].as_u64().unwrap() + 1;
    config["version"] = json!(version);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = json!(CALLER_TIME.as_millis());
    }
    post_json(fleet.duties, "/-/config", &config).unwrap();
    wait_until(|| log(&fleet).contains(&format!("config version={version} ")));
    fleet
}

/// Returns a request of each kind whose server takes longer than the grace time.
fn long_requests(label: &str) -> Vec<(String, OutgoingRequest)> {
    let requests = [
        (
            "read",
            request as fn(Method, &str, &str) -> OutgoingRequest,
            SILENT,
        ),
        ("lodge", request, SILENT),
        ("ask", |_, route, id| generation(route, id, 200), SILENT),
        ("note", |_, route, id| generation(route, id, 200), SILENT),
        ("note", |_, route, id| generation(route, id, 200), MIDWAY),
    ];
    let requests = requests.into_iter().map(|(route, message, fault)| {
        let id = format!("{label}-{route}-{fault}").replace(',', "-");
        let method = if route == "read" {
            Method::GET
        } else {
            Method::POST
        };
        let mut message = message(method, route, &id).with_header("x-fault", fault);
        let time = CALLER_TIME.as_millis().to_string();
        let time = HeaderValue::from_str(&time).unwrap();
        message.headers.insert("pomeloridge-deadline-ms", time);
        (id, message)
    });
    requests.collect()
}

/// Sends requests on connections that have served another one. Says through `opened` when one has,
/// and sends on it at the time that `at` then gives, each later than the one before by `interval`.
async fn send_at(
    gateway: SocketAddr,
    opened: Sender<()>,
    at: Arc<OnceLock<Instant>>,
    interval: Duration,
    requests: Vec<(String, OutgoingRequest)>,
) -> Vec<(String, Result<Response, String>)> {
    let running = requests.into_iter().zip(0..).map(|((id, message), index)| {
        let (opened, at) = (opened.clone(), Arc::clone(&at));
        monoio::spawn(async move {
            let mut connection = Connection::open(gateway, ConnectOptions::default())
                .await
                .unwrap();
            let first = request(Method::GET, "open", &format!("{id}-first"));
            let first = connection.exchange(&first, Instant::now() + TIMEOUT).await;
            assert_eq!(first.unwrap().status, 200);
            opened.send(()).unwrap();
            let at = loop {
                match at.get() {
                    Some(at) => break *at + interval * index,
                    None => monoio::time::sleep(POLL_INTERVAL).await,
                }
            };
            monoio::time::sleep(at.saturating_duration_since(Instant::now())).await;
            let answer = connection
                .exchange(&message, Instant::now() + TIMEOUT)
                .await;
            (id, answer.map_err(|fault| fault.to_string()))
        })
    });
    let mut outcomes = Vec::new();
    for running in running.collect::<Vec<_>>() {
        outcomes.push(running.await);
    }
    outcomes
}

/// Guards against a gateway that is killed under what it has taken: a call gets an answer that does
/// not claim that it has not run, and a stream that has begun is ended.
#[parameterized(
    sent_before_the_signal = { None, "stopping" },
    // The time that its server was given ends before the gateway does.
    sent_late = { Some(LATE), "silent" },
)]
fn long_requests_are_answered_within_the_grace_time(after: Option<Duration>, cut_reason: &str) {
    let name = if after.is_some() { "late" } else { "early" };
    let mut fleet = start(name);
    let gateway = fleet.gateways[0].caller;
    let requests = long_requests(name);
    let (count, (opened, all_opened)) = (requests.len(), channel());
    let send_time = Arc::new(OnceLock::new());
    let at = Arc::clone(&send_time);
    let sent = std::thread::spawn(move || {
        block_on(send_at(gateway, opened, at, Duration::ZERO, requests))
    });
    // The connections are opened before the signal.
    for _ in 0..count {
        all_opened.recv_timeout(TIMEOUT).unwrap();
    }
    let opened_at = Instant::now();
    let signal_at = opened_at + SIGNAL_DELAY;
    let time = after.map_or(opened_at + SIGNAL_DELAY * 3 / 4, |after| signal_at + after);
    send_time.set(time).unwrap();
    std::thread::sleep(signal_at.saturating_duration_since(Instant::now()));
    let status = fleet.gateways[0].process.stop_within(GRACE_TIME);
    let outcomes = sent.join().unwrap();
    assert!(
        status.is_some_and(|status| status.success()),
        "killed: {outcomes:#?}"
    );
    let log = log(&fleet);
    for (id, answer) in outcomes {
        if id.ends_with(MIDWAY) {
            assert!(answer.is_err(), "{answer:?}");
            assert!(log.contains(&format!("id={id} outcome=cut reason={cut_reason} ")));
        } else {
            let answer = answer.unwrap_or_else(|error| panic!("{id}: {error}"));
            assert_eq!(answer.status, 504, "{id}: {answer:?}");
            assert_eq!(answer.headers["connection"], "close");
        }
    }
}

/// Guards against streams that are taken too late to end and cut in the middle (review/9, LOST): the
/// process notices its signal late, at its next look or after a pause.
#[parameterized(
    at_the_next_look = { Duration::ZERO },
    after_a_pause = { Duration::from_millis(400) },
)]
fn no_long_stream_is_taken_after_the_unready_time(pause: Duration) {
    let label = format!("crossing-{}", pause.as_millis());
    let mut fleet = start(&label);
    let gateway = fleet.gateways[0].caller;
    let requests = (0..CROSSING_REQUESTS).map(|index| {
        let id = format!("{label}-{index}");
        let mut message = generation("note", &id, 200).with_header("x-fault", MIDWAY);
        let time = HeaderValue::from(CALLER_TIME.as_millis() as u64);
        message.headers.insert("pomeloridge-deadline-ms", time);
        (id, message)
    });
    let requests: Vec<_> = requests.collect();
    let (opened, all_opened) = channel();
    let send_time = Arc::new(OnceLock::new());
    let at = Arc::clone(&send_time);
    let sending = send_at(gateway, opened, at, CROSSING_INTERVAL, requests);
    let sent = std::thread::spawn(move || block_on(sending));
    for _ in 0..CROSSING_REQUESTS {
        all_opened.recv_timeout(TIMEOUT).unwrap();
    }
    let process = &mut fleet.gateways[0].process;
    if !pause.is_zero() {
        process.pause();
    }
    process.stop();
    send_time.set(Instant::now() + REFUSAL).unwrap();
    std::thread::sleep(pause);
    process.resume();
    let outcomes = sent.join().unwrap();
    assert!(fleet.gateways[0].process.wait(GRACE_TIME).is_some());
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let received = history.as_array().unwrap().iter();
    let received: Vec<&str> = received
        .filter_map(|entry| entry["attempt"].as_str())
        .collect();
    for (id, answer) in outcomes {
        assert!(!received.contains(&id.as_str()), "{id} was sent on");
        // A connection that is closed first has not been read from.
        if let Ok(answer) = answer {
            assert_eq!(answer.status, 503, "{id}: {answer:?}");
            assert_eq!(answer.headers["connection"], "close");
        }
    }
}

/// Guards against sending on requests that arrive while a gateway closes and outlast its grace
/// time, and against refusing those that do not.
#[parameterized(
    that_may_last_longer = { 10_000, "503" },
    that_end_in_time = { 1000, "200" },
)]
fn requests_read_while_closing(time_ms: u64, status: &str) {
    let mut fleet = start(&format!("closing-{time_ms}"));
    let gateway = fleet.gateways[0].caller;
    let sent = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(gateway).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let head = format!(
            "POST /lodge/x HTTP/1.1\r\nhost: fleet.example\r\npomeloridge-attempt-id: half\r\n\
             pomeloridge-deadline-ms: {time_ms}\r\npomeloridge-key: {KEY}\r\n\
             content-length: 4\r\n\r\nbo"
        );
        stream.write_all(head.as_bytes()).unwrap();
        std::thread::sleep(CLOSING);
        stream.write_all(b"dy").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    });
    let ended = fleet.gateways[0].process.stop_within(GRACE_TIME);
    assert!(ended.is_some_and(|status| status.success()));
    let answer = sent.join().unwrap();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(answer.to_lowercase().contains("connection: close"));
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let mut received = history.as_array().unwrap().iter();
    let was_received = received.any(|entry| entry["attempt"] == "half");
    assert_eq!(was_received, status == "200");
}
