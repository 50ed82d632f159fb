//! Tests of streams that break off and are taken over by another server, against a gateway as a
//! separate process on a fake of the fleet's platform.

use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Unframed};
use pomeloridge_dev::launch::{Fleet, block_on, get_json};
use pomeloridge_fleet_standin::caller::{generation, is_ready};
use serde_json::Value;
use yare::parameterized;

/// Timeout of conditions and of a whole stream.
const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Events of a whole stream, and those before it breaks off.
const EVENTS: usize = 8;
const CUT_AFTER: usize = 3;
/// Statuses that guarantee that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What a caller received.
#[derive(Debug)]
struct Received {
    status: u16,
    /// Server that wrote the head.
    server: String,
    text: String,
    is_complete: bool,
}

async fn receive(fleet: &Fleet, request: &OutgoingRequest) -> Received {
    let end = Instant::now() + TIMEOUT;
    let gateway = &fleet.gateways[0];
    while !is_ready(gateway.ready).await {
        assert!(Instant::now() < end, "the gateway is not ready");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    let options = ConnectOptions {
        unframed: Unframed::UntilClose,
        ..ConnectOptions::default()
    };
    let mut connection = Connection::open(gateway.caller, options).await.unwrap();
    connection.send(request, end).await.unwrap();
    let head = connection.read_head(end).await.unwrap();
    let server = head.headers.get("x-server");
    let server = server.map_or("", |server| server.to_str().unwrap());
    let mut text = Vec::new();
    let is_complete = loop {
        match connection.read_chunk(end).await {
            Ok(Some(chunk)) => text.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Received {
        status: head.status.as_u16(),
        server: server.to_owned(),
        text: String::from_utf8(text).unwrap(),
        is_complete,
    }
}

/// Returns the text of the first events of a stream.
fn events(count: usize) -> String {
    let events = (1..=count).map(|event| format!("id: {event}\ndata: t{event}\n\n"));
    events.collect::<Vec<_>>().concat()
}

/// Returns the servers that received the request, in order.
fn servers(fleet: &Fleet, attempt: &str) -> Vec<String> {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let sent = history.as_array().unwrap().iter();
    let sent = sent.filter(|entry| entry["attempt"] == attempt && entry["path"].is_string());
    sent.map(|entry| entry["server"].as_str().unwrap().to_owned())
        .collect()
}

/// Guards against the text or the head of a later server's answer in a stream that another
/// server began, and against a stream that ends as complete before its last event.
#[parameterized(
    error = { "error" },
    error_of_events = { "error-events" },
    unsealed_error = { "error-bare" },
    client_error = { "error-client" },
    refusal = { "shed" },
    unproven_refusal = { "full" },
    unsealed_stream = { "unsealed" },
    other_type = { "text" },
    no_events = { "not-events" },
    part_of_an_event = { "within-event" },
    anew = { "anew" },
    head_only = { "head" },
    nothing = { "lost" },
    cut_again = { "cut" },
    whole = { "" },
)]
fn a_stream_holds_only_its_events(next: &str) {
    let fleet = Fleet::start_with(&format!("broken-{next}"), 1, &["--decode", "3"]).unwrap();
    for first in ["head", "edge", "cut", "lost"] {
        let attempt = format!("{first}-{next}");
        let request = generation("ask", &attempt, 200);
        let request = request.with_header("x-fault", &format!("{first},{next}"));
        let received = block_on(receive(&fleet, &request));
        let sent = servers(&fleet, &attempt);
        let is_unstarted = matches!(first, "head" | "lost");
        if received.status != 200 {
            // Nothing of a stream was sent yet, so this is an answer of its own.
            assert!(is_unstarted, "{first}: {received:?}");
            assert!(!NOT_RUN.contains(&received.status), "{first}: {received:?}");
            continue;
        }
        if is_unstarted {
            let streamed = sent.last().unwrap();
            assert!(
                received.server.is_empty() || received.server == *streamed,
                "the head is not of the server that streamed, {first}: {received:?} {sent:?}"
            );
            if matches!(next, "text" | "not-events") {
                // A sealed success is a whole answer of its own.
                continue;
            }
        }
        let whole = events(EVENTS);
        assert!(whole.starts_with(&received.text), "{first}: {received:?}");
        assert!(
            !received.is_complete || received.text == whole,
            "{first}: {received:?}"
        );
    }
}

/// Guards against events that come twice, as another server can't tell where to continue.
#[test]
fn a_stream_of_events_without_ids_is_not_continued() {
    let fleet = Fleet::start("broken-unnumbered", 1).unwrap();
    let request = generation("ask", "u1", 200).with_header("x-fault", "bare-cut");
    let received = block_on(receive(&fleet, &request));
    let sent = (1..=CUT_AFTER).map(|event| format!("data: t{event}\n\n"));
    let sent = sent.collect::<Vec<_>>().concat();
    assert_eq!((received.text, received.is_complete), (sent, false));
    assert_eq!(servers(&fleet, "u1").len(), 1);
}
