//! Tests of usage counts and of the fleet clock that defines their windows.

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
fn total_sums_all_node_incarnations() {
    let anna = Name::from("anna");
    let mut ledger = UsageLedger::new(source("a", 1));
    ledger.count(7, &anna);
    ledger.count(7, &anna);
    ledger.merge(&source("b", 1), 7, counts(5), 7);
    // The node was killed and restarted.
    ledger.merge(&source("b", 2), 7, counts(3), 7);
    assert_eq!(ledger.total(7)[&anna], 10);
    assert!(ledger.total(8).is_empty());
}

/// Guards against a second read of the clock: a window that ends between the two reads would
/// count as ended too early.
#[test]
fn window_has_ended_only_by_the_given_time() {
    let now = Instant::now() + Duration::from_mins(1);
    let (length, report_deadline) = (Duration::from_secs(5), Duration::from_secs(10));
    let window = |now_ms| EndedWindow::new(2, length, report_deadline, now, now_ms);
    assert!(window(14_999).is_none());
    assert_eq!(window(15_000).unwrap().end, now);
    let ended = window(17_000).unwrap();
    assert_eq!(now - ended.end, Duration::from_secs(2));
    assert_eq!(ended.end - ended.start, length);
}

/// Guards against a report without the counts of live nodes when the reporting node is cut off
/// from them as a window ends. Times are in seconds after the window's start; the window lasts
/// 5 s and must be reported within 10 s of its end.
#[parameterized(
    all_counts_received = { 7, &[(6, 6), (7, 6)], true },
    too_early = { 6, &[(6, 6)], false },
    one_peer_unreachable = { 12, &[(6, 6), (4, 4)], false },
    one_peer_unreachable_until_the_deadline = { 13, &[(10, 10), (4, 4)], true },
    one_peer_gone_before_the_window = { 8, &[(6, 6), (0, 0)], true },
    no_peers = { 8, &[], true },
    too_late = { 16, &[(15, 15)], false },
)]
fn window_waits_for_counts_of_peers_that_were_live(
    now: u64,
    peers: &[(u64, u64)],
    reportable: bool,
) {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let window = EndedWindow {
        start,
        end: at(5),
        report_deadline: Duration::from_secs(10),
    };
    let times = peers.iter().map(|(last_heard, counts_received)| PeerTimes {
        last_heard: Some(at(*last_heard)),
        counts_received: Some(at(*counts_received)),
    });
    assert_eq!(window.is_reportable(times, at(now)), reportable);
}

#[test]
fn reordered_counts_do_not_decrease_the_total() {
    let anna = Name::from("anna");
    let mut ledger = UsageLedger::new(source("a", 1));
    ledger.merge(&source("b", 1), 7, counts(5), 7);
    ledger.merge(&source("b", 1), 7, counts(4), 7);
    ledger.merge(&source("b", 1), 7, counts(5), 7);
    assert_eq!(ledger.total(7)[&anna], 5);
}

#[test]
fn own_counts_from_peers_are_ignored() {
    let mut ledger = UsageLedger::new(source("a", 1));
    ledger.merge(&source("a", 1), 7, counts(5), 7);
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
    ledger.merge(&source("b", 1), 1, counts(5), 9);
    assert!(ledger.total(1).is_empty());
    assert_eq!(ledger.total(9)[&anna], 1);
    let windows: Vec<u64> = ledger.own_counts().map(|(window, _)| window).collect();
    assert_eq!(windows, [6, 7, 8, 9]);
}

#[test]
fn wrong_clock_is_corrected_to_the_median() {
    let now = Instant::now();
    let mut time = FleetClock::new(now, 1_002_400);
    assert_eq!(time.observe(&Name::from("b"), 1_000_000, now), None);
    let correction = time.observe(&Name::from("c"), 1_000_001, now);
    assert_eq!(correction, Some(-2399));
    let later = now + Duration::from_secs(1);
    assert_eq!(time.unix_ms(later), 1_001_001);
}

#[test]
fn single_wrong_peer_does_not_change_the_clock() {
    let now = Instant::now();
    let mut time = FleetClock::new(now, 1_000_000);
    for name in ["b", "c", "d"] {
        assert_eq!(time.observe(&Name::from(name), 1_000_003, now), None);
    }
    assert_eq!(time.observe(&Name::from("e"), 1_005_000, now), None);
    assert_eq!(time.unix_ms(now), 1_000_000);
}

/// Guards against a second report of a window, with other counts, whose seal the object service
/// has lost. Times are in seconds; the window ends at 10 and is sealed from 12 on.
#[parameterized(
    never_restored = { None, Some(20), false },
    may_be_lost = { Some(15), Some(20), true },
    may_be_lost_without_authority = { Some(15), None, true },
    sealed_by_this_node_only = { Some(15), Some(5), false },
    holder_before_may_have_sealed = { Some(15), Some(12), true },
    sealed_later = { Some(10), Some(20), false },
    clocks_may_differ = { Some(12), Some(20), true },
)]
fn window_may_lack_its_seal(lost_before: Option<u64>, held_since: Option<u64>, expected: bool) {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let window = EndedWindow {
        start: at(5),
        end: at(10),
        report_deadline: Duration::from_secs(10),
    };
    let may_lack = window.may_lack_seal(lost_before.map(at), held_since.map(at));
    assert_eq!(may_lack, expected);
}

/// Guards against usage that is lost because a node whose time of day is ahead counts in windows
/// that have not begun, or sends a number at the limit.
#[parameterized(
    a_minute = { 112 },
    limit = { u64::MAX - 1 },
)]
fn windows_far_ahead_hide_no_counts(far: u64) {
    let anna = Name::from("anna");
    let mut ledger = UsageLedger::new(source("a", 1));
    for window in far - 3..=far {
        ledger.merge(&source("b", 1), window, counts(1), 100);
    }
    ledger.merge(&source("c", 1), 100, counts(5), 100);
    ledger.count(100, &anna);
    assert_eq!(ledger.total(100)[&anna], 6);
}

#[test]
fn counts_at_the_limit_do_not_wrap() {
    let mut ledger = UsageLedger::new(source("a", 1));
    ledger.merge(&source("b", 1), 7, counts(u64::MAX), 7);
    ledger.merge(&source("c", 1), 7, counts(1), 7);
    assert_eq!(ledger.total(7)[&Name::from("anna")], u64::MAX);
}

#[test]
fn a_window_at_the_limit_has_not_ended() {
    let length = Duration::from_secs(5);
    for index in [u64::MAX, u64::MAX - 1, u64::MAX / 5000] {
        let window = EndedWindow::new(index, length, length, Instant::now(), 1_000_000);
        assert!(window.is_none(), "{index}");
    }
}

/// Guards against estimates at the limits that wrap to plausible ones.
#[parameterized(
    highest = { u64::MAX },
    lowest_signed = { 1 << 63 },
    highest_signed = { (1 << 63) - 1 },
    zero = { 0 },
)]
fn times_at_the_limits_do_not_change_the_clock(unix_ms: u64) {
    let start = Instant::now();
    let mut time = FleetClock::new(start, 1_000_000);
    let now = start + Duration::from_secs(1);
    assert_eq!(time.observe(&Name::from("b"), unix_ms, now), None);
    assert_eq!(time.observe(&Name::from("c"), 1_001_000, now), None);
    assert_eq!(time.unix_ms(now), 1_001_000);
}
