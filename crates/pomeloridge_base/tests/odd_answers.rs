//! Answers of servers in trouble (MIXED): statuses that HTTP does not define, and answers that come
//! while the request is still being written and whose connection is then reset.
//!
//! Every path that reads an answer reads it from a [`Connection`]: requests of callers with their
//! repeats, hedges, prefills and moved runs, calls of the object service and of peers, orders.

#[path = "support/runtime.rs"]
mod runtime;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{
    ConnectOptions, Connection, Fault, OutgoingRequest, Response, Unframed,
};
use runtime::run;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Size of a request that does not fit into the buffers of the kernel.
const LONG_REQUEST: usize = 16 * 1024 * 1024;
/// Size of a request that does.
const SHORT_REQUEST: usize = 100;
/// Time in which a client reads what was sent before a reset.
const READ_TIME: Duration = Duration::from_millis(50);

/// The beginnings of answers: without a length, in chunks, and with a length that is not reached.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nServer-Seal: 3e1b\r\n\r\nthe first part";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nthe first part";
/// An answer that is whole by its own account.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/// How much of a request a server reads before it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing but its beginning.
    Head,
    /// A part of its body.
    Body,
    /// All of it.
    End,
}

/// How a server ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Resets it at once.
    Reset,
    /// Resets it after the client has had time to read.
    LateReset,
    /// Says that nothing follows, reads on for a moment, and resets it.
    CloseThenReset,
}

/// Starts a server that answers one request of `length` bytes.
fn serve(answer: &'static str, stage: Stage, end: End, length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let wanted = match stage {
            Stage::Head => 1,
            Stage::Body => length / 4,
            Stage::End => length,
        };
        let (mut chunk, mut count) = (vec![0; 64 * 1024], 0);
        while count < wanted {
            count += connection.read(&mut chunk).unwrap();
        }
        let _ = connection.write_all(answer.as_bytes());
        match end {
            End::Reset => {}
            End::LateReset => std::thread::sleep(READ_TIME),
            End::CloseThenReset => {
                let _ = connection.shutdown(Shutdown::Write);
                std::thread::sleep(READ_TIME);
            }
        }
        let socket = socket2::SockRef::from(&connection);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    });
    address
}

async fn connect(address: SocketAddr) -> Connection {
    let options = ConnectOptions {
        unframed: Unframed::UntilClose,
        ..ConnectOptions::default()
    };
    Connection::open(address, options).await.unwrap()
}

fn upload(length: usize) -> OutgoingRequest {
    OutgoingRequest::new(Method::POST, "/").body(vec![b'x'; length])
}

fn exchange(address: SocketAddr, request: &OutgoingRequest) -> Result<Response, Fault> {
    run(async {
        let mut connection = connect(address).await;
        connection.exchange(request, Instant::now() + TIMEOUT).await
    })
}

/// Guards against passing on a part as the whole, whichever side of the request's last byte the
/// reset comes at. The end of the answer that the server declares first is its end only where the
/// request was written whole.
#[parameterized(
    unframed = { UNFRAMED },
    chunked = { CHUNKED },
    length = { LENGTH },
)]
fn an_answer_that_is_reset_is_not_complete(answer: &'static str) {
    for stage in [Stage::Head, Stage::Body, Stage::End] {
        for end in [End::Reset, End::LateReset, End::CloseThenReset] {
            for length in [SHORT_REQUEST, LONG_REQUEST] {
                let is_sent = stage == Stage::End || length == SHORT_REQUEST;
                if answer == UNFRAMED && end == End::CloseThenReset && is_sent {
                    continue;
                }
                let address = serve(answer, stage, end, length);
                let received = exchange(address, &upload(length));
                assert!(
                    received.is_err(),
                    "{stage:?} {end:?} {length}: {received:?}"
                );
            }
        }
    }
}

/// Guards against a reset that the kernel reports to a write, and not to the read after it, which
/// then sees a clean end: whatever comes after a request that was not written whole is no answer.
#[parameterized(
    reset_at_once = { UNFRAMED, End::Reset },
    reset_late = { UNFRAMED, End::LateReset },
    closed_first = { UNFRAMED, End::CloseThenReset },
    whole = { WHOLE, End::CloseThenReset },
)]
fn nothing_is_read_after_a_failed_write(answer: &'static str, end: End) {
    let address = serve(answer, Stage::Body, end, LONG_REQUEST);
    let received = run(async {
        let mut connection = connect(address).await;
        let deadline = Instant::now() + TIMEOUT;
        let sent = connection.send(&upload(LONG_REQUEST), deadline).await;
        assert!(sent.is_err());
        connection.read_response(deadline).await
    });
    assert!(received.is_err(), "{received:?}");
}

/// Guards against the same after a write that was given up.
#[test]
fn nothing_is_read_after_an_abandoned_write() {
    let address = serve(WHOLE, Stage::Body, End::LateReset, LONG_REQUEST);
    let received = run(async {
        let mut connection = connect(address).await;
        let deadline = Instant::now() + TIMEOUT;
        let request = upload(LONG_REQUEST);
        let sending = connection.send(&request, deadline);
        let sent = monoio::time::timeout(READ_TIME / 2, sending).await;
        assert!(sent.is_err(), "the request was written whole");
        connection.read_response(deadline).await
    });
    assert!(received.is_err(), "{received:?}");
}

/// Guards against passing on a status that HTTP does not define.
#[parameterized(
    zeros = { "000" },
    below = { "099" },
    two_digits = { "20" },
    four_digits = { "2000" },
    sign = { "+20" },
    negative = { "-20" },
    blank = { "2 0" },
    none = { "" },
    above = { "600" },
    highest = { "999" },
)]
fn an_undefined_status_is_no_answer(status: &'static str) {
    let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 5\r\n\r\nwhole");
    let address = serve(answer.leak(), Stage::End, End::LateReset, SHORT_REQUEST);
    let received = exchange(address, &upload(SHORT_REQUEST));
    assert!(
        matches!(received, Err(Fault::Malformed(_) | Fault::Io(_))),
        "{received:?}"
    );
}

/// Guards against refusing statuses that HTTP defines the range of, or has not named yet.
#[parameterized(
    success = { 200 },
    unnamed = { 299 },
    failure = { 599 },
)]
fn a_status_in_range_is_an_answer(status: u16) {
    let answer = format!("HTTP/1.1 {status} Fine\r\nContent-Length: 5\r\n\r\nwhole");
    let address = serve(answer.leak(), Stage::End, End::LateReset, SHORT_REQUEST);
    let received = exchange(address, &upload(SHORT_REQUEST)).unwrap();
    assert_eq!(
        (received.status.as_u16(), &received.body[..]),
        (status, &b"whole"[..])
    );
}
