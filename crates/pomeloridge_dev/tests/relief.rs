//! Runs that move from a slow engine to another one, by a gateway as a separate process on a fake
//! of the fleet's platform.

use std::time::{Duration, Instant};

use http::Method;
use monoio::time::sleep;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response, call};
use pomeloridge_dev::launch::{Fleet, block_on, get_json};
use pomeloridge_fleet_standin::caller::{event_ids, generation, is_ready, send_request};
use serde_json::{Value, json};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Prompt that needs no separate prefill, in tokens.
const SHORT_PROMPT: u64 = 200;
const ON: &str = "[relief]\nmoves = on\n";
/// Pauses of the first engine before each event; those that follow have none.
const SLOW: &str = "slow-250";
const ALL_EVENTS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

/// Starts a gateway with these settings, on engines that differ and can move runs.
fn start(name: &str, settings: &str) -> Fleet {
    let fleet = Fleet::start_set(&format!("relief-{name}"), 1, &["--moves"], settings).unwrap();
    let ready = fleet.gateways[0].ready;
    wait_until(|| block_on(is_ready(ready)));
    assert_eq!(
        event_ids(&send(&fleet, &long_generation("note", "warm"))),
        ALL_EVENTS
    );
    fleet
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a request whose answer is predicted to be longer than it is, so that a slow engine seems
/// to miss its deadline and does not.
fn long_generation(route: &str, attempt: &str) -> OutgoingRequest {
    let mut message = generation(route, attempt, SHORT_PROMPT);
    message.headers.remove("pomeloridge-token-counts");
    message.with_header("pomeloridge-token-counts", &format!("{SHORT_PROMPT},12"))
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

/// Returns the engines to which an attempt was sent, with the last event that the caller had.
fn runs(fleet: &Fleet, attempt: &str) -> Vec<(String, Option<String>)> {
    let of = |entry: &Value| entry["attempt"] == attempt && !entry["path"].is_null();
    let runs = history(fleet).into_iter().filter(of);
    let text = |value: &Value| value.as_str().map(str::to_owned);
    let run = |entry: Value| {
        let server = text(&entry["server"]).unwrap_or_default();
        (server, text(&entry["last_event"]))
    };
    runs.map(run).collect()
}

/// Returns the calls that moved an attempt: whether each stopped the run, and its status.
fn moves(fleet: &Fleet, attempt: &str) -> Vec<(bool, u64)> {
    let calls = history(fleet).into_iter();
    let calls = calls.filter(|entry| entry["moved"] == attempt);
    let call = |entry: Value| {
        let status = entry["status"].as_u64().unwrap_or_default();
        (entry["last"] == true, status)
    };
    calls.map(call).collect()
}

/// Guards against streams that lose or repeat events when their runs move, on routes that allow a
/// second run and on those that don't.
#[parameterized(
    resumable = { "ask" },
    not_resumable = { "note" },
)]
fn a_slow_run_moves_and_arrives_whole(route: &str) {
    let fleet = start(&format!("moves-{route}"), ON);
    let answer = send(
        &fleet,
        &long_generation(route, "m1").with_header("x-fault", SLOW),
    );
    assert_eq!(answer.status, 200);
    assert_eq!(event_ids(&answer), ALL_EVENTS);
    assert_eq!(moves(&fleet, "m1"), [(false, 200), (true, 200)]);
    let runs = runs(&fleet, "m1");
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_ne!(runs[0].0, runs[1].0);
    assert!(runs[1].1.is_some(), "{runs:?}");
}

/// Guards against streams that break off because an engine doesn't take their runs.
#[parameterized(
    copy_refused = { "copy", "refused", SLOW, &[(false, 503)], &[0] },
    no_room_at_the_stop = { "stop", "full", SLOW, &[(false, 200), (true, 503)], &[0, 1, 0] },
    not_continued = { "run", "", "slow-250,shed", &[(false, 200), (true, 200)], &[0, 1, 0] },
)]
fn a_refused_move_leaves_the_stream_whole(
    name: &str,
    move_fault: &str,
    faults: &str,
    calls: &[(bool, u64)],
    engines: &[usize],
) {
    let fleet = start(&format!("refused-{name}"), ON);
    let message = long_generation("note", "r1").with_header("x-fault", faults);
    let answer = send(&fleet, &message.with_header("x-move", move_fault));
    assert_eq!(answer.status, 200);
    assert_eq!(event_ids(&answer), ALL_EVENTS);
    assert_eq!(moves(&fleet, "r1"), calls);
    let runs = runs(&fleet, "r1");
    let is_first: Vec<_> = runs.iter().map(|run| run.0 == runs[0].0).collect();
    let expected: Vec<_> = engines.iter().map(|engine| *engine == 0).collect();
    assert_eq!(is_first, expected, "{runs:?}");
}

/// Guards against streams that end early because their engines are lost in the midst of a move.
#[test]
fn an_engine_that_crashes_during_a_copy_is_replaced() {
    let fleet = start("crash", ON);
    let message = long_generation("ask", "c1").with_header("x-fault", SLOW);
    let answer = send(&fleet, &message.with_header("x-move", "crash"));
    assert_eq!(answer.status, 200);
    assert_eq!(event_ids(&answer), ALL_EVENTS);
    let runs = runs(&fleet, "c1");
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_ne!(runs[0].0, runs[1].0);
}

/// Guards against the end of a stopped run that passes for that of the answer.
#[test]
fn a_stop_without_a_handle_is_no_end_of_a_stream() {
    let fleet = start("unnamed", ON);
    for engine in ["assistant-decode-0", "assistant-decode-1"] {
        let order = json!({ "server": engine, "condition": "unframed", "for_ms": 60_000 });
        let message = OutgoingRequest::new(Method::POST, "/-/condition").json(&order);
        assert_eq!(
            block_on(call(fleet.duties, &message, TIMEOUT))
                .unwrap()
                .status,
            200
        );
    }
    let message = long_generation("ask", "u1").with_header("x-fault", SLOW);
    let answer = send(&fleet, &message.with_header("x-move", "unnamed"));
    assert_eq!(moves(&fleet, "u1"), [(false, 200), (true, 200)]);
    assert_eq!(event_ids(&answer), ALL_EVENTS);
}

/// Returns whether an engine has been asked for a copy of an attempt.
async fn is_copying(fleet: &Fleet, attempt: &str) -> bool {
    let message = OutgoingRequest::get("/-/history");
    let answer = call(fleet.duties, &message, TIMEOUT).await.unwrap();
    let history: Value = serde_json::from_slice(&answer.body).unwrap();
    let mut entries = history.as_array().unwrap().iter();
    entries.any(|entry| entry["moved"] == attempt)
}

/// Guards against copies that occupy memory after their callers have left.
#[test]
fn the_copy_of_a_run_whose_caller_leaves_is_released() {
    let fleet = start("leaves", ON);
    let message = long_generation("note", "l1").with_header("x-fault", SLOW);
    let message = message.with_header("x-move", "late");
    block_on(async {
        let gateway = fleet.gateways[0].caller;
        let options = ConnectOptions::default();
        let mut connection = Connection::open(gateway, options).await.unwrap();
        let end = Instant::now() + TIMEOUT;
        connection.send(&message, end).await.unwrap();
        connection.read_head(end).await.unwrap();
        let mut text = Vec::new();
        while !String::from_utf8_lossy(&text).contains("id: 3\n") {
            text.extend(connection.read_chunk(end).await.unwrap().unwrap());
        }
        while !is_copying(&fleet, "l1").await {
            assert!(Instant::now() < end, "no copy was asked for");
            sleep(POLL_INTERVAL).await;
        }
    });
    let is_released = |entry: &Value| entry["released"] == "move-1";
    wait_until(|| history(&fleet).iter().any(is_released));
    assert_eq!(moves(&fleet, "l1"), [(false, 200)]);
}

/// Guards against moves that operators did not ask for.
#[test]
fn nothing_moves_by_default() {
    let fleet = start("off", "");
    let answer = send(
        &fleet,
        &long_generation("note", "o1").with_header("x-fault", SLOW),
    );
    assert_eq!(answer.status, 200);
    assert_eq!(event_ids(&answer), ALL_EVENTS);
    assert_eq!(moves(&fleet, "o1"), []);
    assert_eq!(runs(&fleet, "o1").len(), 1);
}
