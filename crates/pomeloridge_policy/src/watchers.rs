//! Selects the nodes that call the object service on behalf of the fleet, to watch it or to
//! check the duties' lease.
//!
//! Every call of the object service costs money, so calls must not grow with the number of
//! nodes. Only a few nodes call. All nodes select the same ones by ranking hashes of node
//! names, with the data centres taking turns, so that no single data centre holds all
//! of them. If too few of the selected nodes get answers, the others step in one after the
//! other instead of all at once. While the service refuses every call, only the selected
//! nodes retry often.

use std::collections::HashMap;
use std::time::Duration;

/// Minimum number of nodes that call.
const MIN_CALLERS: usize = 3;
/// Number of callers in a large fleet, as a multiple of the square root of its size: each
/// caller forwards what it reads to a part of the other nodes.
const CALLERS_PER_SQRT_NODES: f64 = 1.0 / 3.0;
/// Delay between one further node and the next stepping in when too few get answers.
const STEP_IN_DELAY: Duration = Duration::from_millis(7);
/// Delay after a failed call, for the selected nodes.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay after a failed call, for the other nodes, which learn from the selected ones when
/// the service is back.
const OTHER_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum age of the last answer for a node to count as watching; longer than a watch
/// may block.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(3500);

/// A node in the ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedNode {
    /// Hash of the node's name.
    pub rank: u64,
    /// Hash of its data centre's name.
    pub data_centre_hash: u32,
}

/// A live peer.
#[derive(Clone, Copy, Debug)]
pub struct LivePeer {
    /// The peer.
    pub node: RankedNode,
    /// Time since the object service last answered the peer; `None` if it does not watch.
    pub last_answer_age: Option<Duration>,
}

/// Returns nodes in their ranking: the first of each data centre, then the second of each, and
/// so on.
fn ranking<T>(nodes: impl Iterator<Item = (RankedNode, T)>) -> impl Iterator<Item = T> {
    let mut nodes: Vec<(RankedNode, T)> = nodes.collect();
    nodes.sort_unstable_by_key(|(node, _)| node.rank);
    let mut counts: HashMap<u32, usize> = HashMap::new();
    let mut ordered: Vec<(usize, u64, T)> = nodes
        .into_iter()
        .map(|(node, item)| {
            let position = counts.entry(node.data_centre_hash).or_default();
            *position += 1;
            (*position, node.rank, item)
        })
        .collect();
    ordered.sort_unstable_by_key(|(position, rank, _)| (*position, *rank));
    ordered.into_iter().map(|(.., item)| item)
}

/// Returns the peers ranked before a node.
fn peers_before(own: RankedNode, peers: &[LivePeer]) -> impl Iterator<Item = &LivePeer> {
    let others = peers.iter().map(|peer| (peer.node, Some(peer)));
    ranking(others.chain([(own, None)])).map_while(|peer| peer)
}

/// Returns the ranks of the peers that are the first to call the object service once this node
/// no longer does.
pub fn first_callers(peers: &[LivePeer]) -> Vec<u64> {
    let ranked = ranking(peers.iter().map(|peer| (peer.node, peer.node.rank)));
    ranked.take(caller_count(peers)).collect()
}

/// Returns whether too few of the nodes ranked before this one watch the object service.
pub fn lacks_watchers(own: RankedNode, peers: &[LivePeer]) -> bool {
    let is_watching =
        |peer: &&LivePeer| peer.last_answer_age.is_some_and(|age| age < MAX_ANSWER_AGE);
    peers_before(own, peers).filter(is_watching).count() < caller_count(peers)
}

/// Returns whether a node calls the object service once too few others have done so for
/// `shortage`.
pub fn must_call_store(own: RankedNode, peers: &[LivePeer], shortage: Duration) -> bool {
    let callers = caller_count(peers);
    let place = peers_before(own, peers).count();
    let Some(steps) = (place + 1).checked_sub(callers) else {
        return true;
    };
    shortage >= STEP_IN_DELAY * steps as u32
}

/// Returns how many nodes should call, among a node's peers and itself.
pub fn caller_count(peers: &[LivePeer]) -> usize {
    let sqrt_nodes = ((peers.len() + 1) as f64).sqrt();
    MIN_CALLERS.max((sqrt_nodes * CALLERS_PER_SQRT_NODES).ceil() as usize)
}

/// Returns the delay after a failed call of the object service.
///
/// In an outage no node gets answers, so every node has to call; if all nodes of a large
/// fleet retried as often as a single one, thousands of calls would be paid for.
pub fn retry_delay(own: RankedNode, peers: &[LivePeer]) -> Duration {
    if peers_before(own, peers).count() < caller_count(peers) {
        CALLER_RETRY_DELAY
    } else {
        OTHER_RETRY_DELAY
    }
}

/// Time without an answer of the object service after which a node without live peers is
/// cut off.
const CUT_OFF_SILENCE: Duration = Duration::from_secs(4);

/// Returns whether a node can't learn of withdrawn keys, as it reaches neither the object
/// service nor any of the nodes it knows.
///
/// A node with live peers continues to serve: they forward what is newer, and if none of
/// them reaches the service either, that is an outage, in which nothing is withdrawn.
pub fn is_cut_off(known: usize, live: usize, silence: Duration) -> bool {
    known > 0 && live == 0 && silence > CUT_OFF_SILENCE
}

/// Returns whether the watching node with this rank notifies a peer of a change at once.
///
/// Dozens of servers may come and go at a time; if every watching node sent each change to
/// every other node, small links would be saturated. Two of the watching nodes, given by
/// their sorted ranks, notify each peer.
pub fn notifies(rank: u64, watchers: &[u64], peer: u64) -> bool {
    let Some(own) = watchers.iter().position(|watcher| *watcher == rank) else {
        return true;
    };
    let first = (peer % watchers.len() as u64) as usize;
    own == first || own == (first + 1) % watchers.len()
}

/// Returns the sorted ranks of the watching nodes, including this one.
pub fn watcher_ranks(rank: u64, peers: &[LivePeer]) -> Vec<u64> {
    let is_watching =
        |peer: &&LivePeer| peer.last_answer_age.is_some_and(|age| age < MAX_ANSWER_AGE);
    let watching = peers.iter().filter(is_watching).map(|peer| peer.node.rank);
    let mut ranks: Vec<u64> = watching.chain([rank]).collect();
    ranks.sort_unstable();
    ranks
}
