//! Quarantine of requests that crash servers.

use std::time::{Duration, Instant};

use pomeloridge_policy::crashes::{
    CrashReport, CrashTracker, QUARANTINE_CRASHES, QuarantineChanges, RunOutcome, ServerIncarnation,
};
use pomeloridge_policy::suspicion::{Fingerprint, QUARANTINE_TTL};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, config, ms, name};

fn fingerprint(path: &str) -> Fingerprint {
    Fingerprint::of(&name("anna"), path, b"")
}

/// Crashes a server while these requests run on it.
fn crash(tracker: &mut CrashTracker, server: u64, paths: &[&str], now: Instant) {
    for path in paths {
        tracker.start_run(fingerprint(path), ServerIncarnation(server));
    }
    tracker.record_crash(ServerIncarnation(server), now);
}

/// Guards against a request that crashes one server after another, with a new attempt id
/// each time.
#[test]
fn a_request_is_quarantined_after_three_servers_crashed_under_it() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for server in 1..=QUARANTINE_CRASHES as u64 {
        assert_eq!(tracker.quarantine_left(&fingerprint("p"), now), None);
        crash(&mut tracker, server, &["p"], now);
        assert_eq!(tracker.crash_count(&fingerprint("p"), now), server as usize);
    }
    assert_eq!(
        tracker.quarantine_left(&fingerprint("p"), now),
        Some(QUARANTINE_TTL)
    );
    assert_eq!(tracker.quarantine_left(&fingerprint("q"), now), None);
    // It is tried again after the quarantine.
    assert_eq!(
        tracker.quarantine_left(&fingerprint("p"), now + QUARANTINE_TTL),
        None
    );
    tracker.sweep(now + QUARANTINE_TTL);
    assert_eq!(tracker.crash_count(&fingerprint("p"), now), 0);
}

fn answer(tracker: &mut CrashTracker, path: &str, now: Instant) {
    let run = tracker.start_run(fingerprint(path), ServerIncarnation(99));
    tracker.finish_run(run, RunOutcome::Answered, now);
}

/// Guards against quarantining what everybody asks for beside the request that crashes the
/// servers, where they crash too closely after one another for an answer in between.
#[parameterized(
    answered_before = { true, 3, 0, None },
    never_answered = { false, 3, 0, Some(QUARANTINE_TTL) },
    crashes_of_its_own = { true, 3, 3, Some(QUARANTINE_TTL) },
    too_few_of_its_own = { true, 3, 2, None },
    not_under_a_quarantined_request = { true, 2, 3, Some(QUARANTINE_TTL) },
)]
fn a_crash_counts_for_the_request_that_was_never_answered(
    was_answered: bool,
    shared: u64,
    own: u64,
    left: Option<Duration>,
) {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    if was_answered {
        answer(&mut tracker, "read", start);
    }
    let now = start + ms(10);
    for server in 0..shared {
        crash(&mut tracker, server, &["read", "deadly"], now);
    }
    for server in shared..shared + own {
        crash(&mut tracker, server, &["read"], now);
    }
    assert_eq!(tracker.quarantine_left(&fingerprint("read"), now), left);
    let is_quarantined = tracker
        .quarantine_left(&fingerprint("deadly"), now)
        .is_some();
    assert_eq!(is_quarantined, shared >= QUARANTINE_CRASHES as u64);
}

/// Guards against counting one crash several times because several runs report it.
#[test]
fn one_crash_of_a_server_counts_once() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for _ in 0..QUARANTINE_CRASHES {
        crash(&mut tracker, 7, &["p", "p"], now);
    }
    assert_eq!(tracker.crash_count(&fingerprint("p"), now), 1);
}

/// Guards against quarantining innocent requests that shared servers with a crashing one.
#[test]
fn an_answer_clears_requests_that_shared_the_servers() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, 1, &["p", "q"], now);
    crash(&mut tracker, 2, &["p", "q"], now);
    let answered = tracker.start_run(fingerprint("q"), ServerIncarnation(3));
    tracker.finish_run(answered, RunOutcome::Answered, now + ms(50));
    crash(&mut tracker, 4, &["p", "q"], now + ms(100));
    assert!(
        tracker
            .quarantine_left(&fingerprint("p"), now + ms(100))
            .is_some()
    );
    assert_eq!(tracker.crash_count(&fingerprint("q"), now + ms(100)), 1);
}

#[parameterized(
    answered = { RunOutcome::Answered, 0, 0 },
    refused = { RunOutcome::ServerAlive, 0, 0 },
    lost = { RunOutcome::Lost, 1000, 1 },
    lost_too_long_ago = { RunOutcome::Lost, 8000, 0 },
)]
fn only_recently_lost_requests_count_as_running(outcome: RunOutcome, delay: u64, crashes: usize) {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let run = tracker.start_run(fingerprint("p"), ServerIncarnation(1));
    tracker.finish_run(run, outcome, now);
    let later = now + ms(delay);
    tracker.sweep(later);
    tracker.record_crash(ServerIncarnation(1), later);
    assert_eq!(tracker.crash_count(&fingerprint("p"), later), crashes);
}

/// Guards against a caller that retries at another node each time.
#[test]
fn nodes_combine_the_crashes_that_each_has_seen() {
    let now = Instant::now();
    let mut nodes =
        [const { None::<CrashTracker> }; QUARANTINE_CRASHES].map(|_| CrashTracker::default());
    for (index, node) in nodes.iter_mut().enumerate() {
        crash(node, index as u64, &["p"], now);
    }
    let reports: Vec<_> = nodes.iter().map(|node| node.export(now)).collect();
    for node in &mut nodes {
        let quarantined: Vec<_> = reports
            .iter()
            .flat_map(|reports| node.merge(reports, now).begun)
            .collect();
        assert_eq!(quarantined, [fingerprint("p")]);
    }
    // A node that has just started learns of the quarantine from any peer, however old it is.
    let later = now + Duration::from_mins(1);
    let mut new_node = CrashTracker::default();
    new_node.merge(&nodes[0].export(later), later);
    assert!(new_node.quarantine_left(&fingerprint("p"), later).is_some());
    // Requests that are not quarantined are exported for a short time only.
    let mut one = CrashTracker::default();
    crash(&mut one, 9, &["q"], now);
    assert_eq!(one.export(now).len(), 1);
    assert!(one.export(later).is_empty());
}

#[test]
fn a_clearing_answer_reaches_peers() {
    let now = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    crash(&mut here, 1, &["q"], now);
    there.merge(&here.export(now), now);
    let answered = there.start_run(fingerprint("q"), ServerIncarnation(2));
    there.finish_run(answered, RunOutcome::Answered, now + ms(10));
    here.merge(&there.export(now + ms(20)), now + ms(20));
    assert_eq!(here.crash_count(&fingerprint("q"), now + ms(20)), 0);
}

/// Guards against restoring a quarantine that has ended: a domain of servers crashes under a request
/// that many callers repeat, a run that was begun before is answered, and the nodes have stored the
/// crashes.
#[test]
fn a_quarantine_that_an_answer_ends_is_no_longer_stored() {
    let now = Instant::now() + Duration::from_secs(100);
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let begun_before = there.start_run(fingerprint("q"), ServerIncarnation(99));
    for server in 1..=QUARANTINE_CRASHES as u64 {
        crash(&mut there, server, &["q"], now);
    }
    let changes = here.merge(&there.export(now), now);
    assert_eq!(changes.begun, [fingerprint("q")]);
    assert_eq!(here.export_quarantined(now).len(), 1);

    let later = now + ms(400);
    let ended = there.finish_run(begun_before, RunOutcome::Answered, later);
    assert_eq!(ended, Some(fingerprint("q")));
    assert!(there.export_quarantined(later).is_empty());
    let changes = here.merge(&there.export(later), later);
    assert_eq!(changes.ended, [fingerprint("q")]);
    assert!(changes.begun.is_empty());
    assert!(here.export_quarantined(later).is_empty());
    // A report that comes again changes nothing, nor does another answer.
    let changes = here.merge(&there.export(later), later);
    assert_eq!(changes, QuarantineChanges::default());
    let run = there.start_run(fingerprint("q"), ServerIncarnation(98));
    assert_eq!(there.finish_run(run, RunOutcome::Answered, later), None);
}

/// Guards against a restarted node that refuses what the others serve, on crashes that it read
/// from an old object (KNOWN-RED.txt, `read` at a gateway that had been killed).
#[parameterized(
    known_crashes = { true },
    unknown_crashes = { false },
)]
fn a_node_that_answered_since_clears_old_crashes_at_others(is_known: bool) {
    let start = Instant::now();
    let (mut serving, mut restarted) = (CrashTracker::default(), CrashTracker::default());
    for server in 1..=QUARANTINE_CRASHES as u64 {
        crash(&mut restarted, server, &["q"], start);
    }
    if is_known {
        serving.merge(&restarted.export(start), start);
    }
    let answered_at = start + ms(100);
    let answered = serving.start_run(fingerprint("q"), ServerIncarnation(9));
    serving.finish_run(answered, RunOutcome::Answered, answered_at);
    // The clearing itself is no longer exported.
    let now = start + Duration::from_mins(1);
    serving.merge(&restarted.export(now), now);
    assert_eq!(serving.quarantine_left(&fingerprint("q"), now), None);
    restarted.merge(&serving.export(now), now);
    assert_eq!(restarted.quarantine_left(&fingerprint("q"), now), None);
}

/// Guards against refusing what everybody asks for at the nodes that have not answered it
/// themselves, such as all that restart after a kill and read the objects that were left.
#[parameterized(
    from_a_peer = { CrashTracker::export },
    from_its_object = { CrashTracker::export_quarantined },
)]
fn nodes_learn_that_a_request_was_answered_before_its_crashes(
    export: fn(&CrashTracker, Instant) -> Vec<CrashReport>,
) {
    let start = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    answer(&mut here, "read", start);
    let now = start + ms(10);
    for server in 0..QUARANTINE_CRASHES as u64 {
        crash(&mut here, server, &["read", "deadly"], now);
    }
    let later = now + ms(50);
    there.merge(&export(&here, later), later);
    assert_eq!(there.quarantine_left(&fingerprint("read"), later), None);
    assert_eq!(
        there.crash_count(&fingerprint("read"), later),
        QUARANTINE_CRASHES
    );
    let is_quarantined = there
        .quarantine_left(&fingerprint("deadly"), later)
        .is_some();
    assert!(is_quarantined);
}

/// The word of an answer before the crashes may come late, and clocks may differ. It must not lift the
/// quarantine of a request that crashed servers afterwards.
#[test]
fn a_late_word_of_an_earlier_answer_clears_no_crash() {
    let start = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    answer(&mut here, "q", start);
    crash(&mut here, 0, &["q"], start + ms(10));
    let late = here.export(start + ms(20));
    for server in 1..=QUARANTINE_CRASHES as u64 {
        crash(&mut there, server, &["q"], start + ms(100));
    }
    let now = start + ms(2000);
    there.merge(&late, now);
    assert!(there.quarantine_left(&fingerprint("q"), now).is_some());
    assert!(there.crash_count(&fingerprint("q"), now) >= QUARANTINE_CRASHES);
}

/// Guards against nodes that refresh each other's crash records without end.
#[test]
fn a_crash_exchanged_back_and_forth_still_expires() {
    let start = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    for server in 0..QUARANTINE_CRASHES as u64 {
        crash(&mut here, server, &["p"], start);
    }
    let mut now = start;
    while now < start + QUARANTINE_TTL + Duration::from_secs(2) {
        let reports = here.export(now);
        now += ms(100);
        there.merge(&reports, now);
        let reports = there.export(now);
        now += ms(100);
        here.merge(&reports, now);
        here.sweep(now);
        there.sweep(now);
    }
    assert!(here.export(now).is_empty() && there.export(now).is_empty());
}

#[test]
fn an_export_is_bounded_and_starts_with_the_most_crashes() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let paths: Vec<String> = (0..200).map(|path| path.to_string()).collect();
    let all: Vec<&str> = paths.iter().map(String::as_str).collect();
    crash(&mut tracker, 1, &all, now);
    crash(&mut tracker, 2, &["p"], now);
    crash(&mut tracker, 3, &["p"], now);
    let reports = tracker.export(now);
    assert_eq!(reports.len(), 32);
    assert_eq!(reports[0].fingerprint, fingerprint("p"));
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Messages may arrive out of order, twice, or be relayed by other nodes.
    #[test]
    fn the_order_of_messages_does_not_matter(
        order in proptest::collection::vec(0_usize..4, 1..12),
    ) {
        let now = Instant::now();
        let report = |servers: &[u64]| CrashReport {
            fingerprint: fingerprint("p"),
            crashes: servers.iter().map(|server| (ServerIncarnation(*server), ms(100 * server))).collect(),
            cleared: None,
            answered: false,
        };
        let messages = [report(&[1]), report(&[2, 3]), report(&[3]), report(&[1, 2])];
        let mut tracker = CrashTracker::default();
        let mut all = std::collections::BTreeSet::new();
        for index in order {
            tracker.merge(&messages[index..=index], now);
            all.extend(messages[index].crashes.iter().map(|(server, _)| *server));
        }
        prop_assert_eq!(tracker.crash_count(&fingerprint("p"), now), all.len());
        prop_assert_eq!(tracker.quarantine_left(&fingerprint("p"), now).is_some(), all.len() >= QUARANTINE_CRASHES);
    }
}
