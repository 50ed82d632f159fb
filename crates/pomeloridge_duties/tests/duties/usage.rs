//! Tests of usage windows, gaps and ranges of batch numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use pomeloridge_duties::rules::RULES;
use pomeloridge_duties::usage::{
    Gaps, Included, Ledger, PendingBatches, Ranges, RequestHash, Retention, WindowDraft,
    draft_window,
};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{batch, config, line, source};

const RETENTION: Retention = Retention {
    windows: 10,
    time: Duration::from_mins(5),
};
const SOURCE_RETENTION: u64 = 1000;

fn draft_next(ledger: &Ledger, pending: &PendingBatches) -> Option<WindowDraft> {
    draft_window(ledger, pending, &BTreeMap::new(), SOURCE_RETENTION, 5)
}

/// Returns the requests, prompt tokens and output tokens of an account.
fn totals(draft: &WindowDraft, account: &str) -> (u64, u64, u64) {
    let counts = draft.accounts[&account.into()];
    (counts.requests, counts.prompt_tokens, counts.output_tokens)
}

#[parameterized(
    smaller_first = { [("vm-1", 20), ("vm-2", 50)] },
    greater_first = { [("vm-1", 50), ("vm-2", 20)] },
    equal = { [("vm-1", 50), ("vm-2", 50)] },
)]
fn stream_resumed_on_another_node_is_counted_once(lines: [(&str, u64); 2]) {
    let mut pending = PendingBatches::default();
    for (node, output) in lines {
        let lines = vec![line("r-1", "acme", 100, output)];
        pending.add(batch(&source(node, 1), 1, lines));
    }
    let draft = draft_next(&Ledger::new(RETENTION), &pending).unwrap();
    assert_eq!(totals(&draft, "acme"), (1, 100, 50));
}

#[test]
fn request_counted_in_an_earlier_window_is_not_counted_again() {
    let mut ledger = Ledger::new(RETENTION);
    let mut pending = PendingBatches::default();
    pending.add(batch(
        &source("vm-1", 1),
        1,
        vec![line("r-1", "acme", 1, 2)],
    ));
    let first = draft_next(&ledger, &pending).unwrap();
    ledger.apply(first.window, first.included);
    pending.remove_counted(&ledger);
    pending.add(batch(
        &source("vm-2", 1),
        1,
        vec![line("r-1", "acme", 1, 9)],
    ));
    assert!(
        draft_next(&ledger, &pending).is_none(),
        "a window without usage"
    );
    pending.add(batch(
        &source("vm-2", 1),
        2,
        vec![line("r-2", "acme", 3, 4)],
    ));
    let second = draft_next(&ledger, &pending).unwrap();
    assert_eq!(second.window, 2);
    assert_eq!(totals(&second, "acme"), (1, 3, 4));
}

/// The window with request `r-0` is followed by twelve others, `minutes` later.
#[parameterized(more_windows_than_retained = { 1, true }, older_than_retained = { 6, false })]
fn requests_are_retained_for_a_number_of_windows_and_a_time(minutes: u64, retained: bool) {
    let mut ledger = Ledger::new(RETENTION);
    for window in 0..13 {
        let mut pending = PendingBatches::default();
        let lines = vec![line(&format!("r-{window}"), "acme", 1, 1)];
        pending.add(batch(&source("vm-1", 1), window + 1, lines));
        let now_ms = if window == 0 { 0 } else { minutes * 60_000 };
        let lost = BTreeMap::new();
        let draft = draft_window(&ledger, &pending, &lost, SOURCE_RETENTION, now_ms).unwrap();
        ledger.apply(draft.window, draft.included);
    }
    assert_eq!(
        ledger.has_counted_request(RequestHash::of(b"r-0")),
        retained
    );
    assert!(ledger.has_counted_request(RequestHash::of(b"r-3")));
}

#[test]
fn missing_batch_is_counted_when_it_arrives() {
    let source = source("vm-1", 7);
    let mut ledger = Ledger::new(RETENTION);
    let mut pending = PendingBatches::default();
    for number in [1, 3] {
        let lines = vec![line(&format!("r-{number}"), "acme", 1, 1)];
        pending.add(batch(&source, number, lines));
    }
    let first = draft_next(&ledger, &pending).unwrap();
    ledger.apply(first.window, first.included);
    assert_eq!(ledger.prefix(&source), 1);
    pending.remove_counted(&ledger);
    pending.add(batch(&source, 2, vec![line("r-2", "acme", 1, 1)]));
    let second = draft_next(&ledger, &pending).unwrap();
    assert_eq!(totals(&second, "acme"), (1, 1, 1));
    ledger.apply(second.window, second.included);
    assert_eq!(ledger.prefix(&source), 3);
}

#[test]
fn only_the_first_gap_is_given_up_after_the_last_round() {
    let source = source("vm-1", 7);
    let mut ledger = Ledger::new(RETENTION);
    let mut pending = PendingBatches::default();
    for number in [1, 4, 6] {
        let lines = vec![line(&format!("r-{number}"), "acme", 1, 1)];
        pending.add(batch(&source, number, lines));
    }
    let mut gaps = Gaps::default();
    assert!(gaps.record_round(&ledger, &pending, 3).is_empty());
    assert!(gaps.record_round(&ledger, &pending, 3).is_empty());
    let lost = gaps.record_round(&ledger, &pending, 3);
    assert_eq!(lost[&source], Ranges::from_iter([(2, 3)]));
    let draft = draft_window(&ledger, &pending, &lost, SOURCE_RETENTION, 5).unwrap();
    ledger.apply(draft.window, draft.included);
    assert_eq!(ledger.prefix(&source), 4);
}

#[test]
fn source_is_dropped_after_its_retention_unless_it_is_active() {
    let (old, new) = (source("vm-1", 1), source("vm-1", 2));
    let mut ledger = Ledger::new(RETENTION);
    for number in 1..=4 {
        let mut pending = PendingBatches::default();
        let source = if number == 1 { &old } else { &new };
        let lines = vec![line(&format!("r-{number}"), "acme", 1, 1)];
        pending.add(batch(source, number, lines));
        let draft = draft_window(&ledger, &pending, &BTreeMap::new(), 2, 5).unwrap();
        ledger.apply(draft.window, draft.included);
    }
    assert_eq!(ledger.counted().keys().collect::<Vec<_>>(), [&new]);
}

#[test]
fn large_window_is_split_below_a_megabyte() {
    let mut ledger = Ledger::new(RETENTION);
    let mut pending = PendingBatches::default();
    for number in 1..=800 {
        let request = |n| line(&format!("r-{number}-{n}"), &format!("account-{n}"), 1, 1);
        let lines = (0..100).map(request).collect();
        pending.add(batch(&source("vm-1", 1), number, lines));
    }
    let mut requests = 0;
    while let Some(draft) = draft_next(&ledger, &pending) {
        let seal = draft.seal().unwrap();
        let bytes = seal.accounts.to_string().len() + seal.included.to_string().len();
        assert!(bytes < 1_000_000, "{bytes} bytes");
        requests += draft
            .accounts
            .values()
            .map(|counts| counts.requests)
            .sum::<u64>();
        ledger.apply(draft.window, Included::from_value(&seal.included).unwrap());
        pending.remove_counted(&ledger);
    }
    assert_eq!(requests, 80_000);
    assert_eq!(ledger.window(), 2);
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn ranges_contain_the_inserted_numbers(
        pairs in prop::collection::vec((1_u64..60, 0_u64..8), 0..24),
    ) {
        let inside = |number| pairs.iter().any(|(first, more)| (*first..=first + more).contains(&number));
        let ranges: Ranges = pairs.iter().map(|(first, more)| (*first, first + more)).collect();
        for number in 1..80 {
            prop_assert_eq!(ranges.contains(number), inside(number), "{}", number);
        }
        let missing = (1..80).find(|number| !inside(*number)).unwrap();
        prop_assert_eq!(ranges.prefix(), missing - 1);
        prop_assert_eq!(ranges.next_missing(1), missing);
        let next = (missing..80).find(|number| inside(*number));
        prop_assert_eq!(ranges.first_gap(), next.map(|next| (missing, next - 1)));
        let list: Vec<_> = ranges.iter().collect();
        prop_assert!(list.windows(2).all(|pair| pair[0].1 + 1 < pair[1].0));
    }
}

#[test]
fn rules_are_complete_and_have_unique_names() {
    for rule in RULES {
        let fields = [
            rule.name,
            rule.description,
            rule.reason,
            rule.options,
            rule.example,
        ];
        assert!(
            fields.iter().all(|field| !field.is_empty()),
            "{}",
            rule.name
        );
        let same = RULES.iter().filter(|other| other.name == rule.name);
        assert_eq!(same.count(), 1, "{}", rule.name);
    }
}
