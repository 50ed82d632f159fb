//! Age of the latest answer of the object service to a watching node.

use std::time::{Duration, Instant};

use pomeloridge_policy::freshness::{Freshness, FreshnessTimes};
use yare::parameterized;

/// Longest wait of a watch, by the settings.
const MAX_WAIT: Duration = Duration::from_millis(2500);
/// Time that a message between nodes may take beside the age that it carries.
const SPREAD: Duration = Duration::from_millis(200);

/// Returns the times at which the watches of `nodes` nodes are answered within 10 s after an event
/// that all of them received at `start_ms`.
fn answers(times: &FreshnessTimes, nodes: usize, start_ms: u64) -> Vec<u64> {
    let mut answers = Vec::new();
    for slot in 0..2 * nodes {
        let mut at = start_ms;
        while at < start_ms + 10_000 {
            answers.push(at);
            at += times.wait(at, slot, 2 * nodes).as_millis() as u64;
        }
    }
    answers.sort_unstable();
    answers
}

/// Guards against nodes that take the watching ones for lost though nothing has happened: calls of
/// the object service by all of them.
#[parameterized(
    two_seconds = { 2000, 3 },
    three_seconds = { 3000, 3 },
    four_seconds = { 4000, 6 },
    one_second = { 1000, 3 },
    large = { 4000, 11 },
)]
fn answers_are_never_too_old_in_calm(bound_ms: u64, nodes: usize) {
    let times = FreshnessTimes::new(Duration::from_millis(bound_ms), MAX_WAIT);
    for start in (0..5000).step_by(37) {
        let answers = answers(&times, nodes, start);
        let longest = answers.windows(2).map(|pair| pair[1] - pair[0]).max();
        let longest = Duration::from_millis(longest.unwrap());
        let limit = times.max_age.saturating_sub(SPREAD.min(times.max_age / 5));
        assert!(longest < limit, "{longest:?} from {start}");
    }
}

/// Guards against watches that cost more calls than before they were spread over time.
#[test]
fn spread_watches_cost_few_further_calls() {
    let times = FreshnessTimes::new(Duration::from_secs(3), MAX_WAIT);
    let calls = answers(&times, 3, 1234).len();
    assert!(calls <= 6 * (10_000 / 2500 + 2), "{calls}");
}

/// Guards against a peer that counts as watching by an answer from before the doubt, and against
/// one that never counts again.
#[test]
fn a_peer_is_trusted_again_once_it_is_answered() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let max_age = Duration::from_millis(1100);
    let mut freshness = Freshness::new(start);
    freshness.record(at(500));
    assert_eq!(freshness.check(max_age, at(1600)), None);
    assert!(freshness.is_trusted(at(500)));
    let age = freshness.check(max_age, at(1650));
    assert_eq!(age, Some(Duration::from_millis(1150)));
    assert!(!freshness.is_trusted(at(500)) && freshness.is_doubted());
    assert_eq!(freshness.check(max_age, at(1700)), None, "told once");
    freshness.record(at(1660));
    assert!(freshness.is_trusted(at(1660)) && !freshness.is_doubted());
    // Those that stepped in are lost in turn.
    assert!(freshness.check(max_age, at(2800)).is_some());
}

/// Guards against an old answer, told late, that makes the latest one seem older.
#[test]
fn the_latest_answer_counts() {
    let start = Instant::now();
    let mut freshness = Freshness::new(start);
    freshness.record(start + Duration::from_millis(900));
    freshness.record(start + Duration::from_millis(300));
    assert_eq!(
        freshness.age(start + Duration::from_secs(1)),
        Duration::from_millis(100)
    );
}
