//! End-to-end tests of the gateway as separate processes on a fake of the fleet's
//! platform. They check the answers and the requests that servers and duties received.

use std::future::Future;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response, call};
use pomeloridge_dev::launch::{Fleet, RelayMode};
use pomeloridge_fleet_standin::caller::{
    self, Crash, KEY, event_ids, generation, is_not_run, is_ready, request,
};
use pomeloridge_fleet_standin::history::{CrashCounts, Entry, QUARANTINE_CRASHES, count_crashes};
use pomeloridge_fleet_standin::server::RETRY_AFTER;
use serde_json::Value;
use yare::parameterized;

/// Timeout of conditions, and for a stopped gateway to exit.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Allowed sends of a crashing request after it must be quarantined, as documented for
/// users.
const LATE_SENDS: usize = 3;
/// Time after a server's refusal in which requests to it may already be under way.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach the server after that, within its `retry-after`.
const MAX_ARRIVALS: usize = 2;
/// Requests with failing prefills, and the default bound on their retries.
const PREFILL_REQUESTS: usize = 100;
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 50.0;
/// Time without heartbeats after which a node no longer counts a peer as live.
const PEER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Pause before a caller retries; a crashed server is up again by then.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A fake platform with its gateways.
struct Deployment(Fleet);

impl Deployment {
    fn start(name: &str, gateways: usize) -> Self {
        Self(Fleet::start(name, gateways).unwrap())
    }

    async fn wait_until_ready(&self) {
        for gateway in &self.0.gateways {
            wait_until(async || is_ready(gateway.ready).await).await;
        }
    }

    /// Sends a crashing request by its attempt until it is quarantined, by turns to all gateways, and
    /// waits until that is stored.
    async fn store_quarantine(&self, message: impl Fn(&str) -> OutgoingRequest) {
        let gateways = self.0.gateways.iter().cycle();
        for (turn, gateway) in gateways.take(QUARANTINE_CRASHES).enumerate() {
            let answer = send(gateway.caller, message(&format!("p{turn}"))).await;
            assert_eq!(answer.unwrap().status, 502);
            monoio::time::sleep(RETRY_PAUSE).await;
        }
        wait_until(async || {
            let nodes = OutgoingRequest::get("/-/objects/pomeloridge-nodes");
            let nodes = call(self.0.store, &nodes, CALL_TIMEOUT).await.unwrap();
            String::from_utf8_lossy(&nodes.body).contains("\"print\"")
        })
        .await;
    }

    async fn history(&self) -> Vec<Value> {
        let answer = call(
            self.0.duties,
            &OutgoingRequest::get("/-/history"),
            CALL_TIMEOUT,
        )
        .await
        .unwrap();
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Returns the requests of an attempt that servers received.
    async fn received(&self, attempt: &str) -> Vec<Value> {
        let history = self.history().await;
        let of = |entry: &Value| entry["attempt"] == attempt && !entry["path"].is_null();
        history.into_iter().filter(of).collect()
    }

    /// Returns the crash counts of the requests with this path.
    async fn crashes(&self, path: &str) -> CrashCounts {
        let history = self.history().await;
        let entries: Vec<Entry> = history.iter().filter_map(Entry::decode).collect();
        count_crashes(&entries)
            .get(path)
            .copied()
            .unwrap_or_default()
    }

    async fn send(&self, request: OutgoingRequest) -> Result<Response, String> {
        send(self.0.gateways[0].caller, request).await
    }
}

async fn send(address: SocketAddr, request: OutgoingRequest) -> Result<Response, String> {
    let answer = caller::send_request(address, None, &request).await;
    answer.map(|(answer, _)| answer)
}

async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "the condition was not met in time");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

fn run(test: impl Future<Output = ()>) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

#[test]
fn requests_of_all_kinds_are_served() {
    let deployment = Deployment::start("kinds", 1);
    run(async {
        deployment.wait_until_ready().await;
        let read = deployment
            .send(request(Method::GET, "read", "a1"))
            .await
            .unwrap();
        assert_eq!(read.status, 200);
        assert_eq!(read.headers["pomeloridge-server-seal"], "seal");
        let lodge = request(Method::POST, "lodge", "a2").body("filing");
        assert_eq!(deployment.send(lodge).await.unwrap().status, 200);
        let short = deployment.send(generation("ask", "a3", 200)).await.unwrap();
        assert_eq!(event_ids(&short), [1, 2, 3, 4, 5, 6, 7, 8]);
        let long = deployment
            .send(generation("note", "a4", 12_000))
            .await
            .unwrap();
        assert_eq!(event_ids(&long), [1, 2, 3, 4, 5, 6, 7, 8]);
        let received = deployment.received("a2").await;
        assert_eq!(received.len(), 1);
        assert_eq!(received[0]["path"], "/lodge/x?q=1");
        assert_eq!(received[0]["tenant"], "anna");
        assert_eq!(received[0]["key"], false);
        let remaining: u64 = received[0]["deadline"].as_str().unwrap().parse().unwrap();
        assert!(remaining <= 3000, "{remaining}");
        // The long prompt gets a separate prefill, and decode fetches its KV cache.
        let received = deployment.received("a4").await;
        assert_eq!(received[0]["stage"], "prefill");
        assert!(received[1]["source"].as_str().unwrap().ends_with("/h-a4"));
    });
}

#[parameterized(
    no_key = { "read", None, 401 },
    unknown_key = { "read", Some("nobody"), 401 },
    open_route = { "open", None, 200 },
    no_route = { "nowhere", Some("key-of-anna"), 404 },
)]
fn keys_and_routes_determine_the_status(route: &str, key: Option<&str>, status: u16) {
    let deployment = Deployment::start(&format!("keys-{route}-{status}-{}", key.is_some()), 1);
    run(async {
        deployment.wait_until_ready().await;
        let mut message = request(Method::GET, route, "b1");
        message.headers.remove("pomeloridge-key");
        if let Some(key) = key {
            message = message.with_header("pomeloridge-key", key);
        }
        assert_eq!(deployment.send(message).await.unwrap().status, status);
        let runs = usize::from(status == 200);
        assert_eq!(deployment.received("b1").await.len(), runs);
    });
}

#[test]
fn only_retryable_requests_are_retried() {
    let deployment = Deployment::start("repeats", 1);
    run(async {
        deployment.wait_until_ready().await;
        let fault = |route, attempt, fault| {
            request(Method::POST, route, attempt).with_header("x-fault", fault)
        };
        let read = deployment.send(fault("read", "c1", "lost")).await.unwrap();
        assert_eq!(
            (read.status.as_u16(), deployment.received("c1").await.len()),
            (200, 2)
        );
        // An unknown outcome is not answered as "not run".
        let lodge = deployment.send(fault("lodge", "c2", "lost")).await.unwrap();
        assert_eq!(
            (lodge.status.as_u16(), deployment.received("c2").await.len()),
            (502, 1)
        );
        // A request that a server refused unread is sent to another one.
        let lodge = deployment.send(fault("lodge", "c3", "shed")).await.unwrap();
        assert_eq!(
            (lodge.status.as_u16(), deployment.received("c3").await.len()),
            (200, 2)
        );
        // A server's error is passed on if the request must not run again.
        let lodge = deployment
            .send(fault("lodge", "c4", "error"))
            .await
            .unwrap();
        assert_eq!(
            (lodge.status.as_u16(), deployment.received("c4").await.len()),
            (500, 1)
        );
        assert_eq!(lodge.headers["pomeloridge-server-seal"], "seal");
    });
}

/// Guards against answering "not run" for a request that one server ran, where a later one
/// refused it or was unreachable.
#[parameterized(
    call = { "read", 0, 502 },
    stream = { "ask", 200, 502 },
)]
fn a_request_that_may_have_run_is_not_answered_as_not_run(route: &str, tokens: u64, status: u16) {
    let deployment = Deployment::start(&format!("ran-{route}"), 1);
    run(async {
        deployment.wait_until_ready().await;
        let message = match tokens {
            0 => request(Method::POST, route, "n1"),
            _ => generation(route, "n1", tokens),
        };
        // The first server loses the request, the second refuses it; there is no third.
        let answer = deployment
            .send(message.with_header("x-fault", "lost,shed"))
            .await;
        let answer = answer.unwrap();
        assert_eq!(deployment.received("n1").await.len(), 2);
        assert_eq!(answer.status, status, "{answer:?}");
    });
}

#[test]
fn a_request_without_an_answer_ends_at_its_deadline() {
    let deployment = Deployment::start("deadline", 1);
    run(async {
        deployment.wait_until_ready().await;
        let started = Instant::now();
        let late = request(Method::POST, "lodge", "d1").with_header("x-fault", "late");
        let answer = deployment.send(late).await.unwrap();
        assert_eq!(answer.status, 504);
        let took = started.elapsed();
        assert!(took >= Duration::from_millis(2900), "{took:?}");
        assert!(took < Duration::from_millis(3500), "{took:?}");
    });
}

#[test]
fn a_cut_stream_is_resumed_or_stays_cut() {
    let deployment = Deployment::start("streams", 1);
    run(async {
        deployment.wait_until_ready().await;
        let cut = generation("ask", "e1", 200).with_header("x-fault", "cut");
        let answer = deployment.send(cut).await.unwrap();
        assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5, 6, 7, 8]);
        let received = deployment.received("e1").await;
        assert_eq!(received.len(), 2);
        assert_eq!(received[1]["last_event"], "3");
        // A stream that must not be resumed stays incomplete.
        let cut = generation("note", "e2", 200).with_header("x-fault", "cut");
        assert!(deployment.send(cut).await.is_err());
        assert_eq!(deployment.received("e2").await.len(), 1);
    });
}

#[test]
fn a_caller_disconnect_cancels_the_request() {
    let deployment = Deployment::start("leaving", 1);
    run(async {
        deployment.wait_until_ready().await;
        let caller = deployment.0.gateways[0].caller;
        let mut connection = Connection::open(caller, ConnectOptions::default())
            .await
            .unwrap();
        let deadline = Instant::now() + CALL_TIMEOUT;
        connection
            .send(&generation("ask", "f1", 200), deadline)
            .await
            .unwrap();
        connection.read_head(deadline).await.unwrap();
        connection.read_chunk(deadline).await.unwrap();
        drop(connection);
        wait_until(async || {
            let history = deployment.history().await;
            history
                .iter()
                .any(|entry| entry["attempt"] == "f1" && !entry["gone"].is_null())
        })
        .await;
    });
}

#[test]
fn usage_is_reported_once_and_exactly_by_one_holder() {
    let deployment = Deployment::start("usage", 3);
    run(async {
        deployment.wait_until_ready().await;
        for index in 0..30 {
            let gateway = &deployment.0.gateways[index % 3];
            let message = request(Method::GET, "read", &format!("u{index}"));
            assert_eq!(send(gateway.caller, message).await.unwrap().status, 200);
        }
        let reported = async || {
            let history = deployment.history().await;
            let reports = history
                .into_iter()
                .filter(|entry| entry["call"] == "/usage");
            reports.collect::<Vec<Value>>()
        };
        let count = |report: &Value| report["body"]["counts"]["anna"].as_u64().unwrap_or(0);
        wait_until(async || reported().await.iter().map(count).sum::<u64>() >= 30).await;
        let reports = reported().await;
        let mut windows: Vec<u64> = reports
            .iter()
            .map(|report| report["body"]["windowIndex"].as_u64().unwrap())
            .collect();
        windows.sort_unstable();
        windows.dedup();
        assert_eq!(windows.len(), reports.len(), "a window was reported twice");
        assert_eq!(reports.iter().map(count).sum::<u64>(), 30);
        assert!(
            reports
                .iter()
                .all(|report| report["holder"] == reports[0]["holder"])
        );
    });
}

#[test]
fn a_graceful_stop_finishes_open_streams() {
    let mut deployment = Deployment::start("stop", 1);
    run(async {
        deployment.wait_until_ready().await;
        let caller = deployment.0.gateways[0].caller;
        let pending = monoio::spawn(send(caller, generation("ask", "ab1", 200)));
        monoio::time::sleep(Duration::from_millis(40)).await;
        deployment.0.gateways[0].process.stop();
        wait_until(async || {
            let ready = deployment.0.gateways[0].ready;
            let answer = call(ready, &OutgoingRequest::get("/-/readiness"), CALL_TIMEOUT).await;
            answer.map_or(true, |answer| answer.status == 503)
        })
        .await;
        let answer = pending.await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5, 6, 7, 8]);
    });
    let ended = deployment.0.gateways[0].process.wait(TIMEOUT);
    assert!(ended.is_some_and(|status| status.success()));
}

impl Deployment {
    /// Sends `count` requests in sequence; returns how many reached the server.
    async fn arrivals(&self, server: &Value, label: &str, count: usize) -> usize {
        for number in 0..count {
            let message = request(Method::GET, "read", &format!("{label}-{number}"));
            assert_eq!(self.send(message).await.unwrap().status, 200);
        }
        let history = self.history().await;
        let entries = history.iter().filter(|entry| entry["server"] == *server);
        let attempts = entries.filter_map(|entry| entry["attempt"].as_str());
        attempts.filter(|id| id.starts_with(label)).count()
    }

    /// Returns the server that received the attempt first.
    async fn first_server(&self, attempt: &str) -> Value {
        self.received(attempt).await[0]["server"].clone()
    }
}

/// Guards against requests to a server within its `retry-after`.
#[test]
fn the_retry_after_of_a_server_is_respected() {
    let deployment = Deployment::start("away", 1);
    run(async {
        deployment.wait_until_ready().await;
        let started = Instant::now();
        let message = request(Method::POST, "lodge", "w").with_header("x-fault", "away");
        assert_eq!(deployment.send(message).await.unwrap().status, 200);
        let server = deployment.first_server("w").await;
        monoio::time::sleep(IN_FLIGHT_TIME).await;
        let arrived = deployment.arrivals(&server, "within", 20).await;
        assert!(
            started.elapsed() < RETRY_AFTER,
            "the requests took too long"
        );
        assert!(arrived <= MAX_ARRIVALS, "{arrived} arrived");
        monoio::time::sleep(RETRY_AFTER).await;
        assert!(deployment.arrivals(&server, "after", 20).await > 0);
    });
}

/// Guards against waiting for, or sending to, servers that have all refused with a
/// `retry-after`.
#[test]
fn a_request_that_no_server_accepts_is_refused_with_retry_after() {
    let deployment = Deployment::start("all-away", 1);
    run(async {
        deployment.wait_until_ready().await;
        let message = request(Method::POST, "lodge", "w").with_header("x-fault", "away,away");
        let refused = deployment.send(message).await.unwrap();
        let retry = |answer: &Response| -> f64 {
            let value = answer.headers["retry-after"].to_str().unwrap();
            value.parse().unwrap()
        };
        assert_eq!(refused.status, 503);
        assert!(
            retry(&refused) > RETRY_AFTER.as_secs_f64() * 0.8,
            "{refused:?}"
        );
        let started = Instant::now();
        let next = deployment.send(request(Method::POST, "lodge", "n")).await;
        assert_eq!(next.unwrap().status, 503);
        assert!(started.elapsed() < Duration::from_millis(100));
        assert!(deployment.received("n").await.is_empty());
    });
}

/// Guards against requests to a server that reports that it is leaving, though its entry
/// on the platform does not.
#[test]
fn a_server_that_reports_leaving_gets_no_more_requests() {
    let deployment = Deployment::start("says-leaving", 1);
    run(async {
        deployment.wait_until_ready().await;
        let message = request(Method::POST, "lodge", "w").with_header("x-fault", "leaving");
        assert_eq!(deployment.send(message).await.unwrap().status, 200);
        let server = deployment.first_server("w").await;
        assert_eq!(deployment.arrivals(&server, "later", 20).await, 0);
    });
}

/// Guards against resending a request that crashes servers: in a call, in a run, during
/// a separate prefill, and amid a stream.
#[parameterized(
    call = { "read", Crash::Run, 0 },
    unretryable_call = { "lodge", Crash::Run, 0 },
    run_without_prefill = { "ask", Crash::Run, 200 },
    run_after_prefill = { "ask", Crash::Run, 12_000 },
    prefill = { "ask", Crash::Begin, 12_000 },
    resumed_stream = { "ask", Crash::Midway, 200 },
    unresumable_stream = { "note", Crash::Midway, 200 },
    instant_restart = { "ask", Crash::Restart, 200 },
)]
fn a_crashing_request_is_quarantined(route: &str, crash: Crash, tokens: u64) {
    let deployment = Deployment::start(&format!("ends-{route}-{crash}-{tokens}"), 3);
    run(async {
        deployment.wait_until_ready().await;
        let message = |attempt: &str| match tokens {
            0 => request(Method::POST, route, attempt),
            _ => generation(route, attempt, tokens),
        };
        let mut last = None;
        // The caller retries at each gateway in turn, with a new attempt id.
        for turn in 0..10 {
            let gateway = &deployment.0.gateways[turn % 3];
            let message = crash.apply(message(&format!("p{turn}")), "1");
            last = send(gateway.caller, message).await.ok();
            monoio::time::sleep(RETRY_PAUSE).await;
        }
        let path = crash.apply(message("p"), "1").target;
        let CrashCounts {
            crashes,
            late_sends,
        } = deployment.crashes(&path).await;
        assert!(
            crashes >= QUARANTINE_CRASHES,
            "only {crashes} servers crashed"
        );
        assert!(
            late_sends <= LATE_SENDS,
            "{late_sends} late sends after {crashes} crashes"
        );
        // It is refused at once, with a `retry-after`; other requests are served.
        let last = last.expect("a refusal is an answer");
        assert!(is_not_run(&last), "{last:?}");
        assert!(last.headers.contains_key("retry-after"), "{last:?}");
        let other = send(deployment.0.gateways[0].caller, message("o")).await;
        assert_eq!(other.unwrap().status, 200);
    });
}

/// Guards against counting a crash only once the server is listed again.
#[test]
fn a_crash_counts_before_the_server_is_back() {
    let fleet = Fleet::start_with("slow-ends", 3, &["--plain", "8"]).unwrap();
    let deployment = Deployment(fleet);
    let message = |attempt: &str| Crash::Slow.apply(request(Method::POST, "lodge", attempt), "1");
    run(async {
        deployment.wait_until_ready().await;
        for turn in 0..6 {
            let gateway = &deployment.0.gateways[turn % 3];
            let answer = send(gateway.caller, message(&format!("p{turn}"))).await;
            let is_quarantined = turn >= QUARANTINE_CRASHES;
            assert_eq!(is_not_run(&answer.unwrap()), is_quarantined, "turn {turn}");
            monoio::time::sleep(RETRY_PAUSE).await;
        }
        let CrashCounts {
            crashes,
            late_sends,
        } = deployment.crashes(&message("p").target).await;
        assert_eq!((crashes, late_sends), (QUARANTINE_CRASHES, 0));
    });
}

/// Guards against losing the quarantine when one gateway or the whole fleet restarts.
#[parameterized(
    one = { 1 },
    all = { 3 },
)]
fn the_quarantine_survives_restarts(restarted: usize) {
    let mut deployment = Deployment::start(&format!("forget-{restarted}"), 3);
    let message = |attempt: &str| Crash::Run.apply(request(Method::POST, "lodge", attempt), "1");
    let path = message("p").target;
    run(async {
        deployment.wait_until_ready().await;
        deployment.store_quarantine(message).await;
    });
    for index in 0..restarted {
        deployment.0.gateways[index].process.kill();
    }
    for index in 0..restarted {
        deployment.0.restart(index).unwrap();
    }
    run(async {
        deployment.wait_until_ready().await;
        let answer = send(deployment.0.gateways[0].caller, message("q")).await;
        assert!(is_not_run(&answer.unwrap()));
        let CrashCounts {
            crashes,
            late_sends,
        } = deployment.crashes(&path).await;
        assert_eq!((crashes, late_sends), (QUARANTINE_CRASHES, 0));
    });
}

/// Guards against gateways that are ready before they know the quarantined requests, as a peer
/// was heard that has not told them.
#[test]
fn a_restarted_gateway_learns_of_the_quarantine_before_it_is_ready() {
    let mut deployment = Deployment::start("forget-heard", 1);
    let message = |attempt: &str| Crash::Run.apply(request(Method::POST, "lodge", attempt), "1");
    run(async {
        deployment.wait_until_ready().await;
        deployment.store_quarantine(message).await;
    });
    deployment.0.gateways[0].process.kill();
    // The node objects are read after several calls, the configuration after one.
    deployment.0.gateways[0].store.set(RelayMode::Delay(150));
    deployment.0.restart(0).unwrap();
    run(async {
        let gateway = &deployment.0.gateways[0];
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        wait_until(async || {
            // A message of node `p` that holds nothing else.
            socket.send_to(&[0x0a, 1, b'p'], gateway.peer).unwrap();
            is_ready(gateway.ready).await
        })
        .await;
        let answer = deployment.send(message("q")).await.unwrap();
        assert!(is_not_run(&answer), "{answer:?}");
    });
}

/// Guards against applying an older version, for instance from a stale read of the object
/// service or from a peer.
#[test]
fn an_older_configuration_is_never_applied() {
    let deployment = Deployment::start("older", 2);
    run(async {
        deployment.wait_until_ready().await;
        let read = OutgoingRequest::get("/-/objects/config/main");
        let found = call(deployment.0.store, &read, CALL_TIMEOUT).await.unwrap();
        let found: Value = serde_json::from_slice(&found.body).unwrap();
        let write = async |version: u64, key: &str| {
            let mut config = found["spec"].clone();
            config["version"] = version.into();
            config["tenants"][0]["apiKeys"] = serde_json::json!([key]);
            let write = OutgoingRequest::new(Method::POST, "/-/config").json(&config);
            call(deployment.0.duties, &write, CALL_TIMEOUT)
                .await
                .unwrap();
        };
        let status = async |gateway: usize, key: &str, attempt: &str| {
            let gateway = deployment.0.gateways[gateway].caller;
            let message = caller::with_key(request(Method::GET, "read", attempt), key);
            send(gateway, message).await.unwrap().status.as_u16()
        };
        write(50, "new-key").await;
        for gateway in [0, 1] {
            wait_until(async || status(gateway, "new-key", "n").await == 200).await;
        }
        write(40, "old-key").await;
        write(51, "last-key").await;
        for gateway in [0, 1] {
            // All versions written before the last one have been read by then.
            wait_until(async || status(gateway, "last-key", "l").await == 200).await;
            assert_eq!(status(gateway, "old-key", "o").await, 401);
        }
        write(45, "old-key").await;
        monoio::time::sleep(RETRY_PAUSE).await;
        for gateway in [0, 1] {
            assert_eq!(status(gateway, "old-key", "p").await, 401);
            assert_eq!(status(gateway, "last-key", "q").await, 200);
        }
    });
}

/// Guards against one read of a large configuration per heartbeat that announces a newer
/// version, which would saturate small links.
#[test]
fn a_newer_configuration_is_read_once_at_a_time() {
    let deployment = Deployment::start("reads", 1);
    run(async {
        deployment.wait_until_ready().await;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let socket = std::net::UdpSocket::bind(address).unwrap();
        // A heartbeat of node `p` with version 99: fields 1 and 4.
        let heartbeat = [0x0a, 1, b'p', 0x20, 99];
        let mut reads = Vec::new();
        for _ in 0..30 {
            socket
                .send_to(&heartbeat, deployment.0.gateways[0].peer)
                .unwrap();
            monoio::time::sleep(Duration::from_millis(15)).await;
            reads.extend(listener.accept());
        }
        assert_eq!(reads.len(), 1, "concurrent reads");
    });
}

/// Guards against serving a large configuration to all peers at once over small links, in
/// which case every read would time out.
#[test]
fn concurrent_configuration_reads_are_limited() {
    let deployment = Deployment::start("readers", 1);
    run(async {
        deployment.wait_until_ready().await;
        let read = async || {
            let address = deployment.0.gateways[0].peer;
            let connection = Connection::open(address, ConnectOptions::default()).await;
            let mut connection = connection.unwrap();
            let message = OutgoingRequest::get("/config");
            let deadline = Instant::now() + CALL_TIMEOUT;
            let answer = connection.exchange(&message, deadline).await.unwrap();
            (connection, answer.status)
        };
        let (first, status) = read().await;
        assert_eq!(status, 200);
        let (_second, status) = read().await;
        assert_eq!(status, 200);
        assert_eq!(read().await.1, 503);
        drop(first);
        wait_until(async || read().await.1 == 200).await;
    });
}

/// Guards against partitioned nodes that each spend the fleet's whole retry budget.
#[test]
fn a_partitioned_gateway_keeps_to_its_share_of_the_budget() {
    let deployment = Deployment::start("alone", 3);
    run(async {
        deployment.wait_until_ready().await;
        let log = deployment.0.folder.join("front-0.out");
        let logged = || std::fs::read_to_string(&log).unwrap_or_default();
        let is_live = |peer: &str| logged().contains(&format!("name=node/{peer} state=regained"));
        wait_until(async || is_live("front-1") && is_live("front-2")).await;
        for peer in &deployment.0.gateways[1..] {
            peer.process.pause();
        }
        monoio::time::sleep(PEER_TIMEOUT).await;
        let mut number = 0;
        wait_until(async || {
            number += 1;
            let message = request(Method::GET, "read", &format!("x{number}"));
            // Without retry budget, the caller gets the error.
            let answer = deployment
                .send(message.with_header("x-fault", "lost"))
                .await;
            answer.unwrap().status == 502
        })
        .await;
        wait_until(async || logged().contains("choice=deny")).await;
        let log = logged();
        let denied = log.lines().find(|line| line.contains("choice=deny"));
        assert!(denied.unwrap().contains("nodes=3"), "{denied:?}");
    });
}

/// Guards against sending requests whose callers disconnected before the gateway read
/// them.
#[test]
fn requests_of_disconnected_callers_are_not_sent_after_a_pause() {
    let deployment = Deployment::start("left-unread", 1);
    run(async {
        deployment.wait_until_ready().await;
        // Opens reusable connections to the servers, so that sends need no connect.
        for number in 0..4 {
            let message = request(Method::GET, "read", &format!("k{number}"));
            assert_eq!(deployment.send(message).await.unwrap().status, 200);
        }
        let gateway = &deployment.0.gateways[0];
        gateway.process.pause();
        for number in 0..4 {
            let mut caller = TcpStream::connect(gateway.caller).unwrap();
            write!(
                caller,
                "GET /read/x HTTP/1.1\r\nhost: fleet.example\r\npomeloridge-key: {KEY}\r\n\
                 pomeloridge-attempt-id: l{number}\r\npomeloridge-deadline-ms: 3000\r\n\r\n"
            )
            .unwrap();
        }
        gateway.process.resume();
        let message = request(Method::GET, "read", "after");
        assert_eq!(deployment.send(message).await.unwrap().status, 200);
        monoio::time::sleep(IN_FLIGHT_TIME).await;
        for number in 0..4 {
            let received = deployment.received(&format!("l{number}")).await;
            assert!(received.is_empty(), "{received:?}");
        }
    });
}

/// Guards against requests that are sent on after a failed prefill without room in the
/// fleet's retry budget.
#[test]
fn failed_prefills_keep_to_the_retry_budget() {
    let deployment = Deployment(Fleet::start_with("read-budget", 1, &["--prefill", "8"]).unwrap());
    run(async {
        deployment.wait_until_ready().await;
        let mut retries = 0;
        for number in 0..PREFILL_REQUESTS {
            let id = format!("b{number}");
            let message = generation("ask", &id, 12_000).with_header("x-read-fault", "lost");
            let answer = deployment.send(message).await.unwrap();
            let arrivals = deployment.received(&id).await.len();
            retries += arrivals.saturating_sub(1);
            // A prefill is not a run.
            assert!(answer.status == 200 || is_not_run(&answer), "{answer:?}");
        }
        let bound = PREFILL_REQUESTS as f64 * RETRY_RATIO + RETRY_SLACK;
        assert!(retries as f64 <= bound, "{retries} retries, bound {bound}");
    });
}

/// Checks that a running gateway reloads its settings file, with and without a signal.
#[test]
fn changed_settings_are_reloaded() {
    let deployment = Deployment::start("reload", 1);
    run(async {
        deployment.wait_until_ready().await;
        let folder = &deployment.0.folder;
        let (file, log) = (folder.join("front-0.ini"), folder.join("front-0.out"));
        let first = std::fs::read_to_string(&file).unwrap();
        let logged = async |text: &str| {
            wait_until(async || {
                let log = std::fs::read_to_string(&log).unwrap_or_default();
                log.contains(text)
            })
            .await;
        };
        let changed = first
            .replace("unready_ms = 300", "unready_ms = 400")
            .replace("data_centre = dc-1", "data_centre = dc-2");
        std::fs::write(&file, &changed).unwrap();
        deployment.0.gateways[0].process.signal(libc::SIGHUP);
        logged("applied=[stop.unready_ms] held_for_restart=[node.data_centre]").await;
        // An invalid file changes nothing and is noticed without a signal.
        std::fs::write(&file, changed.replace("400", "soon")).unwrap();
        logged("reload outcome=kept").await;
        let read = request(Method::GET, "read", "r1");
        assert_eq!(deployment.send(read).await.unwrap().status, 200);
    });
}

/// Checks that the logs contain the id of a request that cannot be parsed.
#[test]
fn the_logs_contain_the_id_of_an_invalid_request() {
    let deployment = Deployment::start("unread", 1);
    run(async {
        deployment.wait_until_ready().await;
        let mut message = generation("ask", "u1", 200);
        message.headers.remove("pomeloridge-token-counts");
        let message = message.with_header("pomeloridge-token-counts", "many");
        assert_eq!(deployment.send(message).await.unwrap().status, 400);
        let log = deployment.0.folder.join("front-0.out");
        wait_until(async || {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            text.contains("request id=u1 choice=refuse")
        })
        .await;
    });
}

/// Checks the timers of requests, store calls and duty calls, which operators check first.
#[test]
fn the_metrics_time_requests_and_calls() {
    let deployment = Deployment::start("metrics", 1);
    run(async {
        deployment.wait_until_ready().await;
        let message = generation("ask", "m1", 200);
        assert_eq!(deployment.send(message).await.unwrap().status, 200);
        let timed = [
            "request",
            "first_token",
            "token_gap",
            "store_call",
            "duty_call",
        ];
        // Usage is reported a few seconds after the end of its window.
        wait_until(async || {
            let metrics = deployment.0.gateways[0].metrics;
            let page = call(metrics, &OutgoingRequest::get("/metrics"), CALL_TIMEOUT).await;
            let page = String::from_utf8(page.unwrap().body.to_vec()).unwrap();
            timed.iter().all(|timer| {
                let count = format!("pomeloridge_{timer}_seconds_count");
                let line = page.lines().find(|line| line.starts_with(&count));
                line.is_some_and(|line| !line.ends_with(" 0"))
            })
        })
        .await;
    });
}

/// Checks that the logs alone show why a request failed.
#[test]
fn the_logs_show_why_a_request_failed() {
    let deployment = Deployment::start("logs", 1);
    run(async {
        deployment.wait_until_ready().await;
        let lodge = request(Method::POST, "lodge", "l1").with_header("x-fault", "lost");
        assert_eq!(deployment.send(lodge).await.unwrap().status, 502);
        let log = deployment.0.folder.join("front-0.out");
        let explain = async || {
            let args = ["explain", "l1", log.to_str().unwrap()].map(str::to_owned);
            let program = std::env::current_exe().unwrap();
            let program = program.ancestors().nth(2).unwrap().join("pomeloridge");
            let out = std::process::Command::new(program)
                .args(args)
                .output()
                .unwrap();
            String::from_utf8(out.stdout).unwrap()
        };
        wait_until(async || explain().await.contains("outcome=refused")).await;
        let trace = explain().await;
        let lines: Vec<&str> = trace.lines().collect();
        assert!(
            lines[0].contains("choice=send") && lines[0].contains("service=filings"),
            "{trace}"
        );
        assert!(
            lines
                .iter()
                .any(|line| line.contains("failure=lost again=false")),
            "{trace}"
        );
        let last = lines.last().unwrap();
        assert!(
            last.contains("code=server_lost") && last.contains("run=\"unknown\""),
            "{trace}"
        );
        let message = OutgoingRequest::get("/metrics");
        let metrics = deployment.0.gateways[0].metrics;
        let answer = call(metrics, &message, CALL_TIMEOUT).await.unwrap();
        let page = String::from_utf8(answer.body.to_vec()).unwrap();
        assert!(page.contains("pomeloridge_failed_total"), "{page}");
    });
}
