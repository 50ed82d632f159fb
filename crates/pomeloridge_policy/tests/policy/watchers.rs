//! Which nodes watch the object service.

use std::time::Duration;

use pomeloridge_policy::watchers::{
    LivePeer, RankedNode, is_cut_off, lacks_watchers, must_call_store, notifies, retry_pause,
    watcher_ranks,
};
use yare::parameterized;

/// Time after which every node that is needed has stepped in, in a fleet of 300.
const ALL_IN: Duration = Duration::from_millis(2100);

/// A node of a fleet in one data centre.
fn ranked(rank: u64) -> RankedNode {
    RankedNode { rank, centre: 1 }
}

fn peers(nodes: u64, own: u64, answered: impl Fn(u64) -> Option<u64>) -> Vec<LivePeer> {
    let others = (0..nodes).filter(|rank| *rank != own);
    let views = others.map(|rank| LivePeer {
        node: ranked(rank),
        last_answer_age: answered(rank).map(Duration::from_millis),
    });
    views.collect()
}

/// Whether a node watches so long after too few others did.
fn watches(own: u64, peers: &[LivePeer], lacking: Duration) -> bool {
    lacks_watchers(ranked(own), peers) && must_call_store(ranked(own), peers, lacking)
}

/// Pattern: the calls of the object service must not grow with the nodes.
#[test]
fn few_nodes_of_many_watch() {
    for (nodes, wanted) in [(1, 1), (3, 3), (7, 3), (78, 3), (300, 6), (1000, 11)] {
        let all = |_| Some(100);
        let watch = |own: &u64| watches(*own, &peers(nodes, *own, all), ALL_IN);
        assert_eq!((0..nodes).filter(watch).count(), wanted, "{nodes} nodes");
    }
}

/// Pattern: hundreds of nodes start at once, or one of those that watch is lost; if all
/// others turned to the object service at that moment, its rate would be exceeded.
#[test]
fn others_step_in_one_after_the_other() {
    let none = |_| None;
    let count = |lacking: u64| {
        let lacking = Duration::from_millis(lacking);
        let watch = |own: &u64| watches(*own, &peers(300, *own, none), lacking);
        (0..300).filter(watch).count()
    };
    assert_eq!(count(0), 6);
    assert!((15..=25).contains(&count(100)), "{}", count(100));
    assert_eq!(count(ALL_IN.as_millis() as u64), 300);
}

/// Guards against a withdrawn key that is accepted for too long since all nodes that watch
/// stood in one data centre, which lost its links.
#[test]
fn those_that_watch_stand_in_different_data_centres() {
    // The ranks of a whole data centre come first.
    let fleet: Vec<RankedNode> = (0..9)
        .map(|rank| RankedNode {
            rank,
            centre: rank as u32 / 3,
        })
        .collect();
    let watching = fleet.iter().filter(|own| {
        let others = fleet.iter().filter(|node| node != own);
        let view = others.map(|node| LivePeer {
            node: *node,
            last_answer_age: Some(Duration::from_millis(100)),
        });
        let view: Vec<LivePeer> = view.collect();
        lacks_watchers(**own, &view) && must_call_store(**own, &view, Duration::ZERO)
    });
    let centres: Vec<u32> = watching.map(|node| node.centre).collect();
    assert_eq!(centres, [0, 1, 2]);
}

/// Pattern: the nodes that watch lose the store, or fall silent, and the rest must not
/// go on with an old list.
#[test]
fn others_step_in_for_watchers_that_are_not_answered() {
    let stale = |rank| if rank < 3 { Some(4000) } else { Some(100) };
    assert!(watches(5, &peers(7, 5, stale), ALL_IN));
    assert!(!watches(6, &peers(7, 6, stale), ALL_IN));
    let none = |_| None;
    assert!((0..7).all(|own| watches(own, &peers(7, own, none), ALL_IN)));
}

/// Pattern: the object service turns all nodes of a large fleet away for seconds.
#[test]
fn few_nodes_of_many_ask_often_in_an_outage() {
    let outage = |_| None;
    let calls = |nodes: u64| -> f64 {
        let pauses = (0..nodes).map(|own| retry_pause(ranked(own), &peers(nodes, own, outage)));
        pauses.map(|pause| 1.0 / pause.as_secs_f64()).sum()
    };
    // One node that asks every 250 ms makes four calls a second.
    assert!(calls(78) <= 16.0 + 78.0 / 2.0, "{}", calls(78));
    assert!((calls(3) - 12.0).abs() < 0.01);
    // A node that hears no peer asks for itself.
    assert_eq!(retry_pause(ranked(9), &[]), Duration::from_millis(250));
}

/// Pattern: a key is withdrawn while a node is cut off with callers still before it.
#[parameterized(
    alone_and_silent = { 6, 0, 5, true },
    peers_heard = { 6, 1, 60, false },
    store_heard = { 6, 0, 1, false },
    only_node = { 0, 0, 60, false },
)]
fn a_node_that_hears_nobody_is_cut_off(known: usize, live: usize, silence: u64, cut_off: bool) {
    assert_eq!(
        is_cut_off(known, live, Duration::from_secs(silence)),
        cut_off
    );
}

/// Pattern: a whole data centre's servers are reclaimed, and each change is told on.
#[test]
fn each_peer_is_told_by_two_of_those_that_watch() {
    let watching = |rank| (rank < 8).then_some(100);
    let ranks = watcher_ranks(0, &peers(78, 0, watching));
    assert_eq!(ranks, (0..8).collect::<Vec<u64>>());
    for peer in 0..78 {
        let told = ranks
            .iter()
            .filter(|watcher| notifies(**watcher, &ranks, peer));
        assert_eq!(told.count(), 2, "peer {peer}");
    }
    // One that watches alone notifies all.
    let alone = watcher_ranks(3, &peers(7, 3, |_| None));
    assert!((0..7).all(|peer| notifies(3, &alone, peer)));
}
