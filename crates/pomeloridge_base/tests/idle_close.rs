//! Requests that arrive on a kept connection just before the server closes it, and answers that say
//! that it closes.

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

/// Guards against closing a connection under a caller that reckons with the idle time of another
/// configuration: one that has just been extended, or one that was shortened since the connection
/// was opened.
#[parameterized(
    extended_while_it_waits = { IDLE_TIME, IDLE_TIME * 20, false },
    shortened_before_a_request = { IDLE_TIME * 20, IDLE_TIME, true },
)]
fn the_longest_idle_time_of_a_connection_holds(
    before: Duration,
    after: Duration,
    has_request: bool,
) {
    run(async move {
        let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let (stream, peer) = pomeloridge_base::net::accept(&listener).await.unwrap();
        let limits = |idle_time| Limits {
            idle_time,
            ..Limits::default()
        };
        let answered = Rc::new(Cell::new(0));
        let answers = Rc::clone(&answered);
        let last = 1 + usize::from(has_request);
        let server = Rc::new(Server {
            limits: Cell::new(limits(before)),
            handler: async move |_, responder: &mut Responder| {
                if answers.get() + 1 == last {
                    responder.close_after();
                }
                responder.send(Response::new(200, "")).await.unwrap();
                answers.set(answers.get() + 1);
            },
            stopping: || false,
        });
        let serving = Rc::clone(&server);
        let task = monoio::spawn(async move { serving.serve_connection(stream, peer).await });
        monoio::time::sleep(IDLE_TIME / 2).await;
        server.limits.set(limits(after));
        if has_request {
            caller.write_all(REQUEST).unwrap();
        }
        monoio::time::sleep(IDLE_TIME * 5).await;
        caller.write_all(REQUEST).unwrap();
        task.await;
        assert_eq!(answered.get(), last);
    });
}

/// Guards against closing a connection after an answer that does not say so, as the stop began after
/// the request: the caller's next request would be lost.
#[parameterized(
    whole = { false },
    stream = { true },
)]
fn an_answer_that_begins_within_a_stop_says_that_its_connection_closes(is_stream: bool) {
    run(async move {
        let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let (stream, peer) = pomeloridge_base::net::accept(&listener).await.unwrap();
        let is_stop = Rc::new(Cell::new(false));
        let stop = Rc::clone(&is_stop);
        let server = Server {
            limits: Cell::new(Limits::default()),
            handler: async move |_, responder: &mut Responder| {
                let is_stopping = Rc::clone(&stop);
                responder.close_if(move || is_stopping.get());
                stop.set(true);
                if is_stream {
                    let headers = http::HeaderMap::new();
                    let started = responder.start(http::StatusCode::OK, &headers).await;
                    started.unwrap();
                    responder.finish().await.unwrap();
                } else {
                    responder.send(Response::new(200, "")).await.unwrap();
                }
            },
            stopping: || false,
        };
        caller.write_all(REQUEST).unwrap();
        server.serve_connection(stream, peer).await;
        let mut answer = String::new();
        caller.read_to_string(&mut answer).unwrap();
        assert!(answer.contains("connection: close\r\n"), "{answer:?}");
    });
}
