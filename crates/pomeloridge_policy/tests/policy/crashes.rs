//! Requests that end servers.

use std::time::{Duration, Instant};

use pomeloridge_policy::crashes::{
    CrashReport, CrashTracker, QUARANTINE_CRASHES, RunOutcome, ServerIncarnation,
};
use pomeloridge_policy::suspicion::{Fingerprint, QUARANTINE_TTL};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, config, ms, name};

fn fingerprint(path: &str) -> Fingerprint {
    Fingerprint::of(&name("anna"), path, b"")
}

/// A server ends while these requests are on it.
fn crash(known: &mut CrashTracker, start: u64, paths: &[&str], now: Instant) {
    for path in paths {
        known.start_run(fingerprint(path), ServerIncarnation(start));
    }
    known.record_crash(ServerIncarnation(start), now);
}

/// Guards against a request that ends server after server, under a new attempt each time.
#[test]
fn a_request_is_barred_once_three_servers_have_ended_under_it() {
    let now = Instant::now();
    let mut known = CrashTracker::default();
    for start in 1..=QUARANTINE_CRASHES as u64 {
        assert_eq!(known.quarantine_left(&fingerprint("p"), now), None);
        crash(&mut known, start, &["p"], now);
        assert_eq!(known.crash_count(&fingerprint("p"), now), start as usize);
    }
    assert_eq!(
        known.quarantine_left(&fingerprint("p"), now),
        Some(QUARANTINE_TTL)
    );
    assert_eq!(known.quarantine_left(&fingerprint("q"), now), None);
    // After that time it is tried again.
    assert_eq!(
        known.quarantine_left(&fingerprint("p"), now + QUARANTINE_TTL),
        None
    );
    known.sweep(now + QUARANTINE_TTL);
    assert_eq!(known.crash_count(&fingerprint("p"), now), 0);
}

/// Guards against one loss that is counted by each of the requests that tell of it.
#[test]
fn one_end_of_a_server_counts_once() {
    let now = Instant::now();
    let mut known = CrashTracker::default();
    for _ in 0..QUARANTINE_CRASHES {
        crash(&mut known, 7, &["p", "p"], now);
    }
    assert_eq!(known.crash_count(&fingerprint("p"), now), 1);
}

/// Guards against innocents that are barred for having shared servers with a crashing
/// request.
#[test]
fn an_answer_clears_what_shared_the_servers() {
    let now = Instant::now();
    let mut known = CrashTracker::default();
    crash(&mut known, 1, &["p", "q"], now);
    crash(&mut known, 2, &["p", "q"], now);
    let answered = known.start_run(fingerprint("q"), ServerIncarnation(3));
    known.finish_run(answered, RunOutcome::Answered, now + ms(50));
    crash(&mut known, 4, &["p", "q"], now + ms(100));
    assert!(
        known
            .quarantine_left(&fingerprint("p"), now + ms(100))
            .is_some()
    );
    assert_eq!(known.crash_count(&fingerprint("q"), now + ms(100)), 1);
}

#[parameterized(
    answered = { RunOutcome::Answered, 0, 0 },
    turned_away = { RunOutcome::ServerAlive, 0, 0 },
    lost = { RunOutcome::Lost, 1000, 1 },
    lost_long_ago = { RunOutcome::Lost, 8000, 0 },
)]
fn only_what_was_lost_of_late_was_there(end: RunOutcome, later: u64, ends: usize) {
    let now = Instant::now();
    let mut known = CrashTracker::default();
    let run = known.start_run(fingerprint("p"), ServerIncarnation(1));
    known.finish_run(run, end, now);
    let later = now + ms(later);
    known.sweep(later);
    known.record_crash(ServerIncarnation(1), later);
    assert_eq!(known.crash_count(&fingerprint("p"), later), ends);
}

/// Guards against a caller who comes back at another node each time.
#[test]
fn nodes_add_up_what_each_has_seen() {
    let now = Instant::now();
    let mut nodes =
        [const { None::<CrashTracker> }; QUARANTINE_CRASHES].map(|_| CrashTracker::default());
    for (index, node) in nodes.iter_mut().enumerate() {
        crash(node, index as u64, &["p"], now);
    }
    let told: Vec<_> = nodes.iter().map(|node| node.export(now)).collect();
    for node in &mut nodes {
        let barred: Vec<_> = told.iter().flat_map(|told| node.merge(told, now)).collect();
        assert_eq!(barred, [fingerprint("p")]);
    }
    // A node that starts hears of it from any of them, however long ago it was.
    let later = now + Duration::from_mins(1);
    let mut fresh = CrashTracker::default();
    fresh.merge(&nodes[0].export(later), later);
    assert!(fresh.quarantine_left(&fingerprint("p"), later).is_some());
    // What is not barred is told for a short time only.
    let mut one = CrashTracker::default();
    crash(&mut one, 9, &["q"], now);
    assert_eq!(one.export(now).len(), 1);
    assert!(one.export(later).is_empty());
}

#[test]
fn a_clearing_answer_reaches_the_peers() {
    let now = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    crash(&mut here, 1, &["q"], now);
    there.merge(&here.export(now), now);
    let answered = there.start_run(fingerprint("q"), ServerIncarnation(2));
    there.finish_run(answered, RunOutcome::Answered, now + ms(10));
    here.merge(&there.export(now + ms(20)), now + ms(20));
    assert_eq!(here.crash_count(&fingerprint("q"), now + ms(20)), 0);
}

/// Guards against words that keep one another young.
#[test]
fn an_end_told_to_and_fro_still_expires() {
    let start = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    for server in 0..QUARANTINE_CRASHES as u64 {
        crash(&mut here, server, &["p"], start);
    }
    let mut now = start;
    while now < start + QUARANTINE_TTL + Duration::from_secs(2) {
        let told = here.export(now);
        now += ms(100);
        there.merge(&told, now);
        let told = there.export(now);
        now += ms(100);
        here.merge(&told, now);
        here.sweep(now);
        there.sweep(now);
    }
    assert!(here.export(now).is_empty() && there.export(now).is_empty());
}

#[test]
fn a_word_names_a_bounded_number_of_requests_the_worst_first() {
    let now = Instant::now();
    let mut known = CrashTracker::default();
    let paths: Vec<String> = (0..200).map(|path| path.to_string()).collect();
    let all: Vec<&str> = paths.iter().map(String::as_str).collect();
    crash(&mut known, 1, &all, now);
    crash(&mut known, 2, &["p"], now);
    crash(&mut known, 3, &["p"], now);
    let told = known.export(now);
    assert_eq!(told.len(), 32);
    assert_eq!(told[0].fingerprint, fingerprint("p"));
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Words may come in any order, twice, or be repeated by others.
    #[test]
    fn the_order_of_words_does_not_matter(
        order in proptest::collection::vec(0_usize..4, 1..12),
    ) {
        let now = Instant::now();
        let ends = |starts: &[u64]| CrashReport {
            fingerprint: fingerprint("p"),
            crashes: starts.iter().map(|start| (ServerIncarnation(*start), ms(100 * start))).collect(),
            cleared: None,
        };
        let words = [ends(&[1]), ends(&[2, 3]), ends(&[3]), ends(&[1, 2])];
        let mut known = CrashTracker::default();
        let mut all = std::collections::BTreeSet::new();
        for word in order {
            known.merge(&words[word..=word], now);
            all.extend(words[word].crashes.iter().map(|(start, _)| *start));
        }
        prop_assert_eq!(known.crash_count(&fingerprint("p"), now), all.len());
        prop_assert_eq!(known.quarantine_left(&fingerprint("p"), now).is_some(), all.len() >= QUARANTINE_CRASHES);
    }
}
