//! Requests that wait to learn whether a server has crashed.
//!
//! The servers are part of the test and registered in the object service of the fleet's fake.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_dev::launch::{Fleet, block_on, post_json};
use pomeloridge_fleet_standin::caller::{is_ready, request, send_request};
use serde_json::json;
use socket2::{Domain, Socket, Type};

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the caller waits.
const DEADLINE: Duration = Duration::from_millis(700);
/// Connections that fill the queue of a listener.
const QUEUED: usize = 4;

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Starts a server and returns its address. It answers requests of attempts named `known` and falls
/// silent at the first other one.
fn serve(falls_silent: impl FnOnce(TcpListener, TcpStream) + Send + 'static) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    // The queue is short, so that it can be filled.
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        loop {
            let (mut connection, _) = listener.accept().unwrap();
            let Some(head) = read_head(&mut connection) else {
                continue;
            };
            let attempt = head
                .lines()
                .find_map(|line| line.strip_prefix("pomeloridge-attempt-id: "));
            let attempt = attempt.unwrap_or_default();
            if !attempt.starts_with("known") {
                return falls_silent(listener, connection);
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\npomeloridge-attempt-id: {attempt}\r\n\
                 pomeloridge-server-seal: seal\r\nconnection: close\r\ncontent-length: 4\r\n\r\ndone"
            );
            connection.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

/// Reads the head of a request; `None` if the connection ends before.
fn read_head(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            return Some(String::from_utf8_lossy(&bytes[..end]).into_owned());
        }
        match connection.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Ends as a crashed server does: nothing listens any more.
fn crash(listener: TcpListener, connection: TcpStream) {
    drop(listener);
    drop(connection);
}

/// Takes no further connection and sends nothing, as a server does that is cut off.
fn cut_off(listener: TcpListener, connection: TcpStream) {
    let address = listener.local_addr().unwrap();
    let queued: Vec<Socket> = (0..QUEUED)
        .map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            // Those beyond the queue stay in progress.
            let _ = socket.connect(&address.into());
            socket
        })
        .collect();
    std::thread::sleep(TIMEOUT);
    drop((listener, connection, queued));
}

fn register(fleet: &Fleet, id: &str, address: SocketAddr) {
    let entry = json!({
        "service": "filings", "address": address.to_string(), "zone": "dc-1", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
    });
    let body = json!({ "metadata": { "name": id }, "spec": entry });
    post_json(fleet.store, "/-/objects/servers", &body).unwrap();
}

/// Returns the request under test, which has the same fingerprint in all attempts.
fn suspect(attempt: &str, deadline: Duration) -> OutgoingRequest {
    let mut message = request(Method::POST, "read", attempt);
    message.headers.remove("pomeloridge-deadline-ms");
    message.with_header("pomeloridge-deadline-ms", &deadline.as_millis().to_string())
}

/// Guards against answering a request after its deadline, as it waits to learn whether the server
/// at which it was lost has crashed.
#[test]
fn a_request_does_not_wait_for_a_probe_beyond_its_deadline() {
    let none = ["--decode", "0", "--prefill", "0", "--plain", "0"];
    let fleet = Fleet::start_with("crash-probe", 1, &none).unwrap();
    let gateway = &fleet.gateways[0];
    wait_until(|| block_on(is_ready(gateway.ready)));
    let send = |message: &OutgoingRequest| {
        let answer = block_on(send_request(gateway.caller, None, message));
        answer.map(|(answer, _)| answer)
    };
    let mut number = 0;
    let mut wait_until_known = || {
        wait_until(|| {
            number += 1;
            let known = request(Method::GET, "open", &format!("known{number}"));
            send(&known).is_ok_and(|answer| answer.status == 200)
        });
    };
    // After two crashes a request waits for the result of the next probe.
    for id in ["filings-0", "filings-1"] {
        register(&fleet, id, serve(crash));
        wait_until_known();
        let answer = send(&suspect(id, TIMEOUT)).unwrap();
        assert_ne!(answer.status, 200);
    }
    register(&fleet, "filings-2", serve(cut_off));
    wait_until_known();
    let log = || std::fs::read_to_string(fleet.folder.join("front-0.out")).unwrap();
    wait_until(|| log().matches("choice=ended").count() == 2);
    let answer = send(&suspect("late", DEADLINE)).unwrap();
    assert_eq!(answer.status, 504, "{answer:?}");
    // The answer does not wait for the probe, which ends later, however busy the machine is.
    wait_until(|| log().contains("outcome=unreachable"));
    let log = log();
    let line = |text: &str| log.lines().position(|line| line.contains(text));
    let answered = line("request id=late outcome=").unwrap();
    assert!(answered < line("outcome=unreachable").unwrap(), "{log}");
}
