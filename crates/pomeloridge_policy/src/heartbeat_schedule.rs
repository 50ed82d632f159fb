//! Selects the peers to which a node sends heartbeats in each round.
//!
//! With dozens of nodes, messages to every peer in every round would saturate small links;
//! traffic between data centres is also expensive, while most work stays within one. A
//! large fleet therefore sends to peers in the same data centre often and to the others
//! rarely, with one node of each data centre reporting the loads of all its nodes. A small
//! fleet sends to every peer in every round.

/// Number of rounds in which a node of a large fleet that others wait for sends once to
/// each peer in another data centre.
const AWAITED_REMOTE_ROUNDS: usize = 12;
/// Number of rounds in which any other node of a large fleet does so.
const REMOTE_ROUNDS: usize = 50;

/// Number of peers that a node sends to in each round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeersPerRound {
    /// Peers in the node's data centre.
    pub local: usize,
    /// Peers in other data centres.
    pub remote: usize,
}

/// Returns whether a fleet is so large that peers in other data centres get fewer messages.
pub fn is_large_fleet(peers: usize, fan_out: usize) -> bool {
    peers > fan_out
}

/// Returns the number of peers per round for a node with `local` and `remote` peers that
/// sends to at most `fan_out` local peers at a time; `awaited` if others wait for its state.
pub fn peers_per_round(
    local: usize,
    remote: usize,
    fan_out: usize,
    awaited: bool,
) -> PeersPerRound {
    if !is_large_fleet(local + remote, fan_out) {
        return PeersPerRound { local, remote };
    }
    let rounds = if awaited {
        AWAITED_REMOTE_ROUNDS
    } else {
        REMOTE_ROUNDS
    };
    PeersPerRound {
        local: local.min(fan_out),
        remote: remote.div_ceil(rounds),
    }
}

/// Returns the number of rounds in which the node sends to every peer at least once.
pub fn rounds_to_cover(local: usize, remote: usize, fan_out: usize, awaited: bool) -> usize {
    let per_round = peers_per_round(local, remote, fan_out, awaited);
    let rounds = |peers: usize, per_round: usize| peers.div_ceil(per_round.max(1));
    rounds(local, per_round.local).max(rounds(remote, per_round.remote))
}

/// Returns the `count` peers to send to in a round, rotating through all of them.
pub fn peers_for_round<T>(mut peers: Vec<T>, count: usize, round: u64) -> Vec<T> {
    if peers.len() > count {
        let start = round as usize * count % peers.len();
        peers.rotate_left(start);
        peers.truncate(count);
    }
    peers
}
