//! Invalid requests are refused with an error and don't reach a backend server.

mod support;

use http::Method;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::OutgoingRequest;
use serde_json::json;
use support::{Action, Deployment, FakeServer, KEY, WITHDRAWN, body_of, completion, run, with_key};
use yare::parameterized;

fn post(target: &str, body: &str) -> OutgoingRequest {
    OutgoingRequest::new(Method::POST, target).body(body.to_owned())
}

fn good() -> String {
    json!({"model": "assistant", "prompt": "hello", "max_tokens": 3}).to_string()
}

#[parameterized(
    no_json = { with_key(post("/v1/completions", "{"), KEY), 400, "bad_json" },
    no_model = { with_key(post("/v1/completions", "{\"prompt\": \"x\"}"), KEY), 400, "bad_json" },
    no_prompt = { with_key(post("/v1/completions", "{\"model\": \"assistant\"}"), KEY), 400, "bad_json" },
    prompt_is_no_text = { with_key(post("/v1/completions", "{\"model\": \"assistant\", \"prompt\": 5}"), KEY), 400, "bad_json" },
    no_tokens = { with_key(post("/v1/completions", "{\"model\": \"assistant\", \"prompt\": \"x\", \"max_tokens\": 0}"), KEY), 400, "bad_json" },
    unknown_model = { with_key(post("/v1/completions", "{\"model\": \"other\", \"prompt\": \"x\"}"), KEY), 404, "unknown_model" },
    unknown_path = { with_key(post("/v2/completions", &good()), KEY), 404, "unknown_path" },
    wrong_method = { with_key(OutgoingRequest::get("/v1/completions"), KEY), 404, "unknown_path" },
    no_key = { post("/v1/completions", &good()), 401, "key_missing" },
    empty_key = { with_key(post("/v1/completions", &good()), ""), 401, "key_unknown" },
    wrong_key = { with_key(post("/v1/completions", &good()), "sk-other"), 401, "key_unknown" },
    withdrawn_key = { with_key(post("/v1/completions", &good()), WITHDRAWN), 401, "key_unknown" },
    other_scheme = { post("/v1/completions", &good()).with_header("authorization", "Basic c2s="), 401, "key_unknown" },
    key_in_header = { with_key(post("/v1/completions", &good()), KEY).with_header("x-copy", KEY), 400, "key_exposed" },
    key_in_query = { with_key(post(&format!("/filings?key={KEY}"), "{}"), KEY), 400, "key_exposed" },
    key_in_query_encoded = { with_key(post("/filings?key=%73k-crew-0123456789", "{}"), KEY), 400, "key_exposed" },
    key_in_body = { with_key(post("/filings", &format!("{{\"note\": \"{KEY}\"}}")), KEY), 400, "key_exposed" },
    key_in_body_escaped = { with_key(post("/filings", "{\"note\": \"\\u0073k-crew-0123456789\"}"), KEY), 400, "key_exposed" },
    key_on_open_route = { with_key(OutgoingRequest::get(format!("/public?key={KEY}")), KEY), 400, "key_exposed" },
    wrong_key_on_open_route = { with_key(OutgoingRequest::get("/public"), "sk-other"), 401, "key_unknown" },
    large_body = { with_key(post("/v1/completions", &json!({"model": "assistant", "prompt": "x".repeat(3000)}).to_string()), KEY), 413, "body_too_large" },
    idempotency_key_too_long = { with_key(post("/filings", "{}"), KEY).with_header("idempotency-key", &"k".repeat(300)), 400, "bad_request" },
    foreign_event_id = { with_key(post("/v1/completions", &good()), KEY).with_header("last-event-id", "r-abc-def:0"), 400, "bad_request" },
)]
fn bad_input_is_refused_as_not_run(request: OutgoingRequest, status: u16, code: &str) {
    run(async {
        let engine = FakeServer::start(vec![Action::Answer]);
        let service = FakeServer::start(vec![Action::Answer]);
        let deployment = Deployment::start(&[&engine], &[&service]);
        let response = deployment.send(&request).await.unwrap();
        let body = body_of(&response);
        assert_eq!(body["error"]["code"], code, "{body}");
        assert_eq!(response.status.as_u16(), status);
        assert_eq!(body["error"]["run"], "not run");
        assert!(!body["error"]["message"].as_str().unwrap().is_empty());
        assert_eq!((engine.runs(), service.runs()), (0, 0));
        assert!(deployment.usage.borrow().is_empty());
    });
}

#[parameterized(
    two_framings = { "POST /filings HTTP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "400", "bad_request" },
    unequal_lengths = { "POST /filings HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello", "400", "bad_request" },
    broken_chunk = { "POST /filings HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n", "400", "bad_request" },
    slow_head = { "POST /filings HTT", "408", "head_timeout" },
    body_cut_off = { "POST /filings HTTP/1.1\r\ncontent-length: 50\r\n\r\nhello", "408", "head_timeout" },
)]
fn malformed_requests_get_an_error_body(bytes: &'static str, status: &str, code: &str) {
    run(async {
        let service = FakeServer::start(vec![Action::Answer]);
        let deployment = Deployment::start(&[], &[&service]);
        let mut stream = TcpStream::connect(deployment.caller).await.unwrap();
        stream.write_all(bytes.as_bytes().to_vec()).await.0.unwrap();
        let mut text = Vec::new();
        loop {
            let (count, piece) = stream.read(Vec::with_capacity(4096)).await;
            match count {
                Ok(0) | Err(_) => break,
                Ok(_) => text.extend_from_slice(&piece),
            }
        }
        let text = String::from_utf8(text).unwrap();
        assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
        assert!(text.contains(&format!("\"code\":\"{code}\"")), "{text}");
        assert_eq!(service.runs(), 0);
    });
}

#[test]
fn a_head_over_the_limit_is_refused() {
    run(async {
        let deployment = Deployment::start(&[], &[]);
        let request = completion(&json!({})).with_header("x-long", &"a".repeat(40_000));
        let response = deployment.send(&request).await.unwrap();
        assert_eq!(body_of(&response)["error"]["code"], "head_too_large");
    });
}

#[test]
fn a_closed_gate_refuses_new_requests() {
    run(async {
        let engine = FakeServer::start(vec![Action::Answer]);
        let deployment = Deployment::start(&[&engine], &[]);
        deployment.gate.set(Some(ErrorKind::CutOff));
        let body = json!({"model": "assistant", "prompt": "x", "max_tokens": 2});
        let response = deployment.send(&completion(&body)).await.unwrap();
        assert_eq!(body_of(&response)["error"]["code"], "cut_off");
        assert!(response.headers.contains_key("retry-after"));
        assert_eq!(engine.runs(), 0);
    });
}

#[test]
fn a_request_without_a_server_is_refused_with_a_retry_delay() {
    run(async {
        let deployment = Deployment::start(&[], &[]);
        let body = json!({"model": "assistant", "prompt": "x", "max_tokens": 2});
        let response = deployment.send(&completion(&body)).await.unwrap();
        let error = &body_of(&response)["error"];
        assert_eq!(error["code"], "no_server");
        assert!(error["retry_after_ms"].as_u64().unwrap() > 0);
    });
}
