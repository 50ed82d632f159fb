//! Servers in trouble that write bytes without end: requests of other services are answered in
//! time, those that met such a server go on elsewhere, and the gateway's memory is bounded.
//!
//! A gateway runs as a separate process on a fake of the fleet's platform. The flooding server is
//! an address in the list that belongs to this test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_dev::launch::{Fleet, block_on, get_json, post_json};
use pomeloridge_fleet_standin::caller::{generation, is_ready, request, send_request};
use serde_json::json;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time of a request to a sound service beside the floods.
const MAX_TIME: Duration = Duration::from_millis(1200);
/// Requests at a time that may meet the flooding server.
const FLOODED: usize = 40;
const SOUND: usize = 30;
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Resident memory that the gateway may take, in MB; a small VM has 160.
const MAX_MEMORY_MB: f64 = 100.0;
const WRITE_BYTES: usize = 512 * 1024;

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Starts a server that answers with `head`, its attempt's id included, and `unit` without end.
fn flood(head: &'static str, unit: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.3:0").unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = unit.repeat(WRITE_BYTES / unit.len());
    std::thread::spawn(move || {
        for mut connection in listener.incoming().map_while(Result::ok) {
            let bytes = bytes.clone();
            std::thread::spawn(move || {
                let mut request = Vec::new();
                let mut part = [0; 4096];
                while !request.windows(4).any(|window| window == b"\r\n\r\n") {
                    match connection.read(&mut part) {
                        Ok(count) if count > 0 => request.extend_from_slice(&part[..count]),
                        _ => return,
                    }
                }
                let text = String::from_utf8_lossy(&request).to_lowercase();
                let id = text
                    .lines()
                    .find_map(|line| line.strip_prefix("pomeloridge-attempt-id:"));
                let head = head.replace("ID", id.unwrap_or_default().trim());
                let _ = connection.write_all(head.as_bytes());
                while connection.write_all(bytes.as_bytes()).is_ok() {}
            });
        }
    });
    address
}

const NONE: &str = "";
const BODY: &str = "HTTP/1.1 200 OK\r\npomeloridge-attempt-id: ID\r\npomeloridge-server-seal: s\r\n\
    content-type: text/event-stream\r\n\r\n";
const LONG: &str = "HTTP/1.1 200 OK\r\npomeloridge-attempt-id: ID\r\npomeloridge-server-seal: s\r\n\
    content-length: 7000000\r\n\r\n";

// Guards against a gateway that serves nobody while a server writes bytes without end, and against
// one that runs out of memory by them.
#[parameterized(
    blank_lines = { NONE, "\r\n" },
    interim_heads = { NONE, "HTTP/1.1 100 Continue\r\n\r\n" },
    same_event = { BODY, "id: 1\ndata: t1\n\n" },
    comments = { BODY, ":\n\n" },
    no_event = { BODY, "x" },
    large_body = { LONG, "x" },
)]
fn floods_hold_up_no_other_request(head: &'static str, unit: &'static str) {
    let name = format!("floods-{}-{}", head.len(), unit.len());
    let fleet = Fleet::start_with(&name, 1, &["--archive", "1"]).unwrap();
    let gateway = &fleet.gateways[0];
    wait_until(|| block_on(is_ready(gateway.ready)));
    let server = flood(head, unit);
    for (listed, id) in [
        ("filings-0", "filings-flood"),
        ("assistant-decode-0", "assistant-flood"),
    ] {
        let key = format!("/-/objects/servers/{listed}");
        let mut entry = get_json(fleet.store, &key).unwrap()["spec"].clone();
        entry["address"] = json!(server.to_string());
        let body = json!({ "metadata": { "name": id }, "spec": entry });
        post_json(fleet.store, "/-/objects/servers", &body).unwrap();
    }
    // The sound route is of another service than the flooded ones.
    let config = get_json(fleet.store, "/-/objects/config/main").unwrap()["spec"].clone();
    let moved = pomeloridge_fleet_standin::operator::set_route(
        &config,
        "lodge",
        "service",
        &json!("archive"),
    );
    post_json(fleet.duties, "/-/config", &moved).unwrap();
    let log = fleet.folder.join("front-0.out");
    let adopted = format!("config version={} ", moved["version"]);
    wait_until(|| {
        let log = std::fs::read_to_string(&log).unwrap();
        log.contains("id=assistant-flood") && log.contains(&adopted)
    });
    let caller = gateway.caller;
    let flooded: Vec<_> = (0..FLOODED)
        .map(|index| {
            let attempt = format!("flooded-{index}");
            let message = if index % 2 == 0 {
                generation("ask", &attempt, 200)
            } else {
                request(Method::GET, "read", &attempt)
            };
            std::thread::spawn(move || {
                let answer = block_on(send_request(caller, None, &message));
                answer.is_ok_and(|(answer, _)| answer.status.is_success())
            })
        })
        .collect();
    let mut memory: f64 = 0.0;
    for index in 0..SOUND {
        let message = request(Method::POST, "lodge", &format!("sound-{index}"));
        let sent = Instant::now();
        let answer = block_on(send_request(caller, None, &message));
        let status = answer.map(|(answer, _)| answer.status.as_u16());
        assert_eq!(status.unwrap(), 200);
        assert!(
            sent.elapsed() < MAX_TIME,
            "request {index} took {:?}",
            sent.elapsed()
        );
        memory = memory.max(gateway.process.memory().unwrap());
        std::thread::sleep(SEND_INTERVAL);
    }
    assert!(memory < MAX_MEMORY_MB, "{memory} MB");
    let served = flooded.into_iter().filter_map(|task| task.join().ok());
    let served = served.filter(|served| *served).count();
    assert!(served * 2 >= FLOODED, "{served} of {FLOODED} were served");
}
