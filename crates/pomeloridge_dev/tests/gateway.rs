//! The gateway's whole path over separate processes, before a fake of the fleet's
//! platform; what servers and duties received decides.

use std::future::Future;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response, call};
use pomeloridge_dev::launch::Fleet;
use pomeloridge_fleet_standin::caller::{
    self, Crash, KEY, event_ids, generation, is_not_run, is_ready, request,
};
use pomeloridge_fleet_standin::history::{CrashCounts, Entry, QUARANTINE_CRASHES, count_crashes};
use pomeloridge_fleet_standin::server::RETRY_AFTER;
use serde_json::Value;
use yare::parameterized;

/// Time in which a started gateway is ready, and a stopped one has ended.
const PATIENCE: Duration = Duration::from_secs(20);
const LOOK_PAUSE: Duration = Duration::from_millis(50);
const CALL_TIME: Duration = Duration::from_secs(6);
/// Further sendings of such a request that the users' pages allow.
const LATE_SENDS: usize = 3;
/// Time after a server's word to stay away in which requests to it may be under way.
const NOTICE_GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach it after that, within the time that it named.
const WITHIN_NOTICE: usize = 2;
/// Requests whose prompts are not read, and the default bound on their repeats.
const READ_REQUESTS: usize = 100;
const REPEAT_RATIO: f64 = 0.2;
const REPEAT_SLACK: f64 = 50.0;
/// Silence after which a node no longer counts a peer as live.
const UNHEARD: Duration = Duration::from_millis(3500);
/// Time after which a caller comes back; a server is up again by then.
const RETURN_PAUSE: Duration = Duration::from_millis(500);

/// A fake platform and gateways before it.
struct Deployment(Fleet);

impl Deployment {
    fn start(name: &str, gateways: usize) -> Self {
        Self(Fleet::start(name, gateways).unwrap())
    }

    async fn until_ready(&self) {
        for gateway in &self.0.gateways {
            until(async || is_ready(gateway.ready).await).await;
        }
    }

    async fn history(&self) -> Vec<Value> {
        let answer = call(
            self.0.duties,
            &OutgoingRequest::get("/-/history"),
            CALL_TIME,
        )
        .await
        .unwrap();
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// What servers received of an attempt.
    async fn received(&self, attempt: &str) -> Vec<Value> {
        let history = self.history().await;
        let of = |entry: &Value| entry["attempt"] == attempt && !entry["path"].is_null();
        history.into_iter().filter(of).collect()
    }

    /// What came of the requests with a path that ended servers.
    async fn crashes(&self, path: &str) -> CrashCounts {
        let history = self.history().await;
        let entries: Vec<Entry> = history.iter().filter_map(Entry::decode).collect();
        count_crashes(&entries)
            .get(path)
            .copied()
            .unwrap_or_default()
    }

    async fn ask(&self, request: OutgoingRequest) -> Result<Response, String> {
        ask(self.0.gateways[0].caller, request).await
    }
}

async fn ask(address: SocketAddr, request: OutgoingRequest) -> Result<Response, String> {
    let answer = caller::send_request(address, None, &request).await;
    answer.map(|(answer, _)| answer)
}

async fn until(mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < end, "the condition did not come to hold");
        monoio::time::sleep(LOOK_PAUSE).await;
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
        deployment.until_ready().await;
        let read = deployment
            .ask(request(Method::GET, "read", "a1"))
            .await
            .unwrap();
        assert_eq!(read.status, 200);
        assert_eq!(read.headers["pomeloridge-server-seal"], "seal");
        let lodge = request(Method::POST, "lodge", "a2").body("filing");
        assert_eq!(deployment.ask(lodge).await.unwrap().status, 200);
        let short = deployment.ask(generation("ask", "a3", 200)).await.unwrap();
        assert_eq!(event_ids(&short), [1, 2, 3, 4, 5, 6, 7, 8]);
        let long = deployment
            .ask(generation("note", "a4", 12_000))
            .await
            .unwrap();
        assert_eq!(event_ids(&long), [1, 2, 3, 4, 5, 6, 7, 8]);
        let received = deployment.received("a2").await;
        assert_eq!(received.len(), 1);
        assert_eq!(received[0]["path"], "/lodge/x?q=1");
        assert_eq!(received[0]["tenant"], "anna");
        assert_eq!(received[0]["key"], false);
        let left: u64 = received[0]["deadline"].as_str().unwrap().parse().unwrap();
        assert!(left <= 3000, "{left}");
        // The long prompt is read apart and its memory taken by the run.
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
fn keys_and_routes_decide(route: &str, key: Option<&str>, status: u16) {
    let deployment = Deployment::start(&format!("keys-{route}-{status}-{}", key.is_some()), 1);
    run(async {
        deployment.until_ready().await;
        let mut asked = request(Method::GET, route, "b1");
        asked.headers.remove("pomeloridge-key");
        if let Some(key) = key {
            asked = asked.with_header("pomeloridge-key", key);
        }
        assert_eq!(deployment.ask(asked).await.unwrap().status, status);
        let runs = usize::from(status == 200);
        assert_eq!(deployment.received("b1").await.len(), runs);
    });
}

#[test]
fn what_may_be_repeated_is_and_the_rest_runs_once() {
    let deployment = Deployment::start("repeats", 1);
    run(async {
        deployment.until_ready().await;
        let fault = |route, attempt, fault| {
            request(Method::POST, route, attempt).with_header("x-fault", fault)
        };
        let read = deployment.ask(fault("read", "c1", "lost")).await.unwrap();
        assert_eq!(
            (read.status.as_u16(), deployment.received("c1").await.len()),
            (200, 2)
        );
        // An outcome that is not known is no "not run".
        let lodge = deployment.ask(fault("lodge", "c2", "lost")).await.unwrap();
        assert_eq!(
            (lodge.status.as_u16(), deployment.received("c2").await.len()),
            (502, 1)
        );
        // What a server refused unread is sent to another one.
        let lodge = deployment.ask(fault("lodge", "c3", "shed")).await.unwrap();
        assert_eq!(
            (lodge.status.as_u16(), deployment.received("c3").await.len()),
            (200, 2)
        );
        // A server's own failure is its answer where it may not run again.
        let lodge = deployment.ask(fault("lodge", "c4", "error")).await.unwrap();
        assert_eq!(
            (lodge.status.as_u16(), deployment.received("c4").await.len()),
            (500, 1)
        );
        assert_eq!(lodge.headers["pomeloridge-server-seal"], "seal");
    });
}

/// Guards against a "not run" of a request that a server had run, where a later server
/// turned it away or could not be reached.
#[parameterized(
    call = { "read", 0, 502 },
    stream = { "ask", 200, 502 },
)]
fn what_may_have_run_is_not_refused_as_not_run(route: &str, tokens: u64, status: u16) {
    let deployment = Deployment::start(&format!("ran-{route}"), 1);
    run(async {
        deployment.until_ready().await;
        let asked = match tokens {
            0 => request(Method::POST, route, "n1"),
            _ => generation(route, "n1", tokens),
        };
        // Lost by one server, turned away by the other; there is no third.
        let answer = deployment
            .ask(asked.with_header("x-fault", "lost,shed"))
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
        deployment.until_ready().await;
        let started = Instant::now();
        let late = request(Method::POST, "lodge", "d1").with_header("x-fault", "late");
        let answer = deployment.ask(late).await.unwrap();
        assert_eq!(answer.status, 504);
        let took = started.elapsed();
        assert!(took >= Duration::from_millis(2900), "{took:?}");
        assert!(took < Duration::from_millis(3500), "{took:?}");
    });
}

#[test]
fn a_cut_stream_goes_on_elsewhere_or_ends_as_cut() {
    let deployment = Deployment::start("streams", 1);
    run(async {
        deployment.until_ready().await;
        let cut = generation("ask", "e1", 200).with_header("x-fault", "cut");
        let answer = deployment.ask(cut).await.unwrap();
        assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5, 6, 7, 8]);
        let received = deployment.received("e1").await;
        assert_eq!(received.len(), 2);
        assert_eq!(received[1]["last_event"], "3");
        // A stream that may not be resumed ends without its end.
        let cut = generation("note", "e2", 200).with_header("x-fault", "cut");
        assert!(deployment.ask(cut).await.is_err());
        assert_eq!(deployment.received("e2").await.len(), 1);
    });
}

#[test]
fn a_caller_that_leaves_stops_the_servers_work() {
    let deployment = Deployment::start("leaving", 1);
    run(async {
        deployment.until_ready().await;
        let caller = deployment.0.gateways[0].caller;
        let mut connection = Connection::open(caller, ConnectOptions::default())
            .await
            .unwrap();
        let deadline = Instant::now() + CALL_TIME;
        connection
            .send(&generation("ask", "f1", 200), deadline)
            .await
            .unwrap();
        connection.read_head(deadline).await.unwrap();
        connection.read_chunk(deadline).await.unwrap();
        drop(connection);
        until(async || {
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
        deployment.until_ready().await;
        for index in 0..30 {
            let gateway = &deployment.0.gateways[index % 3];
            let asked = request(Method::GET, "read", &format!("u{index}"));
            assert_eq!(ask(gateway.caller, asked).await.unwrap().status, 200);
        }
        let reported = async || {
            let history = deployment.history().await;
            let reports = history
                .into_iter()
                .filter(|entry| entry["call"] == "/usage");
            reports.collect::<Vec<Value>>()
        };
        let count = |report: &Value| report["body"]["counts"]["anna"].as_u64().unwrap_or(0);
        until(async || reported().await.iter().map(count).sum::<u64>() >= 30).await;
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
fn a_stop_cuts_nothing_and_ends_the_process() {
    let mut deployment = Deployment::start("stop", 1);
    run(async {
        deployment.until_ready().await;
        let caller = deployment.0.gateways[0].caller;
        let asked = monoio::spawn(ask(caller, generation("ask", "ab1", 200)));
        monoio::time::sleep(Duration::from_millis(40)).await;
        deployment.0.gateways[0].process.stop();
        until(async || {
            let ready = deployment.0.gateways[0].ready;
            let asked = call(ready, &OutgoingRequest::get("/-/readiness"), CALL_TIME).await;
            asked.map_or(true, |answer| answer.status == 503)
        })
        .await;
        let answer = asked.await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5, 6, 7, 8]);
    });
    let ended = deployment.0.gateways[0].process.wait(PATIENCE);
    assert!(ended.is_some_and(|status| status.success()));
}

impl Deployment {
    /// Asks so many times, one after the other; gives how many reached a server.
    async fn arrivals(&self, server: &Value, label: &str, count: usize) -> usize {
        for number in 0..count {
            let asked = request(Method::GET, "read", &format!("{label}-{number}"));
            assert_eq!(self.ask(asked).await.unwrap().status, 200);
        }
        let history = self.history().await;
        let there = history.iter().filter(|entry| entry["server"] == *server);
        let attempts = there.filter_map(|entry| entry["attempt"].as_str());
        attempts.filter(|id| id.starts_with(label)).count()
    }

    /// The server that a request's first sending reached.
    async fn first_server(&self, attempt: &str) -> Value {
        self.received(attempt).await[0]["server"].clone()
    }
}

/// Guards against requests to a server within the time for which it has asked for none.
#[test]
fn a_server_is_left_alone_for_the_time_that_it_names() {
    let deployment = Deployment::start("away", 1);
    run(async {
        deployment.until_ready().await;
        let started = Instant::now();
        let asked = request(Method::POST, "lodge", "w").with_header("x-fault", "away");
        assert_eq!(deployment.ask(asked).await.unwrap().status, 200);
        let server = deployment.first_server("w").await;
        monoio::time::sleep(NOTICE_GRACE).await;
        let arrived = deployment.arrivals(&server, "within", 20).await;
        assert!(started.elapsed() < RETRY_AFTER, "the asking took too long");
        assert!(arrived <= WITHIN_NOTICE, "{arrived} arrived");
        monoio::time::sleep(RETRY_AFTER).await;
        assert!(deployment.arrivals(&server, "after", 20).await > 0);
    });
}

/// Guards against a caller that waits, or is sent on, while every server wants nothing.
#[test]
fn a_request_that_no_server_wants_is_refused_with_the_time_to_come_back() {
    let deployment = Deployment::start("all-away", 1);
    run(async {
        deployment.until_ready().await;
        let asked = request(Method::POST, "lodge", "w").with_header("x-fault", "away,away");
        let refused = deployment.ask(asked).await.unwrap();
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
        let next = deployment.ask(request(Method::POST, "lodge", "n")).await;
        assert_eq!(next.unwrap().status, 503);
        assert!(started.elapsed() < Duration::from_millis(100));
        assert!(deployment.received("n").await.is_empty());
    });
}

/// Guards against requests to a server that is leaving, though its entry does not say so.
#[test]
fn a_server_that_says_that_it_leaves_gets_nothing_more() {
    let deployment = Deployment::start("says-leaving", 1);
    run(async {
        deployment.until_ready().await;
        let asked = request(Method::POST, "lodge", "w").with_header("x-fault", "leaving");
        assert_eq!(deployment.ask(asked).await.unwrap().status, 200);
        let server = deployment.first_server("w").await;
        assert_eq!(deployment.arrivals(&server, "later", 20).await, 0);
    });
}

/// A request that ends servers: as a call, as a run, while its prompt is read apart, and
/// in the middle of a stream that may be resumed.
#[parameterized(
    call = { "read", Crash::Run, 0 },
    unsafe_call = { "lodge", Crash::Run, 0 },
    whole_run = { "ask", Crash::Run, 200 },
    run_of_a_read_prompt = { "ask", Crash::Run, 12_000 },
    reading = { "ask", Crash::Begin, 12_000 },
    resumed_stream = { "ask", Crash::Midway, 200 },
    lone_stream = { "note", Crash::Midway, 200 },
    restarted_at_once = { "ask", Crash::Restart, 200 },
)]
fn a_request_that_ends_servers_is_not_sent_on(route: &str, crash: Crash, tokens: u64) {
    let deployment = Deployment::start(&format!("ends-{route}-{crash}-{tokens}"), 3);
    run(async {
        deployment.until_ready().await;
        let message = |attempt: &str| match tokens {
            0 => request(Method::POST, route, attempt),
            _ => generation(route, attempt, tokens),
        };
        let mut last = None;
        // The caller comes back at each gateway in turn, under a new attempt.
        for turn in 0..10 {
            let gateway = &deployment.0.gateways[turn % 3];
            let asked = crash.apply(message(&format!("p{turn}")), "1");
            last = ask(gateway.caller, asked).await.ok();
            monoio::time::sleep(RETURN_PAUSE).await;
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
        // It is refused at once, with a time to come back; others are served.
        let last = last.expect("a refusal is an answer");
        assert!(is_not_run(&last), "{last:?}");
        assert!(last.headers.contains_key("retry-after"), "{last:?}");
        let other = ask(deployment.0.gateways[0].caller, message("o")).await;
        assert_eq!(other.unwrap().status, 200);
    });
}

/// Guards against an end that is known only once the server is listed anew.
#[test]
fn an_end_is_known_before_the_server_is_back() {
    let fleet = Fleet::start_with("slow-ends", 3, &["--plain", "8"]).unwrap();
    let deployment = Deployment(fleet);
    let asked = |attempt: &str| Crash::Slow.apply(request(Method::POST, "lodge", attempt), "1");
    run(async {
        deployment.until_ready().await;
        for turn in 0..6 {
            let gateway = &deployment.0.gateways[turn % 3];
            let answer = ask(gateway.caller, asked(&format!("p{turn}"))).await;
            let is_known = turn >= QUARANTINE_CRASHES;
            assert_eq!(is_not_run(&answer.unwrap()), is_known, "turn {turn}");
            monoio::time::sleep(RETURN_PAUSE).await;
        }
        let CrashCounts {
            crashes,
            late_sends,
        } = deployment.crashes(&asked("p").target).await;
        assert_eq!((crashes, late_sends), (QUARANTINE_CRASHES, 0));
    });
}

/// Guards against a restart that forgets which requests end servers: of one gateway, and
/// of the whole fleet at once.
#[parameterized(
    one = { 1 },
    all = { 3 },
)]
fn a_restart_does_not_forget_requests_that_end_servers(restarted: usize) {
    let mut deployment = Deployment::start(&format!("forget-{restarted}"), 3);
    let asked = |attempt: &str| Crash::Run.apply(request(Method::POST, "lodge", attempt), "1");
    let path = asked("p").target;
    run(async {
        deployment.until_ready().await;
        for turn in 0..QUARANTINE_CRASHES {
            let gateway = &deployment.0.gateways[turn % 3];
            let answer = ask(gateway.caller, asked(&format!("p{turn}"))).await;
            assert_eq!(answer.unwrap().status, 502);
            monoio::time::sleep(RETURN_PAUSE).await;
        }
        let store = deployment.0.store;
        until(async || {
            let nodes = OutgoingRequest::get("/-/objects/pomeloridge-nodes");
            let nodes = call(store, &nodes, CALL_TIME).await.unwrap();
            String::from_utf8_lossy(&nodes.body).contains("\"print\"")
        })
        .await;
    });
    for index in 0..restarted {
        deployment.0.gateways[index].process.kill();
    }
    for index in 0..restarted {
        deployment.0.restart(index).unwrap();
    }
    run(async {
        deployment.until_ready().await;
        let answer = ask(deployment.0.gateways[0].caller, asked("q")).await;
        assert!(is_not_run(&answer.unwrap()));
        let CrashCounts {
            crashes,
            late_sends,
        } = deployment.crashes(&path).await;
        assert_eq!((crashes, late_sends), (QUARANTINE_CRASHES, 0));
    });
}

/// Guards against an older version that comes back, as a stale read of the object service
/// or a peer does.
#[test]
fn an_older_configuration_never_comes_back() {
    let deployment = Deployment::start("older", 2);
    run(async {
        deployment.until_ready().await;
        let read = OutgoingRequest::get("/-/objects/config/main");
        let found = call(deployment.0.store, &read, CALL_TIME).await.unwrap();
        let found: Value = serde_json::from_slice(&found.body).unwrap();
        let write = async |version: u64, key: &str| {
            let mut config = found["spec"].clone();
            config["version"] = version.into();
            config["tenants"][0]["apiKeys"] = serde_json::json!([key]);
            let write = OutgoingRequest::new(Method::POST, "/-/config").json(&config);
            call(deployment.0.duties, &write, CALL_TIME).await.unwrap();
        };
        let status = async |gateway: usize, key: &str, attempt: &str| {
            let gateway = deployment.0.gateways[gateway].caller;
            let asked = caller::with_key(request(Method::GET, "read", attempt), key);
            ask(gateway, asked).await.unwrap().status.as_u16()
        };
        write(50, "new-key").await;
        for gateway in [0, 1] {
            until(async || status(gateway, "new-key", "n").await == 200).await;
        }
        write(40, "old-key").await;
        write(51, "last-key").await;
        for gateway in [0, 1] {
            // Whatever was written before the last version has been read by then.
            until(async || status(gateway, "last-key", "l").await == 200).await;
            assert_eq!(status(gateway, "old-key", "o").await, 401);
        }
        write(45, "old-key").await;
        monoio::time::sleep(RETURN_PAUSE).await;
        for gateway in [0, 1] {
            assert_eq!(status(gateway, "old-key", "p").await, 401);
            assert_eq!(status(gateway, "last-key", "q").await, 200);
        }
    });
}

/// Pattern: a large configuration on small links; each word of a peer that names a newer
/// one must not start another read of it.
#[test]
fn a_newer_configuration_is_read_once_at_a_time() {
    let deployment = Deployment::start("reads", 1);
    run(async {
        deployment.until_ready().await;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let socket = std::net::UdpSocket::bind(address).unwrap();
        // A word of node `p` that knows version 99: fields 1 and 4.
        let word = [0x0a, 1, b'p', 0x20, 99];
        let mut reads = Vec::new();
        for _ in 0..30 {
            socket
                .send_to(&word, deployment.0.gateways[0].peer)
                .unwrap();
            monoio::time::sleep(Duration::from_millis(15)).await;
            reads.extend(listener.accept());
        }
        assert_eq!(reads.len(), 1, "reads at a time");
    });
}

/// Pattern: a large configuration on small links; were all peers served at once, none
/// would be within its time.
#[test]
fn a_few_peers_at_a_time_read_the_configuration() {
    let deployment = Deployment::start("readers", 1);
    run(async {
        deployment.until_ready().await;
        let read = async || {
            let address = deployment.0.gateways[0].peer;
            let connection = Connection::open(address, ConnectOptions::default()).await;
            let mut connection = connection.unwrap();
            let asked = OutgoingRequest::get("/config");
            let deadline = Instant::now() + CALL_TIME;
            let answer = connection.exchange(&asked, deadline).await.unwrap();
            (connection, answer.status)
        };
        let (first, status) = read().await;
        assert_eq!(status, 200);
        let (_second, status) = read().await;
        assert_eq!(status, 200);
        assert_eq!(read().await.1, 503);
        drop(first);
        until(async || read().await.1 == 200).await;
    });
}

/// Guards against nodes that are cut off from one another and each spend the whole of the
/// fleet's budget of repeats.
#[test]
fn a_gateway_that_hears_no_peer_keeps_to_its_part_of_the_budget() {
    let deployment = Deployment::start("alone", 3);
    run(async {
        deployment.until_ready().await;
        let log = deployment.0.folder.join("front-0.out");
        let logged = || std::fs::read_to_string(&log).unwrap_or_default();
        let hears = |peer: &str| logged().contains(&format!("name=node/{peer} state=regained"));
        until(async || hears("front-1") && hears("front-2")).await;
        for peer in &deployment.0.gateways[1..] {
            peer.process.pause();
        }
        monoio::time::sleep(UNHEARD).await;
        let mut number = 0;
        until(async || {
            number += 1;
            let asked = request(Method::GET, "read", &format!("x{number}"));
            // With no room for a repeat the loss is the caller's.
            let answer = deployment.ask(asked.with_header("x-fault", "lost")).await;
            answer.unwrap().status == 502
        })
        .await;
        until(async || logged().contains("choice=deny")).await;
        let log = logged();
        let denied = log.lines().find(|line| line.contains("choice=deny"));
        assert!(denied.unwrap().contains("nodes=3"), "{denied:?}");
    });
}

/// Guards against requests that are sent on though their callers have left before they
/// were read.
#[test]
fn a_request_whose_caller_left_while_the_gateway_was_frozen_is_not_sent_on() {
    let deployment = Deployment::start("left-unread", 1);
    run(async {
        deployment.until_ready().await;
        // Leaves connections to the servers that can be written to at once.
        for number in 0..4 {
            let asked = request(Method::GET, "read", &format!("k{number}"));
            assert_eq!(deployment.ask(asked).await.unwrap().status, 200);
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
        let asked = request(Method::GET, "read", "after");
        assert_eq!(deployment.ask(asked).await.unwrap().status, 200);
        monoio::time::sleep(NOTICE_GRACE).await;
        for number in 0..4 {
            let received = deployment.received(&format!("l{number}")).await;
            assert!(received.is_empty(), "{received:?}");
        }
    });
}

/// Guards against prompts whose reading fails, and whose runs were sent on without room in
/// the fleet's budget of repeats.
#[test]
fn prompts_whose_reading_fails_keep_to_the_budget() {
    let deployment = Deployment(Fleet::start_with("read-budget", 1, &["--prefill", "8"]).unwrap());
    run(async {
        deployment.until_ready().await;
        let mut repeats = 0;
        for number in 0..READ_REQUESTS {
            let id = format!("b{number}");
            let asked = generation("ask", &id, 12_000).with_header("x-read-fault", "lost");
            let answer = deployment.ask(asked).await.unwrap();
            let arrivals = deployment.received(&id).await.len();
            repeats += arrivals.saturating_sub(1);
            // A prompt that was read has not run.
            assert!(answer.status == 200 || is_not_run(&answer), "{answer:?}");
        }
        let bound = READ_REQUESTS as f64 * REPEAT_RATIO + REPEAT_SLACK;
        assert!(repeats as f64 <= bound, "{repeats} repeats, bound {bound}");
    });
}

/// Pattern: the settings file changes under a running node, with a signal and without.
#[test]
fn changed_settings_are_read_again() {
    let deployment = Deployment::start("reload", 1);
    run(async {
        deployment.until_ready().await;
        let folder = &deployment.0.folder;
        let (file, log) = (folder.join("front-0.ini"), folder.join("front-0.out"));
        let first = std::fs::read_to_string(&file).unwrap();
        let logged = async |text: &str| {
            until(async || {
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
        // A file that is wrong changes nothing; no signal is needed to find that.
        std::fs::write(&file, changed.replace("400", "soon")).unwrap();
        logged("reload outcome=kept").await;
        let read = request(Method::GET, "read", "r1");
        assert_eq!(deployment.ask(read).await.unwrap().status, 200);
    });
}

/// A request that cannot be read is found by its id all the same.
#[test]
fn the_logs_name_a_request_that_cannot_be_read() {
    let deployment = Deployment::start("unread", 1);
    run(async {
        deployment.until_ready().await;
        let mut asked = generation("ask", "u1", 200);
        asked.headers.remove("pomeloridge-token-counts");
        let asked = asked.with_header("pomeloridge-token-counts", "many");
        assert_eq!(deployment.ask(asked).await.unwrap().status, 400);
        let log = deployment.0.folder.join("front-0.out");
        until(async || {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            text.contains("request id=u1 choice=refuse")
        })
        .await;
    });
}

/// What an operator looks at first: are requests, store and duties as fast as usual?
#[test]
fn the_metrics_time_requests_and_calls() {
    let deployment = Deployment::start("metrics", 1);
    run(async {
        deployment.until_ready().await;
        let asked = generation("ask", "m1", 200);
        assert_eq!(deployment.ask(asked).await.unwrap().status, 200);
        let timed = [
            "request",
            "first_token",
            "token_gap",
            "store_call",
            "duty_call",
        ];
        // Usage is reported some seconds after its window.
        until(async || {
            let metrics = deployment.0.gateways[0].metrics;
            let page = call(metrics, &OutgoingRequest::get("/metrics"), CALL_TIME).await;
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

/// A request's cause is found from the logs alone.
#[test]
fn the_logs_tell_why_a_request_failed() {
    let deployment = Deployment::start("logs", 1);
    run(async {
        deployment.until_ready().await;
        let lodge = request(Method::POST, "lodge", "l1").with_header("x-fault", "lost");
        assert_eq!(deployment.ask(lodge).await.unwrap().status, 502);
        let log = deployment.0.folder.join("front-0.out");
        let trace = async || {
            let args = ["explain", "l1", log.to_str().unwrap()].map(str::to_owned);
            let program = std::env::current_exe().unwrap();
            let program = program.ancestors().nth(2).unwrap().join("pomeloridge");
            let out = std::process::Command::new(program)
                .args(args)
                .output()
                .unwrap();
            String::from_utf8(out.stdout).unwrap()
        };
        until(async || trace().await.contains("outcome=refused")).await;
        let story = trace().await;
        let lines: Vec<&str> = story.lines().collect();
        assert!(
            lines[0].contains("choice=send") && lines[0].contains("service=filings"),
            "{story}"
        );
        assert!(
            lines
                .iter()
                .any(|line| line.contains("failure=lost again=false")),
            "{story}"
        );
        let last = lines.last().unwrap();
        assert!(
            last.contains("code=server_lost") && last.contains("run=\"unknown\""),
            "{story}"
        );
        let asked = OutgoingRequest::get("/metrics");
        let metrics = deployment.0.gateways[0].metrics;
        let answer = call(metrics, &asked, CALL_TIME).await.unwrap();
        let page = String::from_utf8(answer.body.to_vec()).unwrap();
        assert!(page.contains("pomeloridge_failed_total"), "{page}");
    });
}
