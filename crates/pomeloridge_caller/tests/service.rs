//! Calls that are not idempotent run at most once, and "not run" is reported only for
//! calls that did not run.

mod support;

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use serde_json::json;
use support::{Action, Deployment, FakeServer, KEY, body_of, run, with_key};
use yare::parameterized;

fn filing(parcel: &str) -> OutgoingRequest {
    let request = OutgoingRequest::new(Method::POST, "/filings").json(&json!({"parcel": parcel}));
    with_key(request, KEY)
}

#[parameterized(
    answered = { vec![Action::Answer], 201, "", 1 },
    refused_by_all = { vec![Action::Refuse], 503, "not run", 0 },
    lost_after_it_ran = { vec![Action::DisconnectAfterRun], 502, "unknown", 1 },
    crossed = { vec![Action::Cross], 502, "unknown", 1 },
)]
fn a_filing_runs_at_most_once(script: Vec<Action>, status: u16, run_status: &str, runs: usize) {
    run(async {
        let services: Vec<_> = (0..3).map(|_| FakeServer::start(script.clone())).collect();
        let refs: Vec<_> = services.iter().collect();
        let deployment = Deployment::start(&[], &refs);
        let response = deployment.send(&filing("a")).await.unwrap();
        assert_eq!(response.status.as_u16(), status, "{}", body_of(&response));
        if status != 201 {
            assert_eq!(body_of(&response)["error"]["run"], run_status);
        }
        assert_eq!(services.iter().map(FakeServer::runs).sum::<usize>(), runs);
    });
}

/// Guards against a call that keeps losing servers although it is quarantined, within
/// one request or when its caller repeats it.
#[parameterized(
    repeated = { Method::GET, 1 },
    sent_again = { Method::POST, 2 },
)]
fn a_call_that_loses_servers_is_quarantined(method: Method, requests: usize) {
    run(async {
        let services: Vec<_> = (0..4)
            .map(|_| FakeServer::start(vec![Action::DisconnectAfterRun]))
            .collect();
        let refs: Vec<_> = services.iter().collect();
        let deployment = Deployment::start(&[], &refs);
        let call = OutgoingRequest::new(method, "/filings").json(&json!({"parcel": "a"}));
        let call = with_key(call, KEY);
        for _ in 0..requests {
            let response = deployment.send(&call).await.unwrap();
            assert_eq!(body_of(&response)["error"]["run"], "unknown");
        }
        let refused = deployment.send(&call).await.unwrap();
        assert_eq!(body_of(&refused)["error"]["code"], "quarantined");
        assert_eq!(body_of(&refused)["error"]["run"], "not run");
        assert_eq!(services.iter().map(FakeServer::runs).sum::<usize>(), 2);
        // Each loss is shared with the peers before the caller can repeat the call there.
        assert_eq!(deployment.suspicion_shares.get(), 2);
    });
}

#[test]
fn a_refused_call_is_retried_on_another_server() {
    run(async {
        let full = FakeServer::start(vec![Action::Refuse]);
        let free = FakeServer::start(vec![Action::Answer]);
        let deployment = Deployment::start(&[], &[&full, &free]);
        for parcel in ["a", "b"] {
            let response = deployment.send(&filing(parcel)).await.unwrap();
            assert_eq!(response.status.as_u16(), 201);
        }
        assert_eq!((full.runs(), free.runs()), (0, 2));
    });
}

#[test]
fn a_repeat_under_one_key_gets_the_stored_answer() {
    run(async {
        let service = FakeServer::start(vec![Action::Answer]);
        let deployment = Deployment::start(&[], &[&service]);
        let request = filing("a").with_header("idempotency-key", "one");
        let first = deployment.send(&request).await.unwrap();
        let second = deployment.send(&request).await.unwrap();
        assert_eq!((first.status, &first.body), (second.status, &second.body));
        assert_eq!(service.runs(), 1);
        let other = filing("b").with_header("idempotency-key", "one");
        let mismatch = deployment.send(&other).await.unwrap();
        assert_eq!(body_of(&mismatch)["error"]["code"], "claim_mismatch");
        assert_eq!(service.runs(), 1);
    });
}

#[test]
fn a_call_with_an_unknown_outcome_is_never_run_again() {
    run(async {
        let service = FakeServer::start(vec![Action::DisconnectAfterRun, Action::Answer]);
        let deployment = Deployment::start(&[], &[&service]);
        let request = filing("a").with_header("idempotency-key", "one");
        let first = deployment.send(&request).await.unwrap();
        assert_eq!(body_of(&first)["error"]["run"], "unknown");
        let second = deployment.send(&request).await.unwrap();
        assert_eq!(body_of(&second)["error"]["code"], "claim_unknown");
        assert_eq!(service.runs(), 1);
    });
}

#[test]
fn the_claim_of_a_call_that_did_not_run_is_removed() {
    run(async {
        let service = FakeServer::start(vec![
            Action::Refuse,
            Action::Refuse,
            Action::Refuse,
            Action::Answer,
        ]);
        let deployment = Deployment::start(&[], &[&service]);
        let request = filing("a").with_header("idempotency-key", "one");
        let mut last = 0;
        for _ in 0..4 {
            let response = deployment.send(&request).await.unwrap();
            last = response.status.as_u16();
            if last == 201 {
                break;
            }
            assert_eq!(body_of(&response)["error"]["run"], "not run");
            assert_eq!(deployment.objects.len(), 0);
        }
        assert_eq!(last, 201);
        assert_eq!(service.runs(), 1);
    });
}

#[test]
fn a_key_is_refused_as_not_run_while_the_object_service_is_down() {
    run(async {
        let service = FakeServer::start(vec![Action::Answer]);
        let deployment = Deployment::start(&[], &[&service]);
        deployment.objects.down.set(true);
        let keyed = filing("a").with_header("idempotency-key", "one");
        let response = deployment.send(&keyed).await.unwrap();
        assert_eq!(body_of(&response)["error"]["code"], "claims_down");
        assert_eq!(service.runs(), 0);
        let plain = deployment.send(&filing("b")).await.unwrap();
        assert_eq!(
            plain.status.as_u16(),
            201,
            "calls without a key are still served"
        );
    });
}

#[test]
fn a_backend_server_receives_no_key_and_no_private_header() {
    run(async {
        let service = FakeServer::start(vec![Action::Answer]);
        let deployment = Deployment::start(&[], &[&service]);
        let request = filing("a")
            .with_header("cookie", "session=1")
            .with_header("connection", "x-hop")
            .with_header("x-hop", "1")
            .with_header("x-kept", "1");
        deployment.send(&request).await.unwrap();
        let received = service.received.borrow();
        let headers = &received[0].headers;
        for removed in ["authorization", "cookie", "x-hop", "connection"] {
            assert!(!headers.contains_key(removed), "{removed}");
        }
        assert!(headers.contains_key("x-kept"));
        assert!(headers.contains_key("x-request-id"));
        assert_eq!(received[0].path, "/filings");
        assert_eq!(received[0].body, json!({"parcel": "a"}));
    });
}
