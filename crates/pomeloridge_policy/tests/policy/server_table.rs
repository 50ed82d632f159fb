//! Tests of the server table: lists, load reports, ejection and capacity.

use std::time::{Duration, Instant};

use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::in_flight::ServerInFlight;
use pomeloridge_policy::server::{LoadReport, ServerInfo};
use pomeloridge_policy::server_table::{ServerTable, ServerTableSettings};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, POOL, config, engine, key, ms, name, report, table, table_of, work};

fn in_flight(id: &str, running: u32) -> ServerInFlight {
    ServerInFlight {
        id: name(id),
        running,
        prefill_tokens: 0,
        reserved_for_suspect: false,
    }
}

#[test]
fn sync_keeps_the_state_of_known_servers() {
    let now = Instant::now();
    let mut table = table(3);
    let kept = key(&table, "e1");
    table.record_dispatch(kept, work(10, 10), now);
    table.record_failure(kept, now);
    let moved = ServerInfo {
        address: ([127, 0, 0, 1], 1).into(),
        ..engine(2)
    };
    let old = key(&table, "e2");
    let removed = table.sync(vec![engine(1), moved, engine(5)]);
    assert_eq!(removed.len(), 2, "e0, and e2 at its old address");
    assert!(removed.contains(&old));
    assert_eq!(key(&table, "e1"), kept);
    let server = table.server(kept).expect("it is listed");
    assert!(server.ejection.is_ejected());
    assert_eq!(server.own_in_flight_count(), 1);
    assert_eq!(table.pool(&name(POOL)).len(), 3);
}

#[test]
fn a_request_may_end_after_its_server_was_removed() {
    let now = Instant::now();
    let mut table = table(1);
    let dispatch = table.record_dispatch(key(&table, "e0"), work(10, 10), now);
    table.sync(Vec::new());
    table.record_first_token(dispatch, now);
    table.record_end(dispatch, Some(10), now);
    assert!(table.own_in_flight().is_empty());
}

#[test]
fn an_older_report_is_ignored() {
    let now = Instant::now();
    let mut table = table(1);
    let e0 = key(&table, "e0");
    let later = now + ms(1);
    assert!(table.report(e0, report(later, 5), later));
    assert!(!table.report(e0, report(now, 9), later));
    assert_eq!(table.load(e0, later).in_flight, 5);
}

#[test]
fn a_delayed_report_is_corrected_by_own_requests() {
    let start = Instant::now();
    let mut table = table(1);
    let e0 = key(&table, "e0");
    let included_in_report = table.record_dispatch(e0, work(100, 10), start);
    let at = start + ms(100);
    table.record_dispatch(e0, work(700, 10), start + ms(200));
    table.record_end(included_in_report, Some(10), start + ms(300));
    let now = start + ms(400);
    table.report(e0, report(at, 7), now);
    let load = table.load(e0, now);
    assert_eq!(load.in_flight, 7, "7 reported, 1 sent since, 1 ended since");
    assert!((load.prefill_tokens - 700.0).abs() < 1e-6);
}

#[test]
fn requests_in_flight_at_peers_count_until_they_expire() {
    let now = Instant::now();
    let mut table = table(1);
    let e0 = key(&table, "e0");
    table.report(e0, report(now, 1), now);
    table.set_peer_in_flight(&name("vm-2"), &[in_flight("e0", 4)], now);
    table.set_peer_in_flight(&name("vm-3"), &[in_flight("e0", 2)], now);
    assert_eq!(table.load(e0, now).in_flight, 6);
    table.set_peer_in_flight(&name("vm-3"), &[], now);
    assert_eq!(table.load(e0, now).in_flight, 4);
    assert_eq!(table.load(e0, now + ms(3_001)).in_flight, 1);
}

#[test]
fn probe_delays_double_up_to_half_a_minute() {
    let start = Instant::now();
    let mut table = table(1);
    let e0 = key(&table, "e0");
    table.record_failure(e0, start);
    let mut times = Vec::new();
    for second in 0..100 {
        let now = start + Duration::from_secs(second);
        if table.due_probes(now) == [e0] {
            times.push(second);
            table.record_failure(e0, now);
        }
    }
    assert_eq!(times, [1, 3, 7, 15, 31, 61, 91]);
    assert!(table.record_success(e0));
    assert!(!table.record_success(e0));
    assert!(table.due_probes(start + ms(500_000)).is_empty());
}

#[parameterized(
    within_the_window = { "e0", "e2", 900, true },
    too_far_apart = { "e0", "e2", 1_100, false },
    different_data_centres = { "e0", "e1", 100, false },
    same_server_twice = { "e0", "e0", 100, false },
)]
fn failures_of_two_servers_make_a_data_centre_suspect(
    first: &str,
    second: &str,
    gap: u64,
    suspect: bool,
) {
    let now = Instant::now();
    let mut table = table(4);
    assert!(!table.record_failure(key(&table, first), now));
    assert_eq!(
        table.record_failure(key(&table, second), now + ms(gap)),
        suspect
    );
    assert_eq!(table.is_suspect(&name("tln-a")), suspect);
    table.record_success(key(&table, first));
    assert!(!table.is_suspect(&name("tln-a")));
}

#[test]
fn a_data_centre_is_not_suspect_once_its_failed_servers_are_removed() {
    let now = Instant::now();
    let mut table = table(6);
    table.record_failure(key(&table, "e0"), now);
    table.record_failure(key(&table, "e2"), now);
    table.sync((3..6).map(engine).collect());
    assert!(!table.is_suspect(&name("tln-a")));
}

#[test]
fn no_server_is_ejected_if_ejection_is_off() {
    let now = Instant::now();
    let mut table = ServerTable::new(ServerTableSettings {
        eject_on_failure: false,
        ..ServerTableSettings::new(name("tln-a"))
    });
    table.sync((0..4).map(engine).collect());
    table.record_failure(key(&table, "e0"), now);
    table.record_failure(key(&table, "e2"), now);
    assert!(table.due_probes(now + ms(60_000)).is_empty());
    assert!(!table.is_suspect(&name("tln-a")));
}

#[test]
fn capacity_counts_servers_that_accept_work() {
    let now = Instant::now();
    let mut table = table(5);
    for id in ["e0", "e1", "e2", "e3", "e4"] {
        table.report(key(&table, id), report(now, 0), now);
    }
    let leaving = LoadReport {
        leaving: true,
        ..report(now, 0)
    };
    table.report(key(&table, "e0"), leaving, now);
    table.drain([name("e1")]);
    table.record_failure(key(&table, "e2"), now);
    assert!(table.reserve_for_suspect(key(&table, "e3"), now));
    table.set_peer_in_flight(&name("vm-2"), &[in_flight("e4", 3)], now);
    let expected = Capacity {
        slots: 32,
        peers: 3,
    };
    assert_eq!(table.capacity(&name(POOL), now), expected);
}

#[test]
fn an_ejected_server_is_the_capacity_of_last_resort() {
    let now = Instant::now();
    let mut table = table(1);
    table.record_failure(key(&table, "e0"), now);
    assert!(table.capacity(&name(POOL), now).slots > 0);
    table.drain([name("e0")]);
    assert_eq!(table.capacity(&name(POOL), now).slots, 0);
}

#[test]
fn a_server_is_reserved_for_at_most_one_suspect() {
    let now = Instant::now();
    let mut table = table(3);
    let reserve =
        |table: &mut ServerTable, id: &str| table.reserve_for_suspect(key(table, id), now);
    let peer = |id: &str| ServerInFlight {
        reserved_for_suspect: true,
        ..in_flight(id, 1)
    };
    assert!(reserve(&mut table, "e0"));
    assert!(!reserve(&mut table, "e0"), "one suspect per engine");
    table.set_peer_in_flight(&name("vm-2"), &[peer("e1")], now);
    assert!(!reserve(&mut table, "e1"), "also across nodes");
    table.release_from_suspect(key(&table, "e0"));
    assert!(reserve(&mut table, "e0"));
    // Two nodes have reserved the same server at once: one of them must yield.
    table.set_peer_in_flight(&name("vm-2"), &[peer("e0")], now);
    assert!(table.must_yield(key(&table, "e0"), &name("vm-3"), now));
    assert!(!table.must_yield(key(&table, "e0"), &name("vm-1"), now));
    assert!(!table.must_yield(key(&table, "e0"), &name("vm-3"), now + ms(60_000)));
}

#[test]
fn speeds_are_learned_from_answers() {
    let mut now = Instant::now();
    let mut table = table_of(vec![engine(0)]);
    let e0 = key(&table, "e0");
    for _ in 0..40 {
        let dispatch = table.record_dispatch(e0, work(2_000, 50), now);
        now += ms(1_000);
        table.record_first_token(dispatch, now);
        now += ms(2_000);
        table.record_end(dispatch, Some(50), now);
    }
    let rates = table.server(e0).expect("it is listed").rates;
    assert!((rates.prefill - 2_000.0).abs() < 50.0, "{rates:?}");
    assert!((rates.stream - 25.0).abs() < 1.0, "{rates:?}");
    assert!((rates.mean_duration - 3.0).abs() < 0.1, "{rates:?}");
    assert!(
        rates.decode >= 400.0,
        "a single stream must not lower the rate: {rates:?}"
    );
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Holds for any sequence of dispatched and finished requests.
    #[test]
    fn in_flight_returns_to_zero(ops in proptest::collection::vec((0_u16..4, any::<bool>()), 0..60)) {
        let start = Instant::now();
        let mut table = table(4);
        let mut open = Vec::new();
        for (step, (server, send)) in ops.into_iter().enumerate() {
            let now = start + ms(step as u64);
            let server = key(&table, &format!("e{server}"));
            if send {
                open.push(table.record_dispatch(server, work(10, 10), now));
            } else if let Some(dispatch) = open.pop() {
                table.record_end(dispatch, None, now);
            }
            let total: u32 = table.own_in_flight().iter().map(|server| server.running).sum();
            prop_assert_eq!(total as usize, open.len());
        }
        for dispatch in open {
            table.record_end(dispatch, None, start + ms(100));
        }
        prop_assert!(table.own_in_flight().is_empty());
    }
}

#[test]
fn a_prompt_backlog_leaves_no_free_slots() {
    let now = Instant::now();
    let mut table = table(2);
    let busy = LoadReport {
        running: 3,
        // One second of prefill at the expected 4,000 tokens per second.
        prefill_tokens: 4_000,
        ..report(now, 0)
    };
    table.report(key(&table, "e0"), report(now, 0), now);
    table.report(key(&table, "e1"), busy, now);
    let slots = report(now, 0).slots;
    assert_eq!(table.capacity(&name(POOL), now).slots, slots + 3);
    let later = now + ms(1_000);
    assert_eq!(
        table.capacity(&name(POOL), later).slots,
        2 * slots,
        "the backlog has been processed"
    );
}
