//! Tests of requests with a quarantined prompt part, against a gateway as a separate process on a
//! fake of the fleet's platform.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json, request};
use pomeloridge_fleet_standin::caller::{
    Crash, event_ids, generation_with, is_ready, send_request,
};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SEND_PAUSE: Duration = Duration::from_millis(100);
const ALL_EVENTS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
/// Requests that make room for some retries in the budget.
const EARLIER: usize = 40;
/// Engines to which connections fail, so many that it takes longer than [`TRIAL_TIME`].
const ENGINES: usize = 10;
/// Difference of the start times of consecutive starts of an engine.
const BORN_STEP_MS: u64 = 1000;
/// Part that is quarantined; requests crash engines by their paths.
const PART: u64 = 0xc0;
/// Part of other requests.
const OTHER_PART: u64 = 0xc1;
/// Prompt that needs no separate prefill, in tokens.
const SHORT_PROMPT: u64 = 200;
/// Turns in which a node may send a trial, and the time from their start in which it may.
const TURN: Duration = Duration::from_secs(4);
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Margin for the difference of clocks.
const MARGIN: Duration = Duration::from_millis(100);
/// Connections that fill a listener's queue.
const MAX_QUEUED: usize = 10_000;
/// Longest time from a trial that tells nothing to the next one: the first quarantine, and a turn.
const RETRIAL_TIME: Duration = Duration::from_secs(7);

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not in time: {what}");
        sleep(POLL_INTERVAL);
    }
}

fn start(name: &str, gateways: usize, engines: usize) -> Fleet {
    let arguments = ["--decode", &engines.to_string()];
    let fleet = Fleet::start_with(name, gateways, &arguments).unwrap();
    for gateway in &fleet.gateways {
        wait_until("a gateway is ready", || block_on(is_ready(gateway.ready)));
    }
    fleet
}

fn message(attempt: &str, part: u64) -> OutgoingRequest {
    let body = format!("prompt of {attempt}");
    generation_with("ask", attempt, SHORT_PROMPT, &[part]).body(body)
}

fn is_served(gateway: SocketAddr, message: &OutgoingRequest) -> bool {
    let answer = block_on(send_request(gateway, None, message));
    answer.is_ok_and(|(answer, _)| answer.status == 200)
}

/// Crashes engines until the part is quarantined, and waits until one is back.
fn quarantine_part(fleet: &Fleet) {
    let caller = fleet.gateways[0].caller;
    for number in 0.. {
        if !log_lines(fleet, "choice=bar").is_empty() {
            return;
        }
        let deadly = Crash::Run.apply(message(&format!("end{number}"), PART), "1");
        assert!(!is_served(caller, &deadly));
        let mut checks = 0..;
        wait_until("an engine is back", || {
            let check = format!("check{number}-{}", checks.next().unwrap_or(0));
            is_served(caller, &message(&check, OTHER_PART))
        });
    }
}

/// Returns the lines of the gateway's log that contain a text.
fn log_lines(fleet: &Fleet, text: &str) -> Vec<String> {
    let log = std::fs::read_to_string(fleet.folder.join("front-0.out")).unwrap();
    let lines = log.lines().filter(|line| line.contains(text));
    lines.map(str::to_owned).collect()
}

fn history(fleet: &Fleet) -> Vec<Value> {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    history.as_array().unwrap().clone()
}

/// Returns the number of requests that engines received of attempts whose ids begin like this.
fn received(fleet: &Fleet, attempts: &str) -> usize {
    let is_of = |entry: &Value| {
        let attempt = entry["attempt"].as_str();
        attempt.is_some_and(|attempt| attempt.starts_with(attempts))
    };
    history(fleet).into_iter().filter(is_of).count()
}

/// Guards against barring a sound part for longer after a trial that the engine refused unread.
#[test]
fn a_trial_that_is_refused_unread_does_not_prolong_the_quarantine() {
    let fleet = start("trial-refused", 1, 1);
    let caller = fleet.gateways[0].caller;
    quarantine_part(&fleet);
    let mut trials = 0..;
    wait_until("a trial is refused", || {
        let trial = format!("trial{}", trials.next().unwrap_or(0));
        assert!(!is_served(
            caller,
            &message(&trial, PART).with_header("x-fault", "shed")
        ));
        sleep(SEND_PAUSE);
        received(&fleet, "trial") > 0
    });
    let refused = Instant::now();
    let mut sound = 0..;
    wait_until("the part is served", || {
        sleep(SEND_PAUSE);
        is_served(
            caller,
            &message(&format!("sound{}", sound.next().unwrap_or(0)), PART),
        )
    });
    let time = refused.elapsed();
    println!("served after {time:?}");
    assert!(time < RETRIAL_TIME, "{time:?}");
    assert_eq!(received(&fleet, "trial"), 1);
}

/// Returns a listener to which no connection can be opened until some are accepted, with those
/// that wait.
fn start_full_listener() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.3:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(connection) = TcpStream::connect_timeout(&address, POLL_INTERVAL) {
        queued.push(connection);
        assert!(queued.len() < MAX_QUEUED, "the queue has no end");
    }
    (listener, queued)
}

/// Lists an engine at another address.
fn move_engine(fleet: &Fleet, engine: &str, address: SocketAddr) {
    let entry: Value = get_json(fleet.store, &format!("/-/objects/servers/{engine}")).unwrap();
    let mut spec = entry["spec"].clone();
    spec["address"] = json!(address.to_string());
    post_json(fleet.duties, &format!("/-/entry/{engine}"), &spec).unwrap();
}

/// Lets an engine refuse further requests while the test lasts.
fn set_refusing(fleet: &Fleet, engine: &Value) {
    let order = json!({ "server": engine, "condition": "refusing", "for_ms": 10_000 });
    let order = OutgoingRequest::new(Method::POST, "/-/condition").body(order.to_string());
    assert_eq!(request(fleet.duties, &order).unwrap().status, 200);
}

/// Returns the time since the start of the current turn.
fn turn_age() -> Duration {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Duration::from_millis((unix.as_millis() % TURN.as_millis()) as u64)
}

/// Accepts what waits at a listener, and returns what is written on these connections.
fn read_while(listener: &TcpListener, condition: impl Fn() -> bool) -> String {
    listener.set_nonblocking(true).unwrap();
    let (mut connections, mut read) = (Vec::new(), Vec::new());
    while condition() {
        while let Ok((connection, _)) = listener.accept() {
            connection.set_nonblocking(true).unwrap();
            connections.push(connection);
        }
        for connection in &mut connections {
            let mut buffer = [0; 4096];
            while let Ok(count @ 1..) = connection.read(&mut buffer) {
                read.extend_from_slice(&buffer[..count]);
            }
        }
        sleep(POLL_INTERVAL);
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// Returns the number of starts of all engines.
fn engine_starts(fleet: &Fleet) -> u64 {
    let listed: Value = get_json(fleet.store, "/-/objects/servers").unwrap();
    let engines = listed["items"].as_array().into_iter().flatten();
    let engines = engines.filter(|engine| engine["spec"]["stage"] == "decode");
    engines
        .filter_map(|engine| engine["spec"]["born"].as_u64())
        .sum::<u64>()
        / BORN_STEP_MS
}

/// Guards against more trials than one a turn: a request whose connections fail until the turn is
/// over must not be sent when another node may start a trial.
#[test]
fn a_trial_is_not_sent_after_its_turn() {
    let fleet = start("trial-late", 1, ENGINES);
    let starts = engine_starts(&fleet);
    quarantine_part(&fleet);
    wait_until("the engines are back", || {
        let ended = history(&fleet).into_iter();
        let ended = ended.filter(|entry| !entry["ended_at"].is_null()).count();
        engine_starts(&fleet) == starts + ended as u64
    });
    let (listener, queued) = start_full_listener();
    for number in 0..ENGINES {
        let engine = format!("assistant-decode-{number}");
        move_engine(&fleet, &engine, listener.local_addr().unwrap());
    }
    let caller = fleet.gateways[0].caller;
    let sender = std::thread::spawn(move || {
        let end = Instant::now() + TURN * 2;
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let trial = message(&format!("late{number}"), PART);
            let answer = block_on(send_request(caller, None, &trial));
            println!(
                "late{number}: {:?}",
                answer.map(|(answer, _)| answer.status)
            );
            sleep(SEND_PAUSE);
        }
    });
    wait_until("a trial connects", || {
        let lines = log_lines(&fleet, "id=late");
        lines.iter().any(|line| line.contains("choice=send"))
    });
    while turn_age() < TRIAL_TIME + MARGIN {
        sleep(POLL_INTERVAL);
    }
    // The connections that wait are accepted, so that the next one is opened.
    let written = read_while(&listener, || {
        (TRIAL_TIME..TURN.saturating_sub(MARGIN)).contains(&turn_age())
    });
    drop(queued);
    sender.join().unwrap();
    for line in log_lines(&fleet, "id=late") {
        println!("{line}");
    }
    // Engines that are ejected are asked whether they are back.
    assert!(!written.contains("late"), "{written}");
}

/// Guards against giving up a stream of a sound server that is silent for a second or so, while
/// its prompt is quarantined: no other server may go on with it.
#[test]
fn a_silent_server_keeps_a_begun_stream_that_is_quarantined() {
    let fleet = start("silent-quarantined", 2, ENGINES);
    let (caller, other) = (fleet.gateways[0].caller, fleet.gateways[1].caller);
    // Retries are a share of the requests.
    for number in 0..EARLIER {
        let early = message(&format!("early{number}"), OTHER_PART);
        assert!(is_served(caller, &early));
    }
    let deadly = |number| Crash::Run.apply(message(&format!("end{number}"), PART), "1");
    assert!(!is_served(other, &deadly(0)));
    assert!(log_lines(&fleet, "choice=bar").is_empty());
    let stream = message("stream", PART).with_header("x-fault", "pause-4-2600");
    let stream = std::thread::spawn(move || {
        let answer = block_on(send_request(caller, None, &stream));
        answer.map(|(answer, _)| answer)
    });
    wait_until("the stream begins", || received(&fleet, "stream") > 0);
    // The requests that crash engines are not to reach the one of the stream.
    let entries = history(&fleet).into_iter();
    let mut entries = entries.filter(|entry| entry["attempt"] == "stream");
    let engine = entries.next().unwrap()["server"].clone();
    set_refusing(&fleet, &engine);
    let mut numbers = 1..;
    wait_until("the part is quarantined", || {
        assert!(!is_served(other, &deadly(numbers.next().unwrap_or(0))));
        !log_lines(&fleet, "choice=bar").is_empty()
    });
    let answer = stream.join().unwrap();
    println!("{}", log_lines(&fleet, "id=stream").join("\n"));
    assert_eq!(event_ids(&answer.unwrap()), ALL_EVENTS);
    assert_eq!(received(&fleet, "stream"), 1);
    wait_until("the log shows the wait", || {
        let lines = log_lines(&fleet, "id=stream");
        let is_wait =
            |line: &String| line.contains("choice=wait") && line.contains("by=quarantine");
        lines.iter().any(is_wait)
    });
}
