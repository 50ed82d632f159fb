//! Long prompts that gateways, as separate processes, tell one another as they send them.

use std::time::{Duration, Instant};

use pomeloridge_base::http::{OutgoingRequest, call};
use pomeloridge_dev::launch::{Fleet, block_on};
use pomeloridge_fleet_standin::caller::{generation, is_ready, send_request};

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Prompt that an engine reads for longer than a round of heartbeats, in tokens.
const LONG_PROMPT: u64 = 20_000;
const UNEVEN: &str = "[routing]\nservers = uneven\n";

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a counter of a gateway.
fn counter(fleet: &Fleet, gateway: usize, name: &str) -> u64 {
    let metrics = fleet.gateways[gateway].metrics;
    let page = block_on(async { call(metrics, &OutgoingRequest::get("/metrics"), TIMEOUT).await });
    let page = String::from_utf8(page.unwrap().body.to_vec()).unwrap();
    let line = page.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.unwrap_or_default().parse().unwrap_or_default()
}

/// Starts two gateways and sends a long prompt through the first one.
fn send_long_prompt(name: &str, settings: &str) -> Fleet {
    let fleet = Fleet::start_set(name, 2, &[], settings).unwrap();
    for gateway in &fleet.gateways {
        wait_until(|| block_on(is_ready(gateway.ready)));
    }
    let message = generation("ask", "long", LONG_PROMPT);
    let gateway = fleet.gateways[0].caller;
    let (answer, _) = block_on(async { send_request(gateway, None, &message).await }).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    fleet
}

#[test]
fn a_long_prompt_is_told_to_peers_where_servers_differ() {
    let fleet = send_long_prompt("told", UNEVEN);
    wait_until(|| counter(&fleet, 1, "pomeloridge_prompts_heard") > 0);
    assert!(counter(&fleet, 0, "pomeloridge_prompts_told") > 0);
}

#[test]
fn nothing_is_told_where_servers_are_alike() {
    let fleet = send_long_prompt("untold", "");
    assert_eq!(counter(&fleet, 0, "pomeloridge_prompts_told"), 0);
}
