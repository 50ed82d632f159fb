//! Tests of prompt parts that crash engines, against gateways as separate processes on a fake of
//! the fleet's platform. Requests with such a part are all different; sound ones share their
//! account and their other parts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json};
use pomeloridge_fleet_standin::caller::{DEADLY_PART, generation_with, is_ready, send_request};
use serde_json::{Value, json};
use yare::parameterized;

const GATEWAYS: usize = 4;
/// Time after a crash in which the fleet may still be learning of it, according to the users'
/// documentation.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which the count of further sends begins, and the sends that are allowed.
const COUNTED_CRASHES: usize = 5;
const MAX_LATE_SENDS: usize = 3;
/// Time for which requests are sent.
const SENDING_TIME: Duration = Duration::from_secs(10);
/// Pause between two requests with the deadly part, over all gateways.
const DEADLY_PAUSE: Duration = Duration::from_millis(120);
/// Pause between two sound requests, over all gateways.
const SOUND_PAUSE: Duration = Duration::from_millis(40);
/// Part of the sound requests that must be served once the deadly part is known.
const MIN_SERVED: f64 = 0.95;
/// Parts that sound requests and those with the deadly part share.
const OTHER_PARTS: [u64; 3] = [0xb0, 0xb1, 0xb2];
/// Prompts of this many tokens are read apart.
const LONG_PROMPT: u64 = 12_000;
const SHORT_PROMPT: u64 = 200;
/// Time without heartbeats after which a gateway no longer counts a peer as live.
const PEER_TIMEOUT: Duration = Duration::from_millis(3500);
const TIMEOUT: Duration = Duration::from_secs(20);

fn start(name: &str) -> Fleet {
    let arguments = ["--decode", "12", "--prefill", "2"];
    let fleet = Fleet::start_with(name, GATEWAYS, &arguments).unwrap();
    wait_until_ready(&fleet);
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

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    let gateways = fleet.gateways.iter();
    gateways.map(|gateway| gateway.caller).collect()
}

fn other_part(number: usize) -> u64 {
    OTHER_PARTS[number % OTHER_PARTS.len()]
}

fn deadly(series: &str, number: usize, tokens: u64) -> OutgoingRequest {
    let parts = [other_part(number), DEADLY_PART];
    let body = format!("deadly prompt {series}{number}");
    generation_with("ask", &format!("dead-{series}{number}"), tokens, &parts).body(body)
}

fn sound(series: &str, number: usize, tokens: u64) -> OutgoingRequest {
    let parts = [other_part(number)];
    let body = format!("sound prompt {series}{number}");
    generation_with("ask", &format!("sound-{series}{number}"), tokens, &parts).body(body)
}

/// A sound request's start, and whether it was served.
#[derive(Clone, Copy, Debug)]
struct Sound {
    sent_at: Instant,
    served: bool,
}

/// Sends deadly and sound requests to gateways in turn for a time.
fn send_both(
    gateways: &[SocketAddr],
    series: &'static str,
    tokens: u64,
    time: Duration,
) -> Vec<Sound> {
    let gateways = gateways.to_vec();
    block_on(async move {
        let end = Instant::now() + time;
        let deadly_gateways = gateways.clone();
        let deadly_sender = monoio::spawn(async move {
            let mut sent = Vec::new();
            for (number, gateway) in (0..).zip(deadly_gateways.iter().cycle()) {
                if Instant::now() >= end {
                    break;
                }
                sent.push(monoio::spawn(is_served(
                    *gateway,
                    deadly(series, number, tokens),
                )));
                sleep(DEADLY_PAUSE).await;
            }
            for request in sent {
                assert!(!request.await, "a request with the deadly part was served");
            }
        });
        let mut sent = Vec::new();
        for (number, gateway) in (0..).zip(gateways.iter().cycle()) {
            if Instant::now() >= end {
                break;
            }
            let request = monoio::spawn(is_served(*gateway, sound(series, number, tokens)));
            sent.push((Instant::now(), request));
            sleep(SOUND_PAUSE).await;
        }
        deadly_sender.await;
        let mut answered = Vec::new();
        for (sent_at, request) in sent {
            let served = request.await;
            answered.push(Sound { sent_at, served });
        }
        answered
    })
}

async fn is_served(gateway: SocketAddr, message: OutgoingRequest) -> bool {
    let answer = send_request(gateway, None, &message).await;
    answer.is_ok_and(|(answer, _)| answer.status == 200)
}

/// What the engines saw of the requests with the deadly part.
#[derive(Debug)]
struct Damage {
    /// Times of the crashes, from the fake's start.
    crashes: Vec<Duration>,
    /// Sends to engines, prefills included, that came too late.
    late_sends: usize,
}

fn damage(fleet: &Fleet) -> Damage {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let entries = history.as_array().unwrap();
    let times = |name: &str, time: &str| -> Vec<Duration> {
        let is_deadly = |entry: &&Value| {
            let attempt = entry[name].as_str().unwrap_or_default();
            attempt.starts_with("dead-")
        };
        let of = entries.iter().filter(is_deadly);
        let times = of.filter_map(|entry| entry[time].as_u64());
        times.map(Duration::from_millis).collect()
    };
    let crashes = times("ended_attempt", "ended_at");
    let counted = crashes.get(COUNTED_CRASHES - 1);
    let counted_from = counted.map_or(Duration::MAX, |fifth| *fifth + CONTACT_TIME);
    let sends = times("attempt", "at");
    let late_sends = sends.iter().filter(|at| **at > counted_from).count();
    Damage {
        crashes,
        late_sends,
    }
}

fn assert_barred(fleet: &Fleet) {
    let damage = damage(fleet);
    println!("{damage:?}");
    assert!(damage.crashes.len() >= 3, "{damage:?}");
    assert!(damage.late_sends <= MAX_LATE_SENDS, "{damage:?}");
}

/// Checks that sound requests are served from some time after `start`.
fn assert_served(sound: &[Sound], start: Instant) {
    let counted = sound.iter().filter(|sound| sound.sent_at >= start);
    let counted: Vec<&Sound> = counted.collect();
    let served = counted.iter().filter(|sound| sound.served).count();
    println!("{served} of {} sound requests were served", counted.len());
    assert!(counted.len() >= 20);
    assert!(served as f64 >= MIN_SERVED * counted.len() as f64);
}

/// Guards against requests with one part that crash engine after engine, as each of them is new
/// (incident BUDGET).
#[parameterized(
    run = { "run", SHORT_PROMPT },
    run_after_prefill = { "prefill", LONG_PROMPT },
)]
fn a_deadly_part_is_no_longer_sent(name: &str, tokens: u64) {
    let fleet = start(&format!("tainted-{name}"));
    let started = Instant::now();
    let sound = send_both(&callers(&fleet), "s", tokens, SENDING_TIME);
    assert_barred(&fleet);
    assert_served(&sound, started + CONTACT_TIME);
}

/// Guards against barring what is new to all gateways along with the deadly part.
#[test]
fn a_burst_of_crashes_bars_only_the_deadly_part() {
    let fleet = start("tainted-burst");
    let gateways = callers(&fleet);
    block_on(async {
        let burst = (0..2 * GATEWAYS).map(|number| {
            let message = deadly("b", number, SHORT_PROMPT);
            monoio::spawn(is_served(gateways[number % GATEWAYS], message))
        });
        for request in burst.collect::<Vec<_>>() {
            request.await;
        }
    });
    let started = Instant::now();
    let sound = send_both(&gateways, "s", SHORT_PROMPT, SENDING_TIME);
    assert_barred(&fleet);
    assert_served(&sound, started + CONTACT_TIME);
}

/// Guards against losing the bar when one gateway or the whole fleet restarts.
#[parameterized(
    one = { "one", 1 },
    all = { "all", GATEWAYS },
)]
fn the_bar_of_a_part_survives_restarts(name: &str, restarted: usize) {
    let mut fleet = start(&format!("tainted-restart-{name}"));
    send_both(&callers(&fleet), "s", SHORT_PROMPT, CONTACT_TIME * 2);
    for index in 0..restarted {
        fleet.gateways[index].process.kill();
    }
    for index in 0..restarted {
        fleet.restart(index).unwrap();
    }
    wait_until_ready(&fleet);
    let started = Instant::now();
    let gateways = callers(&fleet);
    let sound = send_both(&gateways[..restarted], "r", SHORT_PROMPT, CONTACT_TIME * 2);
    assert_barred(&fleet);
    assert_served(&sound, started);
}

/// Returns whether every gateway's object holds a quarantined part.
fn bar_is_stored(fleet: &Fleet) -> bool {
    let Ok(listed) = get_json(fleet.store, "/-/objects/pomeloridge-nodes") else {
        return false;
    };
    let nodes = listed["items"].as_array().into_iter().flatten();
    let holds = |node: &&Value| {
        let crashes = node["spec"]["barred_parts"].as_array();
        crashes.is_some_and(|crashes| !crashes.is_empty())
    };
    nodes.filter(holds).count() == GATEWAYS
}

/// Guards against a bar that a restart of all gateways would end, as the store is back from a copy
/// without it.
#[test]
fn the_bar_of_a_part_is_written_again_after_a_restore() {
    let fleet = start("tainted-restore");
    let started = Instant::now();
    send_both(&callers(&fleet), "s", SHORT_PROMPT, CONTACT_TIME * 2);
    let wait_until_stored = || {
        let end = Instant::now() + TIMEOUT;
        while !bar_is_stored(&fleet) {
            assert!(Instant::now() < end, "the bar is not stored");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    wait_until_stored();
    let age = started.elapsed().as_millis() as u64;
    let plan = json!({ "age_ms": age, "away_ms": 300, "rewrite_ms": 100 });
    post_json(fleet.duties, "/-/restore", &plan).unwrap();
    let end = Instant::now() + TIMEOUT;
    while bar_is_stored(&fleet) {
        assert!(Instant::now() < end, "the store is not restored");
    }
    wait_until_stored();
}

/// Guards against a gateway that goes on alone with a deadly part: one that hears no peer, or one
/// that was paused while the others barred the part.
#[parameterized(
    cut_off = { "cut-off", true },
    told_late = { "told-late", false },
)]
fn a_separate_gateway_keeps_to_the_bar(name: &str, is_alone: bool) {
    let fleet = start(&format!("tainted-{name}"));
    let gateways = callers(&fleet);
    // Paused peers are as silent as those that a cut separates.
    let (paused, running) = if is_alone {
        (1..GATEWAYS, 0..1)
    } else {
        (0..1, 1..GATEWAYS)
    };
    for peer in &fleet.gateways[paused] {
        peer.process.pause();
    }
    std::thread::sleep(PEER_TIMEOUT);
    let started = Instant::now();
    let sound = send_both(&gateways[running], "s", SHORT_PROMPT, SENDING_TIME);
    assert_served(&sound, started + CONTACT_TIME);
    if !is_alone {
        fleet.gateways[0].process.resume();
        wait_until_ready(&fleet);
        let started = Instant::now();
        let sound = send_both(&gateways[..1], "t", SHORT_PROMPT, CONTACT_TIME * 2);
        assert_served(&sound, started + CONTACT_TIME / 3);
    }
    assert_barred(&fleet);
}
