//! Requests that end servers.

use std::time::{Duration, Instant};

use pomeloridge_policy::crashes::{Crashes, KNOWN_ENDS, RunEnd, SharedCrashes, StartId};
use pomeloridge_policy::suspicion::{Fingerprint, QUARANTINE_TTL};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, config, ms, name};

fn print(path: &str) -> Fingerprint {
    Fingerprint::of(&name("anna"), path, b"")
}

/// A server ends while these requests are on it.
fn crash(known: &mut Crashes, start: u64, paths: &[&str], now: Instant) {
    for path in paths {
        known.begin(print(path), StartId(start));
    }
    known.server_ended(StartId(start), now);
}

/// Guards against a request that ends server after server, under a new attempt each time.
#[test]
fn a_request_is_barred_once_three_servers_have_ended_under_it() {
    let now = Instant::now();
    let mut known = Crashes::default();
    for start in 1..=KNOWN_ENDS as u64 {
        assert_eq!(known.barred(&print("p"), now), None);
        crash(&mut known, start, &["p"], now);
        assert_eq!(known.ends(&print("p"), now), start as usize);
    }
    assert_eq!(known.barred(&print("p"), now), Some(QUARANTINE_TTL));
    assert_eq!(known.barred(&print("q"), now), None);
    // After that time it is tried again.
    assert_eq!(known.barred(&print("p"), now + QUARANTINE_TTL), None);
    known.sweep(now + QUARANTINE_TTL);
    assert_eq!(known.ends(&print("p"), now), 0);
}

/// Guards against one loss that is counted by each of the requests that tell of it.
#[test]
fn one_end_of_a_server_counts_once() {
    let now = Instant::now();
    let mut known = Crashes::default();
    for _ in 0..KNOWN_ENDS {
        crash(&mut known, 7, &["p", "p"], now);
    }
    assert_eq!(known.ends(&print("p"), now), 1);
}

/// Guards against innocents that are barred for having shared servers with a crashing
/// request.
#[test]
fn an_answer_clears_what_shared_the_servers() {
    let now = Instant::now();
    let mut known = Crashes::default();
    crash(&mut known, 1, &["p", "q"], now);
    crash(&mut known, 2, &["p", "q"], now);
    let answered = known.begin(print("q"), StartId(3));
    known.end(answered, RunEnd::Answered, now + ms(50));
    crash(&mut known, 4, &["p", "q"], now + ms(100));
    assert!(known.barred(&print("p"), now + ms(100)).is_some());
    assert_eq!(known.ends(&print("q"), now + ms(100)), 1);
}

#[parameterized(
    answered = { RunEnd::Answered, 0, 0 },
    turned_away = { RunEnd::Settled, 0, 0 },
    lost = { RunEnd::Lost, 1000, 1 },
    lost_long_ago = { RunEnd::Lost, 8000, 0 },
)]
fn only_what_was_lost_of_late_was_there(end: RunEnd, later: u64, ends: usize) {
    let now = Instant::now();
    let mut known = Crashes::default();
    let run = known.begin(print("p"), StartId(1));
    known.end(run, end, now);
    let later = now + ms(later);
    known.sweep(later);
    known.server_ended(StartId(1), later);
    assert_eq!(known.ends(&print("p"), later), ends);
}

/// Guards against a caller who comes back at another node each time.
#[test]
fn nodes_add_up_what_each_has_seen() {
    let now = Instant::now();
    let mut nodes = [const { None::<Crashes> }; KNOWN_ENDS].map(|_| Crashes::default());
    for (index, node) in nodes.iter_mut().enumerate() {
        crash(node, index as u64, &["p"], now);
    }
    let told: Vec<_> = nodes.iter().map(|node| node.told(now)).collect();
    for node in &mut nodes {
        let barred: Vec<_> = told.iter().flat_map(|told| node.merge(told, now)).collect();
        assert_eq!(barred, [print("p")]);
    }
    // A node that starts hears of it from any of them, however long ago it was.
    let later = now + Duration::from_mins(1);
    let mut fresh = Crashes::default();
    fresh.merge(&nodes[0].told(later), later);
    assert!(fresh.barred(&print("p"), later).is_some());
    // What is not barred is told for a short time only.
    let mut one = Crashes::default();
    crash(&mut one, 9, &["q"], now);
    assert_eq!(one.told(now).len(), 1);
    assert!(one.told(later).is_empty());
}

#[test]
fn a_clearing_answer_reaches_the_peers() {
    let now = Instant::now();
    let (mut here, mut there) = (Crashes::default(), Crashes::default());
    crash(&mut here, 1, &["q"], now);
    there.merge(&here.told(now), now);
    let answered = there.begin(print("q"), StartId(2));
    there.end(answered, RunEnd::Answered, now + ms(10));
    here.merge(&there.told(now + ms(20)), now + ms(20));
    assert_eq!(here.ends(&print("q"), now + ms(20)), 0);
}

/// Guards against words that keep one another young.
#[test]
fn an_end_told_to_and_fro_still_expires() {
    let start = Instant::now();
    let (mut here, mut there) = (Crashes::default(), Crashes::default());
    for server in 0..KNOWN_ENDS as u64 {
        crash(&mut here, server, &["p"], start);
    }
    let mut now = start;
    while now < start + QUARANTINE_TTL + Duration::from_secs(2) {
        let told = here.told(now);
        now += ms(100);
        there.merge(&told, now);
        let told = there.told(now);
        now += ms(100);
        here.merge(&told, now);
        here.sweep(now);
        there.sweep(now);
    }
    assert!(here.told(now).is_empty() && there.told(now).is_empty());
}

#[test]
fn a_word_names_a_bounded_number_of_requests_the_worst_first() {
    let now = Instant::now();
    let mut known = Crashes::default();
    let paths: Vec<String> = (0..200).map(|path| path.to_string()).collect();
    let all: Vec<&str> = paths.iter().map(String::as_str).collect();
    crash(&mut known, 1, &all, now);
    crash(&mut known, 2, &["p"], now);
    crash(&mut known, 3, &["p"], now);
    let told = known.told(now);
    assert_eq!(told.len(), 32);
    assert_eq!(told[0].print, print("p"));
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Words may come in any order, twice, or be repeated by others.
    #[test]
    fn the_order_of_words_does_not_matter(
        order in proptest::collection::vec(0_usize..4, 1..12),
    ) {
        let now = Instant::now();
        let ends = |starts: &[u64]| SharedCrashes {
            print: print("p"),
            ends: starts.iter().map(|start| (StartId(*start), ms(100 * start))).collect(),
            cleared: None,
        };
        let words = [ends(&[1]), ends(&[2, 3]), ends(&[3]), ends(&[1, 2])];
        let mut known = Crashes::default();
        let mut all = std::collections::BTreeSet::new();
        for word in order {
            known.merge(&words[word..=word], now);
            all.extend(words[word].ends.iter().map(|(start, _)| *start));
        }
        prop_assert_eq!(known.ends(&print("p"), now), all.len());
        prop_assert_eq!(known.barred(&print("p"), now).is_some(), all.len() >= KNOWN_ENDS);
    }
}
