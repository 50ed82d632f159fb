//! Measures the server table and the routing over it.

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

/// Number of servers on which each peer has requests in flight.
const SHARES: usize = 64;
/// Peers that report shares.
const PEERS: usize = 16;
/// Work of one request.
const WORK: Work = Work {
    prompt: 1_000,
    output: 300,
};

/// Returns the measurements of the server table.
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
    let mut table = ServerTable::new(ServerTableSettings::new(data_centre(0)));
    table.sync(list(count));
    let now = Instant::now();
    for index in 0..count {
        if let Some(key) = table.key_of(&server_id(index)) {
            table.report(key, load(now, index), now);
        }
    }
    table
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

fn add_shares(table: &mut ServerTable, count: usize) {
    let now = Instant::now();
    for peer in 0..PEERS {
        table.set_peer_in_flight(&node(peer), &shares(count, peer), now);
    }
}

fn share_bytes(count: usize) -> f64 {
    let mut table = reported(count);
    bytes(|| add_shares(&mut table, count))
}

fn sync(count: usize) -> f64 {
    let mut table = reported(count);
    let list = list(count);
    nanoseconds(|| table.sync(list.clone()))
}

fn report(count: usize) -> f64 {
    let mut table = reported(count);
    let ids: Vec<Name> = (0..count).map(server_id).collect();
    let keys: Vec<_> = ids.iter().filter_map(|id| table.key_of(id)).collect();
    let mut next = 0;
    nanoseconds(|| {
        next = (next + 1) % keys.len();
        let now = Instant::now();
        table.report(keys[next], load(now, next), now)
    })
}

fn route(count: usize, blocks: &[BlockHash]) -> f64 {
    let mut table = reported(count);
    add_shares(&mut table, count);
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
            .route(&table, &hints, &request, &mut rng, now)
            .is_ok()
    })
}

fn dispatch(count: usize) -> f64 {
    let mut table = reported(count);
    let Some(key) = table.key_of(&server_id(0)) else {
        return 0.0;
    };
    let start = Instant::now();
    let mut step = 0;
    nanoseconds(|| {
        step += 1;
        let now = start + Duration::from_micros(step);
        let dispatch = table.record_dispatch(key, WORK, now);
        table.record_first_token(dispatch, now);
        table.record_end(dispatch, Some(WORK.output), now);
    })
}

fn capacity(count: usize) -> f64 {
    let mut table = reported(count);
    add_shares(&mut table, count);
    let now = Instant::now();
    let pool = pool(0);
    nanoseconds(|| table.capacity(&pool, now))
}

fn peer_shares(count: usize) -> f64 {
    let mut table = reported(count);
    add_shares(&mut table, count);
    let (peer, shares) = (node(0), shares(count, 0));
    nanoseconds(|| table.set_peer_in_flight(&peer, &shares, Instant::now()))
}

fn due_probes(count: usize) -> f64 {
    let mut table = reported(count);
    nanoseconds(|| table.due_probes(Instant::now()))
}

fn own_shares(count: usize) -> f64 {
    let mut table = reported(count);
    let now = Instant::now();
    for index in 0..SHARES {
        if let Some(key) = table.key_of(&server_id(index)) {
            table.record_dispatch(key, WORK, now);
        }
    }
    nanoseconds(|| table.own_in_flight())
}
