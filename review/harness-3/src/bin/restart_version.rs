//! ORDER: a server that has ended starts again under its id and address with another software
//! version while the store is down. Streams of the former version go on there.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use review_harness_3::gateway::{Gateway, finish};
use review_harness_3::http::Message;
use review_harness_3::runner::{Runner, begin_stream, entry, sealed, unix_ms, write_chunk};
use review_harness_3::store::Store;
use review_harness_3::{client, pause, record, sleep_until, trouble};
use serde_json::{Value, json};

const ID: &str = "model-a";
const CLIENTS: usize = 6;
const EVENTS: u64 = 25;
const EVENT_MS: u64 = 100;
/// The store is down in this span, with the disruption.
const DOWN_MS: std::ops::Range<u64> = 3500..8000;
/// When the server's process ends, and when it starts again.
const ENDED_MS: u64 = 4000;
const STARTED_MS: u64 = 5500;
const CLIENT_MS: u64 = 10_000;

fn main() {
    record::open();
    let store = Store::start();
    store.put("config", "main", config());
    let mut server = start(([127, 0, 0, 1], 0).into(), "1");
    let address = server.address;
    store.put("servers", ID, with_stage(entry("recall-model", address, "1", unix_ms(), 64)));
    record::line(&format!("store: {ID} is listed with version 1"));
    let gateway = Gateway::start("front-1", "zone-a", &store);
    gateway.wait_ready();
    sleep_until(3000);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let caller = gateway.caller;
            std::thread::spawn(move || follow(number, caller))
        })
        .collect();
    sleep_until(DOWN_MS.start);
    if trouble() {
        store.set_down(true);
        record::line("store: down");
    }
    sleep_until(ENDED_MS);
    server.kill();
    record::line(&format!("{ID}: its process has ended"));
    sleep_until(STARTED_MS);
    let written = json!(entry("recall-model", address, "2", unix_ms(), 64));
    if !store.is_down() {
        store.put("servers", ID, with_stage(written.clone()));
        record::line(&format!("store: {ID} is listed with version 2"));
    }
    let _second = start(address, "2");
    record::line(&format!("{ID}: started again under its id and address, with version 2"));
    sleep_until(DOWN_MS.end);
    if store.is_down() {
        store.set_down(false);
        record::line("store: up again");
        store.put("servers", ID, with_stage(written));
        record::line(&format!("store: {ID} is listed with version 2"));
    }
    let streams: Vec<Vec<(u64, String)>> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let texts = ["id=model-a choice=eject", "request id=c0", "state="];
    for line in gateway.log_lines(&texts) {
        record::line(&format!("log of front-1: {line}"));
    }
    let mut joined = 0;
    let mut begun = 0;
    for (number, events) in streams.iter().enumerate() {
        let mut versions: Vec<&str> = events.iter().map(|(_, text)| text.as_str()).collect();
        versions.dedup();
        begun += usize::from(!events.is_empty());
        joined += usize::from(versions.len() > 1);
        record::say(&format!(
            "stream c{number}: {} events, of versions {versions:?}",
            events.len()
        ));
    }
    record::say(&format!("{joined} streams hold events of two versions; the rule allows 2"));
    if begun < CLIENTS {
        finish(2);
    }
    finish(i32::from(joined > 2))
}

/// Follows a stream over several tries. Returns its events with the versions that wrote them.
fn follow(number: usize, gateway: SocketAddr) -> Vec<(u64, String)> {
    let begin = record::now_ms();
    let first = format!("c{number}-0");
    let mut events: Vec<(u64, String)> = Vec::new();
    for attempt in 0.. {
        let left = (begin + CLIENT_MS).saturating_sub(record::now_ms());
        if left == 0 || attempt > 8 {
            break;
        }
        let (id, left) = (format!("c{number}-{attempt}"), left.to_string());
        let last = events.last().map(|(id, _)| id.to_string());
        let mut headers = vec![
            ("Host", "model.example"),
            ("Pomeloridge-Attempt-Id", id.as_str()),
            ("Pomeloridge-Deadline-Ms", left.as_str()),
            ("Pomeloridge-Key", "key-of-anna"),
            ("Pomeloridge-Model", "m"),
            ("Pomeloridge-Token-Counts", "200,40"),
            ("Pomeloridge-Prompt-Prefix", "5c1e07a2:120,91bd3f06:80"),
        ];
        if let Some(last) = &last {
            headers.push(("Last-Event-Id", last.as_str()));
            headers.push(("Resumes", first.as_str()));
        }
        let got = client::send(gateway, "POST /ask/x", &headers, "{}", Duration::from_secs(2));
        record::line(&format!(
            "client: {id} after event {} got status {}, events {:?}, complete {}",
            last.unwrap_or_else(|| "none".into()),
            got.status,
            got.events.iter().map(|(id, text)| format!("{id}:v{text}")).collect::<Vec<_>>(),
            got.is_complete && got.status == 200,
        ));
        events.extend(got.events.clone());
        if got.is_complete && got.status == 200 {
            break;
        }
        pause(got.retry_after_ms().unwrap_or(50));
    }
    events
}

/// Starts a process of the server, which writes events of its version.
fn start(address: SocketAddr, version: &'static str) -> Runner {
    Runner::start(address, move |request: &Message, stream: &mut TcpStream| {
        let attempt = request.header("pomeloridge-attempt-id").unwrap_or("none").to_owned();
        if request.header("pomeloridge-expect-instance") != Some(ID) {
            return stream.write_all(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
        }
        let last = request.header("last-event-id");
        let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
        record::line(&format!("{ID} (version {version}) runs {attempt} after event {last}"));
        let mut headers = sealed(request);
        headers.push(("Pomeloridge-Server-Load".to_owned(), "1,0,64".to_owned()));
        begin_stream(stream, &headers)?;
        for event in last + 1..=EVENTS {
            pause(EVENT_MS);
            write_chunk(stream, &format!("id: {event}\ndata: {version}\n\n"))?;
        }
        write_chunk(stream, "")
    })
}

fn with_stage(mut entry: Value) -> Value {
    entry["stage"] = json!("decode");
    entry
}

fn config() -> Value {
    json!({
        "version": 4,
        "routes": [{ "name": "ask", "host": "model.example", "pathPrefix": "/ask/",
                     "routeType": "streaming", "resumable": true, "timeoutMs": 10000,
                     "targetLatencyMs": 500, "gapAimMs": 250, "priority": 1,
                     "service": "recall-model", "maxAttempts": 2 }],
        "services": [{ "name": "recall-model", "healthPath": "/health", "maxConnections": 600,
                       "engine": { "slots": 64, "kvCapacity": 500_000, "kvTokenBytes": 35136,
                                   "linkMbps": 550_000.0, "kvHoldS": 5.0, "reconfigS": 3.0,
                                   "stride": 1 } }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "anna", "apiKeys": ["key-of-anna"], "priority": 1 }],
    })
}
