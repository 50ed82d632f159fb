//! Each checker accepts a valid history and rejects histories with violations.

use pomeloridge_dev::caller::expected_tokens;
use pomeloridge_dev::check::checkers::{
    answers, check_all, config, filings, interruptions, keys, leaving, not_run, orders, usage,
};
use pomeloridge_dev::check::record::{
    ConfigCall, ConfigProbe, Event, EventKind, Exchange, Expectation, History, KeyProbe, Kind,
    Line, RegisterOp, Violation,
};
use pomeloridge_standin::prompt_hash;
use serde_json::{Value, json};
use yare::parameterized;

const BODY: &str = r#"{"case":17,"marker":"f1"}"#;

fn line(source: &str, at: u64, kind: &str, mut fields: Value) -> Line {
    fields["n"] = json!(at);
    Line {
        source: source.to_owned(),
        at,
        kind: kind.to_owned(),
        fields,
    }
}

fn whole_completion() -> Exchange {
    let text = expected_tokens("p1", 3).concat();
    Exchange {
        marker: "m1".into(),
        account: "account-1".into(),
        prompt: "p1".into(),
        max_tokens: 3,
        connected: true,
        status: 200,
        complete: true,
        request_id: "r-1".into(),
        body: json!({"choices": [{"text": text}], "usage": {"completion_tokens": 3}}).to_string(),
        ..Exchange::default()
    }
}

fn streamed() -> Exchange {
    Exchange {
        marker: "m2".into(),
        kind: Kind::Stream,
        prompt: "p2".into(),
        texts: expected_tokens("p2", 3),
        indexes: vec![0, 1, 2],
        request_id: "r-2".into(),
        body: String::new(),
        ..whole_completion()
    }
}

fn filed() -> Exchange {
    Exchange {
        marker: "f1".into(),
        kind: Kind::Filing,
        account: "account-2".into(),
        prompt: BODY.into(),
        idempotency_key: Some("key-f1".into()),
        connected: true,
        status: 201,
        complete: true,
        request_id: "r-3".into(),
        body: json!({"id": 1}).to_string(),
        ..Exchange::default()
    }
}

fn generated(prompt: &str, request_id: &str) -> Line {
    let names = ["host", "x-request-id"];
    let fields = json!({
        "request_id": request_id, "prompt_hash": prompt_hash(prompt),
        "leaks_key": false, "header_names": names,
    });
    line("engine-1", 10, "generate", fields)
}

fn ran(service: &str) -> Line {
    let fields = json!({
        "request_id": "r-3", "method": "POST", "body": BODY,
        "leaks_key": false, "header_names": ["host"],
    });
    line(service, 10, "run", fields)
}

fn order(source: &str, at: u64, id: &str, fence: u64) -> Line {
    let fields = json!({
        "order_id": id, "fence": fence, "action": "role", "role": "decode", "applied": true,
    });
    line(source, at, "order", fields)
}

fn order_done(at: u64, id: &str) -> Line {
    line("engine-1", at, "order_done", json!({"order_id": id}))
}

fn report(window: u64, fence: u64, tokens: u64) -> Line {
    let accounts = json!({
        "account-1": {"requests": 2, "prompt_tokens": 1, "output_tokens": tokens},
        "account-2": {"requests": 1, "prompt_tokens": 0, "output_tokens": 0},
    });
    let fields = json!({"window": window, "fence": fence, "accounts": accounts});
    line("platform", 20, "usage", fields)
}

fn probe(revision: u64, at: u64) -> ConfigProbe {
    ConfigProbe {
        node: "node-1".into(),
        key: "config/fleet".into(),
        revision,
        sent_at: at,
        at,
    }
}

fn call(operator: usize, sent_at: u64, call: RegisterOp) -> ConfigCall {
    ConfigCall {
        operator,
        sent_at,
        ended_at: sent_at + 5,
        call,
    }
}

fn key_probe(sent_at: u64, status: u16) -> KeyProbe {
    KeyProbe {
        key: "k-1".into(),
        node: "node-1".into(),
        sent_at,
        status,
    }
}

fn event(at: u64, kind: EventKind) -> Event {
    Event { at, kind }
}

/// Returns the history of a run without violations.
fn valid_history() -> History {
    let won = RegisterOp::Applied {
        expect: 1,
        revision: 2,
        value: 12,
    };
    let withdrawn = EventKind::Withdrawn { key: "k-1".into() };
    let left = EventKind::Leaving {
        server: "engine-1".into(),
    };
    let stopped = EventKind::Stopped {
        node: "node-1".into(),
        code: Some(0),
    };
    History {
        exchanges: vec![whole_completion(), streamed(), filed(), filed()],
        lines: vec![
            generated("p1", "r-1"),
            generated("p2", "r-2"),
            ran("filings-1"),
            order("engine-1", 11, "o-1", 4),
            order_done(12, "o-1"),
            order("engine-1", 13, "o-2", 5),
            report(1, 4, 6),
            report(1, 4, 6),
        ],
        events: vec![event(100, withdrawn), event(100, left), event(200, stopped)],
        key_probes: vec![
            key_probe(90, 404),
            key_probe(150, 404),
            key_probe(9000, 401),
        ],
        config_probes: vec![probe(1, 90), probe(2, 210), probe(2, 300)],
        config_calls: vec![
            call(
                0,
                100,
                RegisterOp::Read {
                    revision: 1,
                    value: 11,
                },
            ),
            call(0, 110, won),
            call(1, 112, RegisterOp::Conflict { expect: 1 }),
            call(
                1,
                130,
                RegisterOp::Read {
                    revision: 2,
                    value: 12,
                },
            ),
        ],
        initial: (1, 11),
        expect: Expectation::All,
    }
}

#[test]
fn valid_history_passes() {
    assert_eq!(check_all(&valid_history()), Vec::new());
}

type Check = fn(&History) -> Vec<Violation>;

#[parameterized(
    other_text = { |h| h.exchanges[0].body = h.exchanges[0].body.replace(" w", " x"), answers::check },
    wrong_count = { |h| h.exchanges[0].body = h.exchanges[0].body.replace(":3", ":4"), answers::check },
    doubled_index = { |h| h.exchanges[1].indexes = vec![0, 1, 1], answers::check },
    stream_of_another_request = { |h| h.exchanges[1].texts = expected_tokens("p1", 3), answers::check },
    short_stream = { |h| { h.exchanges[1].texts.pop(); h.exchanges[1].indexes.pop(); }, answers::check },
    filing_never_run = { |h| h.lines.retain(|line| line.kind != "run"), answers::check },
    filing_of_another = { |h| h.exchanges[2].body = json!({"id": 2}).to_string(), answers::check },
    run_twice = { |h| h.lines.push(ran("filings-2")), filings::check },
    repeat_differs = { |h| h.exchanges[3].body = json!({"id": 9}).to_string(), filings::check },
    not_run_but_ran = { |h| { h.exchanges[0].status = 503; h.exchanges[0].run = "not run".into(); }, not_run::check },
    not_run_by_content = { |h| { h.exchanges[0].run = "not run".into(); h.exchanges[0].request_id.clear(); }, not_run::check },
    key_in_text = { |h| h.lines[0].fields["leaks_key"] = json!(true), keys::check },
    key_in_header = { |h| h.lines[2].fields["header_names"] = json!(["authorization"]), keys::check },
    unknown_key_ran = { |h| h.exchanges[0].account = keys::UNKNOWN_ACCOUNT.into(), keys::check },
    withdrawn_key_accepted = { |h| h.key_probes.push(key_probe(9500, 404)), keys::check },
    withdrawn_key_late = { |h| { h.key_probes.push(key_probe(15_000, 404)); h.key_probes.push(key_probe(15_100, 401)); }, keys::check },
    revision_reverts = { |h| h.config_probes.push(probe(1, 400)), config::check },
    change_not_active = { |h| h.config_probes.retain(|probe| probe.revision == 1), config::check },
    conflicting_writes = { |h| h.config_calls.push(call(1, 140, RegisterOp::Applied { expect: 1, revision: 3, value: 21 })), config::check },
    lost_change = { |h| h.config_calls.push(call(1, 140, RegisterOp::Read { revision: 1, value: 11 })), config::check },
    false_conflict = { |h| h.config_calls.push(call(1, 140, RegisterOp::Conflict { expect: 2 })), config::check },
    request_after_leaving = { |h| h.lines[0].at = 6000, leaving::check },
    interrupted_stream = { |h| h.exchanges[1].complete = false, interruptions::check },
    accepted_and_lost = { |h| h.exchanges[0].status = 502, interruptions::check },
    stop_by_signal = { |h| h.events.push(event(1, EventKind::Stopped { node: "node-2".into(), code: None })), interruptions::check },
    three_engines_crashed = { |h| for engine in ["a", "b", "c"] { h.lines.push(line(engine, 9, "crashed", json!({"why": "poison"}))); }, interruptions::check },
    fence_decreases = { |h| h.lines.push(order("platform", 30, "o-9", 5)), orders_after_platform },
    order_with_two_contents = { |h| { let mut again = order("engine-1", 14, "o-2", 5); again.fields["role"] = json!("mixed"); h.lines.push(again); }, orders::check },
    order_while_open = { |h| h.lines.push(order("engine-1", 14, "o-3", 5)), orders::check },
    window_with_differing_usage = { |h| h.lines.push(report(1, 4, 5)), usage::check },
    usage_with_lower_fence = { |h| h.lines.push(report(2, 3, 0)), usage::check },
    never_billed = { |h| h.lines.retain(|line| line.kind != "usage"), usage::check },
    billed_too_much = { |h| h.lines.push(report(2, 4, 100)), usage::check },
)]
fn violation_is_found(corrupt: fn(&mut History), check: Check) {
    let mut history = valid_history();
    corrupt(&mut history);
    assert!(!check(&history).is_empty());
}

/// Adds an order with a lower fence before the orders are checked.
fn orders_after_platform(history: &History) -> Vec<Violation> {
    let mut history = history.clone();
    history.lines.push(order("platform", 31, "o-10", 4));
    for line in &mut history.lines {
        line.fields["status"] = json!(200);
    }
    orders::check(&history)
}

#[test]
fn interrupted_filing_is_allowed_if_only_completions_are_guaranteed() {
    let mut history = valid_history();
    history.expect = Expectation::Completions;
    history.exchanges[2].complete = false;
    assert_eq!(interruptions::check(&history), Vec::new());
}
