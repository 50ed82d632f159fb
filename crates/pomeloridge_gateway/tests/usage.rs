//! Counts of usage, and the time of day that they go by.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_gateway::{EndedWindow, FleetClock, PeerTimes, UsageLedger, UsageSource};
use yare::parameterized;

fn source(node: &str, incarnation: u64) -> UsageSource {
    UsageSource {
        node: Name::from(node),
        incarnation,
    }
}

fn counts(count: u64) -> std::collections::BTreeMap<Name, u64> {
    [(Name::from("anna"), count)].into()
}

#[test]
fn a_window_is_the_sum_over_starts_of_nodes() {
    let anna = Name::from("anna");
    let mut ledger = UsageLedger::new(source("a", 1));
    ledger.count(7, &anna);
    ledger.count(7, &anna);
    ledger.merge(&source("b", 1), 7, counts(5));
    // The node was killed and started again.
    ledger.merge(&source("b", 2), 7, counts(3));
    assert_eq!(ledger.total(7)[&anna], 10);
    assert!(ledger.total(8).is_empty());
}

/// Pattern: a window ends between two reads of the clock.
#[test]
fn a_window_has_ended_only_by_the_time_that_is_asked_for() {
    let now = Instant::now() + Duration::from_mins(1);
    let (length, late) = (Duration::from_secs(5), Duration::from_secs(10));
    let window = |now_ms| EndedWindow::new(2, length, late, now, now_ms);
    assert!(window(14_999).is_none());
    assert_eq!(window(15_000).unwrap().end, now);
    let ended = window(17_000).unwrap();
    assert_eq!(now - ended.end, Duration::from_secs(2));
    assert_eq!(ended.end - ended.start, length);
}

/// Pattern: the node that reports is cut off from others as a window ends; times in
/// seconds after the window's start, the window lasts 5 s and is due 10 s after its end.
#[parameterized(
    all_told = { 7, &[(6, 6), (7, 6)], true },
    too_early = { 6, &[(6, 6)], false },
    one_is_cut_off = { 12, &[(6, 6), (4, 4)], false },
    one_is_cut_off_to_the_end = { 13, &[(10, 10), (4, 4)], true },
    one_was_gone_before = { 8, &[(6, 6), (0, 0)], true },
    nobody_else = { 8, &[], true },
    too_late = { 16, &[(15, 15)], false },
)]
fn a_window_waits_for_the_counts_of_those_that_were_there(
    now: u64,
    peers: &[(u64, u64)],
    settled: bool,
) {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let window = EndedWindow {
        start,
        end: at(5),
        late: Duration::from_secs(10),
    };
    let times = peers.iter().map(|(heard, counted)| PeerTimes {
        heard: Some(at(*heard)),
        counted: Some(at(*counted)),
    });
    assert_eq!(window.is_settled(times, at(now)), settled);
}

#[test]
fn a_late_word_takes_nothing_back() {
    let anna = Name::from("anna");
    let mut ledger = UsageLedger::new(source("a", 1));
    ledger.merge(&source("b", 1), 7, counts(5));
    ledger.merge(&source("b", 1), 7, counts(4));
    ledger.merge(&source("b", 1), 7, counts(5));
    assert_eq!(ledger.total(7)[&anna], 5);
}

#[test]
fn own_counts_are_not_taken_from_others() {
    let mut ledger = UsageLedger::new(source("a", 1));
    ledger.merge(&source("a", 1), 7, counts(5));
    assert!(ledger.total(7).is_empty());
}

#[test]
fn old_windows_are_dropped() {
    let anna = Name::from("anna");
    let mut ledger = UsageLedger::new(source("a", 1));
    for window in 1..=9 {
        ledger.count(window, &anna);
    }
    assert!(ledger.total(1).is_empty());
    ledger.merge(&source("b", 1), 1, counts(5));
    assert!(ledger.total(1).is_empty());
    assert_eq!(ledger.total(9)[&anna], 1);
    let told: Vec<u64> = ledger.own().map(|(window, _)| window).collect();
    assert_eq!(told, [6, 7, 8, 9]);
}

#[test]
fn a_wrong_clock_is_corrected_by_the_majority() {
    let now = Instant::now();
    let mut time = FleetClock::new(now, 1_002_400);
    assert_eq!(time.observe(&Name::from("b"), 1_000_000, now), None);
    let corrected = time.observe(&Name::from("c"), 1_000_001, now);
    assert_eq!(corrected, Some(-2399));
    let later = now + Duration::from_secs(1);
    assert_eq!(time.unix_ms(later), 1_001_001);
}

#[test]
fn a_single_wrong_peer_moves_nothing() {
    let now = Instant::now();
    let mut time = FleetClock::new(now, 1_000_000);
    for name in ["b", "c", "d"] {
        assert_eq!(time.observe(&Name::from(name), 1_000_003, now), None);
    }
    assert_eq!(time.observe(&Name::from("e"), 1_005_000, now), None);
    assert_eq!(time.unix_ms(now), 1_000_000);
}
