//! Which nodes call the object service for all: watch it, or look at the lease of the duties.
//!
//! Pattern answered: every call of the object service costs, and calls that grow with
//! the nodes are not affordable. A few nodes call; they are the same in every view, by a
//! ranking of names. Where too few of them are answered, the others step in one after the
//! other, not all at once. While the service turns all away, only the first nodes ask it
//! often.

use std::time::Duration;

/// Nodes that call, at least.
const CALLERS_LEAST: usize = 3;
/// Of a large fleet so many call for each of the root of its nodes: each tells on what it
/// reads to a part of the others.
const CALLERS_PER_ROOT: f64 = 1.0 / 3.0;
/// Time over which the others step in where too few are answered.
const STEP_IN: Duration = Duration::from_secs(2);
/// Pause after a failed call, for the nodes that call first.
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

/// Whether too few of the nodes before this one watch the object service.
pub fn lacks_watchers(rank: u64, peers: &[PeerView]) -> bool {
    let fresh = |peer: &&PeerView| peer.answered.is_some_and(|age| age < FRESH);
    let before = peers.iter().filter(|peer| peer.rank < rank).filter(fresh);
    before.count() < callers(peers)
}

/// Whether a node calls the object service `lacking` after too few others did.
pub fn must_call(rank: u64, peers: &[PeerView], lacking: Duration) -> bool {
    let first = callers(peers);
    let place = peers.iter().filter(|peer| peer.rank < rank).count();
    let Some(behind) = (place + 1).checked_sub(first) else {
        return true;
    };
    let others = (peers.len() + 1).saturating_sub(first).max(1);
    lacking >= STEP_IN.mul_f64(behind as f64 / others as f64)
}

/// Nodes that are to call among a node's peers and itself.
fn callers(peers: &[PeerView]) -> usize {
    let root = ((peers.len() + 1) as f64).sqrt();
    CALLERS_LEAST.max((root * CALLERS_PER_ROOT).ceil() as usize)
}

/// Pause after a call of the object service that failed, for a node with this rank.
///
/// Pattern: in an outage no node watches freshly, so that every node must; a large
/// fleet that asks as often as one node does pays for thousands of calls.
pub fn retry_pause(rank: u64, peers: &[PeerView]) -> Duration {
    let before = peers.iter().filter(|peer| peer.rank < rank);
    if before.count() < callers(peers) {
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
