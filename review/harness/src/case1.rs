//! A model server in trouble writes bytes that are no answer without end.
//!
//! The case writes blank lines. `BYTES=heads` writes interim heads, and `BYTES=events` a head and then
//! the same event again and again.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::spawn;
use std::time::Duration;

use serde_json::json;

use crate::common::*;

/// `timeoutMs` of the lookups' route, as in the site file.
const TIMEOUT_MS: u64 = 1200;
/// Time budget of a lookup's client, as in the site file.
const BUDGET_MS: u64 = 2500;
const LOOKUPS: usize = 60;

static IN_TROUBLE: AtomicBool = AtomicBool::new(false);

#[derive(Clone, Debug)]
struct Lookup {
    sent: f64,
    ended: f64,
    status: u16,
}

static RESULTS: Mutex<Vec<Lookup>> = Mutex::new(Vec::new());

pub fn run(trouble: bool) -> Verdict {
    let platform = Platform::start(&["--decode", "2", "--prefill", "0", "--plain", "2"])?;
    platform.change_routes(&[
        ("read", "timeoutMs", json!(TIMEOUT_MS)),
        ("ask", "timeoutMs", json!(10_000)),
    ])?;
    let server = serve()?;
    let entry = json!({
        "service": "assistant", "address": server.to_string(), "zone": "dc-1", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1000,
        "stage": "decode",
    });
    platform.post("/-/entry/assistant-decode-2", &entry)?;
    note(format!("model server assistant-decode-2 of this test listens at {server}"));
    let gateway = start_gateway(0, platform.store, platform.duties)?;
    wait_ready(gateway, 15.0)?;
    note(format!("gateway front-0 is ready; callers' address {}", gateway.caller));
    // Longer than contactMs (3 s), so that the machine is in touch.
    sleep(4.0);
    let mut channels = Vec::new();
    for index in 0..LOOKUPS {
        let mut channel = TcpStream::connect(gateway.caller).map_err(|error| error.to_string())?;
        let first = request("GET", "/read/x", &format!("first-{index}"), BUDGET_MS, &[]);
        let answer = exchange_on(&mut channel, &first, Duration::from_secs(3), |_, _| {})?;
        if answer.status != 200 {
            return Err(format!("a lookup before the disruption got {}", answer.status));
        }
        channels.push(channel);
    }
    note(format!("{LOOKUPS} lookups before the disruption: all got 200; their channels are kept"));
    IN_TROUBLE.store(trouble, Ordering::SeqCst);
    if trouble {
        note("disruption: assistant-decode-2 writes from now on bytes that are no answer, without end");
    }
    let mut tasks = Vec::new();
    for index in 0..9 {
        let address = gateway.caller;
        tasks.push(spawn(move || summary(address, index)));
    }
    for (index, channel) in channels.into_iter().enumerate() {
        tasks.push(spawn(move || lookup(channel, index)));
        sleep(0.1);
    }
    for task in tasks {
        task.join().map_err(|_| "a client of the test failed")?;
    }
    let history = platform.get("/-/history")?;
    let ran = |index: usize| {
        let attempt = format!("lookup-{index}");
        let entries = history.as_array().into_iter().flatten();
        entries.filter(|entry| entry["attempt"] == attempt.as_str()).count()
    };
    let results = RESULTS.lock().unwrap().clone();
    let late: Vec<&Lookup> = results
        .iter()
        .filter(|lookup| lookup.ended - lookup.sent > TIMEOUT_MS as f64 / 1000.0)
        .collect();
    let silent = late
        .iter()
        .filter(|lookup| lookup.status == 0 || lookup.ended - lookup.sent > TIMEOUT_MS as f64 / 1000.0 + 0.5)
        .count();
    let never = results.iter().filter(|lookup| lookup.status == 0).count();
    let reached = (0..LOOKUPS).filter(|index| ran(*index) > 0).count();
    plain(format!("lookups sent: {}; runs of them recorded by the sound servers: {reached}", results.len()));
    plain(format!("lookups that lasted longer than their route's timeoutMs ({TIMEOUT_MS} ms): {}", late.len()));
    plain(format!("of these without a final answer 500 ms after it: {silent}"));
    plain(format!("lookups whose client got no answer in its whole time budget ({BUDGET_MS} ms): {never}"));
    let broken = late.len() >= 8 && silent * 4 > late.len() && silent * 2 > late.len();
    plain("CONFIG is broken if 8 or more last longer, and over half of them have no answer 500 ms later");
    Ok(broken)
}

/// One lookup on a kept channel; its client waits for its time budget.
fn lookup(mut channel: TcpStream, index: usize) {
    let attempt = format!("lookup-{index}");
    let message = request("GET", "/read/x", &attempt, BUDGET_MS, &[]);
    let sent = clock();
    let answer = exchange_on(&mut channel, &message, Duration::from_millis(BUDGET_MS), |_, _| {});
    let ended = clock();
    let (status, text) = match answer {
        Ok(answer) => (answer.status, format!("answer {}", answer.status)),
        Err(error) => (0, format!("NO ANSWER, the client leaves ({error})")),
    };
    note(format!("{attempt} sent at {sent:.3}: {text} after {:.0} ms", (ended - sent) * 1000.0));
    RESULTS.lock().unwrap().push(Lookup { sent, ended, status });
}

/// One summary; its client leaves two seconds after it was sent without an event.
fn summary(address: SocketAddr, index: usize) {
    let attempt = format!("summary-{index}");
    let more = prompt(&attempt);
    let more: Vec<(&str, &str)> = more.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let message = request("POST", "/ask/x", &attempt, 10_000, &more);
    let sent = clock();
    let answer = exchange(address, &message, Duration::from_secs(2));
    let text = match answer {
        Ok(answer) => format!("answer {}, complete: {}", answer.status, answer.complete),
        Err(error) => format!("no answer, the client leaves ({error})"),
    };
    note(format!("{attempt} sent at {sent:.3}: {text} after {:.0} ms", (clock() - sent) * 1000.0));
}

/// A model server: sound, until it is in trouble.
fn serve() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.3:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    spawn(move || {
        for mut channel in listener.incoming().map_while(Result::ok) {
            spawn(move || while answer(&mut channel) {});
        }
    });
    Ok(address)
}

fn answer(channel: &mut TcpStream) -> bool {
    let Some(head) = read_request(channel) else { return false };
    let attempt = header(&head, "pomeloridge-attempt-id").unwrap_or_default().to_owned();
    if header(&head, "pomeloridge-expect-instance") != Some("assistant-decode-2") {
        return channel.write_all(b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n").is_ok();
    }
    if IN_TROUBLE.load(Ordering::SeqCst) {
        let bytes = std::env::var("BYTES").unwrap_or_default();
        let (what, start, unit) = match bytes.as_str() {
            "heads" => ("interim heads", String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            "events" => (
                "the same event",
                format!(
                    "HTTP/1.1 200 OK\r\npomeloridge-attempt-id: {attempt}\r\n\
                     pomeloridge-server-seal: s\r\ncontent-type: text/event-stream\r\n\r\n"
                ),
                "id: 1\ndata: t1\n\n",
            ),
            _ => ("blank lines", String::new(), "\r\n"),
        };
        note(format!("assistant-decode-2 gets {attempt} and writes {what} until the caller closes"));
        let _ = channel.write_all(start.as_bytes());
        let (mut written, lines) = (0_usize, unit.repeat((1 << 19) / unit.len()).into_bytes());
        while channel.write_all(&lines).is_ok() {
            written += lines.len();
        }
        note(format!("assistant-decode-2: the gateway closed the channel of {attempt} after {} MB", written >> 20));
        return false;
    }
    let last = header(&head, "last-event-id").and_then(|last| last.parse::<u64>().ok()).unwrap_or(0);
    let events: String = (last + 1..=8).map(|event| format!("id: {event}\ndata: t{event}\n\n")).collect();
    let text = format!(
        "HTTP/1.1 200 OK\r\npomeloridge-attempt-id: {attempt}\r\npomeloridge-server-seal: s\r\n\
         content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{events}",
        events.len()
    );
    channel.write_all(text.as_bytes()).is_ok()
}
