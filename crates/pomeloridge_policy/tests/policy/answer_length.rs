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

/// Engines are overloaded, and their answers take several times as long as usual. The demand by which
/// servers are ordered is what callers ask for, not what the engines have produced by now.
#[parameterized(
    estimated = { Some(200), None, 200 },
    not_estimated = { None, None, 100 },
    up_to_the_maximum = { Some(200), Some(150), 150 },
)]
fn demand_is_the_work_that_callers_ask_for(
    estimate: Option<u64>,
    most: Option<u64>,
    expected: u64,
) {
    let mut dispatcher = dispatcher();
    answer(&mut dispatcher, &[(100, Some(100)); 20]);
    let (service, route) = (Name::from("model"), Name::from("chat"));
    let tokens = dispatcher.expected_decode_tokens(&service, &route, estimate, most);
    assert_eq!(tokens, expected);
}

/// One answer in five is a hundred times as long as the others, and a caller's estimate may be any
/// number: neither may order servers that nobody needs.
#[test]
fn demand_stays_within_what_answers_may_need() {
    let mut dispatcher = dispatcher();
    let answers: Vec<_> = (0..30)
        .map(|index| (if index % 5 == 0 { 1000 } else { 10 }, None))
        .collect();
    answer(&mut dispatcher, &answers);
    let (service, route) = (Name::from("model"), Name::from("chat"));
    let mean = dispatcher.expected_decode_tokens(&service, &route, None, None);
    assert_eq!(mean, 208);
    let huge = Some(u64::MAX);
    let named = dispatcher.expected_decode_tokens(&service, &route, huge, Some(900));
    assert_eq!(named, 900);
    let unnamed = dispatcher.expected_decode_tokens(&service, &route, huge, None);
    assert!(unnamed <= 200_000, "{unnamed}");
}

/// Lengths that are off by a factor either way are longer on average than in the middle.
#[test]
fn demand_is_a_mean_over_long_and_short_answers() {
    let mut dispatcher = dispatcher();
    let answers: Vec<_> = [25, 50, 100, 100, 100, 200, 400]
        .map(|tokens| (tokens, Some(100)))
        .to_vec();
    answer(&mut dispatcher, &answers);
    let (service, route) = (Name::from("model"), Name::from("chat"));
    let tokens = dispatcher.expected_decode_tokens(&service, &route, Some(100), None);
    assert_eq!(tokens, 139);
}

/// Nothing is known of a route yet: its answers count as those of the service's model.
#[test]
fn demand_of_an_unknown_route_is_that_of_the_model() {
    let dispatcher = dispatcher();
    let (service, route) = (Name::from("model"), Name::from("chat"));
    let tokens = dispatcher.expected_decode_tokens(&service, &route, None, None);
    assert_eq!(tokens, u64::from(EngineModel::default().output_tokens));
}
