//! Tests of the expected lengths of answers.

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{Dispatcher, EngineModel, ExpectedLength, TargetKey};
use yare::parameterized;

fn dispatcher() -> Dispatcher {
    Dispatcher::new(Name::from("a"), EngineModel::default(), 7)
}

/// Records answers of the route `chat`, each of a length with an estimate.
fn answer(dispatcher: &mut Dispatcher, answers: &[(u64, Option<u64>)]) {
    for (tokens, estimate) in answers {
        let server = TargetKey::default();
        dispatcher.record_output_tokens(server, &Name::from("chat"), *tokens, *estimate);
    }
}

fn expected(dispatcher: &Dispatcher, estimate: Option<u64>) -> Option<ExpectedLength> {
    dispatcher.expected_length(&Name::from("chat"), estimate)
}

/// The answers of a route differ by thirty times, and callers estimate theirs. One that is
/// expected to be short must not be treated like the longest ones.
#[parameterized(
    short = { 10, 15 },
    long = { 400, 600 },
)]
fn the_estimate_counts_in_place_of_the_usual_length(estimate: u64, tokens: u32) {
    let mut dispatcher = dispatcher();
    let answers: Vec<_> = (1..=30).map(|size| (size * 15, Some(size * 10))).collect();
    answer(&mut dispatcher, &answers);
    let length = expected(&dispatcher, Some(estimate)).unwrap();
    assert_eq!(length.tokens, tokens);
    assert!(length.spread < 0.01, "{length:?}");
}

/// Estimates are off by a factor, as often too low as too high: the spread tells by how much.
#[test]
fn the_spread_tells_how_far_estimates_are_off() {
    let mut dispatcher = dispatcher();
    let answers: Vec<_> = [25, 50, 100, 100, 100, 200, 400]
        .map(|tokens| (tokens, Some(100)))
        .to_vec();
    answer(&mut dispatcher, &answers);
    let length = expected(&dispatcher, Some(100)).unwrap();
    assert_eq!(length.tokens, 100);
    assert!((length.spread - 2.0_f64.ln()).abs() < 0.01, "{length:?}");
}

/// A process that has just started knows estimates, but not how good they are.
#[test]
fn the_first_estimates_are_taken_as_they_are() {
    let length = expected(&dispatcher(), Some(100)).unwrap();
    assert_eq!(length.tokens, 100);
    assert!(length.spread > 0.0);
    assert_eq!(expected(&dispatcher(), None), None);
}

/// Without estimates, the lengths of the route's answers are all that is known.
#[test]
fn without_an_estimate_the_usual_length_counts() {
    let mut dispatcher = dispatcher();
    let answers: Vec<_> = (1..=21).map(|tokens| (tokens * 10, None)).collect();
    answer(&mut dispatcher, &answers);
    let length = expected(&dispatcher, None).unwrap();
    assert_eq!(length.tokens, 110);
    let other = dispatcher.expected_length(&Name::from("other"), None);
    assert_eq!(other, None);
}

/// A caller whose estimates say nothing must not mislead: implausible ratios are not learnt.
#[test]
fn implausible_estimates_are_not_learnt() {
    let mut dispatcher = dispatcher();
    answer(&mut dispatcher, &[(100, Some(100)); 20]);
    answer(&mut dispatcher, &[(100, Some(0)), (1, Some(u64::MAX))]);
    assert_eq!(expected(&dispatcher, Some(50)).unwrap().tokens, 50);
}

/// An estimate of any size gives a length.
#[parameterized(
    none = { 0 },
    most = { u64::MAX },
)]
fn odd_estimates_give_a_length(estimate: u64) {
    let length = expected(&dispatcher(), Some(estimate)).unwrap();
    assert!(length.tokens > 0 && length.spread.is_finite(), "{length:?}");
}

/// Routes come and go for months: what was learnt of a removed one is dropped.
#[test]
fn removed_routes_are_forgotten() {
    let mut dispatcher = dispatcher();
    answer(&mut dispatcher, &[(100, None); 20]);
    dispatcher.retain_routes(|_| true);
    assert!(expected(&dispatcher, None).is_some());
    dispatcher.retain_routes(|name| name.as_str() != "chat");
    assert_eq!(expected(&dispatcher, None), None);
}
