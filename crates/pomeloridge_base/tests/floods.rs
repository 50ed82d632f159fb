//! Peers that send without an end: the message is given up, other tasks run meanwhile, and memory
//! is bounded over all connections together.

#[path = "support/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pomeloridge_base::http::{
    ConnectOptions, Connection, Fault, Limits, MAX_HELD_BYTES, OutgoingRequest, Responder,
    Response, Server, Unframed, held_bytes,
};
use runtime::run;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which a message that is no answer is given up.
const MAX_GIVE_UP_TIME: Duration = Duration::from_secs(1);
/// Interval at which another task runs, and the longest time that it may be held up.
const TICK: Duration = Duration::from_millis(5);
const MAX_GAP: Duration = Duration::from_millis(200);
/// Bytes that a server writes at a time.
const WRITE_BYTES: usize = 512 * 1024;

/// Starts a server that writes `start` and then `unit` without end on each connection.
fn flood(start: &str, unit: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (start, bytes) = (start.to_owned(), unit.repeat(WRITE_BYTES / unit.len()));
    std::thread::spawn(move || {
        for mut connection in listener.incoming().map_while(Result::ok) {
            let (start, bytes) = (start.clone(), bytes.clone());
            std::thread::spawn(move || {
                let _ = connection.read(&mut [0; 1024]);
                let _ = connection.write_all(start.as_bytes());
                while connection.write_all(bytes.as_bytes()).is_ok() {}
            });
        }
    });
    address
}

/// Starts a server that answers each request with a body of a size.
fn answer(size: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut connection in listener.incoming().map_while(Result::ok) {
            let _ = connection.read(&mut [0; 1024]);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
            let _ = connection.write_all(head.as_bytes());
            let _ = connection.write_all(&vec![b'x'; size]);
        }
    });
    address
}

/// Sends a request, and reads the response; `limit` bounds its body.
async fn read(address: SocketAddr, limit: usize) -> Result<Bytes, Fault> {
    let options = ConnectOptions {
        unframed: Unframed::UntilClose,
        ..ConnectOptions::default()
    };
    let deadline = Instant::now() + TIMEOUT;
    let mut connection = Connection::open(address, options).await?;
    connection
        .send(&OutgoingRequest::get("/"), deadline)
        .await?;
    connection.read_head(deadline).await?;
    connection.read_body(limit, deadline).await
}

/// Records the longest time for which the other tasks have held this one up, until it is dropped.
async fn tick(longest: Rc<Cell<Duration>>) {
    loop {
        let before = Instant::now();
        monoio::time::sleep(TICK).await;
        longest.set(longest.get().max(before.elapsed()));
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

// Guards against a server that writes bytes without end, which held up all other requests until
// the deadline of the one that met it.
#[parameterized(
    blank_lines = { "", "\r\n" },
    interim_heads = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    early_hints = { "", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" },
    head_lines = { "HTTP/1.1 200 OK\r\n", "a: b\r\n" },
    size_digits = { CHUNKED, "0" },
    size_extension = { CHUNKED, "1;a=b" },
    trailers = { CHUNKED, "0\r\na: b\r\n" },
)]
fn bytes_that_are_no_answer_are_given_up(start: &str, unit: &str) {
    let address = flood(start, unit);
    let longest = Rc::new(Cell::new(Duration::ZERO));
    let ticked = Rc::clone(&longest);
    let started = Instant::now();
    let fault = run(async move {
        monoio::spawn(tick(ticked));
        read(address, usize::MAX).await.unwrap_err()
    });
    assert!(
        started.elapsed() < MAX_GIVE_UP_TIME,
        "{fault} after {:?}",
        started.elapsed()
    );
    assert!(longest.get() < MAX_GAP, "held up for {:?}", longest.get());
}

// Guards against bodies that are read to be dropped, or piece by piece, while nothing else runs.
#[parameterized(
    until_close = { HEAD, "x" },
    small_chunks = { CHUNKED, "1\r\nx\r\n" },
    events = { HEAD, "id: 1\ndata: t1\n\n" },
    comments = { CHUNKED, "2\r\n:\n\r\n" },
)]
fn a_body_without_an_end_holds_up_no_other_task(start: &str, unit: &str) {
    let address = flood(start, unit);
    let longest = Rc::new(Cell::new(Duration::ZERO));
    let ticked = Rc::clone(&longest);
    run(async move {
        monoio::spawn(tick(ticked));
        let options = ConnectOptions {
            unframed: Unframed::UntilClose,
            ..ConnectOptions::default()
        };
        let deadline = Instant::now() + Duration::from_millis(700);
        let mut connection = Connection::open(address, options).await.unwrap();
        let request = OutgoingRequest::get("/");
        connection.send(&request, deadline).await.unwrap();
        connection.read_head(deadline).await.unwrap();
        while connection.read_chunk(deadline).await.is_ok() {}
    });
    assert!(longest.get() < MAX_GAP, "held up for {:?}", longest.get());
}

// Guards against callers whose bytes before or within a request never end, and hold up the others.
#[parameterized(
    blank_lines = { "", "\r\n" },
    head_lines = { "GET / HTTP/1.1\r\n", "a: b\r\n" },
    small_chunks = { "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
)]
fn a_caller_that_never_stops_holds_up_no_other_task(start: &'static str, unit: &str) {
    let bytes = unit.repeat(WRITE_BYTES / unit.len());
    let longest = Rc::new(Cell::new(Duration::ZERO));
    let ticked = Rc::clone(&longest);
    run(async move {
        let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = Rc::new(Server {
            limits: Cell::new(Limits {
                body_bytes: 64 * 1024,
                ..Limits::default()
            }),
            handler: async |request: Result<_, _>, responder: &mut Responder| {
                let status = if request.is_ok() { 200 } else { 400 };
                let _ = responder.send(Response::new(status, "")).await;
            },
            stopping: || false,
        });
        monoio::spawn(server.run(listener));
        monoio::spawn(tick(ticked));
        let flooding = std::thread::spawn(move || {
            let mut caller = TcpStream::connect(address).unwrap();
            let _ = caller.write_all(start.as_bytes());
            let started = Instant::now();
            while started.elapsed() < TIMEOUT && caller.write_all(bytes.as_bytes()).is_ok() {}
        });
        let end = Instant::now() + TIMEOUT;
        while !flooding.is_finished() && Instant::now() < end {
            monoio::time::sleep(TICK).await;
        }
        assert!(flooding.is_finished(), "the caller is still read");
    });
    assert!(longest.get() < MAX_GAP, "held up for {:?}", longest.get());
}

// Guards against a VM that runs out of memory, as many servers send bodies without end at a time,
// each of which stays below the limit for one body. A small answer is read meanwhile.
#[test]
fn many_bodies_without_an_end_hold_a_bounded_number_of_bytes() {
    const FLOODS: usize = 100;
    let address = flood(CHUNKED, &format!("1000\r\n{}\r\n", "x".repeat(0x1000)));
    let (small, large) = (answer(4000), answer(1024 * 1024));
    let most = run(async move {
        assert_eq!(read(large, usize::MAX).await.unwrap().len(), 1024 * 1024);
        let reads: Vec<_> = (0..FLOODS)
            .map(|_| monoio::spawn(read(address, 8 * 1024 * 1024)))
            .collect();
        let mut most = 0;
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(500) {
            assert_eq!(read(small, usize::MAX).await.unwrap().len(), 4000);
            most = most.max(held_bytes());
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        for read in reads {
            assert!(read.await.is_err());
        }
        assert_eq!(read(large, usize::MAX).await.unwrap().len(), 1024 * 1024);
        most
    });
    assert!(most > 0 && most <= MAX_HELD_BYTES, "{most}");
    assert_eq!(held_bytes(), 0);
}
