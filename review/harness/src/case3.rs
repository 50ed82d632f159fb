//! Model servers are replaced in place by another software version while the gateway is cut off
//! from the store.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread::spawn;
use std::time::Duration;

use serde_json::json;

use crate::common::*;

/// Streams that run when the servers restart.
const STREAMS: usize = 48;
/// Streams that are sent after the first server is back.
const PROBES: usize = 14;

/// Events of each stream as its client got them: id and text.
static STREAMS_SEEN: Mutex<Vec<(String, Vec<(u64, String)>)>> = Mutex::new(Vec::new());

pub fn run(trouble: bool) -> Verdict {
    let platform = Platform::start(&["--decode", "8", "--prefill", "0", "--plain", "1"])?;
    platform.change_routes(&[("ask", "timeoutMs", json!(10_000))])?;
    let store = Proxy::start(platform.store, |_| {});
    let gateway = start_gateway(0, store.address, platform.duties)?;
    wait_ready(gateway, 15.0)?;
    note("gateway front-0 is ready; the model servers assistant-decode-0 to 7 have software version v1");
    sleep(4.0);
    let mut clients = Vec::new();
    let mut begin = |batch: &str, count: usize| {
        for index in 0..count {
            let (address, attempt) = (gateway.caller, format!("stream-{batch}{index}"));
            clients.push(spawn(move || client(address, &attempt)));
        }
        note(format!("{count} streams of batch {batch} are sent; each has 8 events, one in about 0.6 s"));
    };
    let restart = |server: &str| {
        note(format!(
            "{server} ends; in 0.4 s it is back under its id, with software version v2, and says so in the store"
        ));
        platform.post("/-/restart", &json!({ "server": server, "version": "v2" }))
    };
    begin("a", STREAMS);
    sleep(0.8);
    if trouble {
        store.set_cut(true);
        note("disruption: front-0 is cut off from the store, silently (5 s)");
    }
    let cut_at = clock();
    sleep(0.3);
    restart("assistant-decode-0")?;
    sleep(1.3);
    begin("b", PROBES);
    sleep(1.0);
    restart("assistant-decode-1")?;
    sleep(cut_at + 5.0 - clock());
    store.set_cut(false);
    if trouble {
        note("front-0 reaches the store again");
    }
    for client in clients {
        client.join().map_err(|_| "a client of the test failed")?;
    }
    let history = platform.get("/-/history")?;
    let mut streams = STREAMS_SEEN.lock().unwrap().clone();
    streams.sort();
    let mut mixed = 0;
    for (attempt, events) in &streams {
        let of_v2 = events.iter().filter(|(_, text)| text.ends_with("-v2")).count();
        let is_mixed = of_v2 > 0 && of_v2 < events.len();
        mixed += usize::from(is_mixed);
        let texts: Vec<&str> = events.iter().map(|(_, text)| text.as_str()).collect();
        let runs = history.as_array().into_iter().flatten();
        let runs = runs.filter(|entry| entry["attempt"] == attempt.as_str() && entry["version"].is_string());
        let runs: Vec<String> = runs
            .map(|run| {
                let text = |field: &str| run[field].as_str().unwrap_or("-").to_owned();
                format!("{} ({}, last-event-id {})", text("server"), text("version"), text("last_event"))
            })
            .collect();
        plain(format!(
            "{attempt}: {}{} | runs: {}",
            texts.join(" "),
            if is_mixed { "   <-- TWO VERSIONS" } else { "" },
            runs.join(", ")
        ));
    }
    let begun = streams.iter().filter(|(_, events)| !events.is_empty()).count();
    plain(format!("streams that began: {begun}; with events of two software versions: {mixed}"));
    plain("ORDER is broken if more than two streams hold events of two software versions");
    if begun < STREAMS {
        return Err("too few streams began".to_owned());
    }
    Ok(mixed > 2)
}

fn client(address: SocketAddr, attempt: &str) {
    let mut more = prompt(attempt);
    // The stand-in's servers write this attempt's first run slowly.
    more.push(("X-Fault".to_owned(), "slow-600".to_owned()));
    let more: Vec<(&str, &str)> = more.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let message = request("POST", "/ask/x", attempt, 10_000, &more);
    let answer = exchange(address, &message, Duration::from_secs(10));
    let (how, body) = match answer {
        Ok(answer) => (format!("{}, complete: {}", answer.status, answer.complete), answer.body),
        Err(error) => (error, Vec::new()),
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let events = text.split("\n\n").filter_map(|event| {
        let (id, data) = event.split_once('\n')?;
        Some((id.strip_prefix("id: ")?.parse().ok()?, data.strip_prefix("data: ")?.to_owned()))
    });
    let events: Vec<(u64, String)> = events.collect();
    note(format!("{attempt} ends with {} events: {how}", events.len()));
    STREAMS_SEEN.lock().unwrap().push((attempt.to_owned(), events));
}
