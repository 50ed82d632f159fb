//! Tests of the expected lengths of answers.

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{Dispatcher, EngineModel, TargetKey};
use yare::parameterized;

fn dispatcher() -> Dispatcher {
    Dispatcher::new(Name::from("a"), EngineModel::default(), 7)
}

/// Records answers of a route, each of a length with an estimate.
fn answer(dispatcher: &mut Dispatcher, route: &str, answers: &[(u64, Option<u64>)]) {
    for (tokens, estimate) in answers {
        let server = TargetKey::default();
        dispatcher.record_output_tokens(server, &Name::from(route), *tokens, *estimate);
    }
}

/// The answers of a route differ by a hundred times, and callers estimate theirs. One that is
/// expected to be short must not be prepared for like the longest ones.
#[parameterized(
    short = { 10, 15 },
    long = { 400, 600 },
)]
fn the_estimate_counts_in_place_of_the_usual_length(estimate: u64, expected: u32) {
    let mut dispatcher = dispatcher();
    let answers: Vec<_> = (1..=30).map(|size| (size * 15, Some(size * 10))).collect();
    answer(&mut dispatcher, "chat", &answers);
    let long = dispatcher.long_answer(&Name::from("chat"), Some(estimate));
    assert_eq!(long, Some(expected));
}

/// Estimates are off by a factor: one answer in ten exceeds what is prepared for.
#[test]
fn one_answer_in_ten_exceeds_what_is_prepared_for() {
    let mut dispatcher = dispatcher();
    let answers: Vec<_> = (1..=20).map(|ratio| (ratio * 10, Some(100))).collect();
    answer(&mut dispatcher, "chat", &answers);
    let long = dispatcher.long_answer(&Name::from("chat"), Some(100));
    let exceeding = answers
        .iter()
        .filter(|(tokens, _)| Some(*tokens as u32) > long);
    assert_eq!(exceeding.count(), 1);
}

/// Without estimates, the lengths of the route's answers are all that is known.
#[test]
fn without_an_estimate_the_usual_length_counts() {
    let mut dispatcher = dispatcher();
    let answers: Vec<_> = (1..=20).map(|tokens| (tokens * 10, None)).collect();
    answer(&mut dispatcher, "chat", &answers);
    let chat = Name::from("chat");
    assert_eq!(dispatcher.long_answer(&chat, None), Some(190));
    assert_eq!(dispatcher.long_answer(&Name::from("other"), None), None);
}

/// A caller whose estimates say nothing must not mislead: implausible ratios are not learnt.
#[test]
fn implausible_estimates_are_not_learnt() {
    let mut dispatcher = dispatcher();
    answer(&mut dispatcher, "chat", &[(100, Some(100)); 20]);
    answer(
        &mut dispatcher,
        "chat",
        &[(100, Some(0)), (1, Some(u64::MAX))],
    );
    let long = dispatcher.long_answer(&Name::from("chat"), Some(50));
    assert_eq!(long, Some(50));
}

/// Routes come and go for months: what was learnt of a removed one is dropped.
#[test]
fn removed_routes_are_forgotten() {
    let mut dispatcher = dispatcher();
    answer(&mut dispatcher, "chat", &[(100, None); 20]);
    dispatcher.retain_routes(|_| true);
    assert!(dispatcher.long_answer(&Name::from("chat"), None).is_some());
    dispatcher.retain_routes(|name| name.as_str() != "chat");
    assert_eq!(dispatcher.long_answer(&Name::from("chat"), None), None);
}
