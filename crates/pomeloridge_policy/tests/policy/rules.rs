//! The reference of rules.

use std::collections::HashSet;

use pomeloridge_policy::rules::RULES;

#[test]
fn every_rule_is_described_alike() {
    let names: HashSet<&str> = RULES.iter().map(|rule| rule.name).collect();
    assert_eq!(names.len(), RULES.len(), "a name stands twice");
    for rule in RULES {
        for text in [rule.what, rule.why, rule.options, rule.example] {
            assert!(text.ends_with('.'), "{}: {text}", rule.name);
        }
    }
}
