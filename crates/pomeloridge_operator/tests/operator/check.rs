//! Validation of configurations.

use pomeloridge_operator::check::{Problem, parse_fleet};
use yare::parameterized;

fn places(problems: &[Problem]) -> Vec<&str> {
    problems
        .iter()
        .map(|problem| problem.place.as_str())
        .collect()
}

#[parameterized(
    not_json = { "{", &["line 1 column 1"] },
    not_an_object = { "[]", &["body"] },
    unknown = { r#"{"rutes": []}"#, &["rutes"] },
    not_a_list = { r#"{"routes": {}, "models": []}"#, &["models", "routes"] },
    unknown_in_route = { r#"{"routes": [{"path": "/a"}, {"path": "/b", "wieght": 1}]}"#, &["routes[1].wieght"] },
    wrong_types = { r#"{"models": {"m": {"floor": -1, "ceiling": "two"}}}"#, &["models.m.ceiling", "models.m.floor"] },
    unknown_kind = { r#"{"routes": [{"path": "/a", "kind": "cat"}]}"#, &["routes[0].kind"] },
    same_field_twice = { r#"{"routes": [], "routes": []}"#, &["line 1 column 23"] },
    same_route = { r#"{"routes": [{"path": "/a"}, {"path": "/a"}]}"#, &["routes[1].path"] },
    no_path = { r#"{"routes": [{"kind": "chat"}]}"#, &["routes[0].path"] },
    path_end = { r#"{"routes": [{"path": "/a/"}]}"#, &["routes[0].path"] },
    path_query = { r#"{"routes": [{"path": "/a?b"}]}"#, &["routes[0].path"] },
    no_pool = { r#"{"routes": [{"path": "/a", "kind": "service"}]}"#, &["routes[0].pool"] },
    pool_of_model = { r#"{"routes": [{"path": "/a", "kind": "chat", "pool": "p"}]}"#, &["routes[0].pool"] },
    weight = { r#"{"routes": [{"path": "/a", "weight": 0}]}"#, &["routes[0].weight"] },
    zeros = { r#"{"routes": [{"path": "/a", "body_bytes": 0, "gap_ms": 0}]}"#, &["routes[0].body_bytes", "routes[0].gap_ms"] },
    late_first_byte = { r#"{"routes": [{"path": "/a", "first_byte_ms": 9, "deadline_ms": 8}]}"#, &["routes[0].first_byte_ms"] },
    methods = { r#"{"routes": [{"path": "/a", "methods": ["get"], "idempotent": ["PUT"]}]}"#, &["routes[0].methods", "routes[0].idempotent"] },
    no_methods = { r#"{"routes": [{"path": "/a", "methods": []}]}"#, &["routes[0].methods"] },
    floor = { r#"{"models": {"m": {"floor": 5, "ceiling": 4}}}"#, &["models.m.floor"] },
    rates = { r#"{"models": {"m": {"prefill_rate": 0, "decode_rate": -1}}}"#, &["models.m.prefill_rate", "models.m.decode_rate"] },
    exception_fields = { r#"{"exceptions": [{"id": "e", "kind": "hold"}]}"#, &["exceptions[0].target", "exceptions[0].reason"] },
    exception_role = { r#"{"exceptions": [{"id": "e", "kind": "pin", "target": "s", "value": "chef", "reason": "r"}]}"#, &["exceptions[0].value"] },
    exception_floor = { r#"{"models": {"m": {"ceiling": 3}}, "exceptions": [{"id": "e", "kind": "floor", "target": "m", "value": "4", "reason": "r"}]}"#, &["exceptions[0].value"] },
)]
fn problems_have_their_places(text: &str, expected: &[&str]) {
    let problems = parse_fleet(text.as_bytes()).expect_err("problems");
    assert_eq!(places(&problems), expected, "{problems:?}");
    assert!(
        problems
            .iter()
            .all(|found| !found.problem.is_empty() && !found.fix.is_empty())
    );
}

#[test]
fn all_problems_are_found_at_once() {
    let text = r#"{
        "models": {"m": {"floor": 9, "ceiling": 2}},
        "routes": [{"path": "a", "weight": -1}, {"path": "/s", "kind": "service"}],
        "exceptions": [{"id": "e", "kind": "drain", "target": "x", "reason": ""}]
    }"#;
    let problems = parse_fleet(text.as_bytes()).expect_err("problems");
    assert_eq!(
        places(&problems),
        [
            "models.m.floor",
            "routes[0].path",
            "routes[0].weight",
            "routes[1].pool",
            "exceptions[0].reason"
        ]
    );
}

#[test]
fn a_valid_configuration_is_accepted() {
    let text = r#"{
        "models": {"m": {"floor": 2, "ceiling": 8}},
        "routes": [
            {"path": "/v1/chat/completions", "kind": "chat", "weight": 0.5},
            {"path": "/filings", "kind": "service", "pool": "filings", "methods": ["GET", "POST"], "idempotent": ["GET"]}
        ],
        "exceptions": [{"id": "e", "kind": "floor", "target": "m", "value": "4", "reason": "fair in town"}]
    }"#;
    let fleet = parse_fleet(text.as_bytes()).expect("no problems");
    assert_eq!(fleet.routes.len(), 2);
}
