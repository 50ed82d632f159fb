//! End-to-end tests of `pomeloridge route explain` against gateways as separate processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_base::secret::KeyHash;
use pomeloridge_dev::launch::{Fleet, block_on, get_json, request};
use pomeloridge_fleet_standin::caller::{self, KEY, is_ready};
use serde_json::Value;

/// Timeout of conditions.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Token of the operator `anna`.
const TOKEN: &str = "token-of-an-operator";
/// A question about the idempotent route of a plain service.
const READ: &str = "GET /read/x --host fleet.example --account anna";
/// A question about a stream of a model.
const ASK: &str = "POST /ask/x --host fleet.example --account anna --tokens 3000,8 \
                   --part a1:100 --part b2:2900";

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folder = own.ancestors().nth(2).unwrap();
    folder.join("pomeloridge")
}

/// Starts a gateway; with a token of an operator if `has_token`.
fn start(name: &str, has_token: bool) -> Fleet {
    let fleet = Fleet::start(name, 1).unwrap();
    let gateway = &fleet.gateways[0];
    wait_until(|| block_on(is_ready(gateway.ready)));
    if has_token {
        let file = fleet.folder.join("front-0.ini");
        let hash = KeyHash::of(TOKEN.as_bytes()).to_hex();
        let settings = std::fs::read_to_string(&file).unwrap();
        let settings = format!("{settings}[operator]\ntokens = anna:{hash}\n");
        std::fs::write(&file, settings).unwrap();
        gateway.process.signal(libc::SIGHUP);
        let log = fleet.folder.join("front-0.out");
        wait_until(|| {
            let log = std::fs::read_to_string(&log).unwrap_or_default();
            log.contains("applied=[operator.tokens]")
        });
    }
    fleet
}

fn explain(node: SocketAddr, token: &str, question: &str) -> Output {
    let output = Command::new(program())
        .args(["route", "explain", "--node", &node.to_string()])
        .args(["--token", token])
        .args(question.split_whitespace())
        .output();
    output.unwrap()
}

fn explain_json(fleet: &Fleet, question: &str) -> Value {
    let output = explain(
        fleet.gateways[0].metrics,
        TOKEN,
        &format!("{question} --json"),
    );
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Returns the exit code and the text on standard error.
fn failure(fleet: &Fleet, token: &str, question: &str) -> (Option<i32>, String) {
    let output = explain(fleet.gateways[0].metrics, token, question);
    assert_eq!(output.stdout, b"", "{question}");
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), error)
}

#[test]
fn a_request_is_explained_and_not_sent() {
    let fleet = start("route-explain", true);
    let plain = explain_json(&fleet, READ);
    assert_eq!(plain["verdict"], "run", "{plain}");
    assert_eq!(plain["route"], "read");
    assert_eq!(plain["services"][0], "filings:1");
    let candidates = plain["candidates"].as_array().unwrap();
    assert!(
        candidates.iter().any(|c| c["id"] == plain["server"]),
        "{plain}"
    );
    let stream = explain_json(&fleet, ASK);
    assert_eq!(stream["verdict"], "run", "{stream}");
    assert_eq!(stream["kind"], "resumable_stream");
    assert!(stream["predicted_ms"].as_f64().unwrap() > 0.0, "{stream}");
    // As text, for people.
    let text = explain(fleet.gateways[0].metrics, TOKEN, ASK);
    let text = String::from_utf8(text.stdout).unwrap();
    assert!(text.contains("verdict: run\n"), "{text}");
    assert!(text.contains("\ncandidates\n"), "{text}");
    assert!(!text.contains(KEY) && !text.contains(TOKEN), "{text}");
    let history = get_json(fleet.duties, "/-/history").unwrap();
    let received = history.as_array().unwrap().iter();
    let received = received.filter(|entry| !entry["path"].is_null());
    assert_eq!(received.count(), 0, "{history}");
    // The explained request then goes where it was said to go.
    let plain = explain_json(&fleet, READ);
    let message = caller::request(Method::GET, "read", "e1");
    assert_eq!(
        request(fleet.gateways[0].caller, &message).unwrap().status,
        200
    );
    // The log is written after the answer.
    let mut sent = None;
    wait_until(|| {
        let log = std::fs::read_to_string(fleet.folder.join("front-0.out")).unwrap();
        let mut lines = log
            .split_inclusive('\n')
            .filter(|line| line.ends_with('\n'));
        let line = lines.find(|line| line.contains("id=e1") && line.contains("choice=send"));
        sent = line.map(str::to_owned);
        sent.is_some()
    });
    let (sent, server) = (sent.unwrap(), plain["server"].as_str().unwrap());
    assert!(
        sent.contains(&format!("server={server}")),
        "{plain}\n{sent}"
    );
}

#[test]
fn refusals_say_why() {
    let fleet = start("route-refused", true);
    let code = |question: &str| explain_json(&fleet, question)["code"].clone();
    assert_eq!(code("GET /none/x --host fleet.example"), "unknown_path");
    assert_eq!(code("GET /read/x --host elsewhere.example"), "unknown_path");
    assert_eq!(code("GET /read/x --host fleet.example"), "key_missing");
    let unknown = "GET /read/x --host fleet.example --account boris";
    assert_eq!(code(unknown), "key_unknown");
    assert_eq!(code("GET /open/x --host fleet.example"), Value::Null);
}

#[test]
fn wrong_questions_are_errors() {
    let fleet = start("route-wrong", true);
    let (exit, error) = failure(&fleet, "wrong", READ);
    assert_eq!(exit, Some(1), "{error}");
    assert!(error.starts_with("forbidden: "), "{error}");
    let cases = [
        ("GET read/x --host fleet.example", "path: "),
        ("GET /read/x --host :80", "host: "),
        ("G(T /read/x --host fleet.example", "method: "),
        ("POST /ask/x --host fleet.example --part a1:100", "tokens: "),
        (
            "POST /ask/x --host h --tokens 100,8 --part a1",
            "parts[0]: ",
        ),
        (
            "POST /ask/x --host h --tokens 100,8 --part a1:200",
            "tokens: ",
        ),
    ];
    for (question, place) in cases {
        let (exit, error) = failure(&fleet, TOKEN, question);
        assert_eq!(exit, Some(1), "{question}: {error}");
        assert!(error.starts_with("bad_json: "), "{question}: {error}");
        assert!(error.contains(&format!("  {place}")), "{question}: {error}");
    }
    let usage = ["GET /read/x", "POST /ask/x --host h --tokens 100"];
    for question in usage {
        let (exit, error) = failure(&fleet, TOKEN, question);
        assert_eq!(exit, Some(2), "{question}: {error}");
    }
    let node = fleet.gateways[0].metrics;
    let body = OutgoingRequest::new(Method::POST, "/route/explain")
        .with_header("authorization", &format!("Bearer {TOKEN}"))
        .body(r#"{"method": "GET", "path": "/read/x", "host": "h", "key": "secret"}"#);
    assert_eq!(request(node, &body).unwrap().status, 400);
    let get = OutgoingRequest::get("/route/explain")
        .with_header("authorization", &format!("Bearer {TOKEN}"));
    assert_eq!(request(node, &get).unwrap().status, 404);
    let bare = OutgoingRequest::new(Method::POST, "/route/explain").body("{}");
    assert_eq!(request(node, &bare).unwrap().status, 403);
    let log = std::fs::read_to_string(fleet.folder.join("front-0.out")).unwrap();
    assert!(!log.contains(TOKEN) && !log.contains("\"secret\""));
}

#[test]
fn it_is_off_without_tokens() {
    let fleet = start("route-off", false);
    let (exit, error) = failure(&fleet, TOKEN, READ);
    assert_eq!(exit, Some(1), "{error}");
    assert!(error.starts_with("tokens_unset: "), "{error}");
    // The port is free once the fleet has ended.
    let node = fleet.gateways[0].metrics;
    drop(fleet);
    let output = explain(node, TOKEN, READ);
    assert_eq!(output.status.code(), Some(3));
}
