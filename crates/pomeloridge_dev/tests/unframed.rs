//! Answers of servers with neither a length nor chunks, which end with their connection.
//!
//! The servers are part of the test and registered in the object service of the fleet's fake.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, post_json};
use pomeloridge_fleet_standin::caller::{event_ids, generation, is_ready, request, send_request};
use serde_json::json;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SERVERS: usize = 2;
const EVENTS: u64 = 8;
/// Last complete event of a stream that breaks off.
const CUT_AFTER: u64 = 3;
/// Time after which the gateway has read what was sent before a reset.
const READ_TIME: Duration = Duration::from_millis(100);

/// How a server ends the answer to the first sending of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// Closes the connection after the whole answer.
    Whole,
    /// Closes it inside an event.
    Inside,
    /// Resets it.
    Reset,
}

/// Starts a fleet whose only servers end their first answers like this.
fn start(name: &str, end: End) -> Fleet {
    let none = ["--decode", "0", "--prefill", "0", "--plain", "0"];
    let fleet = Fleet::start_with(&format!("unframed-{name}"), 1, &none).unwrap();
    let mut has_answered = Arc::default();
    for (service, stage) in [("assistant", Some("decode")), ("filings", None)] {
        for number in 0..SERVERS {
            let address;
            (address, has_answered) = serve(end);
            let mut entry = json!({
                "service": service, "address": address.to_string(), "zone": "dc-1",
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "sequence": 1, "born": 1,
            });
            if let Some(stage) = stage {
                entry["stage"] = json!(stage);
            }
            let name = format!("{service}-{number}");
            let body = json!({ "metadata": { "name": name }, "spec": entry });
            post_json(fleet.store, "/-/objects/servers", &body).unwrap();
        }
    }
    let ready = fleet.gateways[0].ready;
    wait_until(|| block_on(is_ready(ready)));
    // The gateway is ready once it has read the list, which may still lack some of these
    // servers. It learns of them in the order in which they were registered.
    let mut number = 0;
    wait_until(|| {
        number += 1;
        let call = request(Method::GET, "open", &format!("known{number}"));
        send(&fleet, &call).unwrap();
        has_answered.load(Ordering::Relaxed)
    });
    fleet
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn send(fleet: &Fleet, message: &OutgoingRequest) -> Result<Response, String> {
    let gateway = fleet.gateways[0].caller;
    block_on(send_request(gateway, None, message)).map(|(answer, _)| answer)
}

/// Starts a server and returns its address, and whether it has answered a request.
fn serve(end: End) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let has_answered = Arc::new(AtomicBool::new(false));
    let answered = Arc::clone(&has_answered);
    std::thread::spawn(move || {
        for connection in listener.incoming().map_while(Result::ok) {
            let answered = Arc::clone(&answered);
            std::thread::spawn(move || answer(connection, end, &answered));
        }
    });
    (address, has_answered)
}

/// Answers one request, and ends its connection.
fn answer(mut connection: TcpStream, end: End, answered: &AtomicBool) {
    let Some(head) = read_request(&mut connection) else {
        return;
    };
    let header = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.to_owned())
    };
    let attempt = header("pomeloridge-attempt-id").unwrap_or_default();
    let is_stream = head.starts_with("POST");
    // Only the first sending of a request under test breaks off.
    let last_event = header("last-event-id").and_then(|id| id.parse::<u64>().ok());
    let end = match last_event {
        None if attempt.starts_with("first") && is_first(&attempt) => end,
        _ => End::Whole,
    };
    let mut text = format!(
        "HTTP/1.1 200 OK\r\npomeloridge-attempt-id: {attempt}\r\n\
         pomeloridge-server-seal: seal\r\ncontent-type: text/event-stream\r\n\r\n"
    );
    if is_stream {
        let last = if end == End::Whole { EVENTS } else { CUT_AFTER };
        let events = last_event.unwrap_or(0) + 1..=last;
        text.extend(events.map(|event| format!("id: {event}\ndata: t{event}\n\n")));
        if end == End::Inside {
            text.push_str("id: 4\nda");
        }
    } else {
        text.push_str(if end == End::Whole { "done" } else { "do" });
    }
    let is_written = connection.write_all(text.as_bytes()).is_ok();
    answered.fetch_or(is_written, Ordering::Relaxed);
    if is_written && end == End::Reset {
        std::thread::sleep(READ_TIME);
        let socket = socket2::SockRef::from(&connection);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Returns whether an attempt has not been sent to any server before.
fn is_first(attempt: &str) -> bool {
    static SEEN: std::sync::Mutex<Vec<String>> = std::sync::Mutex::new(Vec::new());
    let mut seen = SEEN.lock().unwrap();
    let is_first = !seen.iter().any(|known| known == attempt);
    seen.push(attempt.to_owned());
    is_first
}

/// Reads a request and returns its head; `None` if the connection ends before.
fn read_request(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length = lengths.next().and_then(|(_, value)| value.parse().ok());
            if bytes.len() >= end + 4 + length.unwrap_or(0) {
                return Some(head);
            }
        }
        match connection.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Guards against streams that end, or look complete, where an answer without a length breaks
/// off inside an event or is reset.
#[parameterized(
    whole = { "whole", End::Whole },
    inside_an_event = { "inside", End::Inside },
    reset = { "reset", End::Reset },
)]
fn an_unframed_stream_is_complete(name: &str, end: End) {
    let fleet = start(&format!("stream-{name}"), end);
    let message = generation("ask", &format!("first-{name}"), 200);
    let answer = send(&fleet, &message).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5, 6, 7, 8]);
    // A stream that must not be resumed is complete, or seen to be cut.
    let message = generation("note", &format!("first-{name}-note"), 200);
    let answer = send(&fleet, &message);
    assert_eq!(answer.is_ok(), end == End::Whole, "{answer:?}");
}

/// Guards against passing on a part of an answer without a length as the whole.
#[parameterized(
    whole = { "whole", End::Whole, 200 },
    reset = { "reset", End::Reset, 502 },
)]
fn an_unframed_answer_is_whole(name: &str, end: End, status: u16) {
    let fleet = start(&format!("call-{name}"), end);
    let message = request(Method::GET, "read", &format!("first-{name}-read"));
    let answer = send(&fleet, &message).unwrap();
    assert_eq!(
        (answer.status.as_u16(), &answer.body[..]),
        (200, &b"done"[..])
    );
    // A request that must not run twice is answered in any case.
    let message = request(Method::GET, "lodge", &format!("first-{name}-lodge"));
    assert_eq!(send(&fleet, &message).unwrap().status, status);
}
