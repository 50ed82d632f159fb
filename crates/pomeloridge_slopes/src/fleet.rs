//! The view of the backend servers, and the choice among them.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::candidate::RouteRequest;
use pomeloridge_policy::in_flight::ServerInFlight;
use pomeloridge_policy::prefix::{BlockHash, PrefixHints};
use pomeloridge_policy::routing::{Router, RoutingPolicy};
use pomeloridge_policy::server::{LoadReport, Role, ServerInfo, Work};
use pomeloridge_policy::server_table::{ServerTable, ServerTableSettings};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fixture::{SEED, SERVERS, data_centre, node, pool, server, server_id};
use crate::meter::{bytes, nanoseconds};
use crate::row::{Row, Unit};

/// Servers on which a peer has requests in flight.
const SHARES: usize = 64;
/// Peers whose shares are kept.
const PEERS: usize = 16;
/// Work of one request.
const WORK: Work = Work {
    prompt: 1_000,
    output: 300,
};

/// Measures the view.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("fleet", what, "server", unit, &SERVERS, measure)
    };
    let mut rows = vec![
        row("memory with reports", Unit::Bytes, |count| {
            bytes(|| reported(count))
        }),
        row("memory of 16 peers' shares", Unit::Bytes, share_bytes),
        row("sync an unchanged list", Unit::Nanoseconds, sync),
        row("take one report", Unit::Nanoseconds, report),
        row("route, no affinity", Unit::Nanoseconds, |count| {
            route(count, &[])
        }),
        row("route, prompt block", Unit::Nanoseconds, |count| {
            route(count, &[BlockHash(7)])
        }),
        row("dispatch and finish", Unit::Nanoseconds, dispatch),
        row("capacity of one pool", Unit::Nanoseconds, capacity),
        row("take 64 shares of a peer", Unit::Nanoseconds, peer_shares),
        row("due probes", Unit::Nanoseconds, due_probes),
    ];
    rows.push(Row::measure(
        "fleet",
        "own shares for the peers",
        "server",
        Unit::Nanoseconds,
        &SERVERS,
        own_shares,
    ));
    rows
}

fn list(count: usize) -> Vec<ServerInfo> {
    (0..count).map(server).collect()
}

fn load(at: Instant, index: usize) -> LoadReport {
    LoadReport {
        measured_at: at,
        running: (index % 12) as u32,
        queued: 0,
        prefill_tokens: 500,
        slots: 16,
        role: Role::Mixed,
        models: vec![pool(index)],
        leaving: false,
    }
}

fn reported(count: usize) -> ServerTable {
    let mut fleet = ServerTable::new(ServerTableSettings::new(data_centre(0)));
    fleet.sync(list(count));
    let now = Instant::now();
    for index in 0..count {
        if let Some(key) = fleet.key_of(&server_id(index)) {
            fleet.report(key, load(now, index), now);
        }
    }
    fleet
}

fn shares(count: usize, peer: usize) -> Vec<ServerInFlight> {
    let share = |n: usize| ServerInFlight {
        id: server_id((peer * SHARES + n) % count),
        running: 1,
        prefill_tokens: 100,
        reserved_for_suspect: false,
    };
    (0..SHARES).map(share).collect()
}

fn add_shares(fleet: &mut ServerTable, count: usize) {
    let now = Instant::now();
    for peer in 0..PEERS {
        fleet.set_peer_in_flight(&node(peer), &shares(count, peer), now);
    }
}

fn share_bytes(count: usize) -> f64 {
    let mut fleet = reported(count);
    bytes(|| add_shares(&mut fleet, count))
}

fn sync(count: usize) -> f64 {
    let mut fleet = reported(count);
    let list = list(count);
    nanoseconds(|| fleet.sync(list.clone()))
}

fn report(count: usize) -> f64 {
    let mut fleet = reported(count);
    let ids: Vec<Name> = (0..count).map(server_id).collect();
    let keys: Vec<_> = ids.iter().filter_map(|id| fleet.key_of(id)).collect();
    let mut turn = 0;
    nanoseconds(|| {
        turn = (turn + 1) % keys.len();
        let now = Instant::now();
        fleet.report(keys[turn], load(now, turn), now)
    })
}

fn route(count: usize, blocks: &[BlockHash]) -> f64 {
    let mut fleet = reported(count);
    add_shares(&mut fleet, count);
    let hints = PrefixHints::new(64);
    let mut router = Router::new(RoutingPolicy::Estimated);
    let mut rng = StdRng::seed_from_u64(SEED);
    let request = RouteRequest {
        pool: pool(0),
        blocks,
        work: WORK,
        ..RouteRequest::default()
    };
    let now = Instant::now();
    nanoseconds(|| {
        router
            .route(&fleet, &hints, &request, &mut rng, now)
            .is_ok()
    })
}

fn dispatch(count: usize) -> f64 {
    let mut fleet = reported(count);
    let Some(key) = fleet.key_of(&server_id(0)) else {
        return 0.0;
    };
    let start = Instant::now();
    let mut step = 0;
    nanoseconds(|| {
        step += 1;
        let now = start + Duration::from_micros(step);
        let dispatch = fleet.record_dispatch(key, WORK, now);
        fleet.record_first_token(dispatch, now);
        fleet.record_end(dispatch, Some(WORK.output), now);
    })
}

fn capacity(count: usize) -> f64 {
    let mut fleet = reported(count);
    add_shares(&mut fleet, count);
    let now = Instant::now();
    let pool = pool(0);
    nanoseconds(|| fleet.capacity(&pool, now))
}

fn peer_shares(count: usize) -> f64 {
    let mut fleet = reported(count);
    add_shares(&mut fleet, count);
    let (peer, shares) = (node(0), shares(count, 0));
    nanoseconds(|| fleet.set_peer_in_flight(&peer, &shares, Instant::now()))
}

fn due_probes(count: usize) -> f64 {
    let mut fleet = reported(count);
    nanoseconds(|| fleet.due_probes(Instant::now()))
}

fn own_shares(count: usize) -> f64 {
    let mut fleet = reported(count);
    let now = Instant::now();
    for index in 0..SHARES {
        if let Some(key) = fleet.key_of(&server_id(index)) {
            fleet.record_dispatch(key, WORK, now);
        }
    }
    nanoseconds(|| fleet.own_in_flight())
}
