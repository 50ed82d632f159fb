//! Tests of the choice among the servers of a plain service. Each names the load that it answers.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, NodeLoad, PeerLoad, ReportedLoad, Stage,
    TargetInfo, TargetKey,
};
use yare::parameterized;

/// Nodes in front of the servers.
const NODES: u64 = 80;
const SLOTS: u32 = 6;
/// Usual time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Requests of one node in a test of shares.
const REQUESTS: u32 = 300;

fn server(number: usize, started_unix_ms: u64, data_centre: &str) -> TargetInfo {
    TargetInfo {
        id: Name::from(format!("s{number}")),
        started_unix_ms,
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        data_centre: Name::from(data_centre),
        service: Name::from("bookings"),
        version: Name::from("v1"),
        slots: SLOTS,
        kv_capacity: 0,
        stage: Stage::Unified,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

/// Returns a node in `a` and its servers in these data centres.
fn node(seed: u64, data_centres: &[&str]) -> (Dispatcher, Vec<TargetKey>) {
    let mut node = Dispatcher::new(Name::from("a"), EngineModel::default(), seed);
    node.expect_uneven_servers(true);
    let list = data_centres.iter().enumerate();
    let list = list.map(|(number, data_centre)| server(number, 1, data_centre));
    node.sync(list.collect());
    let keys = (0..data_centres.len()).map(|number| key(&node, number));
    let keys = keys.collect();
    (node, keys)
}

fn key(node: &Dispatcher, number: usize) -> TargetKey {
    let id = format!("s{number}");
    let mut targets = node.targets();
    let found = targets.find(|(_, target)| target.info.id.as_str() == id);
    found.unwrap().0
}

fn choose(node: &mut Dispatcher, now: Instant) -> TargetKey {
    let service = Name::from("bookings");
    let request = DispatchRequest {
        service: &service,
        prompt: None,
        tried: &[],
        allow_separate_prefill: false,
        version: None,
        needs: AnswerNeeds::default(),
    };
    node.choose(&request, now).unwrap().server
}

/// Returns the share of requests that a node sends to a server.
fn share(node: &mut Dispatcher, server: TargetKey, now: Instant) -> f64 {
    let chosen = (0..REQUESTS).filter(|_| choose(node, now) == server);
    chosen.count() as f64 / f64::from(REQUESTS)
}

/// Lets a server answer one request in a time.
fn answer(node: &mut Dispatcher, server: TargetKey, time: Duration, now: Instant) {
    let sent = node.begin(server, 0, None, now);
    node.record_prefill_done(sent, now + time);
    node.end(sent);
}

/// Sets the requests that a peer has in flight on each server.
fn set_running(node: &mut Dispatcher, running: &[u32], at: Instant) {
    let loads = running.iter().enumerate().map(|(number, running)| {
        let load = NodeLoad {
            running: *running,
            ..NodeLoad::default()
        };
        let hash = node.target(key(node, number)).unwrap().hash();
        (hash, PeerLoad { load, at })
    });
    let loads: Vec<_> = loads.collect();
    node.set_peer_loads(&Name::from("peer"), &loads);
}

fn report(slowdown: f64, at: Instant) -> ReportedLoad {
    ReportedLoad {
        running: 0,
        waiting: 0,
        slowdown: Some(slowdown),
        at,
    }
}

/// A quiet service: nothing crosses data centres while the own server has room.
#[test]
fn an_idle_server_nearby_takes_all() {
    let (mut node, keys) = node(1, &["a", "b", "c", "d"]);
    let now = Instant::now();
    set_running(&mut node, &[1, 0, 0, 0], now);
    assert!(share(&mut node, keys[0], now) > 0.99);
}

/// The own data centre's server has no free slot, and others have: no request waits there.
#[parameterized(
    one_other = { &["a", "b"] },
    two_others = { &["a", "b", "c"] },
    three_others = { &["a", "b", "c", "d"] },
    two_local = { &["a", "a", "b"] },
)]
fn no_request_waits_while_a_compared_server_is_free(data_centres: &[&str]) {
    let (mut node, keys) = node(2, data_centres);
    let now = Instant::now();
    let running: Vec<u32> = keys
        .iter()
        .map(|key| u32::from(*key == keys[0]) * SLOTS)
        .collect();
    set_running(&mut node, &running, now);
    assert!(share(&mut node, keys[0], now) < 0.01);
}

/// 80 nodes hear late that one of four servers is free again, while the others are full: most
/// requests go there, but not those of all nodes.
#[test]
fn nodes_do_not_rush_all_at_once_to_the_server_that_looks_free() {
    let now = Instant::now();
    let mut chosen = 0;
    for seed in 0..NODES {
        let (mut node, keys) = node(seed, &["a", "b", "c", "d"]);
        set_running(&mut node, &[SLOTS, SLOTS, SLOTS, 0], now);
        chosen += u64::from(choose(&mut node, now) == keys[3]);
    }
    assert!((NODES / 2..NODES * 4 / 5).contains(&chosen), "{chosen}");
}

/// Many servers, loads known late: the load that one gets is bounded, whatever it looks like.
#[test]
fn a_server_among_many_gets_a_bounded_share() {
    let now = Instant::now();
    let data_centres = ["a"; 10];
    let (mut node, keys) = node(3, &data_centres);
    let running = [0].into_iter().chain([SLOTS; 9]).collect::<Vec<_>>();
    set_running(&mut node, &running, now);
    let share = share(&mut node, keys[0], now);
    assert!((0.2..0.4).contains(&share), "{share}");
}

/// A neighbour on its VM slows a server for some hundred milliseconds, which it reports: fewer
/// requests go there, until the report is old.
#[test]
fn a_reported_slowdown_counts_while_it_is_new() {
    let (mut node, keys) = node(4, &["a", "a", "a"]);
    let now = Instant::now();
    node.record_load_report(keys[0], report(2.5, now));
    assert!(share(&mut node, keys[0], now) < 0.02);
    let later = now + Duration::from_secs(1);
    let later_share = share(&mut node, keys[0], later);
    assert!((0.2..0.45).contains(&later_share), "{later_share}");
}

/// One of three servers is twice as slow all the time: fewer requests go there. A new incarnation
/// starts as fast as the others.
#[test]
fn a_slow_server_is_learnt_and_forgotten_with_its_incarnation() {
    let (mut node, keys) = node(5, &["a", "a", "a"]);
    let now = Instant::now();
    for _ in 0..10 {
        answer(&mut node, keys[0], ANSWER_TIME * 2, now);
        answer(&mut node, keys[1], ANSWER_TIME, now);
        answer(&mut node, keys[2], ANSWER_TIME, now);
    }
    assert!(share(&mut node, keys[0], now) < 0.02);
    let list = (0..3).map(|number| server(number, if number == 0 { 2 } else { 1 }, "a"));
    node.sync(list.collect());
    let restarted = key(&node, 0);
    let share = share(&mut node, restarted, now);
    assert!((0.2..0.45).contains(&share), "{share}");
}

/// Work of one request in a hundred takes five times as long: that says little of the server.
#[test]
fn one_long_answer_bars_no_server() {
    let (mut node, keys) = node(6, &["a", "b", "c"]);
    let now = Instant::now();
    for _ in 0..20 {
        for key in &keys {
            answer(&mut node, *key, ANSWER_TIME, now);
        }
    }
    answer(&mut node, keys[0], ANSWER_TIME * 50, now);
    assert!(share(&mut node, keys[0], now) > 0.9);
}

/// A server that was slow and got no requests since is tried again.
#[test]
fn a_slow_server_is_tried_again() {
    let (mut node, keys) = node(7, &["a", "a", "a"]);
    let now = Instant::now();
    for _ in 0..10 {
        answer(&mut node, keys[0], ANSWER_TIME * 3, now);
        answer(&mut node, keys[1], ANSWER_TIME, now);
        answer(&mut node, keys[2], ANSWER_TIME, now);
    }
    assert!(share(&mut node, keys[0], now) < 0.02);
    let later = now + Duration::from_mins(2);
    for key in &keys[1..] {
        // The others are as busy as one request makes them.
        node.begin(*key, 0, None, later);
    }
    assert!(share(&mut node, keys[0], later) > 0.3);
}
