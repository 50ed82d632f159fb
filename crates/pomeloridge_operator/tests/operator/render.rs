//! Output of the commands, compared with `tests/snapshots`.

use pomeloridge_operator::cli::{
    render_accounts, render_change, render_config, render_error, render_exceptions, render_history,
    render_issued, render_report, render_usage,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use yare::parameterized;

fn in_force() -> Value {
    json!({"nodes": 2, "of": 3})
}

#[parameterized(
    config = { "config", render_config, json!({"revision": 12, "in_force": in_force(), "fleet": {"models": {}, "routes": [{"path": "/a"}]}}) },
    history = { "history", render_history, json!({"changes": [
        {"at": 1_790_000_000_000_u64, "by": "anna", "reason": "more staff", "revision": 112, "what": "added account tartu with weight 2"},
        {"at": 1_789_000_000_000_u64, "by": "boris", "reason": "", "revision": 9, "what": "removed exception e1"},
    ]}) },
    exceptions = { "exceptions", render_exceptions, json!({"revision": 3, "exceptions": [
        {"id": "e1", "kind": "pin", "target": "engine-7", "value": "decode", "by": "anna", "reason": "its prefill\nis slow"},
        {"id": "night", "kind": "hold", "target": "filings", "value": "", "by": "boris", "reason": "move of the hall"},
    ]}) },
    accounts = { "accounts", render_accounts, json!({"accounts": [
        {"name": "narva", "weight": 1.0, "keys": []},
        {"name": "tartu", "weight": 2.5, "keys": [{"id": "k-1", "withdrawn": true}, {"id": "k-2", "withdrawn": false}, {"id": "k-3", "withdrawn": false}]},
    ]}) },
    change = { "change", render_change, json!({"revision": 8, "in_force": in_force(), "history": "written"}) },
    change_without_history = { "change_without_history", render_change, json!({"revision": 8, "in_force": in_force(), "history": "not written"}) },
    change_with_unknown_history = { "change_with_unknown_history", render_change, json!({"revision": 8, "in_force": in_force(), "history": "unknown"}) },
    unchanged = { "unchanged", render_change, json!({"revision": 8, "in_force": in_force(), "history": "unchanged"}) },
    issued = { "issued", render_issued, json!({"id": "k-1", "key": "sk-example", "revision": 8, "in_force": in_force(), "history": "written"}) },
    status = { "status", render_report, json!({
        "node": "vm-1", "ready": true,
        "leases": [{"duty": "placement", "holder": "vm-2", "epoch": 4}],
        "nodes": [{"name": "vm-1", "state": "live", "revision": 12}, {"name": "vm-2", "state": "suspect", "revision": 11}],
        "servers": [{"id": "engine-7", "pool": "m", "kind": "engine", "state": "ready", "running": 3, "why": null}],
        "exceptions": [{"id": "e1", "kind": "drain", "target": "engine-7", "reason": "fan is loud"}],
    }) },
    explain = { "explain", render_report, json!({"request_id": "r1", "decisions": [
        {"at": 1_709_164_800_005_u64, "what": "admit", "reason": "queue is empty", "waited_ms": 0},
        {"at": 951_782_399_999_u64, "what": "route", "reason": "least score", "chosen": "engine-7", "scores": [1.5, 2.25]},
    ]}) },
    usage = { "usage", render_usage, json!({"windows": [
        {"window": 17, "state": "sealed", "accounts": {"narva": {"requests": 1, "prompt_tokens": 20, "output_tokens": 3}, "tartu": {"requests": 12, "prompt_tokens": 4000, "output_tokens": 350}}},
        {"window": 18, "state": "open", "accounts": {"tartu": {"requests": 2, "prompt_tokens": 9, "output_tokens": 1}}},
    ]}) },
    refused = { "refused", render_error, json!({"error": {"code": "bad_json", "message": "the body is wrong", "run": "not run", "retry_after_ms": null, "problems": [
        {"place": "routes[0].weight", "problem": "0 is not positive", "fix": "write a number over 0"},
    ]}}) },
    conflict = { "conflict", render_error, json!({"error": {"code": "conflict", "message": "the object changed", "run": "not run", "retry_after_ms": null, "revision": 14}}) },
    unknown = { "unknown", render_error, json!({"error": {"code": "change_unknown", "message": "not confirmed", "run": "unknown", "retry_after_ms": 1000, "id": "k-1"}}) },
)]
fn output_matches_snapshot(name: &str, render: fn(&Value) -> String, value: Value) {
    let file = format!("{}/tests/snapshots/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let expected = std::fs::read_to_string(&file).unwrap_or_default();
    assert_eq!(render(&value), expected, "{file}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn texts_stay_in_their_rows(reason in any::<String>(), by in any::<String>()) {
        let value = json!({"changes": [{"revision": 1, "at": 2, "by": by, "what": "w", "reason": reason}]});
        let text = render_history(&value);
        prop_assert_eq!(text.matches('\n').count(), 2);
        prop_assert!(text.chars().all(|character| character == '\n' || !character.is_control()));
    }
}
