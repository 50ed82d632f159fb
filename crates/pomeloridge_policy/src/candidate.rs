//! Which backend servers a request may be sent to, and the affinity choice
//! among them.

use std::time::Instant;

use pomeloridge_base::id::Name;
use sha2::{Digest, Sha256};

use crate::fleet::Fleet;
use crate::prefix::{BlockHash, leading_number};
use crate::server::{Server, ServerKey, Work};

/// Load over the mean at which the affinity choice passes a server by.
const BOUND: f64 = 1.25;

/// A request that needs a backend server.
#[derive(Clone, Debug, Default)]
pub struct RouteRequest<'a> {
    /// Model or service.
    pub pool: Name,
    /// Session that the caller named, if any.
    pub session: Option<&'a [u8]>,
    /// Blocks of the prompt.
    pub blocks: &'a [BlockHash],
    /// Work that it asks for.
    pub work: Work,
    /// Servers that were already tried.
    pub excluded: &'a [ServerKey],
    /// Whether it may run only where no other suspect does.
    pub suspect: bool,
}

/// The servers that may be chosen, and whether they are a last resort.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    /// Servers.
    pub keys: Vec<ServerKey>,
    /// Why these.
    pub tier: Tier,
}

/// How good the servers are that are left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tier {
    /// Servers without known trouble.
    #[default]
    Usable,
    /// Cheap servers of a suspect data centre.
    Suspect,
    /// The longest-ejected server.
    Ejected,
}

/// The servers that a request may be sent to.
pub fn candidates(fleet: &Fleet, request: &RouteRequest, now: Instant) -> Candidates {
    let open: Vec<ServerKey> = fleet
        .pool(&request.pool)
        .iter()
        .copied()
        .filter(|key| !request.excluded.contains(key))
        .filter(|key| {
            fleet
                .server(*key)
                .is_some_and(|s| takes_work(s, request, now))
        })
        .collect();
    let server = |key: &ServerKey| fleet.server(*key);
    let up = |key: &&ServerKey| server(key).is_some_and(|s| !s.ejection.is_ejected());
    let (risky, usable): (Vec<ServerKey>, Vec<ServerKey>) = open
        .iter()
        .filter(up)
        .partition(|key| server(key).is_some_and(|s| is_risky(fleet, s)));
    if !usable.is_empty() {
        return tier(usable, Tier::Usable);
    }
    if !risky.is_empty() {
        return tier(risky, Tier::Suspect);
    }
    if request.suspect && has_marked(fleet, request, now) {
        // A server that is up will be free of its suspect; a dead one is no choice.
        return Candidates::default();
    }
    let since = |key: &ServerKey| server(key).and_then(|s| s.ejection.since());
    let longest = open.into_iter().min_by_key(since);
    tier(longest.into_iter().collect(), Tier::Ejected)
}

fn tier(keys: Vec<ServerKey>, tier: Tier) -> Candidates {
    Candidates { keys, tier }
}

fn takes_work(server: &Server, request: &RouteRequest, now: Instant) -> bool {
    server.is_serving() && !(request.suspect && server.is_occupied(now))
}

/// Whether a server that is up has another suspect.
fn has_marked(fleet: &Fleet, request: &RouteRequest, now: Instant) -> bool {
    let servers = fleet.pool(&request.pool).iter();
    let mut up = servers.filter_map(|key| fleet.server(*key));
    up.any(|server| server.is_serving() && !server.ejection.is_ejected() && server.is_occupied(now))
}

fn is_risky(fleet: &Fleet, server: &Server) -> bool {
    server.info.preemptible && fleet.is_suspect(&server.info.data_centre)
}

/// The server that a request's session or first block is bound to.
///
/// Rendezvous hashing with bounded load: the highest rank whose load is not
/// far over the mean.
pub fn affinity(
    fleet: &Fleet,
    request: &RouteRequest,
    keys: &[ServerKey],
    now: Instant,
) -> Option<ServerKey> {
    let first = request.blocks.first().map(|block| block.0.to_be_bytes());
    let bound = match (request.session, &first) {
        (Some(session), _) => session,
        (None, Some(block)) => block.as_slice(),
        (None, None) => return None,
    };
    let load = |key: ServerKey| f64::from(fleet.load(key, now).in_flight);
    let total: f64 = keys.iter().map(|key| load(*key)).sum();
    let limit = (BOUND * (total + 1.0) / keys.len() as f64).ceil();
    let light = keys.iter().copied().filter(|key| load(*key) < limit);
    light.max_by_key(|key| rank(fleet, bound, *key))
}

fn rank(fleet: &Fleet, bound: &[u8], key: ServerKey) -> u64 {
    let id = fleet.server(key).map(|server| server.info.id.as_bytes());
    let hash = Sha256::new()
        .chain_update(bound)
        .chain_update(id.unwrap_or_default());
    leading_number(&hash.finalize())
}
