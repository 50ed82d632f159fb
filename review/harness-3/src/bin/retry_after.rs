//! BUDGET: a server that has asked a gateway to send nothing for 20 s gets bookings from it as soon as
//! its entry in the store has lapsed and come back. Those in hand are lost as its process ends.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use review_harness_3::gateway::{Gateway, finish};
use review_harness_3::runner::{Runner, entry, sealed, unix_ms};
use review_harness_3::store::Store;
use review_harness_3::{client, http, pause, record, sleep_until, trouble};
use serde_json::json;

/// Interval of the status reports (heartbeatMs).
const REPORT_MS: u64 = 1200;
/// When the server is full, and for how long it asks for quiet.
const FULL_MS: std::ops::Range<u64> = 4000..5000;
const QUIET_MS: u64 = 20_000;
/// The server's reports fail in this span, with the disruption.
const SILENT_MS: std::ops::Range<u64> = 4000..9000;
/// When the server's process ends.
const ENDED_MS: u64 = 14_000;
const WORK_MS: u64 = 100;
const END_MS: u64 = 16_000;

fn main() {
    record::open();
    let store = Store::start();
    store.put("config", "main", config());
    // When the server first asked for quiet, and the requests that reached it later.
    let asked: Arc<Mutex<Option<u64>>> = Arc::default();
    let late: Arc<Mutex<Vec<u64>>> = Arc::default();
    // When the clients sent their bookings.
    let sent_at: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    // Bookings that desk-a has begun to run.
    let begun: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut tired = None;
    let mut servers = Vec::new();
    for id in ["desk-a", "desk-b", "desk-c", "desk-d", "desk-e", "desk-f", "desk-g"] {
        let (asked, late) = (Arc::clone(&asked), Arc::clone(&late));
        let (begun, sent_at) = (Arc::clone(&begun), Arc::clone(&sent_at));
        let is_tired = id == "desk-a";
        let server = Runner::start(([127, 0, 0, 1], 0).into(), move |request, stream| {
            let attempt = request.header("pomeloridge-attempt-id").unwrap_or("none").to_owned();
            let now = record::now_ms();
            if is_tired {
                let asked_at = *asked.lock().unwrap();
                if asked_at.is_some_and(|at| now > at + 500 && now < at + QUIET_MS) {
                    late.lock().unwrap().push(now);
                    let sent_at = sent_at.lock().unwrap().get(&attempt).copied().unwrap_or_default();
                    record::line(&format!(
                        "desk-a gets {attempt} in its quiet time, sent by its client at {sent_at} ms"
                    ));
                }
            }
            if is_tired && FULL_MS.contains(&now) {
                let mut first = asked.lock().unwrap();
                let end = *first.get_or_insert(now) + QUIET_MS;
                drop(first);
                let wait = format!("{:.3}", (end - now) as f64 / 1000.0);
                record::line(&format!("desk-a is full: {attempt} gets 503, Retry-After {wait}"));
                let headers = [
                    ("Pomeloridge-Attempt-Id", attempt.as_str()),
                    ("Pomeloridge-Not-Executed", "1"),
                    ("Retry-After", wait.as_str()),
                ];
                return http::respond(stream, 503, &headers, b"full");
            }
            if is_tired {
                begun.lock().unwrap().insert(attempt.clone());
            }
            pause(WORK_MS);
            let headers = sealed(request);
            let headers: Vec<(&str, &str)> =
                headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
            http::respond(stream, 200, &headers, b"booked")
        });
        servers.push((id, server.address));
        if is_tired {
            tired = Some(server);
        } else {
            std::mem::forget(server);
        }
    }
    let born = unix_ms();
    // Each server writes its entry at each report; the store removes it after three without one.
    for (id, address) in servers {
        let store = Arc::clone(&store);
        std::thread::spawn(move || {
            let (mut sequence, mut reported) = (0, 0);
            let mut is_listed = false;
            loop {
                let now = record::now_ms();
                if id == "desk-a" && now >= ENDED_MS {
                    return;
                }
                let is_silent = id == "desk-a" && trouble() && SILENT_MS.contains(&now);
                if !is_silent {
                    sequence += 1;
                    let mut report = entry("visit-desk", address, "1", born, 6);
                    report["sequence"] = json!(sequence);
                    store.put("servers", id, report);
                    if !is_listed {
                        record::line(&format!("store: {id} is listed (same id, born and address)"));
                    }
                    (is_listed, reported) = (true, now);
                } else if is_listed && now > reported + 3 * REPORT_MS {
                    store.remove("servers", id);
                    record::line(&format!("store: {id} removed after 3 intervals of silence"));
                    is_listed = false;
                }
                pause(REPORT_MS / if is_silent { 12 } else { 1 });
            }
        });
    }
    let gateway = Gateway::start("front-1", "zone-a", &store);
    gateway.wait_ready();
    sleep_until(2000);
    let served = Arc::new(AtomicUsize::new(0));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..14 {
        let (caller, served) = (gateway.caller, Arc::clone(&served));
        let (begun, lost) = (Arc::clone(&begun), Arc::clone(&lost));
        let sent_at = Arc::clone(&sent_at);
        clients.push(std::thread::spawn(move || {
            for count in 0.. {
                if record::now_ms() > END_MS {
                    return count;
                }
                let id = format!("c{number}-{count}");
                let headers = [
                    ("Host", "desk.example"),
                    ("Pomeloridge-Attempt-Id", id.as_str()),
                    ("Pomeloridge-Deadline-Ms", "2500"),
                    ("Pomeloridge-Key", "key-of-anna"),
                ];
                let gap = Duration::from_secs(3);
                sent_at.lock().unwrap().insert(id.clone(), record::now_ms());
                let got = client::send(caller, "POST /book/visit", &headers, "house 7", gap);
                if got.status == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    record::line(&format!("client: {id} got {}", got.status));
                    if begun.lock().unwrap().contains(&id) {
                        lost.lock().unwrap().push(id);
                    }
                }
                pause(20);
            }
            0
        }));
    }
    sleep_until(ENDED_MS);
    if let Some(mut server) = tired {
        record::line("desk-a: its process has ended");
        server.kill();
    }
    let sent: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    for line in gateway.log_lines(&["id=desk-a choice=", "lapsed"]) {
        record::line(&format!("log of front-1: {line}"));
    }
    let (asked, late) = (*asked.lock().unwrap(), late.lock().unwrap());
    record::say(&format!("clients sent {sent} bookings, {} were answered 200", served.load(Ordering::SeqCst)));
    let Some(asked) = asked else {
        record::say("desk-a never asked for quiet");
        finish(2);
    };
    record::say(&format!(
        "desk-a asked front-1 at {asked} ms to send nothing until {} ms; from {} ms on {} bookings \
         reached it, the first at {:?} ms; the rule allows 2",
        asked + QUIET_MS,
        asked + 500,
        late.len(),
        late.first()
    ));
    let lost = lost.lock().unwrap();
    record::say(&format!("bookings that desk-a had begun and that were lost with it: {lost:?}"));
    finish(i32::from(late.len() > 2))
}

fn config() -> serde_json::Value {
    json!({
        "version": 4,
        "routes": [{ "name": "book", "host": "desk.example", "pathPrefix": "/book/",
                     "routeType": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 150,
                     "priority": 2, "service": "visit-desk", "maxAttempts": 2 }],
        "services": [{ "name": "visit-desk", "healthPath": "/health", "maxConnections": 100 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "anna", "apiKeys": ["key-of-anna"], "priority": 2 }],
    })
}
