//! Bytes that a server receives after the client has abandoned the request.
//!
//! The server reads nothing until then, as behind a link that loses packets in one direction
//! for a while.

#[path = "support/runtime.rs"]
mod runtime;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest};
use runtime::run;

/// Timeout of an exchange.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a request that the server does not read.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which the kernel resets the connection, including the intervals between its
/// probes.
const RESET_TIME: Duration = Duration::from_millis(2500);
/// Receive buffer of the server.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Size of a body that partly stays in the client's send buffer.
const BODY_BYTES: usize = 256 * 1024;
/// Size of a body beyond the buffers of both sides.
const LONG_BODY_BYTES: usize = 64 * 1024 * 1024;

fn listen() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    listener
}

async fn open(listener: &TcpListener) -> (Connection, TcpStream) {
    let options = ConnectOptions {
        user_timeout: Some(CALL_TIMEOUT),
        ..ConnectOptions::default()
    };
    let connection = Connection::open(listener.local_addr().unwrap(), options);
    let connection = connection.await.unwrap();
    let (server, _) = listener.accept().unwrap();
    server.set_read_timeout(Some(CALL_TIMEOUT)).unwrap();
    (connection, server)
}

/// Guards against a request that reaches a server seconds after the client dropped it.
#[test]
fn an_abandoned_request_does_not_arrive_later() {
    run(async {
        let listener = listen();
        let (mut connection, mut server) = open(&listener).await;
        let deadline = Instant::now() + CALL_TIMEOUT;
        let request = OutgoingRequest::get("/filings").body(vec![0_u8; BODY_BYTES]);
        connection.send(&request, deadline).await.unwrap();
        drop(connection);
        let mut bytes = Vec::new();
        let read = server.read_to_end(&mut bytes);
        assert!(bytes.len() < BODY_BYTES, "{} bytes arrived", bytes.len());
        assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
    });
}

#[test]
fn a_connection_closes_cleanly_after_a_complete_exchange() {
    run(async {
        let listener = listen();
        let (mut connection, mut server) = open(&listener).await;
        let deadline = Instant::now() + CALL_TIMEOUT;
        let sent = connection
            .send(&OutgoingRequest::get("/filings"), deadline)
            .await;
        sent.unwrap();
        server
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            .unwrap();
        assert_eq!(
            connection.read_response(deadline).await.unwrap().status,
            200
        );
        drop(connection);
        let mut bytes = Vec::new();
        server.read_to_end(&mut bytes).unwrap();
        assert!(bytes.starts_with(b"GET /filings"));
    });
}

/// Guards against bytes that the kernel goes on sending for a process that is frozen past its
/// request's deadline.
#[test]
fn the_kernel_stops_sending_at_the_deadline() {
    run(async {
        let listener = listen();
        let (mut connection, mut server) = open(&listener).await;
        let long = OutgoingRequest::get("/filings").body(vec![0_u8; LONG_BODY_BYTES]);
        let sent = connection.send(&long, Instant::now() + SHORT_TIMEOUT).await;
        assert!(sent.is_err());
        // The connection is not dropped yet, as in a frozen process.
        std::thread::sleep(RESET_TIME);
        let mut bytes = Vec::new();
        let read = server.read_to_end(&mut bytes);
        assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
        drop(connection);
    });
}
