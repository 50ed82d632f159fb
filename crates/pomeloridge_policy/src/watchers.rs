//! Which nodes watch the object service, and which hear its changes from those.
//!
//! Pattern answered: every call of the object service costs, and calls that grow with
//! the nodes are not affordable. A few nodes watch; they are the same in every view,
//! by a ranking of names. A node that does not hear enough of them watches itself.
//! While the service turns all away, only the first nodes ask it often.

use std::time::Duration;

/// Nodes that watch, at least.
const WATCHERS_LEAST: usize = 3;
/// Nodes for each one that watches.
const NODES_PER_WATCHER: usize = 20;
/// Pause after a failed call, for the nodes that watch first.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed call, for the others; they hear of the service's return from
/// those.
const RETRY_PAUSE_OTHERS: Duration = Duration::from_secs(2);
/// Age of a watcher's last answer up to which it counts as watching; above the time
/// that a watch may wait.
const FRESH: Duration = Duration::from_millis(3500);

/// A live peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerView {
    /// Hash of its name.
    pub rank: u64,
    /// Time since the object service last answered it; `None` if it does not watch.
    pub answered: Option<Duration>,
}

/// Whether a node with this rank must watch the object service itself.
pub fn must_watch(rank: u64, peers: &[PeerView]) -> bool {
    let fresh = |peer: &&PeerView| peer.answered.is_some_and(|age| age < FRESH);
    let before = peers.iter().filter(|peer| peer.rank < rank).filter(fresh);
    before.count() < watchers(peers)
}

/// Nodes that are to watch among a node's peers and itself.
fn watchers(peers: &[PeerView]) -> usize {
    let nodes = peers.len() + 1;
    WATCHERS_LEAST.max(nodes.div_ceil(NODES_PER_WATCHER))
}

/// Pause after a call of the object service that failed, for a node with this rank.
///
/// Pattern: in an outage no node watches freshly, so that every node must; a large
/// fleet that asks as often as one node does pays for thousands of calls.
pub fn retry_pause(rank: u64, peers: &[PeerView]) -> Duration {
    let before = peers.iter().filter(|peer| peer.rank < rank);
    if before.count() < watchers(peers) {
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
pub fn tells(rank: u64, watchers: &[u64], peer: u64) -> bool {
    let Some(own) = watchers.iter().position(|watcher| *watcher == rank) else {
        return true;
    };
    let first = (peer % watchers.len() as u64) as usize;
    own == first || own == (first + 1) % watchers.len()
}

/// The ranks of the nodes that watch, this one among them, in order.
pub fn watcher_ranks(rank: u64, peers: &[PeerView]) -> Vec<u64> {
    let fresh = |peer: &&PeerView| peer.answered.is_some_and(|age| age < FRESH);
    let watching = peers.iter().filter(fresh).map(|peer| peer.rank);
    let mut ranks: Vec<u64> = watching.chain([rank]).collect();
    ranks.sort_unstable();
    ranks
}
