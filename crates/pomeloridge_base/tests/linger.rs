//! The rest of a refused request, which is read before its connection is closed.

#[path = "support/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{Limits, Responder, Response, Server};
use runtime::run;

const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a connection is closed whatever its caller sends.
const MAX_LINGER_TIME: Duration = Duration::from_secs(4);
/// Time of an answer to another caller meanwhile.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const LARGE: &[u8] = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000000000\r\n\r\n";

/// Sends a request without an end until the connection breaks. Returns how long that took.
fn flood(address: SocketAddr) -> Duration {
    let mut caller = TcpStream::connect(address).unwrap();
    let started = Instant::now();
    caller.write_all(LARGE).unwrap();
    while started.elapsed() < MAX_LINGER_TIME * 2 {
        if caller.write_all(&[b'x'; 16 * 1024]).is_err() {
            break;
        }
    }
    started.elapsed()
}

fn answer_time(address: SocketAddr) -> Duration {
    let mut caller = TcpStream::connect(address).unwrap();
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let started = Instant::now();
    caller.write_all(REQUEST).unwrap();
    let mut answer = [0; 12];
    caller.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200");
    started.elapsed()
}

/// Guards against callers that send without an end: each is closed after a time, and others are
/// answered meanwhile.
#[test]
fn a_refused_request_without_an_end_is_closed() {
    run(async {
        let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let stops = Rc::new(Cell::new(false));
        let stopping = Rc::clone(&stops);
        let server = Rc::new(Server {
            limits: Cell::new(Limits::default()),
            handler: async |request: Result<_, _>, responder: &mut Responder| {
                let status = if request.is_ok() { 200 } else { 413 };
                responder.send(Response::new(status, "")).await.unwrap();
            },
            stopping: move || stopping.get(),
        });
        let serving = monoio::spawn(server.run(listener));
        let floods: Vec<_> = (0..4)
            .map(|_| std::thread::spawn(move || flood(address)))
            .collect();
        monoio::time::sleep(Duration::from_millis(300)).await;
        let other = std::thread::spawn(move || answer_time(address));
        while !other.is_finished() || floods.iter().any(|flood| !flood.is_finished()) {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(other.join().unwrap() < MAX_ANSWER_TIME);
        for flood in floods {
            let taken = flood.join().unwrap();
            assert!(taken < MAX_LINGER_TIME, "{taken:?}");
        }
        stops.set(true);
        serving.await;
    });
}
