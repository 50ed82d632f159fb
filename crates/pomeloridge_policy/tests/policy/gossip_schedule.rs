//! Which peers a node tells in a round.

use std::collections::BTreeSet;

use pomeloridge_policy::gossip_schedule::{
    PeersPerRound, peers_for_round, peers_per_round, rounds_to_cover,
};
use yare::parameterized;

/// The peers told within some rounds, and the number of words to them.
fn told(peers: usize, each: usize, rounds: u64) -> (BTreeSet<usize>, usize) {
    let words = (0..rounds).flat_map(|round| peers_for_round((0..peers).collect(), each, round));
    let words: Vec<usize> = words.collect();
    (words.iter().copied().collect(), words.len())
}

/// Pattern: dozens of nodes over four data centres, with small links.
#[parameterized(
    grown_fleet = { 19, 58 },
    more_centres = { 9, 90 },
    hundreds = { 74, 225 },
    one_centre = { 40, 0 },
)]
fn every_peer_is_told_in_time_and_few_at_once(local: usize, remote: usize) {
    for awaited in [true, false] {
        let each = peers_per_round(local, remote, 8, awaited);
        assert!(each.local <= 8, "{each:?}");
        let all = rounds_to_cover(local, remote, 8, awaited) as u64;
        assert_eq!(told(local, each.local, all).0.len(), local);
        let (others, words) = told(remote, each.remote, all);
        assert_eq!(others.len(), remote);
        // Others hear a word every 1.2 s with rounds of 100 ms, not every round.
        assert!(words <= remote * 2, "{words} words to {remote} peers");
        assert!(!awaited || all <= 12, "{all} rounds");
    }
}

/// Pattern: hundreds of nodes, of which each word to another data centre is paid for.
#[test]
fn words_to_other_data_centres_are_few() {
    let words = |awaited| peers_per_round(49, 245, 8, awaited).remote * 10;
    assert!(words(true) <= 210, "{}", words(true));
    assert!(words(false) <= 50, "{}", words(false));
}

#[test]
fn a_small_fleet_tells_all_in_every_round() {
    assert_eq!(
        peers_per_round(1, 5, 8, false),
        PeersPerRound {
            local: 1,
            remote: 5
        }
    );
    assert_eq!(rounds_to_cover(1, 5, 8, false), 1);
    assert_eq!(rounds_to_cover(0, 0, 8, false), 0);
}
