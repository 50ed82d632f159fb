//! A generation reaches its caller whole and once, whatever its engines do.

mod support;

use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest};
use serde_json::{Value, json};
use support::{Act, Deployment, Fake, body_of, completion, run};
use yare::parameterized;

const TOKENS: usize = 6;

fn ask(stream: bool) -> OutgoingRequest {
    completion(&json!({
        "model": "assistant", "prompt": "hello", "max_tokens": TOKENS, "stream": stream,
    }))
}

fn whole_text() -> String {
    " t0 t1 t2 t3 t4 t5".to_owned()
}

/// Reads a stream to its end: the body, and whether it ended cleanly.
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

/// The texts of a stream's events, and their event ids' indexes.
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
    no_failure = { vec![Act::Answer], 1 },
    lost_before_a_token = { vec![Act::Lose(0), Act::Answer], 2 },
    lost_in_mid_stream = { vec![Act::Lose(3), Act::Answer], 2 },
    lost_before_the_end_event = { vec![Act::Lose(TOKENS), Act::Answer], 2 },
    truncated = { vec![Act::Truncate(2), Act::Answer], 2 },
    truncated_twice = { vec![Act::Truncate(2), Act::Truncate(2), Act::Answer], 3 },
    crossed = { vec![Act::Cross, Act::Answer], 2 },
    silent = { vec![Act::Silence, Act::Answer], 2 },
    refused = { vec![Act::Refuse, Act::Answer], 1 },
)]
fn a_stream_is_whole_and_once(script: Vec<Act>, runs: usize) {
    run(async {
        let first = Fake::start(script.clone());
        // The turns go around, so each engine plays its part of the script.
        let rest: Vec<_> = (1..3)
            .map(|skip| {
                Fake::start(
                    script
                        .iter()
                        .skip(skip)
                        .cloned()
                        .collect::<Vec<_>>()
                        .into_iter()
                        .chain([Act::Answer])
                        .collect(),
                )
            })
            .collect();
        let deployment = Deployment::start(&[&first, &rest[0], &rest[1]], &[]);
        let (text, clean) = read(&deployment, &ask(true)).await;
        let (joined, indexes) = events(&text);
        assert!(clean, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        assert_eq!(joined, whole_text());
        assert_eq!(indexes, (0..TOKENS).collect::<Vec<_>>());
        let ran = first.runs() + rest[0].runs() + rest[1].runs();
        assert!(ran <= runs, "{ran} runs");
        let bills = deployment.bills.borrow();
        assert_eq!(bills.len(), 1, "billed once, however often it was tried");
        assert_eq!(bills[0].output_tokens, TOKENS as u64);
    });
}

#[test]
fn a_whole_answer_survives_a_lost_engine() {
    run(async {
        let bad = Fake::start(vec![Act::Lose(2)]);
        let good = Fake::start(vec![Act::Answer]);
        let deployment = Deployment::start(&[&bad, &good], &[]);
        for _ in 0..2 {
            let response = deployment.send(&ask(false)).await.unwrap();
            assert_eq!(body_of(&response)["choices"][0]["text"], whole_text());
        }
    });
}

#[test]
fn a_stream_that_cannot_go_on_ends_as_aborted() {
    run(async {
        let engine = Fake::start(vec![Act::Truncate(2), Act::Truncate(0)]);
        let deployment = Deployment::start(&[&engine], &[]);
        let (text, clean) = read(&deployment, &ask(true)).await;
        assert!(!clean, "no clean end: {text}");
        assert!(!text.contains("[DONE]"));
        assert!(text.contains("event: error"), "{text}");
        assert!(deployment.bills.borrow().is_empty(), "no answer, no bill");
    });
}

#[test]
fn a_reconnect_goes_on_where_the_stream_was_cut() {
    run(async {
        // The first request spends its four attempts.
        let spent = [2, 0, 0, 0].map(Act::Truncate);
        let engine = Fake::start(spent.into_iter().chain([Act::Answer]).collect());
        let deployment = Deployment::start(&[&engine], &[]);
        let (text, _) = read(&deployment, &ask(true)).await;
        let mut ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let last = ids.next_back().expect("two tokens came").to_owned();
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
        let bills = deployment.bills.borrow();
        assert_eq!(bills.len(), 1);
        assert_eq!(
            bills[0].output_tokens, TOKENS as u64,
            "the whole answer is billed"
        );
        assert_eq!(
            Some(bills[0].request_id.as_str()),
            last.rsplit_once(':').map(|(id, _)| id)
        );
    });
}

/// Three innocents share the engine with a poison request; it is lost, and the
/// poison is quarantined after a second loss alone.
#[test]
fn a_poison_request_is_quarantined() {
    run(async {
        let engines: Vec<_> = (0..4).map(|_| Fake::start(vec![Act::Lose(0)])).collect();
        let refs: Vec<_> = engines.iter().collect();
        let deployment = Deployment::start(&refs, &[]);
        let response = deployment.send(&ask(false)).await.unwrap();
        assert_eq!(body_of(&response)["error"]["code"], "quarantined");
        assert_eq!(
            body_of(&response)["error"]["run"],
            "unknown",
            "two engines had it"
        );
        let lost: usize = engines.iter().map(Fake::runs).sum();
        assert_eq!(lost, 2);
        let again = deployment.send(&ask(false)).await.unwrap();
        assert_eq!(body_of(&again)["error"]["code"], "quarantined");
        assert_eq!(body_of(&again)["error"]["run"], "not run");
        assert!(again.headers.contains_key("retry-after"));
        assert_eq!(engines.iter().map(Fake::runs).sum::<usize>(), 2);
    });
}

/// An engine is lost under a request while the others are full.
#[test]
fn an_accepted_request_outlasts_refusals() {
    run(async {
        let lost = Fake::start(vec![Act::Lose(2), Act::Refuse, Act::Refuse, Act::Answer]);
        let full = Fake::start(vec![Act::Refuse, Act::Refuse, Act::Refuse, Act::Answer]);
        let deployment = Deployment::start(&[&lost, &full], &[]);
        let (text, clean) = read(&deployment, &ask(true)).await;
        assert!(clean, "{text}");
        assert_eq!(events(&text).0, whole_text());
    });
}

#[test]
fn what_an_engine_has_had_is_never_called_not_run() {
    run(async {
        let lost = Fake::start(vec![Act::Lose(0), Act::Refuse]);
        let full = Fake::start(vec![Act::Refuse]);
        let deployment = Deployment::start(&[&lost, &full], &[]);
        let body = json!({"model": "assistant", "prompt": "hello", "max_tokens": 3});
        let request = OutgoingRequest::new(http::Method::POST, "/v1/short").json(&body);
        // The turns go around: one of two requests meets the lost engine first.
        for _ in 0..2 {
            let request = support::with_key(request.clone(), support::KEY);
            let response = deployment.send(&request).await.unwrap();
            let error = &body_of(&response)["error"];
            assert!(response.status.is_server_error(), "{error}");
            let had = lost.runs() > 0;
            assert_eq!(error["run"] == "not run", !had, "{error}");
            if had {
                break;
            }
        }
        assert_eq!(lost.runs(), 1);
    });
}

#[test]
fn a_caller_that_goes_away_cancels_its_stream() {
    run(async {
        let engine = Fake::start(vec![Act::Silence]);
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
        assert!(deployment.bills.borrow().is_empty());
    });
}
