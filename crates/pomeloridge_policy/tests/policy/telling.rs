//! Which peers a node tells in a round.

use std::collections::BTreeSet;

use pomeloridge_policy::telling::{Turns, rounds, turn, turns};
use yare::parameterized;

/// The peers told within some rounds, and the number of words to them.
fn told(peers: usize, each: usize, rounds: u64) -> (BTreeSet<usize>, usize) {
    let words = (0..rounds).flat_map(|round| turn((0..peers).collect(), each, round));
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
fn every_peer_is_told_in_time_and_few_at_once(near: usize, far: usize) {
    for awaited in [true, false] {
        let each = turns(near, far, 8, awaited);
        assert!(each.near <= 8, "{each:?}");
        let all = rounds(near, far, 8, awaited) as u64;
        assert_eq!(told(near, each.near, all).0.len(), near);
        let (others, words) = told(far, each.far, all);
        assert_eq!(others.len(), far);
        // Others hear a word every 1.2 s with rounds of 100 ms, not every round.
        assert!(words <= far * 2, "{words} words to {far} peers");
        assert!(!awaited || all <= 12, "{all} rounds");
    }
}

/// Pattern: hundreds of nodes, of which each word to another data centre is paid for.
#[test]
fn words_to_other_data_centres_are_few() {
    let words = |awaited| turns(49, 245, 8, awaited).far * 10;
    assert!(words(true) <= 210, "{}", words(true));
    assert!(words(false) <= 50, "{}", words(false));
}

#[test]
fn a_small_fleet_tells_all_in_every_round() {
    assert_eq!(turns(1, 5, 8, false), Turns { near: 1, far: 5 });
    assert_eq!(rounds(1, 5, 8, false), 1);
    assert_eq!(rounds(0, 0, 8, false), 0);
}
