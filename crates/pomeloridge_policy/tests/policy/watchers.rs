//! Selection of the nodes that watch the object service.

use std::time::Duration;

use pomeloridge_policy::watchers::{
    LivePeer, RankedNode, caller_count, first_callers, is_cut_off, lacks_watchers, must_call_store,
    notifies, retry_delay, watcher_ranks,
};
use yare::parameterized;

/// Time after which every node of a fleet of 300 has stepped in.
const ALL_STEPPED_IN: Duration = Duration::from_millis(2100);

/// Returns a node of a fleet in a single data centre.
fn ranked(rank: u64) -> RankedNode {
    RankedNode {
        rank,
        data_centre_hash: 1,
    }
}

fn peers(nodes: u64, own: u64, answered: impl Fn(u64) -> Option<u64>) -> Vec<LivePeer> {
    let others = (0..nodes).filter(|rank| *rank != own);
    let views = others.map(|rank| LivePeer {
        node: ranked(rank),
        last_answer_age: answered(rank).map(Duration::from_millis),
    });
    views.collect()
}

/// Returns whether a node watches once too few others have done so for `shortage`.
fn watches(own: u64, peers: &[LivePeer], shortage: Duration) -> bool {
    lacks_watchers(ranked(own), peers) && must_call_store(ranked(own), peers, shortage)
}

/// Guards against calls of the object service that grow with the number of nodes.
#[test]
fn only_a_few_nodes_watch() {
    for (nodes, expected) in [(1, 1), (3, 3), (7, 3), (78, 3), (300, 6), (1000, 11)] {
        let all = |_| Some(100);
        let watch = |own: &u64| watches(*own, &peers(nodes, *own, all), ALL_STEPPED_IN);
        assert_eq!((0..nodes).filter(watch).count(), expected, "{nodes} nodes");
    }
}

/// Guards against exceeding the object service's rate limit when hundreds of nodes start at
/// once or a watching node is lost, and all others call at that moment.
#[test]
fn further_nodes_step_in_one_after_the_other() {
    let none = |_| None;
    let count = |shortage: u64| {
        let shortage = Duration::from_millis(shortage);
        let watch = |own: &u64| watches(*own, &peers(300, *own, none), shortage);
        (0..300).filter(watch).count()
    };
    assert_eq!(count(0), 6);
    assert!((15..=25).contains(&count(100)), "{}", count(100));
    assert_eq!(count(ALL_STEPPED_IN.as_millis() as u64), 300);
}

/// Guards against accepting a withdrawn key for too long because all watching nodes are in
/// one data centre that lost its links.
#[test]
fn watching_nodes_are_in_different_data_centres() {
    // Ranks are grouped by data centre.
    let fleet: Vec<RankedNode> = (0..9)
        .map(|rank| RankedNode {
            rank,
            data_centre_hash: rank as u32 / 3,
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
    let centres: Vec<u32> = watching.map(|node| node.data_centre_hash).collect();
    assert_eq!(centres, [0, 1, 2]);
}

/// Guards against serving from an outdated list after the watching nodes lost the object
/// service or fell silent.
#[test]
fn other_nodes_step_in_for_watchers_without_answers() {
    let stale = |rank| if rank < 3 { Some(4000) } else { Some(100) };
    assert!(watches(5, &peers(7, 5, stale), ALL_STEPPED_IN));
    assert!(!watches(6, &peers(7, 6, stale), ALL_STEPPED_IN));
    let none = |_| None;
    assert!((0..7).all(|own| watches(own, &peers(7, own, none), ALL_STEPPED_IN)));
}

/// Guards against all nodes of a large fleet retrying often while the object service refuses
/// every call.
#[test]
fn only_a_few_nodes_retry_often_in_an_outage() {
    let outage = |_| None;
    let calls = |nodes: u64| -> f64 {
        let pauses = (0..nodes).map(|own| retry_delay(ranked(own), &peers(nodes, own, outage)));
        pauses.map(|pause| 1.0 / pause.as_secs_f64()).sum()
    };
    // One node that calls every 250 ms makes four calls per second.
    assert!(calls(78) <= 16.0 + 78.0 / 2.0, "{}", calls(78));
    assert!((calls(3) - 12.0).abs() < 0.01);
    // A node without live peers retries as often as a selected one.
    assert_eq!(retry_delay(ranked(9), &[]), Duration::from_millis(250));
}

/// Guards against accepting a withdrawn key at a node that is cut off from the fleet but
/// still reachable for callers.
#[parameterized(
    no_peer_and_no_answer = { 6, 0, 5, true },
    live_peer = { 6, 1, 60, false },
    recent_answer = { 6, 0, 1, false },
    single_node = { 0, 0, 60, false },
)]
fn a_node_without_peers_and_answers_is_cut_off(
    known: usize,
    live: usize,
    silence: u64,
    cut_off: bool,
) {
    assert_eq!(
        is_cut_off(known, live, Duration::from_secs(silence)),
        cut_off
    );
}

/// Guards against saturating links when all servers of a data centre are reclaimed and every
/// change is forwarded.
#[test]
fn each_peer_is_notified_by_two_watching_nodes() {
    let watching = |rank| (rank < 8).then_some(100);
    let ranks = watcher_ranks(0, &peers(78, 0, watching));
    assert_eq!(ranks, (0..8).collect::<Vec<u64>>());
    for peer in 0..78 {
        let notifiers = ranks
            .iter()
            .filter(|watcher| notifies(**watcher, &ranks, peer));
        assert_eq!(notifiers.count(), 2, "peer {peer}");
    }
    // A single watching node notifies all peers.
    let alone = watcher_ranks(3, &peers(7, 3, |_| None));
    assert!((0..7).all(|peer| notifies(3, &alone, peer)));
}

/// Guards against a long gap without a holder of the duties: the nodes that try to take them first
/// must be among those that the holder tells of its lease, whatever nodes there are.
#[test]
fn the_first_to_call_after_a_node_are_among_its_first_callers() {
    for (nodes, data_centres) in [(1, 1), (2, 2), (9, 3), (60, 4), (60, 1), (1000, 10)] {
        let node = |rank: u64| RankedNode {
            rank,
            data_centre_hash: (rank * 7 % data_centres) as u32,
        };
        let others = |own: u64| {
            let others = (0..nodes).filter(move |rank| *rank != own);
            let views = others.map(|rank| LivePeer {
                node: node(rank),
                last_answer_age: None,
            });
            views.collect::<Vec<_>>()
        };
        for holder in (0..nodes).step_by(nodes as usize / 9 + 1) {
            let peers = others(holder);
            let told = first_callers(&peers);
            assert_eq!(told.len(), caller_count(&peers).min(peers.len()));
            let centres = told.iter().map(|rank| node(*rank).data_centre_hash);
            let mut centres: Vec<u32> = centres.collect();
            centres.sort_unstable();
            centres.dedup();
            assert!(centres.len() >= told.len().min(data_centres as usize).min(2));
            let first = (0..nodes).filter(|rank| *rank != holder);
            for rank in first.step_by(nodes as usize / 100 + 1) {
                let is_first = must_call_store(node(rank), &others(rank), Duration::ZERO);
                assert!(!is_first || told.contains(&rank), "{rank} after {holder}");
            }
        }
    }
}
