//! Tests of the fake platform's servers without gateways: the conditions that a test gives them,
//! and the requests that crash them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_dev::launch::{Fleet, get_json, post_json};
use pomeloridge_fleet_standin::caller::{Crash, event_ids, generation, request, with_deadly_part};
use pomeloridge_fleet_standin::conditions::Condition;
use pomeloridge_fleet_standin::history::{EndCause, Entry};
use serde_json::{Value, json};
use yare::parameterized;

const PLAIN: &str = "filings-0";
const DECODE: &str = "assistant-decode-0";
/// Time for which conditions hold, in ms.
const HELD_MS: u64 = 600;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn start(name: &str) -> Fleet {
    Fleet::start(name, 0).expect("the fake starts")
}

fn set(fleet: &Fleet, server: &str, condition: Condition, listed: bool) {
    let order = json!({
        "server": server, "condition": condition.to_string(), "for_ms": HELD_MS, "listed": listed,
    });
    post_json(fleet.duties, "/-/condition", &order).expect("the condition is set");
}

fn entry(fleet: &Fleet, server: &str) -> Value {
    let object = get_json(fleet.store, &format!("/-/objects/servers/{server}"));
    object.expect("the server is listed")["spec"].clone()
}

fn address(fleet: &Fleet, server: &str) -> SocketAddr {
    let text = entry(fleet, server)["address"].to_string();
    text.trim_matches('"').parse().expect("an address")
}

fn history(fleet: &Fleet) -> Vec<Entry> {
    let history = get_json(fleet.duties, "/-/history").expect("a history");
    let entries = history.as_array().into_iter().flatten();
    entries.filter_map(Entry::decode).collect()
}

fn connect(fleet: &Fleet, server: &str) -> TcpStream {
    let stream = TcpStream::connect(address(fleet, server)).expect("a connection");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    stream
}

fn write(stream: &mut TcpStream, server: &str, message: &OutgoingRequest) {
    let headers = message.headers.iter().map(|(name, value)| {
        let value = value.to_str().expect("a text");
        format!("{name}: {value}\r\n")
    });
    let text = format!(
        "{} {} HTTP/1.1\r\ncontent-length: {}\r\npomeloridge-expect-instance: {server}\r\n{}",
        message.method,
        message.target,
        message.body.len(),
        headers.collect::<String>()
    );
    stream
        .write_all(text.as_bytes())
        .expect("a head is written");
    let body = [b"\r\n".as_slice(), &message.body].concat();
    stream.write_all(&body).expect("a body is written");
}

/// Sends a request on a connection of its own and reads until that is closed.
fn exchange(fleet: &Fleet, server: &str, message: &OutgoingRequest) -> String {
    let mut stream = connect(fleet, server);
    let message = message.clone().with_header("connection", "close");
    write(&mut stream, server, &message);
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    text
}

fn read(attempt: &str) -> OutgoingRequest {
    request(Method::GET, "read", attempt)
}

#[test]
fn a_silent_server_goes_on_afterwards() {
    let fleet = start("condition-silent");
    let start = Instant::now();
    set(&fleet, PLAIN, Condition::Silent, false);
    assert!(exchange(&fleet, PLAIN, &read("a")).starts_with("HTTP/1.1 200"));
    assert!(start.elapsed() >= Duration::from_millis(HELD_MS));
    assert!(exchange(&fleet, PLAIN, &read("b")).starts_with("HTTP/1.1 200"));
}

/// Connects from a given address.
fn connect_from(local: SocketAddr, server: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_reuse_address(true).expect("an option");
    // The connection leaves nothing behind when it is closed.
    socket.set_linger(Some(Duration::ZERO)).expect("an option");
    socket.bind(&local.into()).expect("a free address");
    socket.connect(&server.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("a timeout");
    stream
}

/// Sends a request and returns the first line of what the server writes next.
fn first_line(stream: &mut TcpStream, server: &str, message: &OutgoingRequest) -> String {
    write(stream, server, message);
    let mut bytes = [0; 4096];
    let read = stream.read(&mut bytes).expect("an answer");
    let text = String::from_utf8_lossy(&bytes[..read]);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Guards against a copy of a refusal that is written on another connection with the same client
/// address: one to another server, or a later one.
#[parameterized(
    other_server = { "other", "filings-1" },
    later_connection = { "later", PLAIN },
)]
fn a_refusal_is_repeated_only_on_its_connection(name: &str, server: &str) {
    let fleet = start(&format!("repeated-{name}"));
    // An IP address from which nothing else connects.
    let any = SocketAddr::from(([127, 0, 3, 1], 0));
    let mut refused = connect_from(any, address(&fleet, PLAIN));
    let local = refused.local_addr().expect("an address");
    let message = read("a").with_header("x-fault", "shed-again-bare");
    let line = first_line(&mut refused, PLAIN, &message);
    assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    if server == PLAIN {
        drop(refused);
    }
    let mut next = connect_from(local, address(&fleet, server));
    let line = first_line(&mut next, server, &read("b"));
    assert!(line.starts_with("HTTP/1.1 200"), "{line}");
}

/// Guards against servers that can't listen again after a crash, as another listener was assigned
/// their port meanwhile.
#[test]
fn a_crashed_server_keeps_its_port() {
    let fleet = start("crash-port");
    let address = address(&fleet, PLAIN);
    let message = Crash::Slow.apply(read("a"), "port");
    write(&mut connect(&fleet, PLAIN), PLAIN, &message);
    let end = Instant::now() + READ_TIMEOUT;
    while TcpStream::connect(address).is_ok() {
        assert!(Instant::now() < end, "the server is not down");
    }
    // The system assigns no port that this socket can't bind.
    let other = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let bound = other.expect("a socket").bind(&address.into());
    assert_eq!(
        bound.map_err(|error| error.kind()),
        Err(ErrorKind::AddrInUse)
    );
}

#[test]
fn a_refusing_server_names_the_time_left() {
    let fleet = start("condition-refusing");
    set(&fleet, PLAIN, Condition::Refusing, false);
    let answer = exchange(&fleet, PLAIN, &read("a"));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let line = answer
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    let wait: f64 = line.expect("a time").parse().expect("a number");
    assert!(wait > 0.0 && wait <= HELD_MS as f64 / 1000.0, "{wait}");
    let entries = history(&fleet);
    assert!(
        entries
            .iter()
            .any(|entry| matches!(entry, Entry::Sent { ran: false, .. }))
    );
    assert!(
        entries
            .iter()
            .any(|entry| matches!(entry, Entry::Refused { .. }))
    );
}

#[parameterized(
    listed = { true, "draining" },
    in_answers_only = { false, "ready" },
)]
fn a_leaving_server_says_so_and_restarts(listed: bool, state: &str) {
    let fleet = start(&format!("condition-leaving-{listed}"));
    set(&fleet, DECODE, Condition::Leaving, listed);
    let first = entry(&fleet, DECODE);
    assert_eq!(first["state"], state);
    let answer = exchange(&fleet, DECODE, &generation("ask", "a", 300));
    assert!(answer.contains("server-leaving: 1"), "{answer}");
    let end = Instant::now() + READ_TIMEOUT;
    while entry(&fleet, DECODE)["born"] == first["born"] {
        assert!(Instant::now() < end, "the server did not restart");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(entry(&fleet, DECODE)["state"], "ready");
    let answer = exchange(&fleet, DECODE, &generation("ask", "b", 300));
    assert!(!answer.contains("server-leaving"), "{answer}");
    let stopped = |entry: &Entry| {
        matches!(
            entry,
            Entry::Ended {
                cause: EndCause::Stop,
                ..
            }
        )
    };
    assert!(history(&fleet).iter().any(stopped));
}

/// Returns the body of an answer without framing.
fn unframed_body(answer: &str) -> &str {
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(
        !head.contains("content-length") && !head.contains("chunked"),
        "{head}"
    );
    body
}

#[test]
fn unframed_answers_end_with_their_connection() {
    let fleet = start("condition-unframed");
    for server in [PLAIN, DECODE] {
        set(&fleet, server, Condition::Unframed, false);
    }
    let answer = exchange(&fleet, PLAIN, &read("a"));
    assert_eq!(unframed_body(&answer), format!("done by {PLAIN}"));
    let answer = exchange(&fleet, DECODE, &generation("ask", "b", 300));
    let body = unframed_body(&answer).to_owned();
    assert!(body.ends_with("\n\n"), "{body}");
    assert_eq!(
        event_ids(&pomeloridge_base::http::Response::new(200, body)).len(),
        8
    );
}

#[test]
fn an_unframed_stream_that_is_cut_ends_within_an_event() {
    let fleet = start("condition-cut");
    set(&fleet, DECODE, Condition::Unframed, false);
    let message = generation("ask", "a", 300).with_header("x-fault", "cut");
    let answer = exchange(&fleet, DECODE, &message);
    let body = unframed_body(&answer);
    assert!(body.contains("t3") && !body.ends_with("\n\n"), "{body}");
}

#[test]
fn idle_connections_are_closed_early() {
    let fleet = start("condition-closing");
    let mut idle = connect(&fleet, PLAIN);
    set(&fleet, PLAIN, Condition::Closing, false);
    let mut byte = [0];
    match idle.read(&mut byte) {
        Ok(0) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
        other => panic!("{other:?}"),
    }
}

/// A server that only prefills a deadly prompt goes on; a deadly last part harms none.
#[test]
fn a_deadly_part_crashes_the_server_that_answers() {
    let fleet = start("deadly-part");
    let deadly = |attempt: &str| with_deadly_part(generation("ask", attempt, 300), 7);
    let message = deadly("a").with_header("pomeloridge-stage", "prefill");
    let answer = exchange(&fleet, "assistant-prefill-0", &message);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let last = generation("ask", "b", 300).with_header("pomeloridge-prompt-prefix", "a1:1,dead7:9");
    assert!(exchange(&fleet, DECODE, &last).starts_with("HTTP/1.1 200"));
    let mut stream = connect(&fleet, DECODE);
    write(&mut stream, DECODE, &deadly("c"));
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    // The head arrives, and the beginning of an event.
    let answer = String::from_utf8(answer).expect("the answer is text");
    let (head, body) = answer.split_once("\r\n\r\n").expect("the head is whole");
    assert!(head.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!body.contains("\n\n"), "{answer}");
    let causes = history(&fleet).into_iter().filter_map(|entry| match entry {
        Entry::Ended { cause, server, .. } => Some((cause, server)),
        _ => None,
    });
    let part = EndCause::Part("dead0007".to_owned());
    assert_eq!(causes.collect::<Vec<_>>(), [(part, DECODE.to_owned())]);
}

/// Guards against requests that a server gets after its crash.
#[test]
fn a_crashed_server_handles_no_request() {
    let fleet = start("crash-turn");
    let mut streams = [(); 8].map(|()| connect(&fleet, DECODE));
    // All requests are handled in the same turn, when the silence ends.
    set(&fleet, DECODE, Condition::Silent, false);
    for (index, stream) in streams.iter_mut().enumerate() {
        let message = generation("ask", &index.to_string(), 300);
        write(stream, DECODE, &Crash::Begin.apply(message, "turn"));
    }
    for stream in &mut streams {
        let _ = stream.read_to_end(&mut Vec::new());
    }
    let entries = history(&fleet).into_iter().filter(|entry| match entry {
        Entry::Sent { server, .. } | Entry::Ended { server, .. } => server == DECODE,
        _ => false,
    });
    assert_eq!(entries.count(), 2);
}
