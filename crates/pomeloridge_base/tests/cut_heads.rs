//! Responses whose server stops in the middle, and heads and chunks with odd line ends: only a
//! whole response is delivered.

#[path = "support/runtime.rs"]
mod runtime;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest, Response};
use pomeloridge_base::http::{Unframed, call};
use runtime::run;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(10);
/// A whole response, which keeps the connection.
const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";

const LENGTH: &str = "HTTP/1.1 200 OK\r\nServer-Seal: 3e1b.07.5a2\r\nContent-Length: 1200\r\n\r\n";
const LENGTH_FIRST: &str = "HTTP/1.1 200 OK\r\ncontent-length:1200\r\nServer-Seal: 3e1b\r\n\r\n";
const NO_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer-Seal: 3e1b.07\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Seal: 3e1b\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nServer-Seal: 3e1b\r\nContent-Type: text/plain\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const EMPTY: &str = "HTTP/1.1 204 No Content\r\nServer-Seal: 3e1b\r\n\r\n";
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Starts a server that sends one of the answers per request on one connection, and then ends
/// the connection.
fn serve(answers: Vec<Vec<u8>>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        for answer in answers {
            read_request(&mut connection);
            connection.write_all(&answer).unwrap();
        }
        if end == End::Reset {
            let socket = socket2::SockRef::from(&connection);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    address
}

fn read_request(connection: &mut TcpStream) {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1024];
    while !bytes.ends_with(b"\r\n\r\n") {
        let count = connection.read(&mut chunk).unwrap();
        assert!(count > 0, "the client closed the connection");
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// Returns the last of the responses that a server sends on one connection.
fn last_response(answers: Vec<Vec<u8>>, end: End, unframed: Unframed) -> Result<Response, Fault> {
    let count = answers.len();
    let address = serve(answers, end);
    run(async {
        let deadline = Instant::now() + TIMEOUT;
        let options = ConnectOptions {
            unframed,
            ..ConnectOptions::default()
        };
        let mut connection = Connection::open(address, options).await.unwrap();
        let request = OutgoingRequest::get("/");
        for _ in 1..count {
            let response = connection.exchange(&request, deadline).await.unwrap();
            assert_eq!(response.body, "first");
            assert!(connection.reusable());
        }
        let response = connection.exchange(&request, deadline).await;
        assert!(response.is_ok() || !connection.reusable());
        response
    })
}

/// Guards against a part of a head that is taken as a whole one, with the length, the seal or the
/// framing that its server never finished to write.
#[parameterized(
    length = { LENGTH },
    length_first = { LENGTH_FIRST },
    no_body = { NO_BODY },
    chunked = { CHUNKED },
    unframed = { UNFRAMED },
    refusal = { REFUSAL },
    empty = { EMPTY },
    after_continue = { CONTINUE },
)]
fn a_cut_head_is_a_lost_connection(head: &str) {
    for end in [End::Close, End::Reset] {
        for unframed in [Unframed::Refused, Unframed::UntilClose] {
            for cut in 0..head.len() {
                let part = head.as_bytes()[..cut].to_vec();
                let fresh = last_response(vec![part.clone()], end, unframed);
                assert_lost(&fresh, end, &head[..cut]);
                let kept = last_response(vec![WHOLE.to_vec(), part], end, unframed);
                assert_lost(&kept, end, &head[..cut]);
            }
        }
    }
}

/// The same for calls on a connection of their own: probes, load reports and peers.
#[parameterized(
    length = { LENGTH },
    no_body = { NO_BODY },
    chunked = { CHUNKED },
    refusal = { REFUSAL },
)]
fn a_cut_head_fails_a_call(head: &str) {
    for end in [End::Close, End::Reset] {
        for cut in 0..head.len() {
            let address = serve(vec![head.as_bytes()[..cut].to_vec()], end);
            let response = run(call(address, &OutgoingRequest::get("/"), TIMEOUT));
            assert_lost(&response, end, &head[..cut]);
        }
    }
}

/// Guards against a part of a body that is delivered as the whole.
#[parameterized(
    length = { "content-length: 5", "hello" },
    chunked = { "transfer-encoding: chunked", "5\r\nhello\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n" },
    long_chunk_head = { "transfer-encoding: chunked", "0005\r\nhello\r\n000\r\n\r\n" },
)]
fn a_cut_body_is_a_lost_connection(framing: &str, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
    for end in [End::Close, End::Reset] {
        for cut in 0..body.len() {
            let answer = format!("{head}{}", &body[..cut]).into_bytes();
            let response = last_response(vec![answer], end, Unframed::UntilClose);
            assert_lost(&response, end, &body[..cut]);
        }
    }
    let answer = format!("{head}{body}").into_bytes();
    let response = last_response(vec![answer], End::Close, Unframed::UntilClose).unwrap();
    assert!(response.body.starts_with(b"hello"), "{response:?}");
}

/// Guards against an answer that is delivered as whole although its trailers are cut.
#[test]
fn cut_trailers_fail() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
    let trailers = "Server-Seal: 3e1b\r\n\r\n";
    for cut in 0..trailers.len() {
        let answer = format!("{head}{}", &trailers[..cut]).into_bytes();
        let response = last_response(vec![answer], End::Close, Unframed::UntilClose);
        assert!(response.is_err(), "{cut}: {response:?}");
    }
}

/// Guards against a chunk without a size that ends the body.
#[parameterized(
    without_size = { "5\r\nhello\r\n\r\n\r\n" },
    only = { "\r\n\r\n" },
    lost_start = { "\r\nhello\r\n0\r\n\r\n" },
)]
fn a_chunk_has_a_size(body: &str) {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let answer = format!("{head}{body}").into_bytes();
    let response = last_response(vec![answer], End::Close, Unframed::UntilClose);
    assert!(matches!(response, Err(Fault::Malformed(_))), "{response:?}");
}

/// Guards against a body whose beginning is taken as a part of the head, as the blank line
/// between them lacks a carriage return.
#[parameterized(
    both = { "\n\n" },
    first = { "\n\r\n" },
    second = { "\r\n\n" },
)]
fn a_blank_line_ends_the_head(blank: &str) {
    for framing in ["content-type: text/plain", "content-length: 4"] {
        let text = format!("HTTP/1.1 200 OK\r\n{framing}{blank}one\r\n\r\ntwo\n");
        let answer = text.into_bytes();
        let response = last_response(vec![answer], End::Close, Unframed::UntilClose);
        let whole = response
            .as_ref()
            .is_ok_and(|response| response.body.starts_with(b"one\r"));
        assert!(response.is_err() || whole, "{response:?}");
    }
}

fn assert_lost(response: &Result<Response, Fault>, end: End, part: &str) {
    let lost = matches!(response, Err(Fault::Closed | Fault::Io(_)));
    assert!(lost, "{end:?} after {part:?}: {response:?}");
}
