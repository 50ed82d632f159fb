//! Tests of requests with a quarantined prompt part, against a gateway as a separate process on a
//! fake of the fleet's platform.

use std::time::{Duration, Instant};

use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_dev::launch::{Fleet, block_on, get_json};
use pomeloridge_fleet_standin::caller::{Crash, generation_with, is_ready, send_request};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SEND_PAUSE: Duration = Duration::from_millis(100);
/// Part that is quarantined; requests crash engines by their paths.
const PART: u64 = 0xc0;
/// Part of other requests.
const OTHER_PART: u64 = 0xc1;
/// Prompt that needs no separate prefill, in tokens.
const SHORT_PROMPT: u64 = 200;
/// Longest time from a trial that tells nothing to the next one: the first quarantine, and a turn.
const RETRIAL_TIME: Duration = Duration::from_secs(7);

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn start(name: &str, decode: &str) -> Fleet {
    let fleet = Fleet::start_with(name, 1, &["--decode", decode]).unwrap();
    let ready = fleet.gateways[0].ready;
    wait_until("the gateway is ready", || block_on(is_ready(ready)));
    fleet
}

fn message(attempt: &str, part: u64) -> OutgoingRequest {
    let body = format!("prompt of {attempt}");
    generation_with("ask", attempt, SHORT_PROMPT, &[part]).body(body)
}

fn is_served(fleet: &Fleet, message: &OutgoingRequest) -> bool {
    let answer = block_on(send_request(fleet.gateways[0].caller, None, message));
    answer.is_ok_and(|(answer, _)| answer.status == 200)
}

/// Crashes engines until the part is quarantined, and waits until one is back.
fn quarantine_part(fleet: &Fleet) {
    for number in 0.. {
        if !log_lines(fleet, "choice=bar").is_empty() {
            return;
        }
        let deadly = Crash::Run.apply(message(&format!("end{number}"), PART), "1");
        assert!(!is_served(fleet, &deadly));
        let mut checks = 0..;
        wait_until("an engine is back", || {
            let check = format!("check{number}-{}", checks.next().unwrap_or(0));
            is_served(fleet, &message(&check, OTHER_PART))
        });
    }
}

/// Returns the lines of the gateway's log that contain a text.
fn log_lines(fleet: &Fleet, text: &str) -> Vec<String> {
    let log = std::fs::read_to_string(fleet.folder.join("front-0.out")).unwrap();
    let lines = log.lines().filter(|line| line.contains(text));
    lines.map(str::to_owned).collect()
}

/// Returns the number of requests that engines received of attempts whose ids begin like this.
fn received(fleet: &Fleet, attempts: &str) -> usize {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let entries = history.as_array().unwrap().iter();
    let attempt = |entry: &Value| entry["attempt"].as_str().map(str::to_owned);
    let of = entries.filter_map(attempt);
    of.filter(|attempt| attempt.starts_with(attempts)).count()
}

/// Guards against barring a sound part for longer after a trial that the engine refused unread.
#[test]
fn a_trial_that_is_refused_unread_does_not_prolong_the_quarantine() {
    let fleet = start("trial-refused", "1");
    quarantine_part(&fleet);
    let mut trials = 0..;
    wait_until("a trial is refused", || {
        let trial = format!("trial{}", trials.next().unwrap_or(0));
        assert!(!is_served(
            &fleet,
            &message(&trial, PART).with_header("x-fault", "shed")
        ));
        std::thread::sleep(SEND_PAUSE);
        received(&fleet, "trial") > 0
    });
    let refused = Instant::now();
    let mut sound = 0..;
    wait_until("the part is served", || {
        std::thread::sleep(SEND_PAUSE);
        is_served(
            &fleet,
            &message(&format!("sound{}", sound.next().unwrap_or(0)), PART),
        )
    });
    let time = refused.elapsed();
    println!("served after {time:?}");
    assert!(time < RETRIAL_TIME, "{time:?}");
    assert_eq!(received(&fleet, "trial"), 1);
}
