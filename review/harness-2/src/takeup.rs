//! Streams are taken up again at other gateways after the gateway that began them was killed, while
//! another gateway that was killed a few seconds before has not been gone, or back, for long enough.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::Wire;
use crate::record::Record;
use crate::server::{Reading, Server, Work};
use crate::{Setup, Verdict, config, loopback};

/// Gateways, as many as the site has.
const GATEWAYS: u8 = 6;
/// Streams that begin at the gateway that is killed, and new ones at the others meanwhile.
const STREAMS: usize = 24;
const NEW: usize = 24;
const EVENTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(150);
/// Time budget of a stream.
const BUDGET: Duration = Duration::from_millis(10_000);
/// Tries of a client after the first one; the site's clients make one.
const RETRIES: usize = 3;
/// Time after which a killed process is started again.
const RESTART: Duration = Duration::from_millis(1000);

/// One stream of a client over all its tries.
#[derive(Default)]
struct Stream {
    events: Vec<(u64, String)>,
    first: Option<String>,
    /// Tries that took it up, and events that these brought.
    taken_up: usize,
    went_on: usize,
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
    let start = |id, version| {
        Server::start(
            (id, "geoassist", version),
            loopback(2),
            work,
            &setup.store,
            record,
        )
    };
    let old = [start("i-old-1", "v1")?, start("i-old-2", "v1")?];
    let mut gateways = Vec::new();
    for number in 1..=GATEWAYS {
        match setup.gateway(number) {
            Ok(gateway) => gateways.push(gateway),
            Err(reason) => return Ok(Verdict::CannotRun(reason)),
        }
    }
    std::thread::sleep(Duration::from_millis(3000));
    if setup.trouble {
        gateways[0].kill();
    }
    let killed_at = Instant::now();
    // A planned release: the new servers start first, then the old ones drain.
    std::thread::sleep(Duration::from_millis(300));
    let _new = [start("i-new-1", "v2")?, start("i-new-2", "v2")?];
    std::thread::sleep(RESTART.saturating_sub(killed_at.elapsed()));
    if setup.trouble {
        gateways[0].restart()?;
    }
    for server in &old {
        server.drain();
    }
    std::thread::sleep(Duration::from_millis(1500));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let begin = |label: &str, count: usize, gateways: Vec<SocketAddr>| -> Vec<_> {
        (0..count)
            .map(|number| {
                let (record, name) = (record.clone(), format!("{label}-{number}"));
                let mut order = gateways.clone();
                let shift = number % (order.len() - 1).max(1);
                order[1..].rotate_left(shift);
                std::thread::spawn(move || follow(&name, &order, &record))
            })
            .collect()
    };
    let streams = begin("s", STREAMS, fronts[1..].to_vec());
    std::thread::sleep(Duration::from_millis(1200));
    if setup.trouble {
        gateways[1].kill();
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut new = begin("new-a", NEW / 2, vec![fronts[2], fronts[3]]);
    new.extend(begin("new-b", NEW / 2, vec![fronts[4], fronts[5]]));
    std::thread::sleep(RESTART - Duration::from_millis(300));
    if setup.trouble {
        gateways[1].restart()?;
    }
    let streams: Vec<Stream> = streams.into_iter().map(|one| one.join().unwrap()).collect();
    let new: Vec<Stream> = new.into_iter().map(|one| one.join().unwrap()).collect();
    let taken_up = streams.iter().filter(|stream| stream.taken_up > 0).count();
    let went_on = streams.iter().filter(|stream| stream.went_on > 0).count();
    let begun = new
        .iter()
        .filter(|stream| !stream.events.is_empty())
        .count();
    let at_new = streams.iter().filter_map(|stream| stream.events.first());
    let at_new = at_new.filter(|(_, text)| text.ends_with("v2")).count();
    record.note(format!(
        "streams that had begun at v2: {at_new} of {STREAMS}"
    ));
    let text = format!(
        "{went_on} of {taken_up} streams that were taken up again went on; {begun} of {NEW} new \
         streams began"
    );
    record.note(&text);
    if setup.trouble && taken_up < 12 {
        return Ok(Verdict::CannotRun(text));
    }
    // went_on / taken_up < (begun / NEW) / 2
    Ok(if taken_up >= 12 && 2 * went_on * NEW < begun * taken_up {
        Verdict::Broken(format!("LOST: {text}"))
    } else {
        Verdict::Held
    })
}

fn follow(name: &str, fronts: &[SocketAddr], record: &Record) -> Stream {
    let mut stream = Stream::default();
    let end = Instant::now() + BUDGET;
    for number in 0..=RETRIES {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let attempt = format!("{name}-{number}");
        let front = fronts[number.min(fronts.len() - 1)];
        let before = stream.events.len();
        let resumes = stream.first.clone();
        let outcome = read(front, &attempt, left, resumes.as_deref(), &mut stream);
        let brought = stream.events.len() - before;
        if resumes.is_some() {
            stream.taken_up += 1;
            stream.went_on += brought;
        } else if brought > 0 {
            stream.first = Some(attempt.clone());
        }
        let (text, wait) = match &outcome {
            Ok((200, _)) => ("complete".to_owned(), None),
            Ok((status, wait)) => (
                format!("status {status}, Retry-After {wait:?}"),
                Some(*wait),
            ),
            Err(error) => (format!("broken off ({error})"), Some(0.1)),
        };
        let resumes = resumes
            .map(|first| format!(" Resumes={first}"))
            .unwrap_or_default();
        record.note(format!(
            "client has for {attempt} at {front}{resumes}: {brought} events, {text}"
        ));
        let Some(wait) = wait else { break };
        std::thread::sleep(Duration::from_secs_f64(wait).min(left / 3));
    }
    stream
}

fn read(
    front: SocketAddr,
    attempt: &str,
    left: Duration,
    resumes: Option<&str>,
    stream: &mut Stream,
) -> io::Result<(u16, f64)> {
    let mut wire = Wire::connect(front)?;
    let (ms, last) = (
        left.as_millis().to_string(),
        stream.events.last().map(|(id, _)| id.to_string()),
    );
    let last = last.unwrap_or_default();
    let mut headers = vec![
        ("host", "ficu95.example"),
        ("pomeloridge-attempt-id", attempt),
        ("pomeloridge-deadline-ms", ms.as_str()),
        ("pomeloridge-key", "3fexd9dnn2ctnfzs989a"),
    ];
    if let Some(first) = resumes {
        headers.extend([("last-event-id", last.as_str()), ("resumes", first)]);
    }
    wire.write_request("POST", "/lohu930/2f", &headers, b"a question")?;
    let (status, headers) = wire.read_status()?;
    if status != 200 {
        let wait = crate::http::find(&headers, "retry-after")
            .parse()
            .unwrap_or(0.1);
        return Ok((status, wait));
    }
    let mut text = String::new();
    loop {
        let chunk = wire.read_chunk()?;
        if chunk.is_empty() {
            return Ok((200, 0.0));
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
            stream
                .events
                .push((id, field("data: ").unwrap_or_default().to_owned()));
        }
    }
}
