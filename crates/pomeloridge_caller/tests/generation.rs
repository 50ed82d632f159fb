//! Generations are delivered completely and without duplicates despite failing engines.

mod support;

use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest};
use serde_json::{Value, json};
use support::{Action, Deployment, FakeServer, body_of, completion, run};
use yare::parameterized;

const TOKENS: usize = 6;

fn ask(stream: bool) -> OutgoingRequest {
    completion(&json!({
        "model": "assistant", "prompt": "hello", "max_tokens": TOKENS, "stream": stream,
    }))
}

fn full_text() -> String {
    " t0 t1 t2 t3 t4 t5".to_owned()
}

/// Reads a stream to its end; returns the body and whether it ended cleanly.
async fn read(deployment: &Deployment, request: &OutgoingRequest) -> (String, bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut connection = Connection::open(deployment.caller, ConnectOptions::default())
        .await
        .unwrap();
    connection.send(request, deadline).await.unwrap();
    connection.read_head(deadline).await.unwrap();
    let mut text = String::new();
    loop {
        match connection.read_chunk(deadline).await {
            Ok(Some(piece)) => text += std::str::from_utf8(&piece).unwrap(),
            Ok(None) => return (text, true),
            Err(Fault::Closed | Fault::Io(_)) => return (text, false),
            Err(fault) => panic!("{fault}"),
        }
    }
}

/// Returns the joined text of a stream's events, and the indexes in their event IDs.
fn events(text: &str) -> (String, Vec<usize>) {
    let mut joined = String::new();
    let mut indexes = Vec::new();
    for event in text.split("\n\n") {
        let line = |prefix: &str| event.lines().find_map(|line| line.strip_prefix(prefix));
        let Some(id) = line("id: ") else { continue };
        indexes.push(id.rsplit_once(':').unwrap().1.parse().unwrap());
        let value: Value = serde_json::from_str(line("data: ").unwrap()).unwrap();
        joined += value["choices"][0]["text"].as_str().unwrap();
    }
    (joined, indexes)
}

#[parameterized(
    no_failure = { vec![Action::Answer], 1 },
    lost_before_a_token = { vec![Action::Disconnect(0), Action::Answer], 2 },
    lost_in_mid_stream = { vec![Action::Disconnect(3), Action::Answer], 2 },
    lost_before_the_end_event = { vec![Action::Disconnect(TOKENS), Action::Answer], 2 },
    truncated = { vec![Action::Truncate(2), Action::Answer], 2 },
    truncated_twice = { vec![Action::Truncate(2), Action::Truncate(2), Action::Answer], 3 },
    crossed = { vec![Action::Cross, Action::Answer], 2 },
    silent = { vec![Action::Stall, Action::Answer], 2 },
    refused = { vec![Action::Refuse, Action::Answer], 1 },
)]
fn a_stream_is_complete_without_duplicates(script: Vec<Action>, runs: usize) {
    run(async {
        let first = FakeServer::start(script.clone());
        // Routing is round robin, so the engines follow one script in turn.
        let rest: Vec<_> = (1..3)
            .map(|skip| {
                FakeServer::start(
                    script
                        .iter()
                        .skip(skip)
                        .cloned()
                        .collect::<Vec<_>>()
                        .into_iter()
                        .chain([Action::Answer])
                        .collect(),
                )
            })
            .collect();
        let deployment = Deployment::start(&[&first, &rest[0], &rest[1]], &[]);
        let (text, clean) = read(&deployment, &ask(true)).await;
        let (joined, indexes) = events(&text);
        assert!(clean, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        assert_eq!(joined, full_text());
        assert_eq!(indexes, (0..TOKENS).collect::<Vec<_>>());
        let ran = first.runs() + rest[0].runs() + rest[1].runs();
        assert!(ran <= runs, "{ran} runs");
        let usage = deployment.usage.borrow();
        assert_eq!(usage.len(), 1, "billed once despite retries");
        assert_eq!(usage[0].output_tokens, TOKENS as u64);
    });
}

#[test]
fn an_unstreamed_answer_survives_a_lost_engine() {
    run(async {
        let bad = FakeServer::start(vec![Action::Disconnect(2)]);
        let good = FakeServer::start(vec![Action::Answer]);
        let deployment = Deployment::start(&[&bad, &good], &[]);
        for _ in 0..2 {
            let response = deployment.send(&ask(false)).await.unwrap();
            assert_eq!(body_of(&response)["choices"][0]["text"], full_text());
        }
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_is_aborted() {
    run(async {
        let engine = FakeServer::start(vec![Action::Truncate(2), Action::Truncate(0)]);
        let deployment = Deployment::start(&[&engine], &[]);
        let (text, clean) = read(&deployment, &ask(true)).await;
        assert!(!clean, "ended cleanly: {text}");
        assert!(!text.contains("[DONE]"));
        assert!(text.contains("event: error"), "{text}");
        assert!(
            deployment.usage.borrow().is_empty(),
            "billed without an answer"
        );
    });
}

#[test]
fn a_reconnect_resumes_where_the_stream_ended() {
    run(async {
        // The first request uses up its four attempts.
        let spent = [2, 0, 0, 0].map(Action::Truncate);
        let engine = FakeServer::start(spent.into_iter().chain([Action::Answer]).collect());
        let deployment = Deployment::start(&[&engine], &[]);
        let (text, _) = read(&deployment, &ask(true)).await;
        let mut ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let last = ids.next_back().expect("two tokens were sent").to_owned();
        let again = completion(&json!({
            "model": "assistant", "prompt": "hello", "max_tokens": TOKENS, "stream": true,
            "resume": [" t0", " t1"],
        }))
        .with_header("last-event-id", &last);
        let (rest, clean) = read(&deployment, &again).await;
        assert!(clean, "{rest}");
        let (joined, indexes) = events(&rest);
        assert_eq!(joined, " t2 t3 t4 t5");
        assert_eq!(indexes, [2, 3, 4, 5]);
        let usage = deployment.usage.borrow();
        assert_eq!(usage.len(), 1);
        assert_eq!(
            usage[0].output_tokens, TOKENS as u64,
            "the full answer is billed"
        );
        assert_eq!(
            Some(usage[0].request_id.as_str()),
            last.rsplit_once(':').map(|(id, _)| id)
        );
    });
}

/// A request that loses two engines is quarantined: it isn't sent to a third one, nor
/// when its caller repeats it.
#[test]
fn a_poison_request_is_quarantined() {
    run(async {
        let engines: Vec<_> = (0..4)
            .map(|_| FakeServer::start(vec![Action::Disconnect(0)]))
            .collect();
        let refs: Vec<_> = engines.iter().collect();
        let deployment = Deployment::start(&refs, &[]);
        let response = deployment.send(&ask(false)).await.unwrap();
        assert_eq!(body_of(&response)["error"]["code"], "quarantined");
        assert_eq!(
            body_of(&response)["error"]["run"],
            "unknown",
            "sent to two engines"
        );
        let lost: usize = engines.iter().map(FakeServer::runs).sum();
        assert_eq!(lost, 2);
        let again = deployment.send(&ask(false)).await.unwrap();
        assert_eq!(body_of(&again)["error"]["code"], "quarantined");
        assert_eq!(body_of(&again)["error"]["run"], "not run");
        assert!(again.headers.contains_key("retry-after"));
        assert_eq!(engines.iter().map(FakeServer::runs).sum::<usize>(), 2);
    });
}

/// An engine is lost while running a request and the others refuse it.
#[test]
fn an_accepted_request_is_retried_after_refusals() {
    run(async {
        let lost = FakeServer::start(vec![
            Action::Disconnect(2),
            Action::Refuse,
            Action::Refuse,
            Action::Answer,
        ]);
        let full = FakeServer::start(vec![
            Action::Refuse,
            Action::Refuse,
            Action::Refuse,
            Action::Answer,
        ]);
        let deployment = Deployment::start(&[&lost, &full], &[]);
        let (text, clean) = read(&deployment, &ask(true)).await;
        assert!(clean, "{text}");
        assert_eq!(events(&text).0, full_text());
    });
}

#[test]
fn a_request_sent_to_an_engine_is_never_reported_as_not_run() {
    run(async {
        let lost = FakeServer::start(vec![Action::Disconnect(0), Action::Refuse]);
        let full = FakeServer::start(vec![Action::Refuse]);
        let deployment = Deployment::start(&[&lost, &full], &[]);
        let body = json!({"model": "assistant", "prompt": "hello", "max_tokens": 3});
        let request = OutgoingRequest::new(http::Method::POST, "/v1/short").json(&body);
        // Routing is round robin: one of two requests reaches the lost engine first.
        for _ in 0..2 {
            let request = support::with_key(request.clone(), support::KEY);
            let response = deployment.send(&request).await.unwrap();
            let error = &body_of(&response)["error"];
            assert!(response.status.is_server_error(), "{error}");
            let was_sent = lost.runs() > 0;
            assert_eq!(error["run"] == "not run", !was_sent, "{error}");
            if was_sent {
                break;
            }
        }
        assert_eq!(lost.runs(), 1);
    });
}

#[test]
fn a_disconnected_caller_cancels_its_stream() {
    run(async {
        let engine = FakeServer::start(vec![Action::Stall]);
        let deployment = Deployment::start(&[&engine], &[]);
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut connection = Connection::open(deployment.caller, ConnectOptions::default())
            .await
            .unwrap();
        connection.send(&ask(true), deadline).await.unwrap();
        connection.read_head(deadline).await.unwrap();
        connection.read_chunk(deadline).await.unwrap();
        drop(connection);
        let pool = pomeloridge_base::id::Name::from("assistant");
        while deployment.policy.admission.borrow().state(&pool).running > 0 {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(
            deployment
                .policy
                .servers
                .borrow()
                .own_in_flight()
                .is_empty()
        );
        assert!(deployment.usage.borrow().is_empty());
    });
}
