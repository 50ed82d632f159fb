//! Incident ORDER: a stream holds events of one software version, over all tries of its caller.
//!
//! Gateways run as separate processes on a fake of the fleet's platform, whose servers write other
//! text at each version.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_dev::launch::{Fleet, RelayMode, block_on, get_json, post_json, put_json};
use pomeloridge_fleet_standin::caller::{generation, is_ready};
use pomeloridge_fleet_standin::history::Entry;
use pomeloridge_fleet_standin::operator::set_route;
use pomeloridge_fleet_standin::streams::{Counts, Stream, follow};
use serde_json::{Value, json};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a caller takes a stream up again, and the timeout of the route.
const CALLER_TIME: Duration = Duration::from_secs(9);
/// Tries of a caller that goes on until its time is over.
const MANY: usize = 100;
/// Longest time until a refusal of a stream that can't go on.
const MAX_REFUSAL_DELAY: Duration = Duration::from_secs(1);
/// Prompt that needs no separate prefill, and one with a separate prefill, in tokens.
const SHORT_PROMPT: u64 = 200;
const LONG_PROMPT: u64 = 12_000;
/// Streams at once; the servers have places for all.
const STREAMS: usize = 24;
/// Fault of a server that takes more than a second to write a stream.
const SLOW: &str = "slow-150";
/// Streams at once until each version has begun one: more than the servers of one have places for.
const PROBES: usize = 20;
/// Fault of a server that takes a while to write a stream.
const SLOWER: &str = "slow-30";
/// Streams in a row that begin at one version once no other is left.
const SOLE_PROBES: usize = 12;
/// Servers of the first version.
const OLD: [&str; 2] = ["assistant-decode-0", "assistant-decode-1"];
/// Servers of the second version.
const NEW: [&str; 2] = ["new-0", "new-1"];

/// Starts a fleet whose servers are of the version `v1`.
fn start(name: &str, gateways: usize, decode: usize) -> Fleet {
    let decode = decode.to_string();
    let args = ["--decode", &decode];
    let fleet = Fleet::start_with(&format!("versions-{name}"), gateways, &args).unwrap();
    let config = get_json(fleet.duties, "/-/config").unwrap();
    let timeout = json!(CALLER_TIME.as_millis() as u64);
    let config = set_route(&config, "ask", "timeoutMs", &timeout);
    post_json(fleet.duties, "/-/config", &config).unwrap();
    wait_until_ready(&fleet);
    fleet
}

/// Starts a fleet with two servers of each of two versions, and waits until all gateways begin
/// streams at both.
fn start_mixed(name: &str, gateways: usize) -> Fleet {
    let fleet = start(name, gateways, OLD.len());
    for server in NEW {
        add(&fleet, server, "decode", "v2");
    }
    wait_until_mixed(&fleet);
    fleet
}

fn order(fleet: &Fleet, path: &str, order: &Value) {
    post_json(fleet.duties, path, order).unwrap();
}

fn add(fleet: &Fleet, server: &str, stage: &str, version: &str) {
    let start =
        json!({ "server": server, "service": "assistant", "stage": stage, "version": version });
    order(fleet, "/-/start", &start);
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn wait_until_ready(fleet: &Fleet) {
    for gateway in &fleet.gateways {
        wait_until(|| block_on(is_ready(gateway.ready)));
    }
}

/// Waits until each gateway begins streams at both versions.
fn wait_until_mixed(fleet: &Fleet) {
    let mut number = 0;
    for gateway in callers(fleet) {
        wait_until(|| {
            number += 1;
            let label = format!("mixed{number}-");
            let streams = send(&label, PROBES, with_fault(SLOWER), move |_, _| gateway);
            let streams = streams.join().unwrap();
            let begun_at = |version| {
                let mut first = streams
                    .iter()
                    .filter_map(|stream| stream.versions().first().copied());
                first.any(|first| first == version)
            };
            begun_at("v1") && begun_at("v2")
        });
    }
}

/// Waits until a gateway begins streams at one version only.
fn wait_until_sole(gateway: SocketAddr, version: &str) {
    let mut number = 0;
    wait_until(|| {
        number += 1;
        (0..SOLE_PROBES).all(|probe| {
            let seen = probe_version(gateway, &format!("sole{number}-{probe}"));
            seen.as_deref() == Some(version)
        })
    });
}

/// Returns the version that begins a new stream; `None` if it does not begin.
fn probe_version(gateway: SocketAddr, name: &str) -> Option<String> {
    let probe = follow(name, |_| stream(""), |_| gateway, (1, CALLER_TIME));
    let probe = block_on(probe);
    let versions = probe.versions();
    versions.first().map(|version| (*version).to_owned())
}

fn stream(fault: &str) -> OutgoingRequest {
    generation("ask", "", SHORT_PROMPT).with_header("x-fault", fault)
}

/// Returns requests for streams; the first try of each meets a fault.
fn with_fault(fault: &'static str) -> impl Fn(usize) -> OutgoingRequest + Clone + Send {
    move |sent| stream(if sent == 0 { fault } else { "" })
}

/// Sends streams from callers on a separate thread. `request` gives the request of each try, and
/// `gateway` the gateway of each stream and try.
fn send(
    label: &str,
    count: usize,
    request: impl Fn(usize) -> OutgoingRequest + Clone + Send + 'static,
    gateway: impl Fn(usize, usize) -> SocketAddr + Clone + Send + 'static,
) -> JoinHandle<Vec<Stream>> {
    let label = label.to_owned();
    std::thread::spawn(move || {
        block_on(async move {
            let callers = (0..count).map(|number| {
                let name = format!("{label}{number}");
                let (request, gateway) = (request.clone(), gateway.clone());
                monoio::spawn(async move {
                    let gateway = |sent| gateway(number, sent);
                    follow(&name, request, gateway, (MANY, CALLER_TIME)).await
                })
            });
            let mut streams = Vec::new();
            for caller in callers.collect::<Vec<_>>() {
                streams.push(caller.await);
            }
            streams
        })
    })
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    let gateways = fleet.gateways.iter();
    gateways.map(|gateway| gateway.caller).collect()
}

fn history(fleet: &Fleet) -> Vec<Value> {
    let history = get_json(fleet.duties, "/-/history").unwrap();
    history.as_array().cloned().unwrap()
}

/// Waits until the first tries of streams have reached servers, and some events have come.
fn wait_until_begun(fleet: &Fleet, label: &str, count: usize) {
    let is_first = |entry: &Value, number: usize| {
        entry["path"].is_string() && entry["attempt"] == format!("{label}{number}-0")
    };
    wait_until(|| {
        let history = history(fleet);
        (0..count).all(|number| history.iter().any(|entry| is_first(entry, number)))
    });
    std::thread::sleep(Duration::from_millis(400));
}

/// Ends all gateways at once.
fn kill_all(fleet: &mut Fleet) {
    for gateway in &fleet.gateways {
        gateway.process.signal(libc::SIGKILL);
    }
    for gateway in &mut fleet.gateways {
        gateway.process.kill();
    }
}

fn restart_all(fleet: &mut Fleet) {
    for index in 0..fleet.gateways.len() {
        fleet.restart(index).unwrap();
    }
}

/// Checks that each stream holds events of one version without gap or repetition, that what was
/// refused as not run has not run, and that what can't go on was refused at once.
fn check(fleet: &Fleet, streams: &[Stream]) {
    let history = history(fleet);
    let entries: Vec<Entry> = history.iter().filter_map(Entry::decode).collect();
    let mut violations = Vec::new();
    for stream in streams {
        violations.extend(stream.violations());
        for refused in stream.tries.iter().filter(|sent| sent.is_not_run()) {
            let is_run = |entry: &Entry| matches!(entry, Entry::Sent { attempt, ran: true, .. } if *attempt == refused.attempt);
            if entries.iter().any(is_run) {
                violations.push(format!("refused as not run, but ran: {refused:?}"));
            }
            if refused.waited > MAX_REFUSAL_DELAY {
                violations.push(format!("refused late: {refused:?}"));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Checks that enough of the streams that were taken up again went on.
fn check_taken_up<'a>(streams: impl IntoIterator<Item = &'a Stream>, min: usize) {
    let counts = Counts::of(streams);
    assert!(counts.taken_up >= min, "{counts:?}");
    assert!(!counts.has_lost(), "{counts:?}");
}

/// Guards against a retry within one answer at a server of another version than the one that
/// began the stream.
#[parameterized(
    cut = { "cut" },
    cut_between_events = { "edge" },
    silent = { "pause-4-60000" },
    no_event_yet = { "head" },
)]
fn a_retry_within_an_answer_stays_at_its_version(fault: &'static str) {
    let fleet = start(&format!("retry-{fault}"), 1, 1);
    add(&fleet, NEW[0], "decode", "v2");
    wait_until_mixed(&fleet);
    let gateway = callers(&fleet)[0];
    let streams = send("r", 8, with_fault(fault), move |_, _| gateway)
        .join()
        .unwrap();
    check(&fleet, &streams);
}

/// Guards against a take-up at a server of another version, at the gateway that began the stream
/// and at another one.
#[parameterized(
    same_gateway = { 0 },
    other_gateway = { 1 },
)]
fn a_take_up_stays_at_its_version(next: usize) {
    let fleet = start_mixed(&format!("take-up-{next}"), 2);
    let gateways = callers(&fleet);
    // Both servers of the first try break off.
    let streams = send("t", STREAMS, with_fault("cut,cut"), move |_, sent| {
        gateways[next.min(sent)]
    });
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    check_taken_up(&streams, STREAMS / 2);
}

/// Guards against a take-up at a server of another version after the gateway that began the
/// stream was killed.
#[test]
fn a_take_up_from_a_killed_gateway_stays_at_its_version() {
    let mut fleet = start_mixed("killed", 2);
    let gateways = callers(&fleet);
    let streams = send("k", STREAMS, with_fault(SLOW), move |_, sent| {
        gateways[1.min(sent)]
    });
    wait_until_begun(&fleet, "k", STREAMS);
    fleet.gateways[0].process.kill();
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    check_taken_up(&streams, STREAMS / 2);
}

/// Guards against joined or lost streams after all gateways were killed at once with two versions
/// in service.
#[test]
fn streams_go_on_after_all_gateways_were_killed() {
    let mut fleet = start_mixed("all-killed", 3);
    let gateways = callers(&fleet);
    let streams = send("a", STREAMS, with_fault(SLOW), move |number, sent| {
        gateways[(number + sent) % 3]
    });
    wait_until_begun(&fleet, "a", STREAMS);
    kill_all(&mut fleet);
    restart_all(&mut fleet);
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    check_taken_up(&streams, STREAMS / 2);
}

/// Guards against joined streams after all gateways were killed at once, when the servers of one
/// version have just left: nothing in the list of servers tells that there was another version.
#[parameterized(
    draining = { true },
    removed = { false },
)]
fn streams_of_a_version_that_left_are_refused(listed: bool) {
    let mut fleet = start_mixed(&format!("left-{listed}"), 3);
    let gateways = callers(&fleet);
    let streams = send("l", STREAMS, with_fault(SLOW), move |number, sent| {
        gateways[(number + sent) % 3]
    });
    wait_until_begun(&fleet, "l", STREAMS);
    for server in OLD {
        let leave = json!({ "server": server, "listed": listed, "for_ms": 200 });
        order(&fleet, "/-/leave", &leave);
    }
    kill_all(&mut fleet);
    wait_until(|| {
        let servers = get_json(fleet.store, "/-/objects/servers").unwrap();
        let servers = servers["items"].as_array().unwrap();
        !servers
            .iter()
            .any(|server| OLD.iter().any(|old| server["metadata"]["name"] == *old))
    });
    restart_all(&mut fleet);
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    let (old, new): (Vec<&Stream>, Vec<&Stream>) = streams
        .iter()
        .filter(|stream| !stream.events.is_empty())
        .partition(|stream| stream.versions()[0] == "v1");
    assert!(!old.is_empty() && !new.is_empty(), "{streams:?}");
    let went_on = Counts::of(old.iter().copied()).went_on;
    assert_eq!(went_on, 0, "streams of servers that have left went on");
    check_taken_up(new.iter().copied(), 1);
    wait_until_sole(fleet.gateways[0].caller, "v2");
}

/// Guards against a guess where the caller does not name the attempt that began its stream.
#[test]
fn a_take_up_without_an_attempt_is_refused_while_two_versions_serve() {
    let fleet = start_mixed("unnamed", 1);
    let gateway = callers(&fleet)[0];
    let request = |_| stream("").with_header("last-event-id", "3");
    let sent = block_on(follow("u", request, |_| gateway, (1, CALLER_TIME)));
    assert_eq!(sent.tries[0].status, 503, "{sent:?}");
    assert!(sent.tries[0].waited < MAX_REFUSAL_DELAY, "{sent:?}");
    let reached = history(&fleet);
    assert!(!reached.iter().any(|entry| entry["attempt"] == "u-0"));
}

/// Guards against joined streams after a server restarted under its id with another version.
#[parameterized(
    another_of_its_version_is_left = { 1 },
    none_of_its_version_is_left = { 2 },
)]
fn a_server_restarted_with_another_version_gets_no_stream_of_the_first(restarted: usize) {
    let fleet = start(&format!("restarted-{restarted}"), 1, OLD.len());
    let gateway = callers(&fleet)[0];
    let streams = send("s", 12, with_fault(SLOW), move |_, _| gateway);
    wait_until_begun(&fleet, "s", 12);
    for server in &OLD[..restarted] {
        order(
            &fleet,
            "/-/restart",
            &json!({ "server": server, "version": "v2" }),
        );
    }
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    let complete = streams.iter().filter(|stream| stream.is_complete).count();
    if restarted == OLD.len() {
        assert_eq!(complete, 0, "{streams:?}");
    } else {
        assert!(complete >= streams.len() / 2, "{streams:?}");
    }
}

/// Guards against memory of a prompt that servers of another version have written: a separate
/// prefill, or parts that are fetched.
#[test]
fn memory_stays_at_its_version() {
    let fleet = start_mixed("memory", 1);
    let gateway = callers(&fleet)[0];
    let long = |_| generation("ask", "", LONG_PROMPT).with_header("x-fault", SLOWER);
    let streams = send("m", STREAMS, long, move |_, _| gateway);
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    let servers = get_json(fleet.store, "/-/objects/servers").unwrap();
    let servers = servers["items"].as_array().unwrap();
    let version_at = |address: &str| {
        let mut found = servers.iter().map(|server| &server["spec"]);
        found.find(|server| server["address"] == address).unwrap()["version"].clone()
    };
    let mut separate = 0;
    for entry in history(&fleet) {
        for source in [&entry["source"], &entry["fetch"]] {
            let Some(source) = source.as_str() else {
                continue;
            };
            let address = source.split('/').next().unwrap_or_default();
            assert_eq!(version_at(address), entry["version"], "{entry}");
            separate += 1;
        }
    }
    assert!(separate > 0, "no prompt was prefilled separately");
}

/// Guards against refusing streams of the only version while the gateway can't read the store.
#[test]
fn a_take_up_without_the_store_goes_on_if_there_is_one_version() {
    let fleet = start("storeless", 2, OLD.len());
    let gateways = callers(&fleet);
    fleet.gateways[1].store.set(RelayMode::Cut);
    let streams = send("o", 12, with_fault("cut,cut"), move |_, sent| {
        gateways[1.min(sent)]
    });
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    assert!(
        streams.iter().all(|stream| stream.is_complete),
        "{streams:?}"
    );
}

/// Time from the kill of a gateway after which no stream of it is continued.
const SETTLED: Duration = Duration::from_secs(13);
/// Grace time of a planned stop.
const GRACE_TIME: Duration = Duration::from_secs(8);

/// Guards against streams that nobody takes up, as a gateway that has ended never acknowledges the
/// versions that came after it. One that was killed just before may have begun any stream in a
/// moved slot (review/7, LOST).
#[parameterized(
    planned = { 1, true, Duration::ZERO },
    two_planned = { 2, true, Duration::ZERO },
    killed = { 1, false, SETTLED },
    killed_just_before = { 1, false, Duration::ZERO },
    two_killed_just_before = { 2, false, Duration::ZERO },
)]
fn streams_go_on_after_a_gateway_has_ended(ended: usize, is_planned: bool, second_kill: Duration) {
    let name = format!("ended-{ended}-{is_planned}-{}", second_kill.as_secs());
    let mut fleet = start(&name, ended + 2, OLD.len());
    let gateways = callers(&fleet);
    wait_until(|| {
        let listed = get_json(fleet.store, "/-/objects/pomeloridge-nodes").unwrap();
        let nodes = listed["items"].as_array().unwrap();
        nodes.len() == gateways.len()
            && nodes
                .iter()
                .all(|node| node["spec"]["versions"]["table"] == 1)
    });
    let streams = send("before", STREAMS, with_fault(""), {
        let gateways = gateways.clone();
        move |number, _| gateways[number % ended]
    });
    check(&fleet, &streams.join().unwrap());
    let ended_at = Instant::now();
    for gateway in &mut fleet.gateways[..ended] {
        if is_planned {
            gateway.process.stop();
        } else {
            gateway.process.kill();
        }
    }
    for gateway in fleet.gateways[..ended].iter_mut().filter(|_| is_planned) {
        assert!(gateway.process.stop_within(GRACE_TIME).is_some(), "killed");
    }
    for server in NEW {
        add(&fleet, server, "decode", "v2");
    }
    for server in OLD {
        let leave = json!({ "server": server, "listed": true, "for_ms": 200 });
        order(&fleet, "/-/leave", &leave);
    }
    wait_until_sole(gateways[ended], "v2");
    std::thread::sleep((ended_at + second_kill).saturating_duration_since(Instant::now()));
    let streams = send("e", STREAMS, with_fault(SLOW), move |_, sent| {
        gateways[ended + sent.min(1)]
    });
    wait_until_begun(&fleet, "e", STREAMS);
    fleet.gateways[ended].process.kill();
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    check_taken_up(&streams, STREAMS / 2);
}

/// Guards against streams that nobody takes up because those that knew them are killed together:
/// the gateway that began them and most of the others, one of which was killed just before.
#[test]
fn streams_go_on_after_several_gateways_are_killed_together() {
    const GATEWAYS: usize = 6;
    const BEGINNER: usize = 1;
    const LEFT: usize = 4;
    let mut fleet = start("together", GATEWAYS, OLD.len());
    let gateways = callers(&fleet);
    wait_until_sole(gateways[BEGINNER], "v1");
    fleet.gateways[0].process.kill();
    for server in NEW {
        add(&fleet, server, "decode", "v2");
    }
    for server in OLD {
        let leave = json!({ "server": server, "listed": true, "for_ms": 200 });
        order(&fleet, "/-/leave", &leave);
    }
    wait_until_sole(gateways[BEGINNER], "v2");
    let streams = send("g", STREAMS, with_fault(SLOW), move |number, sent| {
        if sent == 0 {
            gateways[BEGINNER]
        } else {
            gateways[LEFT + (number + sent) % (GATEWAYS - LEFT)]
        }
    });
    wait_until_begun(&fleet, "g", STREAMS);
    for gateway in &fleet.gateways[BEGINNER..LEFT] {
        gateway.process.signal(libc::SIGKILL);
    }
    let streams = streams.join().unwrap();
    check(&fleet, &streams);
    check_taken_up(&streams, STREAMS / 2);
}

/// Guards against take-ups at a gateway that stood still and is cut off while servers of a new
/// version joined: it would have them go on at the only version that it knows.
#[test]
fn a_gateway_that_is_out_of_step_refuses_take_ups() {
    const LAST: usize = 2;
    let mut fleet = start("out-of-step", LAST + 1, OLD.len());
    let gateways = callers(&fleet);
    wait_until_sole(gateways[LAST], "v1");
    // The others start again without knowing the address of the one that stands still.
    fleet.gateways[LAST].process.signal(libc::SIGSTOP);
    let name = format!("front-{LAST}");
    let key = format!("/-/objects/pomeloridge-nodes/{name}");
    let mut object = get_json(fleet.store, &key).unwrap()["spec"].clone();
    object["address"] = json!("127.0.0.1:9");
    let body = json!({ "metadata": { "name": name }, "spec": object });
    put_json(fleet.store, &key, &body).unwrap();
    for index in 0..LAST {
        fleet.gateways[index].process.kill();
        fleet.restart(index).unwrap();
    }
    for gateway in &fleet.gateways[..LAST] {
        wait_until(|| block_on(is_ready(gateway.ready)));
    }
    for server in NEW {
        add(&fleet, server, "decode", "v2");
    }
    let mut number = 0;
    wait_until(|| {
        number += 1;
        probe_version(gateways[0], &format!("new{number}")).as_deref() == Some("v2")
    });
    let streams = send("o", STREAMS, with_fault(SLOW), move |_, sent| {
        gateways[if sent == 0 { 0 } else { LAST }]
    });
    wait_until_begun(&fleet, "o", STREAMS);
    for index in 0..LAST {
        fleet.gateways[index].process.kill();
    }
    fleet.gateways[LAST].store.set(RelayMode::Silent);
    fleet.gateways[LAST].process.signal(libc::SIGCONT);
    let streams = streams.join().unwrap();
    let counts = Counts::of(&streams);
    assert!(counts.taken_up >= STREAMS / 2, "{counts:?}");
    check(&fleet, &streams);
}
