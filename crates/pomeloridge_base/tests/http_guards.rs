//! Limits and checks around the HTTP codecs, with the faults of the library that make them
//! necessary.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http::{HeaderMap, StatusCode};
use local_sync::mpsc::unbounded;
use monoio::io::AsyncWriteRentExt;
use monoio_codec::{Decoded, Decoder};
use monoio_http::common::request::Request as LibraryRequest;
use monoio_http::h1::codec::decoder::{DirectWrapper, GenericHeadDecoder, RequestHeadDecoder};
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, Limits, OutgoingRequest, Request};
use pomeloridge_base::http::{Responder, Response, Server};
use pomeloridge_base::net::listen;
use support::runtime::run;
use support::{raw, small_limits, start};
use yare::parameterized;

/// Responds with 200 and the body's length, or with the status for a fault.
async fn echo(request: Result<Request, Fault>, responder: &mut Responder) {
    let response = match request {
        Ok(request) => Response::new(200, format!("{} bytes", request.body.len())),
        Err(Fault::HeadTooLarge) => Response::new(431, "head"),
        Err(Fault::BodyTooLarge) => Response::new(413, "body"),
        Err(Fault::Timeout) => Response::new(408, "time"),
        Err(_) => Response::new(400, "malformed"),
    };
    let _ = responder.send(response).await;
}

#[parameterized(
    length_beside_chunked = { "content-length: 5\r\ntransfer-encoding: chunked\r\n" },
    unequal_lengths = { "content-length: 5\r\ncontent-length: 9\r\n" },
)]
fn library_accepts_ambiguous_framing(headers: &str) {
    let mut buf = BytesMut::from(format!("POST / HTTP/1.1\r\n{headers}\r\n").as_bytes());
    let mut decoder =
        GenericHeadDecoder::<LibraryRequest, RequestHeadDecoder, DirectWrapper>::default();
    let accepted = matches!(decoder.decode(&mut buf), Ok(Decoded::Some(_)));
    assert!(
        accepted,
        "the library now refuses this; the check may be removed"
    );
}

#[parameterized(
    length_beside_chunked = { "content-length: 5\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n", "400" },
    unequal_lengths = { "content-length: 5\r\ncontent-length: 9\r\n", "helloGET ", "400" },
    equal_lengths = { "content-length: 5\r\ncontent-length: 5\r\nconnection: close\r\n", "hello", "200" },
    signed_length = { "content-length: +5\r\n", "hello", "400" },
    two_codings = { "transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n", "400" },
    broken_chunk = { "transfer-encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n", "400" },
    huge_chunk = { "transfer-encoding: chunked\r\n", "7fffffffffffffff\r\nhello", "408" },
    chunk_over_limit = { "transfer-encoding: chunked\r\n", "2000\r\n", "408" },
    length_over_limit = { "content-length: 5000\r\n", "", "413" },
    chunked = { "transfer-encoding: chunked\r\nconnection: close\r\n", "5\r\nhello\r\n0\r\n\r\n", "200" },
    short_body = { "content-length: 50\r\n", "hello", "408" },
    no_body = { "connection: close\r\n", "", "200" },
)]
fn framing_is_checked(headers: &str, body: &str, status: &str) {
    run(async {
        let address = start(small_limits(), echo);
        let message = format!("POST / HTTP/1.1\r\n{headers}\r\n{body}");
        let response = raw(address, message.into_bytes(), usize::MAX).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert_eq!(
            response.matches("HTTP/1.1 ").count(),
            1,
            "one response, then closed: {response}"
        );
    });
}

#[parameterized(
    large_head = { format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(2000)), "431" },
    endless_head = { format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(2000)), "431" },
    slow_head = { "GET / HTTP/1.1\r\nx: ".to_owned(), "408" },
    not_http = { "\u{1}\u{2}\u{3}\r\n\r\n".to_owned(), "400" },
    large_chunked_body = { format!("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{}", "800\r\n".to_owned() + &"a".repeat(2048) + "\r\n800\r\n" + &"a".repeat(2048) + "\r\n800\r\n" + &"a".repeat(2048) + "\r\n0\r\n\r\n"), "413" },
)]
fn heads_and_bodies_are_bounded(message: String, status: &str) {
    run(async {
        let address = start(small_limits(), echo);
        let response = raw(address, message.into_bytes(), usize::MAX).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
    });
}

#[test]
fn connection_is_kept_for_the_next_request() {
    run(async {
        let address = start(Limits::default(), echo);
        let mut connection = Connection::open(address, ConnectOptions::default())
            .await
            .unwrap();
        for body in ["", "hello", "hello again"] {
            let request = OutgoingRequest::new(http::Method::POST, "/").body(body);
            let deadline = Instant::now() + Duration::from_secs(10);
            let response = connection.exchange(&request, deadline).await.unwrap();
            assert_eq!(response.body, format!("{} bytes", body.len()));
            assert!(connection.reusable());
        }
    });
}

/// The second chunk is sent only after the client has received the first, so this test fails
/// if the server buffers chunks.
#[test]
fn each_chunk_is_flushed() {
    run(async {
        let (received_first, received) = unbounded::channel::<()>();
        let received = Rc::new(RefCell::new(Some(received)));
        let address = start(
            Limits::default(),
            async move |_, responder: &mut Responder| {
                let mut received = received.borrow_mut().take().expect("one request");
                let head = HeaderMap::new();
                responder.start(StatusCode::OK, &head).await.unwrap();
                responder.send_chunk(b"first").await.unwrap();
                received.recv().await;
                responder.send_chunk(b"second").await.unwrap();
                responder.finish().await.unwrap();
            },
        );
        let mut connection = Connection::open(address, ConnectOptions::default())
            .await
            .unwrap();
        let deadline = Instant::now() + Duration::from_secs(10);
        connection
            .send(&OutgoingRequest::get("/"), deadline)
            .await
            .unwrap();
        connection.read_head(deadline).await.unwrap();
        let first = connection.read_chunk(deadline).await.unwrap();
        assert_eq!(first.as_deref(), Some(b"first".as_slice()));
        received_first.send(()).unwrap();
        let second = connection.read_chunk(deadline).await.unwrap();
        assert_eq!(second.as_deref(), Some(b"second".as_slice()));
        assert_eq!(connection.read_chunk(deadline).await.unwrap(), None);
    });
}

#[test]
fn an_aborted_stream_is_an_error() {
    run(async {
        let address = start(Limits::default(), async |_, responder: &mut Responder| {
            let head = HeaderMap::new();
            responder.start(StatusCode::OK, &head).await.unwrap();
            responder.send_chunk(b"part").await.unwrap();
        });
        let mut connection = Connection::open(address, ConnectOptions::default())
            .await
            .unwrap();
        let deadline = Instant::now() + Duration::from_secs(10);
        let response = connection
            .exchange(&OutgoingRequest::get("/"), deadline)
            .await;
        assert!(matches!(response, Err(Fault::Closed)), "{response:?}");
    });
}

#[parameterized(
    no_length = { "HTTP/1.1 200 OK\r\n\r\nhello" },
    cut_length = { "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello" },
    cut_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n" },
)]
fn a_truncated_response_is_an_error(response: &'static str) {
    run(async {
        let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(async move {
            let (mut stream, _) = pomeloridge_base::net::accept(&listener).await.unwrap();
            let _ = stream.write_all(response.as_bytes().to_vec()).await;
        });
        let request = OutgoingRequest::get("/");
        let result = pomeloridge_base::http::call(address, &request, Duration::from_secs(10)).await;
        assert!(result.is_err(), "{result:?}");
    });
}

/// Time within which a server without requests in flight stops.
const MAX_STOP_TIME: Duration = Duration::from_secs(2);

/// Guards against a server that never stops because callers connect more often than it checks
/// whether it is stopping.
#[test]
fn a_server_stops_under_constant_connections() {
    run(async {
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let stopping = Rc::new(Cell::new(false));
        let is_stopping = Rc::clone(&stopping);
        let server = Server {
            limits: Cell::new(Limits::default()),
            handler: async |_, responder: &mut Responder| {
                let _ = responder.send(Response::new(200, "")).await;
            },
            stopping: move || is_stopping.get(),
        };
        let ended = Rc::new(Cell::new(false));
        let serving = monoio::spawn(Rc::new(server).run(listener));
        let callers_ended = Rc::clone(&ended);
        monoio::spawn(async move {
            while !callers_ended.get() {
                let connection = Connection::open(address, ConnectOptions::default()).await;
                drop(connection);
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        stopping.set(true);
        let stopped = monoio::time::timeout(MAX_STOP_TIME, serving).await;
        ended.set(true);
        assert!(stopped.is_ok(), "the server still accepts connections");
    });
}
