//! The store comes back from a copy that is older than the system's first lease, and the process
//! that holds the duties is killed meanwhile.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::Wire;
use crate::platform::{DutyCall, Mode};
use crate::server::{Reading, Server, Work};
use crate::{Setup, Verdict, config, loopback};

/// Time from the start of the gateways to the drill, at least: two windows of 5 s are reported.
const BEFORE: Duration = Duration::from_millis(8000);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1000);
/// Time from the store's return to the end.
const AFTER: Duration = Duration::from_millis(9000);
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let route = json!({
        "name": "read", "host": "ficu95.example", "pathPrefix": "/puxa403/",
        "routeType": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
        "service": "filings", "maxAttempts": 2, "public": false,
    });
    let service = json!({ "name": "filings", "healthPath": "/health", "maxConnections": 96 });
    setup
        .store
        .put("config", "main", config(json!([route]), json!([service])));
    let work = (Work::Answer(Duration::from_millis(5)), Reading::AtOnce);
    let start = |id| {
        let id = (id, "filings", "v1");
        Server::start(id, loopback(2), work, &setup.store, record)
    };
    let _servers = [start("i-one")?, start("i-two")?];
    std::thread::sleep(Duration::from_millis(200));
    let started = Instant::now();
    let mut gateways = Vec::new();
    for number in 1..=3 {
        match setup.gateway(number) {
            Ok(gateway) => gateways.push(gateway),
            Err(reason) => return Ok(Verdict::CannotRun(reason)),
        }
    }
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let mut sent = 0;
    let mut send_until = |end: Instant| {
        let mut answered = 0;
        while Instant::now() < end {
            let front = fronts[sent % fronts.len()];
            sent += 1;
            answered += usize::from(read(front, sent).is_ok_and(|status| status == 200));
            std::thread::sleep(PAUSE);
        }
        answered
    };
    let answered = send_until(started + BEFORE);
    record.note(format!("clients: {answered} requests answered so far"));
    let counted = |call: &&DutyCall| call.path == "/usage" && call.status == 200;
    let has_requests = |call: &DutyCall| call.body["counts"] != json!({});
    let calls = || -> Vec<DutyCall> {
        let calls = setup.duties.calls.lock().unwrap();
        calls.iter().filter(counted).cloned().collect()
    };
    let last = calls().into_iter().rfind(has_requests);
    let holder = last.and_then(|call| gateways.iter().position(|one| one.name == call.holder));
    let Some(holder) = holder else {
        return Ok(Verdict::CannotRun("no window was reported".to_owned()));
    };
    if setup.trouble {
        setup.store.set_mode(Mode::Busy);
        gateways[holder].kill();
        std::thread::sleep(AWAY);
        // The copy was made before the first process of the system had started.
        setup
            .store
            .restore(started.elapsed() + Duration::from_millis(100));
        setup.store.set_mode(Mode::Up);
        gateways[holder].restart()?;
    }
    let answered = send_until(Instant::now() + AFTER);
    record.note(format!("clients: {answered} more requests answered"));
    let mut windows: BTreeMap<u64, Vec<Value>> = BTreeMap::new();
    for call in calls() {
        let window = call.body["windowIndex"].as_u64().unwrap_or_default();
        let reported = windows.entry(window).or_default();
        if !reported.contains(&call.body["counts"]) {
            reported.push(call.body["counts"].clone());
        }
    }
    let mut broken = Vec::new();
    for (window, counts) in windows.iter().filter(|(_, counts)| counts.len() > 1) {
        let counts: Vec<String> = counts.iter().map(Value::to_string).collect();
        broken.push(format!("window {window} as {}", counts.join(" and as ")));
    }
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "ONE: accepted with different counts: {}",
            broken.join(", ")
        ))
    })
}

fn read(front: SocketAddr, number: usize) -> io::Result<u16> {
    let mut wire = Wire::connect(front)?;
    let attempt = format!("read-{number}");
    let headers = [
        ("host", "ficu95.example"),
        ("pomeloridge-attempt-id", attempt.as_str()),
        ("pomeloridge-deadline-ms", "1000"),
        ("pomeloridge-key", "3fexd9dnn2ctnfzs989a"),
    ];
    wire.write_request("GET", "/puxa403/1", &headers, b"")?;
    Ok(wire.read_status()?.0)
}
