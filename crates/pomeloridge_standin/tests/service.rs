//! The fake plain service: storage, request ids and faults.

mod common;

use common::{Standin, parse, post, run};
use pomeloridge_base::http::OutgoingRequest;
use serde_json::json;

#[test]
fn a_body_is_stored_and_the_request_id_returned() {
    run(async {
        let service = Standin::start(&["service", "--prefix", "/filings"]);
        let request = post("/filings", &json!("kept"))
            .with_header("x-request-id", "r1")
            .with_header("idempotency-key", "once");
        let answer = service.send(request).await.expect("an answer");
        assert_eq!(
            (answer.status.as_u16(), parse(&answer)),
            (201, json!({ "id": 1 }))
        );
        assert_eq!(answer.headers["x-request-id"], "r1");
        assert_eq!(service.get("/filings/1").await, (200, json!("kept")));
        assert_eq!(service.get("/filings/2").await.0, 404);
        assert_eq!(service.get("/filingsx").await.0, 404);
        let runs = service.history("run").await;
        assert_eq!(runs[0]["idempotency_key"], "once");
        assert_eq!(runs[0]["request_id"], "r1");
    });
}

#[test]
fn a_refused_request_is_not_run_and_a_cut_one_is() {
    run(async {
        let service = Standin::start(&["service"]);
        let control = json!({ "refuse": 1, "cut_after_run": 1, "cross": 1 });
        service.post("/control", control).await;
        let request = post("/filings", &json!(1)).with_header("x-request-id", "r1");
        let refused = service.send(request.clone()).await.expect("an answer");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.headers["x-not-run"], "true");
        assert!(service.send(request).await.is_err());
        let fetch = OutgoingRequest::get("/filings/1").with_header("x-request-id", "r2");
        let crossed = service.send(fetch.clone()).await.expect("an answer");
        assert_ne!(crossed.headers["x-request-id"], "r2");
        let right = service.send(fetch).await.expect("an answer");
        assert_eq!((right.status.as_u16(), parse(&right)), (200, json!(1)));
        assert_eq!(right.headers["x-request-id"], "r2");
        assert_eq!(service.history("run").await.len(), 3);
    });
}
