//! Which peers a node tells in a round.
//!
//! Pattern answered: words to every peer in every round fill small links once a fleet
//! has dozens of nodes, and bytes between data centres are dear, while most work stays
//! in its data centre. A large fleet tells peers of the own data centre in short turns
//! and the others in longer ones, in which one node of each data centre tells the loads of
//! all; a small fleet tells all.

/// Rounds in which each peer in another data centre is told once, in a large fleet, by a
/// node that others wait for.
const FAR_ROUNDS: usize = 12;
/// The same by any other node.
const FAR_ROUNDS_OTHERS: usize = 50;

/// Peers that are told in each round, of those in the own data centre and of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeersPerRound {
    /// In the own data centre.
    pub local: usize,
    /// In other data centres.
    pub remote: usize,
}

/// Whether a fleet is so large that peers in other data centres are told less.
pub fn is_large_fleet(peers: usize, fan_out: usize) -> bool {
    peers > fan_out
}

/// Decides the turns of a node with so many peers that tells `fan_out` peers at a time;
/// `awaited` if others wait for its words.
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
        FAR_ROUNDS
    } else {
        FAR_ROUNDS_OTHERS
    };
    PeersPerRound {
        local: local.min(fan_out),
        remote: remote.div_ceil(rounds),
    }
}

/// Rounds in which every peer is told once.
pub fn rounds_to_cover(local: usize, remote: usize, fan_out: usize, awaited: bool) -> usize {
    let turns = peers_per_round(local, remote, fan_out, awaited);
    let rounds = |peers: usize, each: usize| peers.div_ceil(each.max(1));
    rounds(local, turns.local).max(rounds(remote, turns.remote))
}

/// The `count` peers whose turn it is in a round.
pub fn peers_for_round<T>(mut peers: Vec<T>, count: usize, round: u64) -> Vec<T> {
    if peers.len() > count {
        let start = round as usize * count % peers.len();
        peers.rotate_left(start);
        peers.truncate(count);
    }
    peers
}
