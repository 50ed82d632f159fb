//! Answers of servers with neither a length nor chunks, which end with their connection, also while
//! the request is still being written; and answers with a status that HTTP does not define.
//!
//! The servers are part of the test and registered in the object service of the fleet's fake.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json};
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
/// Size of a body that does not fit into the buffers of the kernel.
const UPLOAD: usize = 8_000_000;

/// How a server ends the answer to the first sending of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// Closes the connection after the whole answer.
    Whole,
    /// Closes it inside an event.
    Inside,
    /// Resets it.
    Reset,
    /// Answers once it has the request's head, and resets the connection.
    Early,
    /// Closes it after the whole answer, which has this status.
    Status(&'static str),
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
    let Some((head, body_read)) = read_head(&mut connection) else {
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
    if end != End::Early && !read_body(&mut connection, &header, body_read) {
        return;
    }
    let status = if let End::Status(status) = end {
        status
    } else {
        "200"
    };
    let is_whole = matches!(end, End::Whole | End::Status(_));
    let mut text = format!(
        "HTTP/1.1 {status} OK\r\npomeloridge-attempt-id: {attempt}\r\n\
         pomeloridge-server-seal: seal\r\ncontent-type: text/event-stream\r\n\r\n"
    );
    if is_stream {
        let last = if is_whole { EVENTS } else { CUT_AFTER };
        let events = last_event.unwrap_or(0) + 1..=last;
        text.extend(events.map(|event| format!("id: {event}\ndata: t{event}\n\n")));
        if end == End::Inside {
            text.push_str("id: 4\nda");
        }
    } else {
        text.push_str(if is_whole { "done" } else { "do" });
    }
    let is_written = connection.write_all(text.as_bytes()).is_ok();
    answered.fetch_or(is_written, Ordering::Relaxed);
    if is_written && matches!(end, End::Reset | End::Early) {
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

/// Reads the head of a request and the beginning of its body. Returns the head and the number of
/// bytes of the body; `None` if the connection ends before.
fn read_head(connection: &mut TcpStream) -> Option<(String, usize)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            return Some((head, bytes.len() - end - 4));
        }
        match connection.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Reads the rest of a request's body. Returns false if the connection ends before.
fn read_body(
    connection: &mut TcpStream,
    header: &impl Fn(&str) -> Option<String>,
    mut count: usize,
) -> bool {
    let length = header("content-length").and_then(|length| length.parse().ok());
    let mut chunk = [0; 4096];
    while count < length.unwrap_or(0) {
        match connection.read(&mut chunk) {
            Ok(0) | Err(_) => return false,
            Ok(read) => count += read,
        }
    }
    true
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

/// Guards against a part as a whole answer, where a server answers a long upload at once, without a
/// length, and resets the connection while it is being written; and against passing on a status that
/// HTTP does not define (MIXED). What may be repeated is answered by another server.
#[parameterized(
    early = { "early", End::Early },
    zeros = { "000", End::Status("000") },
    below = { "099", End::Status("099") },
    above = { "600", End::Status("600") },
    highest = { "999", End::Status("999") },
)]
fn an_odd_answer_is_not_passed_on(name: &str, end: End) {
    let fleet = start(&format!("odd-{name}"), end);
    let mut config = get_json(fleet.duties, "/-/config").unwrap();
    config["version"] = json!(config["version"].as_u64().unwrap() + 1);
    config["limits"]["maxBodyBytes"] = json!(2 * UPLOAD);
    post_json(fleet.duties, "/-/config", &config).unwrap();
    let mut number = 0;
    wait_until(|| {
        number += 1;
        let probe = request(Method::PUT, "open", &format!("limit{number}"));
        send(&fleet, &probe.body(vec![b'x'; UPLOAD]))
            .unwrap()
            .status
            == 200
    });
    let id = |route: &str| format!("first-odd-{name}-{route}");
    let upload = || vec![b'x'; if end == End::Early { UPLOAD } else { 100 }];
    let call = |route: &str| request(Method::PUT, route, &id(route)).body(upload());
    let read = send(&fleet, &call("read")).unwrap();
    assert_eq!((read.status.as_u16(), &read.body[..]), (200, &b"done"[..]));
    let lodge = send(&fleet, &call("lodge")).unwrap();
    assert_eq!(lodge.status, 502);
    let generation = |route: &str| generation(route, &id(route), 200).body(upload());
    let ask = send(&fleet, &generation("ask")).unwrap();
    assert_eq!(ask.status, 200);
    assert_eq!(event_ids(&ask), [1, 2, 3, 4, 5, 6, 7, 8]);
    // A stream that must run once at most.
    let note = send(&fleet, &generation("note")).unwrap();
    assert_eq!(note.status, 502);
}
