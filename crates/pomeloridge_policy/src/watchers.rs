//! Which nodes call the object service for all: watch it, or look at the lease of the duties.
//!
//! Pattern answered: every call of the object service costs, and calls that grow with
//! the nodes are not affordable. A few nodes call; they are the same in every view, by a
//! ranking of names in which the data centres take turns, so that trouble of one leaves
//! others. Where too few of them are answered, the others step in one after the
//! other, not all at once. While the service turns all away, only the first nodes ask it
//! often.

use std::collections::HashMap;
use std::time::Duration;

/// Nodes that call, at least.
const CALLERS_LEAST: usize = 3;
/// Of a large fleet so many call for each of the root of its nodes: each tells on what it
/// reads to a part of the others.
const CALLERS_PER_ROOT: f64 = 1.0 / 3.0;
/// Time from one of the others to the next, as they step in where too few are answered.
const STEP_IN: Duration = Duration::from_millis(7);
/// Pause after a failed call, for the nodes that call first.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed call, for the others; they hear of the service's return from
/// those.
const RETRY_PAUSE_OTHERS: Duration = Duration::from_secs(2);
/// Age of a watcher's last answer up to which it counts as watching; above the time
/// that a watch may wait.
const FRESH: Duration = Duration::from_millis(3500);

/// A node in the ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedNode {
    /// Hash of its name.
    pub rank: u64,
    /// Hash of the name of its data centre.
    pub centre: u32,
}

/// A live peer.
#[derive(Clone, Copy, Debug)]
pub struct LivePeer {
    /// The peer.
    pub node: RankedNode,
    /// Time since the object service last answered it; `None` if it does not watch.
    pub last_answer_age: Option<Duration>,
}

/// The peers that come before a node: the first of each data centre, then the second of
/// each, and so on.
fn before(own: RankedNode, peers: &[LivePeer]) -> impl Iterator<Item = &LivePeer> {
    let mut nodes: Vec<(RankedNode, Option<&LivePeer>)> = peers
        .iter()
        .map(|peer| (peer.node, Some(peer)))
        .chain([(own, None)])
        .collect();
    nodes.sort_unstable_by_key(|(node, _)| node.rank);
    let mut seen: HashMap<u32, usize> = HashMap::new();
    let mut ordered: Vec<(usize, u64, Option<&LivePeer>)> = nodes
        .into_iter()
        .map(|(node, peer)| {
            let turn = seen.entry(node.centre).or_default();
            *turn += 1;
            (*turn, node.rank, peer)
        })
        .collect();
    ordered.sort_unstable_by_key(|(turn, rank, _)| (*turn, *rank));
    ordered.into_iter().map_while(|(.., peer)| peer)
}

/// Whether too few of the nodes before this one watch the object service.
pub fn lacks_watchers(own: RankedNode, peers: &[LivePeer]) -> bool {
    let fresh = |peer: &&LivePeer| peer.last_answer_age.is_some_and(|age| age < FRESH);
    before(own, peers).filter(fresh).count() < callers(peers)
}

/// Whether a node calls the object service `lacking` after too few others did.
pub fn must_call_store(own: RankedNode, peers: &[LivePeer], lacking: Duration) -> bool {
    let first = callers(peers);
    let place = before(own, peers).count();
    let Some(behind) = (place + 1).checked_sub(first) else {
        return true;
    };
    lacking >= STEP_IN * behind as u32
}

/// Nodes that are to call among a node's peers and itself.
fn callers(peers: &[LivePeer]) -> usize {
    let root = ((peers.len() + 1) as f64).sqrt();
    CALLERS_LEAST.max((root * CALLERS_PER_ROOT).ceil() as usize)
}

/// Pause after a call of the object service that failed.
///
/// Pattern: in an outage no node watches freshly, so that every node must; a large
/// fleet that asks as often as one node does pays for thousands of calls.
pub fn retry_pause(own: RankedNode, peers: &[LivePeer]) -> Duration {
    if before(own, peers).count() < callers(peers) {
        RETRY_PAUSE
    } else {
        RETRY_PAUSE_OTHERS
    }
}

/// Silence of the object service after which a node that hears no peer is cut off.
const CUT_OFF: Duration = Duration::from_secs(4);

/// Whether a node can't know of withdrawn keys: it reaches neither the object service
/// nor any of the nodes it knows.
///
/// A node that hears peers goes on: they tell it what is newer, and if none of them
/// reaches the service either, that is an outage, in which nothing is withdrawn.
pub fn is_cut_off(known: usize, live: usize, silence: Duration) -> bool {
    known > 0 && live == 0 && silence > CUT_OFF
}

/// Whether the node that watches under `rank` tells a peer of a change at once.
///
/// Pattern: servers come and go by the dozen, and each change sent by every node that
/// watches to every other node fills small links. Each peer is told by two of those
/// that watch, given by their ranks in order.
pub fn notifies(rank: u64, watchers: &[u64], peer: u64) -> bool {
    let Some(own) = watchers.iter().position(|watcher| *watcher == rank) else {
        return true;
    };
    let first = (peer % watchers.len() as u64) as usize;
    own == first || own == (first + 1) % watchers.len()
}

/// The ranks of the nodes that watch, this one among them, in order.
pub fn watcher_ranks(rank: u64, peers: &[LivePeer]) -> Vec<u64> {
    let fresh = |peer: &&LivePeer| peer.last_answer_age.is_some_and(|age| age < FRESH);
    let watching = peers.iter().filter(fresh).map(|peer| peer.node.rank);
    let mut ranks: Vec<u64> = watching.chain([rank]).collect();
    ranks.sort_unstable();
    ranks
}
