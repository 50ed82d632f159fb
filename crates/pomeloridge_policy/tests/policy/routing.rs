//! Tests of the selection of a backend server.

use std::collections::HashSet;
use std::time::Instant;

use pomeloridge_base::error::ErrorKind;
use pomeloridge_policy::candidate::{RouteRequest, affinity_choice};
use pomeloridge_policy::prefix::{PrefixHints, block_hashes};
use pomeloridge_policy::routing::{Decision, Reason, Router, RoutingPolicy};
use pomeloridge_policy::server::{LoadReport, ServerInfo, ServerKey, ServerState};
use pomeloridge_policy::server_table::ServerTable;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

use crate::support::{CASES, POOL, config, engine, key, ms, name, report, table, table_of, work};

const SEED: u64 = 17;

fn request<'a>() -> RouteRequest<'a> {
    RouteRequest {
        pool: name(POOL),
        work: work(1_000, 100),
        ..RouteRequest::default()
    }
}

fn route(table: &ServerTable, request: &RouteRequest, now: Instant) -> Result<Decision, ErrorKind> {
    route_by(RoutingPolicy::Estimated, table, request, now, SEED)
}

fn route_by(
    policy: RoutingPolicy,
    table: &ServerTable,
    request: &RouteRequest,
    now: Instant,
    seed: u64,
) -> Result<Decision, ErrorKind> {
    let hints = PrefixHints::new(100);
    let mut rng = StdRng::seed_from_u64(seed);
    Router::new(policy).route(table, &hints, request, &mut rng, now)
}

/// Replaces `e0` in the server list and keeps `e1`.
fn replace_e0(table: &mut ServerTable, e0: ServerInfo) {
    table.sync(vec![e0, engine(1)]);
}

/// Records a load report of `e0`: that of an idle engine, altered by `change`.
fn report_e0(table: &mut ServerTable, now: Instant, change: impl FnOnce(&mut LoadReport)) {
    let mut load_report = report(now, 0);
    change(&mut load_report);
    table.report(key(table, "e0"), load_report, now);
}

#[parameterized(
    listed_leaving = { |f, _| replace_e0(f, ServerInfo { state: ServerState::Leaving, ..engine(0) }) },
    starting = { |f, _| replace_e0(f, ServerInfo { state: ServerState::Starting, ..engine(0) }) },
    another_pool = { |f, _| replace_e0(f, ServerInfo { pool: name("filings"), ..engine(0) }) },
    reported_leaving = { |f, now| report_e0(f, now, |report| report.leaving = true) },
    another_model = { |f, now| report_e0(f, now, |report| report.models = vec![name("other")]) },
    drained = { |f, _| f.drain([name("e0")]) },
    ejected = { |f, now| assert!(!f.record_failure(key(f, "e0"), now)) },
)]
fn unavailable_servers_are_not_chosen(make_unavailable: fn(&mut ServerTable, Instant)) {
    let now = Instant::now();
    let mut table = table(2);
    make_unavailable(&mut table, now);
    for policy in [
        RoutingPolicy::Estimated,
        RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastReported,
    ] {
        for seed in 0..20 {
            let decision =
                route_by(policy, &table, &request(), now, seed).expect("e1 is available");
            assert_eq!(decision.id, name("e1"), "seed {seed}");
            assert_eq!(decision.reason, Reason::Only);
        }
    }
}

#[test]
fn excluded_servers_are_not_chosen() {
    let now = Instant::now();
    let table = table(2);
    let (e0, e1) = (key(&table, "e0"), key(&table, "e1"));
    let retry = RouteRequest {
        excluded: &[e0],
        ..request()
    };
    assert_eq!(route(&table, &retry, now).map(|d| d.chosen), Ok(e1));
    let exhausted = RouteRequest {
        excluded: &[e0, e1],
        ..request()
    };
    assert_eq!(route(&table, &exhausted, now), Err(ErrorKind::NoServer));
}

#[test]
fn the_server_ejected_first_is_tried_when_all_are_ejected() {
    let now = Instant::now();
    let mut table = table(3);
    for (delay, id) in [(0, "e2"), (10, "e0"), (20, "e1")] {
        table.record_failure(key(&table, id), now + ms(delay));
    }
    let decision = route(&table, &request(), now + ms(30)).expect("an ejected server is tried");
    assert_eq!(decision.id, name("e2"));
    assert_eq!(decision.reason, Reason::LongestEjected);
}

#[test]
fn preemptible_servers_of_a_suspect_data_centre_are_the_last_resort() {
    let now = Instant::now();
    let preemptible = |number| ServerInfo {
        preemptible: true,
        ..engine(number)
    };
    let mut table = table_of(vec![
        preemptible(0),
        preemptible(2),
        preemptible(4),
        preemptible(1),
    ]);
    table.record_failure(key(&table, "e0"), now);
    table.record_failure(key(&table, "e2"), now);
    let first = route(&table, &request(), now).expect("e1 is up");
    assert_eq!((first.id, first.reason), (name("e1"), Reason::Only));
    table.record_failure(key(&table, "e1"), now);
    let last = route(&table, &request(), now).expect("e4 is up");
    assert_eq!(
        (last.id, last.reason),
        (name("e4"), Reason::SuspectDataCentre)
    );
}

#[test]
fn the_server_with_the_shorter_estimated_wait_is_chosen() {
    let now = Instant::now();
    let mut table = table(2);
    let prefill_backlog = LoadReport {
        prefill_tokens: 8_000,
        ..report(now, 1)
    };
    table.report(key(&table, "e0"), prefill_backlog, now);
    table.report(key(&table, "e1"), report(now, 4), now);
    let decision = route(&table, &request(), now).expect("both are up");
    assert_eq!(decision.id, name("e1"), "{decision}");
    let by_count = route_by(RoutingPolicy::LeastReported, &table, &request(), now, SEED);
    assert_eq!(by_count.map(|d| d.id), Ok(name("e0")));
}

#[test]
fn of_equal_servers_the_one_in_the_local_data_centre_is_chosen() {
    let now = Instant::now();
    for seed in 0..20 {
        let policy = RoutingPolicy::Estimated;
        let decision = route_by(policy, &table(2), &request(), now, seed).expect("both are up");
        assert_eq!(decision.id, name("e0"), "seed {seed}: {decision}");
    }
}

#[test]
fn the_server_with_the_cached_prefix_is_chosen() {
    let now = Instant::now();
    let table = table(2);
    let prompt = block_hashes(&[b'x'; 4096]);
    let mut hints = PrefixHints::new(100);
    hints.add_blocks(key(&table, "e1"), &prompt);
    let request = RouteRequest {
        blocks: &prompt,
        ..request()
    };
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut router = Router::default();
    let decision = router.route(&table, &hints, &request, &mut rng, now);
    let decision = decision.expect("both are up");
    assert_eq!(decision.id, name("e1"), "{decision}");
    assert_eq!(
        decision.cached, 1_000,
        "cached tokens are limited to the prompt"
    );
}

#[test]
fn own_requests_are_spread_while_load_reports_are_stale() {
    let now = Instant::now();
    let mut table = table(4);
    for number in 0..4 {
        let server = key(&table, &format!("e{number}"));
        table.report(server, report(now, 0), now);
    }
    for seed in 0..40 {
        let later = now + ms(seed + 1);
        let policy = RoutingPolicy::Estimated;
        let decision = route_by(policy, &table, &request(), later, seed).expect("all are up");
        table.record_dispatch(decision.chosen, work(1_000, 100), later);
    }
    let max_running = table
        .own_in_flight()
        .iter()
        .map(|share| share.running)
        .max();
    assert!(max_running <= Some(14), "{:?}", table.own_in_flight());
}

#[test]
fn a_session_keeps_its_server_until_it_is_overloaded() {
    let now = Instant::now();
    let mut table = table(6);
    let keys: Vec<ServerKey> = table.pool(&name(POOL)).to_vec();
    let session = RouteRequest {
        session: Some(b"s-17"),
        ..request()
    };
    let preferred =
        affinity_choice(&table, &session, &keys, now).expect("the session prefers a server");
    assert_eq!(
        affinity_choice(&table, &session, &keys, now),
        Some(preferred)
    );
    let others: Vec<ServerKey> = keys
        .iter()
        .copied()
        .filter(|key| *key != preferred)
        .collect();
    let without = &others[1..];
    assert!(affinity_choice(&table, &session, without, now).is_some_and(|key| key != preferred));
    table.record_dispatch(preferred, work(1_000, 100), now);
    assert_ne!(
        affinity_choice(&table, &session, &keys, now),
        Some(preferred)
    );
    for other in others {
        table.record_dispatch(other, work(1_000, 100), now);
    }
    assert_eq!(
        affinity_choice(&table, &session, &keys, now),
        Some(preferred)
    );
    assert_eq!(affinity_choice(&table, &request(), &keys, now), None);
}

#[test]
fn round_robin_chooses_each_server_once() {
    let now = Instant::now();
    let table = table(5);
    let hints = PrefixHints::new(1);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut router = Router::new(RoutingPolicy::RoundRobin);
    let chosen: HashSet<ServerKey> = (0..5)
        .filter_map(|_| router.route(&table, &hints, &request(), &mut rng, now).ok())
        .map(|decision| decision.chosen)
        .collect();
    assert_eq!(chosen.len(), 5);
}

#[test]
fn a_suspect_is_not_sent_to_a_server_reserved_for_another() {
    let now = Instant::now();
    let mut table = table(2);
    assert!(table.reserve_for_suspect(key(&table, "e0"), now));
    let suspect = RouteRequest {
        suspect: true,
        ..request()
    };
    for seed in 0..10 {
        let policy = RoutingPolicy::Estimated;
        let decision = route_by(policy, &table, &suspect, now, seed).expect("e1 is available");
        assert_eq!(decision.id, name("e1"));
    }
    assert!(table.reserve_for_suspect(key(&table, "e1"), now));
    let none = route(&table, &suspect, now);
    assert_eq!(none, Err(ErrorKind::NoServer));
    assert!(
        route(&table, &request(), now).is_ok(),
        "ordinary requests must still be routed"
    );
    // The suspect must wait for the reserved server instead of trying the failed one.
    table.release_from_suspect(key(&table, "e0"));
    table.record_failure(key(&table, "e0"), now);
    assert_eq!(route(&table, &suspect, now), Err(ErrorKind::NoServer));
}

#[test]
fn a_suspect_is_sent_to_the_server_with_the_fewest_in_flight() {
    let now = Instant::now();
    let mut table = table(3);
    for id in ["e0", "e2"] {
        table.record_dispatch(key(&table, id), work(10, 10), now);
    }
    let suspect = RouteRequest {
        suspect: true,
        ..request()
    };
    let decision = route(&table, &suspect, now).expect("all are up");
    assert_eq!(
        (decision.id, decision.reason),
        (name("e1"), Reason::Isolated)
    );
}

#[test]
fn a_decision_displays_as_log_fields() {
    let now = Instant::now();
    let decision = route(&table(1), &request(), now).expect("e0 is up");
    let line = decision.to_string();
    assert!(
        line.starts_with("server=e0 reason=only candidates=e0:"),
        "{line}"
    );
    assert!(line.ends_with(" cached=0"), "{line}");
}

proptest! {
    #![proptest_config(config(CASES))]

    /// In any state of the servers, the chosen server is an allowed candidate.
    #[test]
    fn the_chosen_server_is_always_allowed(
        faults in proptest::collection::vec(0_u8..6, 1..12),
        seed in any::<u64>(),
        session in proptest::option::of(any::<[u8; 4]>()),
    ) {
        let now = Instant::now();
        let mut table = table(faults.len() as u16);
        let mut excluded = Vec::new();
        for (number, fault) in faults.iter().enumerate() {
            let server = key(&table, &format!("e{number}"));
            match fault {
                0 => drop(table.record_failure(server, now)),
                1 => { table.report(server, LoadReport { leaving: true, ..report(now, 0) }, now); }
                2 => excluded.push(server),
                _ => { table.report(server, report(now, u32::from(*fault)), now); }
            }
        }
        let request = RouteRequest {
            session: session.as_ref().map(<[u8; 4]>::as_slice),
            excluded: &excluded,
            ..request()
        };
        let usable = faults.iter().any(|fault| *fault > 2);
        let ejected = faults.contains(&0);
        match route_by(RoutingPolicy::Estimated, &table, &request, now, seed) {
            Ok(decision) => {
                let server = table.server(decision.chosen).expect("it is listed");
                prop_assert!(!server.is_leaving());
                prop_assert!(!excluded.contains(&decision.chosen));
                prop_assert_eq!(server.ejection.is_ejected(), !usable);
            }
            Err(kind) => {
                prop_assert_eq!(kind, ErrorKind::NoServer);
                prop_assert!(!usable && !ejected);
            }
        }
    }
}
