//! Which nodes watch the object service, and which hear its changes from those.
//!
//! Pattern answered: every call of the object service costs, and calls that grow with
//! the nodes are not affordable. A few nodes watch; they are the same in every view,
//! by a ranking of names. A node that does not hear enough of them watches itself.

use std::time::Duration;

/// Nodes that watch, at least.
const WATCHERS_LEAST: usize = 3;
/// Nodes for each one that watches.
const NODES_PER_WATCHER: usize = 10;
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
    let nodes = peers.len() + 1;
    let wanted = WATCHERS_LEAST.max(nodes.div_ceil(NODES_PER_WATCHER));
    let fresh = |peer: &&PeerView| peer.answered.is_some_and(|age| age < FRESH);
    let before = peers.iter().filter(|peer| peer.rank < rank).filter(fresh);
    before.count() < wanted
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
