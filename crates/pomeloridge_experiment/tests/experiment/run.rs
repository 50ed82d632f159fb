//! Tests of the load generator against a fake node.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use http::{HeaderMap, Method};
use pomeloridge_base::http::{Fault, Limits, Request, Responder, Response, Server};
use pomeloridge_base::net::listen;
use pomeloridge_experiment::arrivals::arrivals;
use pomeloridge_experiment::plan::{Kind, Plan};
use pomeloridge_experiment::run::{Endpoints, run};
use pomeloridge_experiment::verdict::verdict;
use pomeloridge_standin::token;
use serde_json::{Value, json};

use crate::support::short_plan;

const REFUSAL: &str = r#"{"error":{"code":"overloaded","run":"not run","retry_after_ms":1}}"#;

/// Answers like a node in front of correct engines and services, but refuses every
/// submission the first time.
async fn answer(
    request: &Request,
    responder: &mut Responder,
    seen: &RefCell<HashSet<String>>,
) -> Result<(), Fault> {
    let id = "r-1-2";
    if request.path().starts_with("/v1/") {
        return generate(request, responder).await;
    }
    let key = request.header("idempotency-key").unwrap_or_default();
    let response = if request.method == Method::GET {
        Response::json(404, &json!({}))
    } else if seen.borrow_mut().insert(key.to_owned()) {
        Response::new(503, REFUSAL).with_header("x-run", "not run")
    } else {
        Response::json(201, &json!({ "id": 1 }))
    };
    responder
        .send(response.with_header("x-request-id", id))
        .await
}

async fn generate(request: &Request, responder: &mut Responder) -> Result<(), Fault> {
    let body: Value = serde_json::from_slice(&request.body).unwrap();
    let chat = body["messages"][0]["content"].as_str();
    let chat = chat.map(|content| format!("user: {content}\n"));
    let prompt = chat.as_deref().or(body["prompt"].as_str()).unwrap();
    responder
        .start(http::StatusCode::OK, &HeaderMap::new())
        .await?;
    for index in 0..body["max_tokens"].as_u64().unwrap() as usize {
        let data = json!({ "choices": [{ "text": token(prompt, index) }] });
        let event = format!("id: r-1-2:{index}\ndata: {data}\n\n");
        responder.send_chunk(event.as_bytes()).await?;
    }
    responder.send_chunk(b"data: [DONE]\n\n").await?;
    responder.finish().await
}

/// Starts the fake node; its thread ends with the test's process.
fn start_node() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let seen = Rc::new(RefCell::new(HashSet::new()));
            let server = Server {
                limits: Limits::default().into(),
                handler: async move |request: Result<Request, Fault>, responder: &mut Responder| {
                    let _ = answer(&request.unwrap(), responder, &seen).await;
                },
                stopping: || false,
            };
            Rc::new(server).run(listener).await;
        });
    });
    receiver.recv().unwrap()
}

/// Returns an address on which nothing listens.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn endpoints(plan: &Plan, callers: Vec<SocketAddr>) -> Endpoints {
    let key = |account: &pomeloridge_experiment::plan::AccountPlan| {
        (account.name.clone(), "sk-test".to_owned())
    };
    Endpoints {
        callers,
        keys: plan.accounts.iter().map(key).collect(),
        threads: 2,
    }
}

fn small_plan() -> Plan {
    let mut plan = short_plan();
    plan.duration_s = 0.5;
    plan.capacity.engines = 6;
    if let Some(loss) = &mut plan.reclaim {
        loss.at_s = 0.2;
    }
    plan
}

#[test]
fn every_arrival_is_sent_and_read_to_its_end() {
    let plan = small_plan();
    let callers = vec![closed_address(), start_node()];
    let mut reclaimed = Vec::new();
    let outcome = run(&endpoints(&plan, callers), &plan, |loss| {
        reclaimed.push(loss.data_centre.clone());
    });
    let records = outcome.unwrap().records;
    let list = arrivals(&plan);
    assert_eq!(reclaimed, ["tartu-a"]);
    assert_eq!(records.len(), list.len());
    for (record, arrival) in records.iter().zip(&list) {
        assert_eq!((record.kind, record.serial), (arrival.kind, arrival.serial));
        assert!(verdict(&plan, record, 1).is_served(), "{record:?}");
        let attempts = if record.kind == Kind::Submission {
            2
        } else {
            1
        };
        assert_eq!(record.attempts, attempts);
    }
    assert!(records.iter().any(|record| record.connect_failures > 0));
    for kind in Kind::ALL {
        assert!(records.iter().any(|record| record.kind == kind), "{kind}");
    }
}

#[test]
fn requests_without_a_node_fail() {
    let plan = small_plan();
    let outcome = run(&endpoints(&plan, vec![closed_address()]), &plan, |_| ());
    for record in outcome.unwrap().records {
        assert_eq!((record.status, record.code.as_str()), (0, "no_node"));
        assert_eq!(record.tokens, Vec::<Duration>::new());
    }
}

#[test]
fn an_account_without_a_key_is_reported() {
    let plan = small_plan();
    let mut endpoints = endpoints(&plan, vec![closed_address()]);
    endpoints.keys.remove(0);
    let error = run(&endpoints, &plan, |_| ()).unwrap_err();
    assert_eq!(error.to_string(), "account-1 has no key");
}
