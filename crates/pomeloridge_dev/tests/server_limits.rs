//! Tests of the request rates that backend servers name as their limits, against gateways
//! as separate processes on a fake of the fleet's platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use monoio::time::sleep;
use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, Gateway, block_on, get_json, post_json};
use pomeloridge_fleet_standin::caller::{generation, is_not_run, is_ready, request, send_request};
use pomeloridge_fleet_standin::history::{Entry, LimitCounts, count_over_limits};
use serde_json::{Value, json};
use yare::parameterized;

const GATEWAYS: usize = 4;
/// Time after which every gateway has received a response that names the limit.
const TOLD_TIME: Duration = Duration::from_secs(1);
/// Time for which a limited server is watched.
const WATCHED_TIME: Duration = Duration::from_secs(6);
/// Pause between two requests of a caller; each gateway has one.
const PAUSE: Duration = Duration::from_millis(60);
/// Time within which a request is refused that no server can take.
const REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Window in which requests are counted, and the requests that a limit of 2.5 a second allows in
/// it, according to the users' documentation.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED: usize = 20;
/// Connections that the fake's servers take from all gateways together.
const CONNECTIONS: usize = 100;
/// Time without heartbeats after which a gateway no longer counts a peer as live.
const PEER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Requests that a limit of 1 a second allows in `TOLD_TIME * 2`, according to the users'
/// documentation.
const MAX_WITHIN_LIMIT: usize = 8;
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time after its start in which a gateway leaves limited servers to the others.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Time within which all gateways learn that a limit has changed, as the fleet asks a server with
/// a limit of 0 once in 2 s.
const LEARNING_TIME: Duration = Duration::from_secs(10);

/// Starts gateways and waits until they have been up for so long that they may send to limited
/// servers.
fn start(name: &str) -> Fleet {
    let fleet = Fleet::start(name, GATEWAYS).unwrap();
    wait_until_ready(&fleet);
    std::thread::sleep(SETTLING_TIME);
    fleet
}

fn wait_until_ready(fleet: &Fleet) {
    let end = Instant::now() + TIMEOUT;
    for gateway in &fleet.gateways {
        while !block_on(is_ready(gateway.ready)) {
            assert!(Instant::now() < end, "a gateway is not ready");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn set_limits(fleet: &Fleet, limits: &Value) {
    post_json(fleet.duties, "/-/limits", limits).unwrap();
}

fn history(fleet: &Fleet) -> Vec<Entry> {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let entries = history.as_array().unwrap().iter();
    entries.filter_map(Entry::decode).collect()
}

/// An answer and the time it took.
struct Answered {
    answer: Response,
    took: Duration,
}

/// Sends requests to every gateway for a time, and returns the answers.
fn send_for(
    fleet: &Fleet,
    time: Duration,
    message: impl Fn(usize) -> OutgoingRequest + Copy + 'static,
) -> Vec<Answered> {
    send_to(&fleet.gateways, time, message)
}

/// Sends requests to some gateways for a time, and returns the answers.
fn send_to(
    gateways: &[Gateway],
    time: Duration,
    message: impl Fn(usize) -> OutgoingRequest + Copy + 'static,
) -> Vec<Answered> {
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.caller).collect();
    block_on(async move {
        let end = Instant::now() + time;
        let callers = addresses.into_iter().enumerate();
        let callers = callers.map(|(index, gateway)| {
            monoio::spawn(async move {
                let mut sent = Vec::new();
                let mut number = index;
                while Instant::now() < end {
                    sent.push(monoio::spawn(answer(gateway, message(number))));
                    number += GATEWAYS;
                    sleep(PAUSE).await;
                }
                let mut answers = Vec::new();
                for answer in sent {
                    answers.push(answer.await);
                }
                answers
            })
        });
        let mut answers = Vec::new();
        for caller in callers.collect::<Vec<_>>() {
            answers.extend(caller.await);
        }
        answers
    })
}

async fn answer(gateway: SocketAddr, message: OutgoingRequest) -> Answered {
    let started = Instant::now();
    let (answer, _) = send_request(gateway, None, &message).await.unwrap();
    Answered {
        answer,
        took: started.elapsed(),
    }
}

fn read(number: usize) -> OutgoingRequest {
    request(Method::GET, "read", &format!("r{number}"))
}

fn long_stream(number: usize) -> OutgoingRequest {
    generation("ask", &format!("s{number}"), 12_000)
}

/// Returns the counts of the servers that got more requests than the limits that they named
/// allow, from `TOLD_TIME` after the naming.
fn over_limits(fleet: &Fleet) -> Vec<LimitCounts> {
    count_over_limits(&history(fleet), TOLD_TIME)
}

/// Guards against gateways that send a server, together, more than the rate that it named as its
/// limit for all of them (incident LIMIT).
#[parameterized(
    one_of_two_servers = { "read-one", json!({ "filings-0": "2.5" }), read },
    decode_engine = { "decode", json!({ "assistant-decode-0": "2.5" }), long_stream },
    prefill_engine = { "prefill", json!({ "assistant-prefill-0": "2.5" }), long_stream },
)]
fn gateways_share_the_limit_of_a_server(
    name: &str,
    limits: Value,
    message: fn(usize) -> OutgoingRequest,
) {
    let fleet = start(&format!("limit-{name}"));
    set_limits(&fleet, &limits);
    let answers = send_for(&fleet, WATCHED_TIME, message);
    assert_eq!(over_limits(&fleet), []);
    // The other servers take what the limited one does not.
    let failed = answers
        .iter()
        .filter(|answered| answered.answer.status != 200);
    assert_eq!(failed.count(), 0);
}

/// Guards against requests that wait for, or are sent to, servers that have all named a limit.
#[test]
fn requests_over_the_limits_of_all_servers_are_refused_at_once() {
    let fleet = start("limit-all");
    set_limits(&fleet, &json!({ "filings-0": "2.5", "filings-1": "0" }));
    let answers = send_for(&fleet, WATCHED_TIME, read);
    assert_eq!(over_limits(&fleet), []);
    let served = answers
        .iter()
        .filter(|answered| answered.answer.status == 200);
    assert!(served.count() > 8, "the limit allows more");
    let refused = answers
        .iter()
        .filter(|answered| answered.answer.status != 200);
    for Answered { answer, took } in refused {
        assert!(is_not_run(answer), "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        assert!(*took < REFUSAL_TIME, "{took:?}");
    }
}

/// Guards against gateways that forget a limit with their process, and use the server freely.
#[test]
fn a_restarted_gateway_keeps_to_a_known_limit() {
    let mut fleet = start("limit-restart");
    set_limits(&fleet, &json!({ "filings-0": "2.5" }));
    send_for(&fleet, TOLD_TIME, read);
    for gateway in 0..GATEWAYS {
        fleet.gateways[gateway].process.kill();
        fleet.restart(gateway).unwrap();
        wait_until_ready(&fleet);
        send_for(&fleet, TOLD_TIME, read);
    }
    assert_eq!(over_limits(&fleet), []);
}

/// Guards against a gateway that hears nothing of its peers and uses their part of a limit.
#[test]
fn a_gateway_cut_from_its_peers_leaves_them_their_part() {
    let fleet = start("limit-cut");
    set_limits(&fleet, &json!({ "filings-0": "2.5" }));
    send_for(&fleet, TOLD_TIME, read);
    // Paused peers are as silent as those that a cut separates.
    for peer in &fleet.gateways[1..] {
        peer.process.pause();
    }
    std::thread::sleep(PEER_TIMEOUT);
    let before = arrivals(&fleet, "filings-0");
    send_to(&fleet.gateways[..1], WINDOW, read);
    let arrived = arrivals(&fleet, "filings-0") - before;
    assert!(arrived <= ALLOWED / GATEWAYS, "{arrived}");
}

/// Guards against servers that stay unused after the end of their limit, at gateways that have
/// no part of it, or for a malformed limit.
#[parameterized(
    ended = { "ended", json!({ "filings-0": "1" }), json!({ "filings-0": null }) },
    raised = { "raised", json!({ "filings-0": "0" }), json!({ "filings-0": "10000" }) },
    malformed = { "malformed", json!({ "filings-0": "few" }), json!({}) },
)]
fn a_server_without_a_limit_takes_its_part(name: &str, limits: Value, later: Value) {
    let fleet = start(&format!("limit-{name}"));
    set_limits(&fleet, &limits);
    send_for(&fleet, TOLD_TIME * 2, read);
    set_limits(&fleet, &later);
    send_for(&fleet, LEARNING_TIME, read);
    let before = arrivals(&fleet, "filings-0");
    let sent = send_for(&fleet, TOLD_TIME * 2, read).len();
    let arrived = arrivals(&fleet, "filings-0") - before;
    assert!(arrived > MAX_WITHIN_LIMIT, "{arrived} of {sent}");
}

/// Returns the number of calls that reached a server.
fn arrivals(fleet: &Fleet, name: &str) -> usize {
    let history = history(fleet);
    let arrivals = history
        .iter()
        .filter(|entry| matches!(entry, Entry::Arrived { server, .. } if server == name));
    arrivals.count()
}

/// Guards against gateways that each open as many connections to a server as it takes from all
/// of them together.
#[test]
fn gateways_share_the_connections_of_a_server() {
    let fleet = start("limit-connections");
    let gateway = fleet.gateways[0].caller;
    let started = Instant::now();
    let answers = block_on(async move {
        let calls = (0..CONNECTIONS).map(|number| {
            let late = request(Method::POST, "lodge", &format!("l{number}"));
            monoio::spawn(answer(gateway, late.with_header("x-fault", "late")))
        });
        let mut answers = Vec::new();
        for call in calls.collect::<Vec<_>>() {
            answers.push(call.await);
        }
        answers
    });
    for server in ["filings-0", "filings-1"] {
        let arrived = arrivals(&fleet, server);
        assert!(arrived <= CONNECTIONS / GATEWAYS, "{server}: {arrived}");
    }
    // The others are not kept waiting for a connection.
    assert!(started.elapsed() < TIMEOUT);
    let refused = answers.iter().filter(|call| call.answer.status == 503);
    let refused: Vec<&Answered> = refused.collect();
    assert!(refused.len() >= CONNECTIONS - 2 * (CONNECTIONS / GATEWAYS));
    for Answered { answer, took } in refused {
        assert!(is_not_run(answer), "{answer:?}");
        assert!(*took < REFUSAL_TIME, "{took:?}");
    }
}
