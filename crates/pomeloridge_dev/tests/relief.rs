//! Runs that move from a slow engine to another one, by a gateway as a separate process on a fake
//! of the fleet's platform.

use std::time::{Duration, Instant};

use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, get_json};
use pomeloridge_fleet_standin::caller::{event_ids, generation, is_ready, send_request};
use serde_json::Value;
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
    let end = Instant::now() + TIMEOUT;
    while !block_on(is_ready(ready)) {
        assert!(Instant::now() < end, "the gateway was not ready in time");
        std::thread::sleep(POLL_INTERVAL);
    }
    assert_eq!(
        event_ids(&send(&fleet, &long_generation("note", "warm"))),
        ALL_EVENTS
    );
    fleet
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
