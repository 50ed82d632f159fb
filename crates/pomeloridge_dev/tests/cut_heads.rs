//! Servers that stop in the middle of the head of an answer, against a gateway as a separate
//! process.
//!
//! The servers are part of the test and registered in the object service of the fleet's fake.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, post_json};
use pomeloridge_fleet_standin::caller::{
    event_ids, generation, is_not_run, is_ready, request, send_request,
};
use serde_json::json;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of the requests for all offsets of a head.
const PLAY_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SERVERS: usize = 4;
const EVENTS: u64 = 8;
/// Prompt with a separate prefill, in tokens, where there are engines for it.
const PROMPT: u64 = 12_000;
/// Last event of a stream whose continuation is cut.
const CUT_AFTER: u64 = 3;

/// Which head a server cuts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    /// That of the first answer.
    First,
    /// That of the continuation of a stream.
    Resumed,
    /// That of a refusal.
    Refusal,
    /// That of the answer to a prefill.
    Prefill,
}

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Behaviour of the servers.
#[derive(Clone, Copy)]
struct Plan {
    cut: Cut,
    end: End,
    /// Header that frames whole answers to calls and streams.
    framing: &'static str,
}

/// What the servers have received, by attempt.
#[derive(Default)]
struct Record {
    sent: HashMap<String, usize>,
    /// Length of the head that was cut.
    cut: HashMap<String, usize>,
}

type Shared = Arc<Mutex<Record>>;

/// Starts a fleet with servers of the plan only.
fn start(name: &str, plan: Plan) -> (Fleet, Shared) {
    let none = ["--decode", "0", "--prefill", "0", "--plain", "0"];
    let fleet = Fleet::start_with(name, 1, &none).unwrap();
    let record = Shared::default();
    let prefill = (plan.cut == Cut::Prefill).then_some("prefill");
    let groups = [
        ("assistant", Some("decode")),
        ("assistant", prefill),
        ("filings", None),
    ];
    for (group, (service, stage)) in groups.into_iter().enumerate() {
        if (service, stage) == ("assistant", None) {
            continue;
        }
        for number in 0..SERVERS {
            let address = serve(plan, Arc::clone(&record));
            let mut entry = json!({
                "service": service, "address": address.to_string(), "zone": "dc-1",
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "sequence": 1, "born": 1,
            });
            if let Some(stage) = stage {
                entry["stage"] = json!(stage);
            }
            let name = format!("{service}-{group}-{number}");
            let body = json!({ "metadata": { "name": name }, "spec": entry });
            post_json(fleet.store, "/-/objects/servers", &body).unwrap();
        }
    }
    let ready = fleet.gateways[0].ready;
    wait_until(|| block_on(is_ready(ready)));
    let mut number = 0;
    wait_until(|| {
        number += 1;
        let call = request(Method::GET, "open", &format!("known-{number}"));
        send(&fleet, &call).is_ok_and(|answer| answer.status == 200)
    });
    (fleet, record)
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn send(fleet: &Fleet, message: &OutgoingRequest) -> Result<Response, String> {
    let gateway = fleet.gateways[0].caller;
    block_on(send_request(gateway, None, message)).map(|(answer, _)| answer)
}

fn serve(plan: Plan, record: Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut connection in listener.incoming().map_while(Result::ok) {
            let record = Arc::clone(&record);
            std::thread::spawn(move || while answer(&mut connection, plan, &record) {});
        }
    });
    address
}

/// Answers one request. Returns whether the connection is kept.
fn answer(connection: &mut TcpStream, plan: Plan, record: &Shared) -> bool {
    let Some(request) = read_request(connection) else {
        return false;
    };
    let header = |name: &str| {
        let lines = request.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.to_owned())
    };
    let attempt = header("pomeloridge-attempt-id").unwrap_or_default();
    let last_event = header("last-event-id").and_then(|id| id.parse::<u64>().ok());
    let is_prefill = header("pomeloridge-stage").is_some();
    let is_stream = request.starts_with("POST");
    // Attempts under test are named `cut-OFFSET`.
    let offset = attempt
        .strip_prefix("cut-")
        .and_then(|text| text.parse().ok());
    let mut record = record.lock().unwrap();
    if !is_prefill {
        *record.sent.entry(attempt.clone()).or_default() += 1;
    }
    let is_cut = match plan.cut {
        Cut::First | Cut::Refusal => true,
        Cut::Resumed => last_event.is_some(),
        Cut::Prefill => is_prefill,
    };
    // Only one head of an attempt is cut.
    let offset = offset.filter(|_| is_cut && !record.cut.contains_key(&attempt));
    let (status, framing, extra, body) = if is_prefill {
        let body = json!({ "kvHandle": "h1", "tokens": 200, "version": 1 }).to_string();
        (
            "200 OK",
            "content-length",
            "content-type: application/json\r\n",
            body,
        )
    } else if plan.cut == Cut::Refusal && offset.is_some() {
        let status = "503 Service Unavailable";
        (
            status,
            "content-length",
            "pomeloridge-not-executed: 1\r\n",
            String::new(),
        )
    } else if is_stream {
        // A stream that another one is to continue breaks off.
        let is_broken = plan.cut == Cut::Resumed && last_event.is_none();
        let last = if is_broken { CUT_AFTER } else { EVENTS };
        let events = last_event.unwrap_or(0) + 1..=last;
        let body = events.map(|event| format!("id: {event}\ndata: t{event}\n\n"));
        (
            "200 OK",
            plan.framing,
            "content-type: text/event-stream\r\n",
            body.collect(),
        )
    } else {
        ("200 OK", plan.framing, "", "done".to_owned())
    };
    let is_broken = plan.cut == Cut::Resumed && is_stream && last_event.is_none();
    let (framing, body) = match framing {
        "content-length" => {
            let missing = usize::from(is_broken);
            (
                format!("content-length: {}\r\n", body.len() + missing),
                body,
            )
        }
        "transfer-encoding" => {
            let end = if is_broken { "" } else { "0\r\n\r\n" };
            let body = format!("{:x}\r\n{body}\r\n{end}", body.len());
            ("transfer-encoding: chunked\r\n".to_owned(), body)
        }
        _ => (String::new(), if is_broken { body + "id" } else { body }),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\npomeloridge-attempt-id: {attempt}\r\n{framing}\
         pomeloridge-server-seal: 3e1b.07.5a2\r\n{extra}\r\n"
    );
    let is_unframed = framing.is_empty();
    let mut bytes = format!("{head}{body}").into_bytes();
    if let Some(offset) = offset.filter(|offset| *offset < head.len()) {
        bytes.truncate(offset);
        record.cut.insert(attempt, head.len());
    } else if !is_broken && !is_unframed {
        drop(record);
        return connection.write_all(&bytes).is_ok();
    }
    drop(record);
    let is_written = connection.write_all(&bytes).is_ok();
    if is_written && plan.end == End::Reset && offset.is_some() {
        let socket = socket2::SockRef::from(&*connection);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
    false
}

/// Reads a request and returns its head; `None` if the connection ends before.
fn read_request(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length = lengths.next().and_then(|(_, value)| value.parse().ok());
            if bytes.len() >= end + 4 + length.unwrap_or(0) {
                return Some(head);
            }
        }
        match connection.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Guards against an answer whose head is cut and that callers get as a whole one, or as the
/// guarantee that their request has not run.
#[parameterized(
    call = { "lodge", Cut::First, 1 },
    idempotent = { "read", Cut::First, 1 },
    stream = { "note", Cut::First, 1 },
    resumable = { "ask", Cut::First, 1 },
    resumed = { "ask", Cut::Resumed, 11 },
    prefill = { "ask", Cut::Prefill, 1 },
    refused_call = { "lodge", Cut::Refusal, 1 },
    refused_stream = { "note", Cut::Refusal, 1 },
)]
fn a_cut_head_is_never_delivered(route: &str, cut: Cut, step: usize) {
    for end in [End::Close, End::Reset] {
        for framing in ["content-length", "transfer-encoding", "close"] {
            let plan = Plan { cut, end, framing };
            let (fleet, record) = start(&format!("cut-{route}-{cut:?}-{end:?}-{framing}"), plan);
            let case = format!("{cut:?} {end:?} {framing}");
            play(&fleet, &record, route, step, &case);
        }
    }
}

/// Sends a request for every offset of the head, or every `step`th one, and checks what the caller
/// receives.
fn play(fleet: &Fleet, record: &Shared, route: &str, step: usize, case: &str) {
    let mut head = 1;
    let mut offset = 0;
    let give_up = Instant::now() + PLAY_TIMEOUT;
    while offset < head {
        assert!(
            Instant::now() < give_up,
            "{case}: only {offset} of {head} were cut"
        );
        let attempt = format!("cut-{offset}");
        let mut message = match route {
            "ask" | "note" => generation(route, &attempt, PROMPT),
            _ => request(Method::GET, route, &attempt),
        };
        // A request is told from another one by its path.
        message.target = format!("/{route}/{offset}");
        let answer = send(fleet, &message);
        let record = record.lock().unwrap();
        let sent = record.sent.get(&attempt).copied().unwrap_or_default();
        let Some(length) = record.cut.get(&attempt) else {
            // The servers are passed over after failures, so that the head to be cut was not sent.
            let is_whole = answer.as_ref().is_ok_and(is_whole);
            let is_broken = answer.is_err() && route == "ask";
            assert!(
                is_whole || is_broken || sent == 0,
                "{case} {offset}: {answer:?}"
            );
            drop(record);
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        head = *length;
        let Ok(answer) = answer else {
            // The connection of a stream that had begun is broken.
            assert!(
                matches!(route, "ask" | "note"),
                "{case} {offset}: {answer:?}"
            );
            offset += step;
            continue;
        };
        // A prefill is no run, so that the request may still be refused after it.
        let is_refused = is_not_run(&answer) && sent > 0;
        let is_failure = !answer.status.is_success() && !is_refused;
        assert!(
            is_failure || is_whole(&answer),
            "{case} {offset}: {answer:?}"
        );
        if matches!(route, "lodge" | "note") {
            assert!(
                is_failure && sent == 1,
                "{case} {offset}: {sent} {answer:?}"
            );
        }
        offset += step;
    }
    assert!(head > 1, "{case}");
}

fn is_whole(answer: &Response) -> bool {
    let is_stream = answer.headers.get("content-type").is_some();
    let is_complete = if is_stream {
        event_ids(answer) == [1, 2, 3, 4, 5, 6, 7, 8]
    } else {
        answer.body == "done"
    };
    answer.status == 200 && is_complete
}
