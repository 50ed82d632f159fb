//! The backend servers that a request may be sent to, and the affinity choice
//! among them.

use std::time::Instant;

use pomeloridge_base::id::Name;
use sha2::{Digest, Sha256};

use crate::prefix::{BlockHash, leading_number};
use crate::server::{Server, ServerKey, Work};
use crate::server_table::ServerTable;

/// Factor over the mean load from which the affinity choice skips a server.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// A request that needs a backend server.
#[derive(Clone, Debug, Default)]
pub struct RouteRequest<'a> {
    /// Model or service.
    pub pool: Name,
    /// Session named by the caller, if any.
    pub session: Option<&'a [u8]>,
    /// Chained hashes of the prompt's blocks.
    pub blocks: &'a [BlockHash],
    /// Prompt and expected output tokens.
    pub work: Work,
    /// Servers to exclude, such as those already tried.
    pub excluded: &'a [ServerKey],
    /// Whether the request is suspected of crashing engines. Such a request is sent
    /// only to a server on which no other suspect runs.
    pub suspect: bool,
}

/// The servers that may be chosen, all of one tier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    /// Keys of the servers.
    pub keys: Vec<ServerKey>,
    /// Tier of the servers.
    pub tier: Tier,
}

/// Health of the candidates; a lower tier is used only if the ones above are empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tier {
    /// Servers without known problems.
    #[default]
    Usable,
    /// Preemptible servers of a suspect data centre.
    Suspect,
    /// The server that was ejected first.
    Ejected,
}

/// Returns the servers that a request may be sent to.
pub fn candidates(table: &ServerTable, request: &RouteRequest, now: Instant) -> Candidates {
    let available: Vec<ServerKey> = table
        .pool(&request.pool)
        .iter()
        .copied()
        .filter(|key| !request.excluded.contains(key))
        .filter(|key| {
            table
                .server(*key)
                .is_some_and(|s| can_accept(s, request, now))
        })
        .collect();
    let server = |key: &ServerKey| table.server(*key);
    let not_ejected = |key: &&ServerKey| server(key).is_some_and(|s| !s.ejection.is_ejected());
    let (at_risk, usable): (Vec<ServerKey>, Vec<ServerKey>) = available
        .iter()
        .filter(not_ejected)
        .partition(|key| server(key).is_some_and(|s| is_at_risk(table, s)));
    if !usable.is_empty() {
        return candidates_of_tier(usable, Tier::Usable);
    }
    if !at_risk.is_empty() {
        return candidates_of_tier(at_risk, Tier::Suspect);
    }
    if request.suspect && has_healthy_reserved_server(table, request, now) {
        // Waiting until a healthy server has finished its suspect beats trying a
        // failed one.
        return Candidates::default();
    }
    let since = |key: &ServerKey| server(key).and_then(|s| s.ejection.since());
    let first_ejected = available.into_iter().min_by_key(since);
    candidates_of_tier(first_ejected.into_iter().collect(), Tier::Ejected)
}

fn candidates_of_tier(keys: Vec<ServerKey>, tier: Tier) -> Candidates {
    Candidates { keys, tier }
}

fn can_accept(server: &Server, request: &RouteRequest, now: Instant) -> bool {
    server.is_serving() && !(request.suspect && server.is_reserved_for_suspect(now))
}

/// Returns whether a server that is reserved for another suspect is serving and not ejected.
fn has_healthy_reserved_server(table: &ServerTable, request: &RouteRequest, now: Instant) -> bool {
    let servers = table.pool(&request.pool).iter();
    let mut known = servers.filter_map(|key| table.server(*key));
    known.any(|server| {
        server.is_serving() && !server.ejection.is_ejected() && server.is_reserved_for_suspect(now)
    })
}

/// Returns whether a server may be reclaimed soon: the platform reclaims the
/// preemptible servers of a data centre together.
fn is_at_risk(table: &ServerTable, server: &Server) -> bool {
    server.info.preemptible && table.is_suspect(&server.info.data_centre)
}

/// Returns the server preferred for the request's session or, without a session,
/// for the first block of its prompt.
///
/// Uses rendezvous hashing with bounded loads: of the servers whose load is not far
/// over the mean, the one with the highest rank is preferred.
pub fn affinity_choice(
    table: &ServerTable,
    request: &RouteRequest,
    keys: &[ServerKey],
    now: Instant,
) -> Option<ServerKey> {
    let first = request.blocks.first().map(|block| block.0.to_be_bytes());
    let affinity_key = match (request.session, &first) {
        (Some(session), _) => session,
        (None, Some(block)) => block.as_slice(),
        (None, None) => return None,
    };
    let load = |key: ServerKey| f64::from(table.load(key, now).in_flight);
    let total: f64 = keys.iter().map(|key| load(*key)).sum();
    let limit = (AFFINITY_LOAD_FACTOR * (total + 1.0) / keys.len() as f64).ceil();
    let below_limit = keys.iter().copied().filter(|key| load(*key) < limit);
    below_limit.max_by_key(|key| rank(table, affinity_key, *key))
}

/// Returns the rendezvous rank of a server for an affinity key.
fn rank(table: &ServerTable, affinity_key: &[u8], key: ServerKey) -> u64 {
    let id = table.server(key).map(|server| server.info.id.as_bytes());
    let hash = Sha256::new()
        .chain_update(affinity_key)
        .chain_update(id.unwrap_or_default());
    leading_number(&hash.finalize())
}
