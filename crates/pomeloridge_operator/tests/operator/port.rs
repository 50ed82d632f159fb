//! Authentication, unknown paths and reports.

use pomeloridge_base::http::OutgoingRequest;
use serde_json::{Value, json};
use yare::parameterized;

use crate::support::with_node;

#[test]
fn probes_and_metrics_need_no_token() {
    with_node(async |node| {
        for (path, body) in [
            ("/healthz", "ok\n"),
            ("/readyz", "ready\n"),
            ("/metrics", "requests_total 7\n"),
        ] {
            let response = node.send(&OutgoingRequest::get(path)).await;
            assert_eq!(
                (response.status.as_u16(), &response.body[..]),
                (200, body.as_bytes())
            );
        }
        node.ready.set(false);
        let response = node.send(&OutgoingRequest::get("/readyz")).await;
        assert_eq!(response.status.as_u16(), 503);
        assert_eq!(&response.body[..], b"not ready: cut off\n");
        assert_eq!(
            node.send(&OutgoingRequest::get("/healthz")).await.status,
            200
        );
    });
}

#[parameterized(
    missing = { None },
    wrong = { Some("Bearer token-of-nobody") },
    empty = { Some("Bearer ") },
    other_scheme = { Some("Basic token-of-anna") },
    no_scheme = { Some("token-of-anna") },
)]
fn everything_else_needs_a_token(authorization: Option<&str>) {
    let lines = "GET /config, PUT /config?expect=0, GET /config/history, GET /exceptions, \
        POST /exceptions, DELETE /exceptions/e1?reason=x, GET /accounts, POST /accounts, \
        POST /accounts/tartu/keys, POST /accounts/tartu/keys/k-1/withdraw, GET /status, \
        GET /explain/r, GET /usage, GET /no/such/path";
    with_node(async |node| {
        for line in lines.split(", ") {
            let (method, target) = line.split_once(' ').expect("METHOD TARGET");
            let method = method.parse().expect("a method");
            let mut request = OutgoingRequest::new(method, target).json(&json!({"name": "tartu"}));
            if let Some(authorization) = authorization {
                request = request.with_header("authorization", authorization);
            }
            let response = node.send(&request).await;
            assert_eq!(response.status, 403, "{line}");
            let value: Value = serde_json::from_slice(&response.body).expect("JSON");
            let error = &value["error"];
            assert_eq!(
                (&error["code"], &error["run"]),
                (&json!("forbidden"), &json!("not run"))
            );
        }
        assert!(node.store.objects.borrow().is_empty());
    });
}

#[parameterized(
    unknown = { "GET /nothing", "404 unknown_path" },
    root = { "GET /", "404 unknown_path" },
    method = { "POST /status", "404 unknown_path" },
    broken_percent = { "GET /explain/%zz", "404 unknown_path" },
    asterisk = { "OPTIONS *", "404 unknown_path" },
    unknown_request = { "GET /explain/r2", "404 not_found" },
    unknown_account = { "POST /accounts/narva/keys", "404 not_found" },
    unknown_key = { "POST /accounts/narva/keys/k-0/withdraw", "404 not_found" },
)]
fn unknown_paths_and_objects_are_not_found(line: &str, outcome: &str) {
    with_node(async |node| {
        node.expect(line, json!({}), outcome).await;
    });
}

#[test]
fn reports_come_from_the_node() {
    with_node(async |node| {
        let value = node.expect("GET /status", json!({}), "200").await;
        assert_eq!(value["node"], "vm-1");
        let value = node.expect("GET /explain/r%201", json!({}), "200").await;
        assert_eq!(value["request_id"], "r 1");
        let value = node.expect("GET /usage", json!({}), "200").await;
        assert_eq!(value, json!({"windows": []}));
    });
}

#[test]
fn a_malformed_request_gets_a_json_error() {
    with_node(async |node| {
        let request = OutgoingRequest::get("/status").with_header("transfer-encoding", "chunked");
        let response = node.send(&request).await;
        let value: Value = serde_json::from_slice(&response.body).expect("JSON");
        assert_eq!(response.status, 400);
        assert_eq!(value["error"]["code"], "bad_request");
    });
}
