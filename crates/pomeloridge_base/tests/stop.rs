//! Connections that wait to be accepted when a server stops.

#[path = "support/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::http::{Limits, Responder, Response, Server};
use runtime::run;

/// Timeout of reads on the caller's side.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the server's thread is busy; longer than a stopping server accepts.
const BUSY_TIME: Duration = Duration::from_millis(700);
const CALLERS: usize = 3;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against resetting connections that were opened before the listener closes, as the
/// server's thread was too busy to accept them in time.
#[test]
fn connections_that_wait_are_served_before_the_listener_closes() {
    run(async {
        let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let checked = Rc::new(Cell::new(false));
        let checks = Rc::clone(&checked);
        let server = Rc::new(Server {
            limits: Cell::new(Limits::default()),
            handler: async |_, responder: &mut Responder| {
                responder.send(Response::new(200, "")).await.unwrap();
            },
            stopping: move || {
                checks.set(true);
                true
            },
        });
        let serving = monoio::spawn(server.run(listener));
        while !checked.get() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let callers = (0..CALLERS).map(|_| {
            let mut caller = TcpStream::connect(address).unwrap();
            caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
            caller.write_all(REQUEST).unwrap();
            caller
        });
        let callers: Vec<TcpStream> = callers.collect();
        std::thread::sleep(BUSY_TIME);
        serving.await;
        for mut caller in callers {
            let mut answer = String::new();
            caller.read_to_string(&mut answer).unwrap();
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        }
    });
}
