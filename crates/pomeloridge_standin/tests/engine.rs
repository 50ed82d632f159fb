//! The fake engine: generations, orders and faults.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{Standin, run, wait_until};
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, call};
use pomeloridge_standin::token;
use serde_json::{Value, json};
use yare::parameterized;

const FAST: [&str; 7] = [
    "engine",
    "--stream-rate",
    "100000",
    "--decode-rate",
    "100000",
    "--prefill-rate",
    "1000000",
];

fn fast(args: &[&str]) -> Standin {
    Standin::start(&[&FAST[..], args].concat())
}

fn body(id: &str, prompt: &str, max_tokens: usize) -> Value {
    json!({ "request_id": id, "prompt": prompt, "max_tokens": max_tokens, "priority": 0 })
}

fn texts(events: &[Value]) -> Vec<String> {
    let texts = events.iter().filter_map(|event| event["text"].as_str());
    texts.map(str::to_owned).collect()
}

fn is_done(events: &[Value]) -> bool {
    events.last().is_some_and(|event| event["done"] == true)
}

#[test]
fn a_generation_continues_on_another_engine() {
    run(async {
        let expected: Vec<_> = (0..8).map(|index| token("hello", index)).collect();
        let (status, whole) = fast(&[]).generate(body("a", "hello", 8)).await;
        assert_eq!((status, texts(&whole)), (200, expected.clone()));
        assert!(is_done(&whole));
        let mut rest = body("b", "hello", 8);
        rest["resume"] = json!(expected[..3]);
        let (_, events) = fast(&[]).generate(rest).await;
        assert_eq!(events[0]["index"], 3);
        assert_eq!(texts(&events), expected[3..]);
        assert_eq!(
            events.last().map(|event| &event["output_tokens"]),
            Some(&json!(5))
        );
    });
}

#[test]
fn a_repeated_prefix_is_cached() {
    run(async {
        let engine = fast(&["--cache-blocks", "4"]);
        let prompt = "p".repeat(1000);
        let (_, first) = engine.generate(body("a", &prompt, 1)).await;
        let (_, second) = engine.generate(body("b", &prompt, 1)).await;
        let cached = |events: &[Value]| events.last().map(|event| event["cached_tokens"].clone());
        assert_eq!(cached(&first), Some(json!(0)));
        assert_eq!(cached(&second), Some(json!(3 * 64)));
        let (_, events) = engine.get("/events?after=0").await;
        assert_eq!(events["next"], 3);
    });
}

#[test]
fn a_disconnected_caller_frees_its_slot() {
    run(async {
        let engine = Standin::start(&["engine", "--slots", "1", "--queue", "0"]);
        let (status, connection) = engine.stream(body("a", "hello", 1_000_000)).await;
        assert_eq!(status, 200);
        assert_eq!(engine.stream(body("b", "hello", 1)).await.0, 429);
        drop(connection);
        wait_until(async || !engine.history("end").await.is_empty()).await;
        assert_eq!(engine.history("end").await[0]["how"], "cancelled");
        let (status, events) = engine.generate(body("c", "hello", 1)).await;
        assert!(status == 200 && is_done(&events));
    });
}

#[test]
fn a_higher_priority_leaves_the_queue_first() {
    run(async {
        let engine = Rc::new(Standin::start(&["engine", "--slots", "1"]));
        let (_, running) = engine.stream(body("a", "hello", 1_000_000_000)).await;
        let mut waiting = Vec::new();
        for (id, priority) in [("low", 1), ("high", 2)] {
            let mut request = body(id, "hello", 1);
            request["priority"] = json!(priority);
            let server = Rc::clone(&engine);
            waiting.push(monoio::spawn(async move { server.generate(request).await }));
        }
        wait_until(async || engine.get("/load").await.1["queued"] == 2).await;
        drop(running);
        for task in waiting {
            assert!(is_done(&task.await.1));
        }
        let ends = engine.history("end").await;
        let ids: Vec<_> = ends.iter().map(|end| end["request_id"].as_str()).collect();
        assert_eq!(ids, [Some("a"), Some("high"), Some("low")]);
    });
}

#[parameterized(
    checked = { "true", 409, 2, "mixed" },
    ignored = { "false", 200, 2, "prefill" },
)]
fn an_old_fence(checks: &str, status: u16, fence: u64, role: &str) {
    run(async {
        let engine = fast(&["--checks-fence", checks, "--role-change-ms", "1"]);
        let order = |id: &str, fence: u64, action: &str, role: &str| json!({ "order_id": id, "fence": fence, "action": action, "role": role });
        let drain = order("a", 2, "drain", "mixed");
        assert_eq!(engine.post("/orders", drain).await.0, 200);
        wait_until(async || engine.get("/state").await.1["order"].is_null()).await;
        let old = order("b", 1, "role", "prefill");
        assert_eq!(engine.post("/orders", old).await.0, status);
        wait_until(async || engine.get("/state").await.1["order"].is_null()).await;
        let (_, state) = engine.get("/state").await;
        assert_eq!(
            (&state["fence"], &state["role"]),
            (&json!(fence), &json!(role))
        );
        let orders = engine.history("order").await;
        assert_eq!(orders[1]["refused"], json!(status == 409));
    });
}

#[test]
fn an_order_runs_once_and_blocks_others() {
    run(async {
        let engine = fast(&["--role-change-ms", "3600000"]);
        let order =
            |id: &str| json!({ "order_id": id, "fence": 1, "action": "role", "role": "decode" });
        assert_eq!(
            engine.post("/orders", order("a")).await.1["repeated"],
            false
        );
        assert_eq!(engine.post("/orders", order("a")).await.1["repeated"], true);
        let other = engine.post("/orders", order("b")).await;
        assert_eq!(other, (409, json!({ "busy": "a" })));
        wait_until(async || engine.get("/load").await.1["leaving"] == true).await;
        assert_eq!(engine.stream(body("r", "hello", 1)).await.0, 503);
        assert_eq!(engine.history("generate").await.len(), 0);
    });
}

#[parameterized(
    after_tokens = { json!({ "crash_after_tokens": 4 }), 1_000_000 },
    poison = { json!({ "poison": "bad" }), 1_000_000 },
)]
fn a_crash_cuts_streams_and_preserves_the_history(control: Value, max_tokens: usize) {
    let name = format!(
        "standin-{}-{max_tokens}-{}",
        std::process::id(),
        control.to_string().len()
    );
    let path = std::env::temp_dir().join(name);
    run(async {
        let path_text = path.to_str().expect("a path in text");
        let mut engine = Standin::start(&["engine", "--history", path_text]);
        let (status, mut bystander) = engine.stream(body("a", "hello", max_tokens)).await;
        assert_eq!(status, 200);
        // The process may exit before it writes the response.
        let _ = engine.send(common::post("/control", &control)).await;
        let options = ConnectOptions::default();
        let poisoned = common::post("/generate", &body("b", "a bad prompt", max_tokens));
        let end = Instant::now() + common::TIMEOUT;
        let opened = Connection::open(engine.address, options).await;
        if let Ok(mut connection) = opened {
            // The process may exit while the request is being written.
            let _ = connection.send(&poisoned, end).await;
        }
        assert_eq!(engine.wait_exit().await.code(), Some(70));
        let mut text = Vec::new();
        let cut = loop {
            match bystander.read_chunk(end).await {
                Ok(Some(piece)) => text.extend_from_slice(&piece),
                Ok(None) => break false,
                Err(_) => break true,
            }
        };
        assert!(cut, "the stream must not end as if it were whole");
        assert!(!String::from_utf8_lossy(&text).contains("\"done\""));
    });
    let history = std::fs::read_to_string(&path).expect("the history survives the process");
    std::fs::remove_file(&path).expect("the file is removed");
    let last: Value = serde_json::from_str(history.lines().last().expect("a line")).expect("JSON");
    assert_eq!(last["what"], "crashed");
}

#[parameterized(
    truncated = { json!({ "truncate": 1 }), false, "a" },
    crossed = { json!({ "cross": 1 }), true, "a-other" },
)]
fn a_response_fault_applies_once(control: Value, done: bool, id: &str) {
    run(async {
        let engine = fast(&[]);
        engine.post("/control", control).await;
        let (_, events) = engine.generate(body("a", "hello", 8)).await;
        assert_eq!(
            (is_done(&events), &events[0]["request_id"]),
            (done, &json!(id))
        );
        let (_, events) = engine.generate(body("a", "hello", 8)).await;
        assert!(is_done(&events) && events[0]["request_id"] == "a");
    });
}

#[parameterized(
    clean = { "a task-list", false },
    at_start = { "sk-123", true },
    inside = { "my key is sk-123", true },
)]
fn a_key_in_the_prompt_is_recorded(prompt: &str, leaks: bool) {
    run(async {
        let engine = fast(&[]);
        engine.generate(body("a", prompt, 1)).await;
        let recorded = &engine.history("generate").await[0]["leaks_key"];
        assert_eq!(recorded, &json!(leaks));
    });
}

#[test]
fn a_load_report_is_delayed() {
    run(async {
        let engine = Standin::start(&["engine", "--report-lag-ms", "3600000"]);
        let (status, _running) = engine.stream(body("a", "hello", 1_000_000)).await;
        assert_eq!(status, 200);
        let (_, first) = engine.get("/load").await;
        assert_eq!(first["running"], 0);
        let (_, second) = engine.get("/load").await;
        assert_eq!(first["at"], second["at"]);
    });
}

#[test]
fn a_silent_engine_sends_nothing() {
    run(async {
        let engine = Standin::start(&["engine"]);
        engine.post("/control", json!({ "silent": true })).await;
        let request = OutgoingRequest::get("/load");
        let answer = call(engine.address, &request, Duration::from_millis(100)).await;
        assert!(answer.is_err());
        engine.post("/control", json!({ "silent": false })).await;
        assert_eq!(engine.get("/load").await.0, 200);
    });
}
