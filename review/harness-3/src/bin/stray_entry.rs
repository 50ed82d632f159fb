//! DRAIN: a server that drains gets requests again as another writer writes an entry for it in which
//! fields are missing or of another type.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use review_harness_3::gateway::{Gateway, finish};
use review_harness_3::runner::{Runner, entry, sealed, unix_ms};
use review_harness_3::store::Store;
use review_harness_3::{client, http, pause, record, sleep_until, trouble};
use serde_json::json;

/// Interval of the status reports (heartbeatMs), and drainMs.
const REPORT_MS: u64 = 1200;
const DRAIN_MS: u64 = 2000;
/// When desk-a begins to drain, and when the other writer writes.
const DRAINING_MS: u64 = 5000;
const STRAY_MS: u64 = 8200;
const END_MS: u64 = 12_000;

fn main() {
    record::open();
    let store = Store::start();
    store.put("config", "main", config());
    // When the store accepted that desk-a drains, and what reached desk-a later.
    let accepted = Arc::new(AtomicU64::new(0));
    let late: Arc<Mutex<Vec<u64>>> = Arc::default();
    let born = unix_ms();
    let mut stray = json!(null);
    for id in ["desk-a", "desk-b", "desk-c"] {
        let (drains_from, late) = (Arc::clone(&accepted), Arc::clone(&late));
        let server = Runner::start(([127, 0, 0, 1], 0).into(), move |request, stream| {
            let attempt = request.header("pomeloridge-attempt-id").unwrap_or("none").to_owned();
            let (now, from) = (record::now_ms(), drains_from.load(Ordering::SeqCst));
            if id == "desk-a" && from > 0 && now > from + DRAIN_MS {
                late.lock().unwrap().push(now);
                record::line(&format!("desk-a runs {attempt}, {} ms after the ack", now - from));
            }
            pause(30);
            let headers = sealed(request);
            let headers: Vec<(&str, &str)> =
                headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
            http::respond(stream, 200, &headers, b"booked")
        });
        let (store, address) = (Arc::clone(&store), server.address);
        std::mem::forget(server);
        if id == "desk-a" {
            stray = entry("visit-desk", address, "1", born, 6);
        }
        let accepted = Arc::clone(&accepted);
        // Each server reports at its interval, desk-a with its state.
        std::thread::spawn(move || {
            for sequence in 1.. {
                let mut report = entry("visit-desk", address, "1", born, 6);
                report["sequence"] = json!(sequence);
                let drains = id == "desk-a" && record::now_ms() >= DRAINING_MS;
                if drains {
                    report["state"] = json!("draining");
                }
                store.put("servers", id, report);
                if drains {
                    record::line("store: desk-a reports draining, accepted");
                    let now = record::now_ms();
                    let _ = accepted.compare_exchange(0, now, Ordering::SeqCst, Ordering::SeqCst);
                }
                pause(REPORT_MS);
            }
        });
    }
    let gateway = Gateway::start("front-1", "zone-a", &store);
    gateway.wait_ready();
    sleep_until(2000);
    let served = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for number in 0..6 {
        let (caller, served) = (gateway.caller, Arc::clone(&served));
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
                let got = client::send(caller, "GET /look/up", &headers, "", Duration::from_secs(3));
                if got.status == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    record::line(&format!("client: {id} got {}", got.status));
                }
                pause(50);
            }
            0
        }));
    }
    sleep_until(STRAY_MS);
    if trouble() {
        if let Some(fields) = stray.as_object_mut() {
            fields.remove("sequence");
            fields.remove("born");
        }
        stray["coldRemainingMs"] = json!("none");
        record::line(&format!("store: another writer writes the entry of desk-a: {stray}"));
        store.put("servers", "desk-a", stray);
    }
    let sent: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    for line in gateway.log_lines(&["id=desk-a choice="]) {
        record::line(&format!("log of front-1: {line}"));
    }
    let (from, late) = (accepted.load(Ordering::SeqCst), late.lock().unwrap());
    record::say(&format!("clients sent {sent} requests, {} were served", served.load(Ordering::SeqCst)));
    record::say(&format!(
        "the store accepted at {from} ms that desk-a drains; from {} ms on {} requests reached it, \
         the first at {:?} ms; the rule allows none",
        from + DRAIN_MS,
        late.len(),
        late.first()
    ));
    finish(i32::from(!late.is_empty()))
}

fn config() -> serde_json::Value {
    json!({
        "version": 4,
        "routes": [{ "name": "look", "host": "desk.example", "pathPrefix": "/look/",
                     "routeType": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 150,
                     "priority": 2, "service": "visit-desk", "maxAttempts": 2 }],
        "services": [{ "name": "visit-desk", "healthPath": "/health", "maxConnections": 100 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "anna", "apiKeys": ["key-of-anna"], "priority": 2 }],
    })
}
