//! The node's view of backend servers: lists, load reports, ejection and capacity.

use std::time::{Duration, Instant};

use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::fleet::{Fleet, FleetSettings};
use pomeloridge_policy::in_flight::ServerInFlight;
use pomeloridge_policy::server::{LoadReport, ServerInfo};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, POOL, config, engine, fleet, fleet_of, key, ms, name, report, work};

fn share(id: &str, running: u32) -> ServerInFlight {
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
    let mut fleet = fleet(3);
    let kept = key(&fleet, "e1");
    fleet.record_dispatch(kept, work(10, 10), now);
    fleet.record_failure(kept, now);
    let moved = ServerInfo {
        address: ([127, 0, 0, 1], 1).into(),
        ..engine(2)
    };
    let old = key(&fleet, "e2");
    let gone = fleet.sync(vec![engine(1), moved, engine(5)]);
    assert_eq!(gone.len(), 2, "e0, and e2 at its old address");
    assert!(gone.contains(&old));
    assert_eq!(key(&fleet, "e1"), kept);
    let server = fleet.server(kept).expect("it is listed");
    assert!(server.ejection.is_ejected());
    assert_eq!(server.own_in_flight_count(), 1);
    assert_eq!(fleet.pool(&name(POOL)).len(), 3);
}

#[test]
fn a_request_may_end_after_its_server_was_removed() {
    let now = Instant::now();
    let mut fleet = fleet(1);
    let dispatch = fleet.record_dispatch(key(&fleet, "e0"), work(10, 10), now);
    fleet.sync(Vec::new());
    fleet.record_first_token(dispatch, now);
    fleet.record_end(dispatch, Some(10), now);
    assert!(fleet.own_in_flight().is_empty());
}

#[test]
fn an_older_report_is_ignored() {
    let now = Instant::now();
    let mut fleet = fleet(1);
    let e0 = key(&fleet, "e0");
    let later = now + ms(1);
    assert!(fleet.report(e0, report(later, 5), later));
    assert!(!fleet.report(e0, report(now, 9), later));
    assert_eq!(fleet.load(e0, later).in_flight, 5);
}

#[test]
fn a_delayed_report_is_corrected_by_own_requests() {
    let start = Instant::now();
    let mut fleet = fleet(1);
    let e0 = key(&fleet, "e0");
    let included_in_report = fleet.record_dispatch(e0, work(100, 10), start);
    let at = start + ms(100);
    fleet.record_dispatch(e0, work(700, 10), start + ms(200));
    fleet.record_end(included_in_report, Some(10), start + ms(300));
    let now = start + ms(400);
    fleet.report(e0, report(at, 7), now);
    let load = fleet.load(e0, now);
    assert_eq!(load.in_flight, 7, "7 reported, 1 sent since, 1 ended since");
    assert!((load.prefill_tokens - 700.0).abs() < 1e-6);
}

#[test]
fn requests_in_flight_at_peers_count_until_they_expire() {
    let now = Instant::now();
    let mut fleet = fleet(1);
    let e0 = key(&fleet, "e0");
    fleet.report(e0, report(now, 1), now);
    fleet.set_peer_in_flight(&name("vm-2"), &[share("e0", 4)], now);
    fleet.set_peer_in_flight(&name("vm-3"), &[share("e0", 2)], now);
    assert_eq!(fleet.load(e0, now).in_flight, 6);
    fleet.set_peer_in_flight(&name("vm-3"), &[], now);
    assert_eq!(fleet.load(e0, now).in_flight, 4);
    assert_eq!(fleet.load(e0, now + ms(3_001)).in_flight, 1);
}

#[test]
fn probe_delays_double_up_to_half_a_minute() {
    let start = Instant::now();
    let mut fleet = fleet(1);
    let e0 = key(&fleet, "e0");
    fleet.record_failure(e0, start);
    let mut times = Vec::new();
    for second in 0..100 {
        let now = start + Duration::from_secs(second);
        if fleet.due_probes(now) == [e0] {
            times.push(second);
            fleet.record_failure(e0, now);
        }
    }
    assert_eq!(times, [1, 3, 7, 15, 31, 61, 91]);
    assert!(fleet.record_success(e0));
    assert!(!fleet.record_success(e0));
    assert!(fleet.due_probes(start + ms(500_000)).is_empty());
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
    let mut fleet = fleet(4);
    assert!(!fleet.record_failure(key(&fleet, first), now));
    assert_eq!(
        fleet.record_failure(key(&fleet, second), now + ms(gap)),
        suspect
    );
    assert_eq!(fleet.is_suspect(&name("tln-a")), suspect);
    fleet.record_success(key(&fleet, first));
    assert!(!fleet.is_suspect(&name("tln-a")));
}

#[test]
fn a_data_centre_is_not_suspect_once_its_failed_servers_are_removed() {
    let now = Instant::now();
    let mut fleet = fleet(6);
    fleet.record_failure(key(&fleet, "e0"), now);
    fleet.record_failure(key(&fleet, "e2"), now);
    fleet.sync((3..6).map(engine).collect());
    assert!(!fleet.is_suspect(&name("tln-a")));
}

#[test]
fn no_server_is_ejected_if_ejection_is_off() {
    let now = Instant::now();
    let mut fleet = Fleet::new(FleetSettings {
        eject_on_failure: false,
        ..FleetSettings::new(name("tln-a"))
    });
    fleet.sync((0..4).map(engine).collect());
    fleet.record_failure(key(&fleet, "e0"), now);
    fleet.record_failure(key(&fleet, "e2"), now);
    assert!(fleet.due_probes(now + ms(60_000)).is_empty());
    assert!(!fleet.is_suspect(&name("tln-a")));
}

#[test]
fn capacity_counts_servers_that_accept_work() {
    let now = Instant::now();
    let mut fleet = fleet(5);
    for id in ["e0", "e1", "e2", "e3", "e4"] {
        fleet.report(key(&fleet, id), report(now, 0), now);
    }
    let leaving = LoadReport {
        leaving: true,
        ..report(now, 0)
    };
    fleet.report(key(&fleet, "e0"), leaving, now);
    fleet.drain([name("e1")]);
    fleet.record_failure(key(&fleet, "e2"), now);
    assert!(fleet.reserve_for_suspect(key(&fleet, "e3"), now));
    fleet.set_peer_in_flight(&name("vm-2"), &[share("e4", 3)], now);
    let expected = Capacity {
        slots: 32,
        peers: 3,
    };
    assert_eq!(fleet.capacity(&name(POOL), now), expected);
}

#[test]
fn an_ejected_server_is_the_capacity_of_last_resort() {
    let now = Instant::now();
    let mut fleet = fleet(1);
    fleet.record_failure(key(&fleet, "e0"), now);
    assert!(fleet.capacity(&name(POOL), now).slots > 0);
    fleet.drain([name("e0")]);
    assert_eq!(fleet.capacity(&name(POOL), now).slots, 0);
}

#[test]
fn a_server_is_reserved_for_at_most_one_suspect() {
    let now = Instant::now();
    let mut fleet = fleet(3);
    let reserve = |fleet: &mut Fleet, id: &str| fleet.reserve_for_suspect(key(fleet, id), now);
    let peer = |id: &str| ServerInFlight {
        reserved_for_suspect: true,
        ..share(id, 1)
    };
    assert!(reserve(&mut fleet, "e0"));
    assert!(!reserve(&mut fleet, "e0"), "one suspect per engine");
    fleet.set_peer_in_flight(&name("vm-2"), &[peer("e1")], now);
    assert!(!reserve(&mut fleet, "e1"), "also across nodes");
    fleet.release_from_suspect(key(&fleet, "e0"));
    assert!(reserve(&mut fleet, "e0"));
    // Two nodes have reserved the same server at once: one of them must yield.
    fleet.set_peer_in_flight(&name("vm-2"), &[peer("e0")], now);
    assert!(fleet.must_yield(key(&fleet, "e0"), &name("vm-3"), now));
    assert!(!fleet.must_yield(key(&fleet, "e0"), &name("vm-1"), now));
    assert!(!fleet.must_yield(key(&fleet, "e0"), &name("vm-3"), now + ms(60_000)));
}

#[test]
fn speeds_are_learned_from_answers() {
    let mut now = Instant::now();
    let mut fleet = fleet_of(vec![engine(0)]);
    let e0 = key(&fleet, "e0");
    for _ in 0..40 {
        let dispatch = fleet.record_dispatch(e0, work(2_000, 50), now);
        now += ms(1_000);
        fleet.record_first_token(dispatch, now);
        now += ms(2_000);
        fleet.record_end(dispatch, Some(50), now);
    }
    let rates = fleet.server(e0).expect("it is listed").rates;
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
        let mut fleet = fleet(4);
        let mut open = Vec::new();
        for (step, (server, send)) in ops.into_iter().enumerate() {
            let now = start + ms(step as u64);
            let server = key(&fleet, &format!("e{server}"));
            if send {
                open.push(fleet.record_dispatch(server, work(10, 10), now));
            } else if let Some(dispatch) = open.pop() {
                fleet.record_end(dispatch, None, now);
            }
            let total: u32 = fleet.own_in_flight().iter().map(|share| share.running).sum();
            prop_assert_eq!(total as usize, open.len());
        }
        for dispatch in open {
            fleet.record_end(dispatch, None, start + ms(100));
        }
        prop_assert!(fleet.own_in_flight().is_empty());
    }
}

#[test]
fn a_prompt_backlog_leaves_no_free_slots() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    let busy = LoadReport {
        running: 3,
        // One second of prefill at the expected 4,000 tokens per second.
        prefill_tokens: 4_000,
        ..report(now, 0)
    };
    fleet.report(key(&fleet, "e0"), report(now, 0), now);
    fleet.report(key(&fleet, "e1"), busy, now);
    let slots = report(now, 0).slots;
    assert_eq!(fleet.capacity(&name(POOL), now).slots, slots + 3);
    let later = now + ms(1_000);
    assert_eq!(
        fleet.capacity(&name(POOL), later).slots,
        2 * slots,
        "the backlog has been processed"
    );
}
