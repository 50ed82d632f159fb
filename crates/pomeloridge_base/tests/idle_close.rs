//! Requests that arrive on a kept connection just before the server closes it.

#[path = "support/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{Limits, Responder, Response, Server};
use runtime::run;
use yare::parameterized;

const IDLE_TIME: Duration = Duration::from_millis(100);
/// Timeout of reads on the caller's side.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against closing a connection without an answer while a request waits to be read, as
/// the server's thread was busy.
#[parameterized(
    idle = { false },
    stopping = { true },
)]
fn a_request_that_waits_to_be_read_is_answered(is_stop: bool) {
    run(async move {
        let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let (stream, peer) = pomeloridge_base::net::accept(&listener).await.unwrap();
        let sender = caller.try_clone().unwrap();
        let (started, sent) = (Instant::now(), Cell::new(false));
        let server = Server {
            limits: Cell::new(Limits {
                idle_time: IDLE_TIME,
                ..Limits::default()
            }),
            handler: async |_, responder: &mut Responder| {
                responder.send(Response::new(200, "")).await.unwrap();
            },
            // The request arrives between the server's last read and the decision to close.
            stopping: move || {
                if started.elapsed() >= IDLE_TIME && !sent.replace(true) {
                    (&sender).write_all(REQUEST).unwrap();
                }
                is_stop && sent.get()
            },
        };
        server.serve_connection(stream, peer).await;
        let mut answer = String::new();
        caller.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    });
}

/// Guards against closing a connection after an idle time that a new configuration has extended.
#[test]
fn a_longer_idle_time_holds_for_connections_that_wait() {
    run(async {
        let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let (stream, peer) = pomeloridge_base::net::accept(&listener).await.unwrap();
        let limits = |idle_time| Limits {
            idle_time,
            ..Limits::default()
        };
        let server = Rc::new(Server {
            limits: Cell::new(limits(IDLE_TIME)),
            handler: async |_, responder: &mut Responder| {
                responder.close_after();
                responder.send(Response::new(200, "")).await.unwrap();
            },
            stopping: || false,
        });
        let serving = Rc::clone(&server);
        let task = monoio::spawn(async move { serving.serve_connection(stream, peer).await });
        monoio::time::sleep(IDLE_TIME / 2).await;
        server.limits.set(limits(IDLE_TIME * 20));
        monoio::time::sleep(IDLE_TIME * 5).await;
        caller.write_all(REQUEST).unwrap();
        task.await;
        let mut answer = String::new();
        caller.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    });
}
