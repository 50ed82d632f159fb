//! What a server still receives of sendings that were given up.
//!
//! The server reads nothing before the sending is over, as behind a link that swallows
//! bytes one way and heals.

#[path = "support/runtime.rs"]
mod runtime;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest};
use runtime::run;

/// Time for one exchange.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Deadline of a sending that the server does not take.
const SHORT_TIME: Duration = Duration::from_millis(300);
/// Time within which the system has ended it, with the pauses between its probes.
const ENDED: Duration = Duration::from_millis(2500);
/// Bytes that a server's system takes before the server reads.
const TAKEN: usize = 4096;
/// Bytes of a body of which the rest waits at the sender.
const BODY: usize = 256 * 1024;
/// Bytes beyond what the buffers of both sides hold.
const LONG_BODY: usize = 64 * 1024 * 1024;

fn listen() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(TAKEN).unwrap();
    listener
}

async fn open(listener: &TcpListener) -> (Connection, TcpStream) {
    let options = ConnectOptions {
        user_timeout: Some(CALL_TIME),
        ..ConnectOptions::default()
    };
    let connection = Connection::open(listener.local_addr().unwrap(), options);
    let connection = connection.await.unwrap();
    let (server, _) = listener.accept().unwrap();
    server.set_read_timeout(Some(CALL_TIME)).unwrap();
    (connection, server)
}

/// Guards against a request that reaches a server seconds after it was given up.
#[test]
fn nothing_of_an_abandoned_sending_arrives_later() {
    run(async {
        let listener = listen();
        let (mut connection, mut server) = open(&listener).await;
        let deadline = Instant::now() + CALL_TIME;
        let request = OutgoingRequest::get("/filings").body(vec![0_u8; BODY]);
        connection.send(&request, deadline).await.unwrap();
        drop(connection);
        let mut bytes = Vec::new();
        let read = server.read_to_end(&mut bytes);
        assert!(bytes.len() < BODY, "{} bytes arrived", bytes.len());
        assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
    });
}

#[test]
fn a_connection_closes_in_order_after_a_whole_exchange() {
    run(async {
        let listener = listen();
        let (mut connection, mut server) = open(&listener).await;
        let deadline = Instant::now() + CALL_TIME;
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

/// Guards against bytes that the system goes on sending for a process that is frozen past
/// the end of its request.
#[test]
fn the_system_ends_a_sending_at_its_deadline() {
    run(async {
        let listener = listen();
        let (mut connection, mut server) = open(&listener).await;
        let long = OutgoingRequest::get("/filings").body(vec![0_u8; LONG_BODY]);
        let sent = connection.send(&long, Instant::now() + SHORT_TIME).await;
        assert!(sent.is_err());
        // The connection stays open, as that of a frozen process does.
        std::thread::sleep(ENDED);
        let mut bytes = Vec::new();
        let read = server.read_to_end(&mut bytes);
        assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
        drop(connection);
    });
}
