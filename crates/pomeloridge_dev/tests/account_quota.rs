//! Tests of the allotments of client accounts, against gateways as separate processes on a fake
//! of the fleet's platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use monoio::time::sleep;
use pomeloridge_base::http::Response;
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json};
use pomeloridge_fleet_standin::caller::{is_not_run, is_ready, request, send_request};
use pomeloridge_fleet_standin::history::{Entry, most_in_window, runs_of};
use pomeloridge_fleet_standin::operator::set_allotment;
use serde_json::Value;

const GATEWAYS: usize = 4;
/// Account of the fake's callers.
const ACCOUNT: &str = "anna";
/// Requests a second and at once that the fleet may run for it.
const PER_SECOND: f64 = 20.0;
const BURST: f64 = 20.0;
/// Window and factor of the users' rule on allotments.
const WINDOW: Duration = Duration::from_secs(8);
const FACTOR: f64 = 1.1;
/// Pause between two requests of a caller; each gateway has one.
const PAUSE: Duration = Duration::from_millis(40);
const TIMEOUT: Duration = Duration::from_secs(20);
/// Least part of the allotment that callers get who ask for far more.
const MIN_USED: f64 = 0.8;

fn wait_until_ready(fleet: &Fleet) {
    let end = Instant::now() + TIMEOUT;
    for gateway in &fleet.gateways {
        while !block_on(is_ready(gateway.ready)) {
            assert!(Instant::now() < end, "a gateway is not ready");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn history(fleet: &Fleet) -> Vec<Entry> {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let entries = history.as_array().unwrap().iter();
    entries.filter_map(Entry::decode).collect()
}

/// Sends requests to every gateway for a time, and returns the answers.
fn send_for(fleet: &Fleet, time: Duration, phase: &'static str) -> Vec<Response> {
    let gateways = fleet.gateways.iter();
    let gateways: Vec<SocketAddr> = gateways.map(|gateway| gateway.caller).collect();
    block_on(async move {
        let end = Instant::now() + time;
        let mut sent = Vec::new();
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            for (index, gateway) in gateways.iter().copied().enumerate() {
                let attempt = format!("{phase}-{index}-{number}");
                let message = request(Method::GET, "read", &attempt);
                sent.push(monoio::spawn(async move {
                    send_request(gateway, None, &message).await.unwrap().0
                }));
            }
            sleep(PAUSE).await;
        }
        let mut answers = Vec::new();
        for answer in sent {
            answers.push(answer.await);
        }
        answers
    })
}

/// Guards against gateways that together run more of an account than its allotment, also after all
/// of them were lost, and against allotments that are not used.
#[test]
fn gateways_keep_to_an_allotment_together_also_after_the_loss_of_all() {
    let mut fleet = Fleet::start("account-quota", GATEWAYS).unwrap();
    wait_until_ready(&fleet);
    // New gateways grant nothing in the first window.
    std::thread::sleep(WINDOW);
    let config: Value = get_json(fleet.duties, "/-/config").unwrap();
    let config = set_allotment(&config, ACCOUNT, PER_SECOND, BURST);
    post_json(fleet.duties, "/-/config", &config).unwrap();
    std::thread::sleep(Duration::from_secs(2));
    let limited = runs_of(&history(&fleet), ACCOUNT).len();
    let mut answers = send_for(&fleet, WINDOW, "first");
    let used = runs_of(&history(&fleet), ACCOUNT).len() - limited;
    let owed = PER_SECOND * WINDOW.as_secs_f64() + BURST;
    assert!(used as f64 >= owed * MIN_USED, "{used} of {owed}");
    for gateway in &mut fleet.gateways {
        gateway.process.kill();
    }
    for gateway in 0..GATEWAYS {
        fleet.restart(gateway).unwrap();
    }
    wait_until_ready(&fleet);
    let before = runs_of(&history(&fleet), ACCOUNT).len();
    answers.extend(send_for(&fleet, WINDOW / 2, "second"));
    let runs = runs_of(&history(&fleet), ACCOUNT);
    let used = runs.len() - before;
    let owed = PER_SECOND * WINDOW.as_secs_f64() / 2.0;
    assert!(used as f64 >= owed * MIN_USED, "{used} of {owed}");
    let most = most_in_window(&runs, WINDOW);
    let allowed = (PER_SECOND * WINDOW.as_secs_f64() + BURST) * FACTOR;
    assert!(most as f64 <= allowed, "{most} of {allowed}");
    let refused = answers.iter().filter(|answer| answer.status != 200);
    for answer in refused {
        // Gateways that have just started grant nothing until they hear the majority.
        assert!([429, 503].contains(&answer.status.as_u16()), "{answer:?}");
        assert!(is_not_run(answer), "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    }
}
