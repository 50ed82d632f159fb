//! Servers read long bodies slowly, and the gateway holds them all.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::Wire;
use crate::record::Record;
use crate::server::{Reading, Server, Work};
use crate::{Setup, Verdict, config, loopback};

/// Memory of a machine in the site file, in bytes; a process over it is killed.
const MEMORY: u64 = 260 * 1024 * 1024;
/// Long requests, and the length of each: within `maxBodyBytes`.
const LONG: usize = 60;
const LENGTH: usize = 4_000_000;
/// Pause from one long request to the next.
const PAUSE: Duration = Duration::from_millis(100);
/// Clients with kept channels at the sound service.
const CLIENTS: usize = 10;
const WORK: Duration = Duration::from_millis(200);

/// How the last request of a client's kept channel ended.
struct Last {
    attempt: String,
    /// Answers on the channel before.
    answers: usize,
    /// Why it got no answer; `None` if it got one.
    failure: Option<String>,
}

pub fn run(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let route = |name: &str, prefix: &str, service: &str, timeout: u32| {
        json!({
            "name": name, "host": "ficu95.example", "pathPrefix": prefix,
            "routeType": "non_idempotent", "timeoutMs": timeout, "targetLatencyMs": 600,
            "priority": 2, "service": service, "maxAttempts": 1, "public": false,
        })
    };
    let service = |name| json!({ "name": name, "healthPath": "/health", "maxConnections": 360 });
    let routes = json!([
        route("lodge", "/lodge/", "filings", 2500),
        route("attach", "/attach/", "archive", 10000),
    ]);
    let services = json!([service("filings"), service("archive")]);
    setup.store.put("config", "main", config(routes, services));
    let reading = if setup.trouble {
        Reading::Slowly
    } else {
        Reading::AtOnce
    };
    let start = |id, service, reading| {
        let work = (Work::Answer(WORK), reading);
        Server::start((id, service, "v1"), loopback(2), work, &setup.store, record)
    };
    let filings = [
        start("i-filings-1", "filings", Reading::AtOnce)?,
        start("i-filings-2", "filings", Reading::AtOnce)?,
    ];
    let _archive = [
        start("i-archive-1", "archive", reading)?,
        start("i-archive-2", "archive", reading)?,
    ];
    let mut gateway = match setup.gateway(1) {
        Ok(gateway) => gateway,
        Err(reason) => return Ok(Verdict::CannotRun(reason)),
    };
    std::thread::sleep(Duration::from_millis(1000));
    let front = gateway.front;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record) = (Arc::clone(&stop), record.clone());
            std::thread::spawn(move || lodge(front, number, &stop, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1500));
    record.note(format!("gateway uses {} MiB", gateway.memory() >> 20));
    let sent: Vec<_> = (0..LONG)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(PAUSE * number as u32);
                let attempt = format!("attach-{number}");
                record.note(format!("client sends {attempt}, {LENGTH} bytes"));
                let outcome = attach(front, &attempt);
                record.note(format!("client has for {attempt}: {outcome:?}"));
                outcome.is_ok_and(|status| status == 200)
            })
        })
        .collect();
    // The platform kills a process that exceeds its memory.
    let end = Instant::now() + PAUSE * LONG as u32 + Duration::from_secs(6);
    let (mut highest, mut killed) = (0, false);
    while Instant::now() < end && !killed {
        let memory = gateway.memory();
        if memory >> 24 > highest >> 24 {
            record.note(format!("gateway uses {} MiB", memory >> 20));
        }
        highest = highest.max(memory);
        if memory > MEMORY {
            record.note("platform kills the gateway: it exceeds memoryMb=260");
            gateway.kill();
            killed = true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::SeqCst);
    let last: Vec<Last> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    let answered = sent
        .into_iter()
        .filter_map(|sent| sent.join().ok())
        .filter(|ok| *ok)
        .count();
    record.note(format!(
        "long requests answered with 200: {answered} of {LONG}"
    ));
    record.note(format!(
        "highest memory of the gateway: {} MiB",
        highest >> 20
    ));
    let mut lost = 0;
    for Last {
        attempt,
        answers,
        failure,
    } in &last
    {
        let is_passed = filings
            .iter()
            .any(|server| server.received.lock().unwrap().contains(attempt));
        record.note(format!(
            "client of {attempt}: {answers} answers on its channel before; passed on to a server: \
             {is_passed}; its end: {}",
            failure.as_deref().unwrap_or("answered")
        ));
        lost += usize::from(failure.is_some() && is_passed && *answers > 0);
    }
    record.note(format!(
        "requests of kept channels that were passed on to a sound server and whose channel ended \
         without an answer: {lost}"
    ));
    if !killed && last.iter().any(|last| last.failure.is_some()) && gateway.has_ended() {
        return Ok(Verdict::CannotRun("the gateway has ended".to_owned()));
    }
    Ok(if lost > 3 {
        Verdict::Broken(format!(
            "LOST: {lost} requests of kept channels got no answer; the process held {} MiB",
            highest >> 20
        ))
    } else {
        Verdict::Held
    })
}

/// Sends small requests on one channel, one after the other.
fn lodge(front: SocketAddr, number: usize, stop: &AtomicBool, record: &Record) -> Last {
    let mut last = Last {
        attempt: String::new(),
        answers: 0,
        failure: None,
    };
    let mut wire = match Wire::connect(front) {
        Ok(wire) => wire,
        Err(error) => {
            last.failure = Some(error.to_string());
            return last;
        }
    };
    while !stop.load(Ordering::SeqCst) {
        last.attempt = format!("lodge-{number}-{}", last.answers);
        match exchange(&mut wire, "/lodge/1", &last.attempt, "2500", b"a filing") {
            Ok(200) => last.answers += 1,
            Ok(status) => {
                record.note(format!("client has for {}: status {status}", last.attempt));
                last.answers += 1;
            }
            Err(error) => {
                last.failure = Some(format!("channel ended without an answer ({error})"));
                return last;
            }
        }
    }
    last
}

fn attach(front: SocketAddr, attempt: &str) -> io::Result<u16> {
    let mut wire = Wire::connect(front)?;
    exchange(
        &mut wire,
        "/attach/1",
        attempt,
        "10000",
        &vec![b'x'; LENGTH],
    )
}

fn exchange(wire: &mut Wire, path: &str, attempt: &str, ms: &str, body: &[u8]) -> io::Result<u16> {
    let headers = [
        ("host", "ficu95.example"),
        ("pomeloridge-attempt-id", attempt),
        ("pomeloridge-deadline-ms", ms),
        ("pomeloridge-key", "3fexd9dnn2ctnfzs989a"),
    ];
    wire.write_request("POST", path, &headers, body)?;
    let (status, headers) = wire.read_status()?;
    wire.read_body(&headers)?;
    Ok(status)
}
