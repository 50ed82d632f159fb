//! Streams that are sent a moment later than 3 s after SIGTERM are taken, and cut before the grace
//! time ends.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::Wire;
use crate::server::{Reading, Server, Work};
use crate::{Setup, Verdict, config, loopback};

/// Time after SIGTERM up to which the rule excuses a long request.
const EXCUSED: Duration = Duration::from_secs(3);
/// Clients, and the times after SIGTERM at which the first one sends and by which the others follow.
const CLIENTS: u32 = 50;
const FIRST: Duration = Duration::from_millis(2960);
const STEP: Duration = Duration::from_millis(3);
/// A stream takes 8 s, within its time budget and its route's timeout of 10 s.
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(200);
const BUDGET: Duration = Duration::from_secs(10);

pub fn run(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "ficu95.example", "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": 10000, "targetLatencyMs": 600, "priority": 2, "service": service,
            "maxAttempts": 1, "public": false, "resumable": false, "gapAimMs": 300,
        })
    };
    let service = |name| json!({ "name": name, "healthPath": "/health", "maxConnections": 360 });
    let routes = json!([
        route("ask", "/ask/", "streaming", "geoassist"),
        route("read", "/read/", "idempotent", "filings"),
    ]);
    let services = json!([service("geoassist"), service("filings")]);
    setup.store.put("config", "main", config(routes, services));
    let start = |id, service, work| {
        let id = (id, service, "v1");
        let work = (work, Reading::AtOnce);
        Server::start(id, loopback(2), work, &setup.store, record)
    };
    let stream = Work::Stream(EVENTS, PAUSE);
    let models = [
        start("i-one", "geoassist", stream)?,
        start("i-two", "geoassist", stream)?,
    ];
    let _filings = start("i-three", "filings", Work::Answer(Duration::from_millis(5)))?;
    let gateway = match setup.gateway(1) {
        Ok(gateway) => gateway,
        Err(reason) => return Ok(Verdict::CannotRun(reason)),
    };
    std::thread::sleep(Duration::from_millis(4045));
    let channels: io::Result<Vec<Wire>> = (0..CLIENTS)
        .map(|number| keep(gateway.front, number))
        .collect();
    let channels = channels?;
    record.note(format!("clients: {CLIENTS} channels, each with one answer"));
    if setup.trouble {
        gateway.signal(libc::SIGTERM, "SIGTERM");
    }
    // Taken after the signal, so that no request counts as later than it was.
    let signalled = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .zip(channels)
        .map(|(number, mut wire)| {
            std::thread::spawn(move || {
                let at = signalled + FIRST + STEP * number;
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let attempt = format!("ask-{number}");
                let sent = signalled.elapsed();
                let mut events = 0;
                let outcome = ask(&mut wire, &attempt, &mut events);
                (attempt, sent, events, outcome, signalled.elapsed())
            })
        })
        .collect();
    let (mut cut, mut complete) = (0, 0);
    for client in clients {
        let (attempt, sent, events, outcome, ended) = client.join().unwrap();
        let mut received = models.iter().map(|server| server.received.lock().unwrap());
        let is_passed = received.any(|received| received.contains(&attempt));
        let text = match &outcome {
            Ok(200) => "complete".to_owned(),
            Ok(status) => format!("status {status}"),
            Err(error) => format!("channel ended ({error})"),
        };
        record.note(format!(
            "client {attempt}: sent {:.3} s after SIGTERM, passed on to a server: {is_passed}, \
             {events} of {EVENTS} events, {text} after {:.3} s",
            sent.as_secs_f64(),
            (ended - sent).as_secs_f64()
        ));
        complete += usize::from(matches!(outcome, Ok(200)));
        let is_lost = outcome.is_err() && is_passed && ended - sent < BUDGET;
        cut += usize::from(is_lost && sent > EXCUSED);
    }
    record.note(format!(
        "complete: {complete}; sent later than 3 s, passed on and cut: {cut}"
    ));
    Ok(if cut > 0 {
        Verdict::Broken(format!(
            "LOST: {cut} streams that were sent later than 3 s after SIGTERM were cut"
        ))
    } else {
        Verdict::Held
    })
}

fn headers(attempt: &str) -> [(&str, &str); 4] {
    [
        ("host", "ficu95.example"),
        ("pomeloridge-attempt-id", attempt),
        ("pomeloridge-deadline-ms", "10000"),
        ("pomeloridge-key", "3fexd9dnn2ctnfzs989a"),
    ]
}

/// Opens a channel and gets an answer on it.
fn keep(front: SocketAddr, number: u32) -> io::Result<Wire> {
    let mut wire = Wire::connect(front)?;
    let attempt = format!("read-{number}");
    wire.write_request("GET", "/read/1", &headers(&attempt), b"")?;
    let (_, answer) = wire.read_status()?;
    wire.read_body(&answer)?;
    Ok(wire)
}

fn ask(wire: &mut Wire, attempt: &str, events: &mut u64) -> io::Result<u16> {
    wire.write_request("POST", "/ask/1", &headers(attempt), b"a question")?;
    let (status, answer) = wire.read_status()?;
    if status != 200 {
        wire.read_body(&answer)?;
        return Ok(status);
    }
    loop {
        let chunk = wire.read_chunk()?;
        if chunk.is_empty() {
            return Ok(200);
        }
        *events += String::from_utf8_lossy(&chunk).matches("id: ").count() as u64;
    }
}
