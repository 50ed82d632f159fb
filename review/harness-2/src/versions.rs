//! A server is started again under its id with another software version while the store is away.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::Wire;
use crate::platform::Mode;
use crate::record::Record;
use crate::server::{Reading, Server, Work};
use crate::{Setup, Verdict, config, loopback};

const STREAMS: usize = 24;
const EVENTS: u64 = 32;
const PAUSE: Duration = Duration::from_millis(150);
/// Longest time for which a store is away in the site's list of troubles: 4.5 s.
const AWAY: Duration = Duration::from_millis(4400);
/// Time from the end of a server's process to its next start.
const DOWN: Duration = Duration::from_millis(300);

/// What a client saw of one stream.
struct Seen {
    attempt: String,
    /// Events as ids and text.
    events: Vec<(u64, String)>,
    end: String,
}

impl Seen {
    fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<&str> = self.events.iter().map(|(_, text)| text.as_str()).collect();
        versions.dedup();
        versions
    }
}

pub fn run(setup: &Setup) -> io::Result<Verdict> {
    let record = &setup.record;
    let route = json!({
        "name": "ask", "host": "ficu95.example", "pathPrefix": "/lohu930/",
        "routeType": "streaming", "timeoutMs": 10000, "targetLatencyMs": 600, "priority": 2,
        "service": "geoassist", "maxAttempts": 2, "public": false, "resumable": true,
        "gapAimMs": 300,
    });
    let service = json!({ "name": "geoassist", "healthPath": "/health", "maxConnections": 360 });
    setup
        .store
        .put("config", "main", config(json!([route]), json!([service])));
    let work = (Work::Stream(EVENTS, PAUSE), Reading::AtOnce);
    let start = |id| {
        Server::start(
            (id, "geoassist", "v1"),
            loopback(2),
            work,
            &setup.store,
            record,
        )
    };
    let servers = [start("i-one")?, start("i-two")?, start("i-three")?];
    let gateway = match setup.gateway(1) {
        Ok(gateway) => gateway,
        Err(reason) => return Ok(Verdict::CannotRun(reason)),
    };
    std::thread::sleep(Duration::from_millis(1500));
    let away_at = Instant::now();
    if setup.trouble {
        setup.store.set_mode(Mode::Busy);
    }
    std::thread::sleep(Duration::from_millis(300));
    // A server is started again, with a new version of its software.
    servers[0].end();
    std::thread::sleep(DOWN);
    servers[0].begin("v2")?;
    std::thread::sleep(Duration::from_millis(700));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (front, record) = (gateway.front, record.clone());
            std::thread::spawn(move || follow(front, format!("stream-{number}"), &record))
        })
        .collect();
    std::thread::sleep(AWAY.saturating_sub(away_at.elapsed()));
    if setup.trouble {
        setup.store.set_mode(Mode::Up);
    }
    let seen: Vec<Seen> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    let mut mixed = 0;
    for stream in &seen {
        let versions = stream.versions();
        record.note(format!(
            "client {} got {} events: {versions:?}, end: {}",
            stream.attempt,
            stream.events.len(),
            stream.end
        ));
        mixed += usize::from(versions.len() > 1);
    }
    let begun = seen
        .iter()
        .filter(|stream| !stream.events.is_empty())
        .count();
    if begun < STREAMS / 2 {
        return Ok(Verdict::CannotRun(format!(
            "only {begun} streams have begun"
        )));
    }
    record.note(format!(
        "streams with events of two versions in one answer: {mixed} of {begun}"
    ));
    Ok(if mixed > 2 {
        Verdict::Broken(format!(
            "ORDER: {mixed} of {begun} streams hold events of two versions"
        ))
    } else {
        Verdict::Held
    })
}

fn follow(front: SocketAddr, attempt: String, record: &Record) -> Seen {
    let mut seen = Seen {
        attempt,
        events: Vec::new(),
        end: String::new(),
    };
    record.note(format!("client sends {}", seen.attempt));
    seen.end = match read(front, &mut seen) {
        Ok(()) => "complete".to_owned(),
        Err(error) => format!("broken off ({error})"),
    };
    seen
}

fn read(front: SocketAddr, seen: &mut Seen) -> io::Result<()> {
    let mut wire = Wire::connect(front)?;
    let headers = [
        ("host", "ficu95.example"),
        ("pomeloridge-attempt-id", seen.attempt.as_str()),
        ("pomeloridge-deadline-ms", "10000"),
        ("pomeloridge-key", "3fexd9dnn2ctnfzs989a"),
    ];
    wire.write_request("POST", "/lohu930/2f", &headers, b"a question")?;
    let (status, _) = wire.read_status()?;
    if status != 200 {
        return Err(io::Error::other(format!("status {status}")));
    }
    let mut text = String::new();
    loop {
        let chunk = wire.read_chunk()?;
        if chunk.is_empty() {
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
            seen.events
                .push((id, field("data: ").unwrap_or_default().to_owned()));
        }
    }
}
