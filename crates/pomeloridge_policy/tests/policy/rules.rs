//! Tests of the rule descriptions.

use std::collections::HashSet;

use pomeloridge_policy::rules::RULES;

#[test]
fn rule_names_are_unique_and_texts_end_with_a_period() {
    let names: HashSet<&str> = RULES.iter().map(|rule| rule.name).collect();
    assert_eq!(names.len(), RULES.len(), "rule names must be unique");
    for rule in RULES {
        for text in [rule.description, rule.reason, rule.options, rule.example] {
            assert!(text.ends_with('.'), "{}: {text}", rule.name);
        }
    }
}
