//! Tests of a gateway whose process is paused while servers work on its requests, on a fake of the
//! fleet's platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, get_json};
use pomeloridge_fleet_standin::caller::{event_ids, generation, is_ready, request, send_request};
use serde_json::Value;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const REQUESTS: usize = 8;
/// Prompt that needs no separate prefill, in tokens.
const SHORT_PROMPT: u64 = 200;
const ALL_EVENTS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

#[derive(Clone, Copy)]
enum Kind {
    Call,
    Stream,
}

impl Kind {
    fn message(self, id: &str, fault: &str) -> OutgoingRequest {
        let message = match self {
            Self::Call => request(Method::GET, "read", id),
            Self::Stream => generation("ask", id, SHORT_PROMPT),
        };
        message.with_header("x-fault", fault)
    }

    fn is_complete(self, answer: &Response) -> bool {
        answer.status == 200
            && match self {
                Self::Call => answer.body.starts_with(b"done by "),
                Self::Stream => event_ids(answer) == ALL_EVENTS,
            }
    }
}

fn start(name: &str) -> Fleet {
    let fleet = Fleet::start(&format!("pauses-{name}"), 1).unwrap();
    let ready = fleet.gateways[0].ready;
    wait_until(|| block_on(is_ready(ready)));
    fleet
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the number of requests that servers have received.
fn received(fleet: &Fleet) -> usize {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let entries = history.as_array().unwrap().iter();
    let requests =
        entries.filter(|entry| entry["attempt"].is_string() && entry["path"].is_string());
    requests.count()
}

/// Sends requests at once.
fn send_all(gateway: SocketAddr, messages: Vec<OutgoingRequest>) -> Vec<Result<Response, String>> {
    block_on(async move {
        let sent = messages.into_iter().map(|message| {
            monoio::spawn(async move {
                let answer = send_request(gateway, None, &message).await;
                answer.map(|(answer, _)| answer)
            })
        });
        let mut answers = Vec::new();
        for running in sent.collect::<Vec<_>>() {
            answers.push(running.await);
        }
        answers
    })
}

/// Guards against a gateway that takes sound servers for silent as it goes on after a pause, and
/// gives up answers that have arrived meanwhile. Times are in milliseconds.
#[parameterized(
    calls = { "pause-0-1000", Kind::Call, 300, 2000 },
    calls_for_shorter = { "pause-0-600", Kind::Call, 100, 1500 },
    calls_without_time_for_another = { "pause-0-1000,pause-0-2500", Kind::Call, 100, 1700 },
    streams_midway = { "slow-300", Kind::Stream, 300, 2000 },
    streams_before_the_head = { "pause-0-1000", Kind::Stream, 300, 2000 },
    streams_for_shorter = { "pause-0-600", Kind::Stream, 100, 1500 },
)]
fn a_paused_gateway_keeps_its_servers(fault: &str, kind: Kind, before: u64, paused: u64) {
    let fleet = start(&format!("{fault}-{}-{paused}", kind as u8));
    let messages = (0..REQUESTS).map(|number| kind.message(&format!("s{number}"), fault));
    let messages: Vec<OutgoingRequest> = messages.collect();
    let gateway = &fleet.gateways[0];
    let answers = std::thread::scope(|scope| {
        let caller = gateway.caller;
        let sent = scope.spawn(move || send_all(caller, messages));
        wait_until(|| received(&fleet) == REQUESTS);
        std::thread::sleep(Duration::from_millis(before));
        gateway.process.pause();
        std::thread::sleep(Duration::from_millis(paused));
        gateway.process.resume();
        sent.join().unwrap()
    });
    let is_complete = |answer: &&Result<Response, String>| {
        answer.as_ref().is_ok_and(|answer| kind.is_complete(answer))
    };
    let complete = answers.iter().filter(is_complete).count();
    assert_eq!(complete, REQUESTS, "{answers:#?}");
    assert_eq!(received(&fleet), REQUESTS, "a request was sent again");
}
