//! Selection of the peers for each round of heartbeats.

use std::collections::BTreeSet;

use pomeloridge_policy::heartbeat_schedule::{
    PeersPerRound, peers_for_round, peers_per_round, rounds_to_cover,
};
use yare::parameterized;

/// Returns the peers reached within some rounds, and the number of messages to them.
fn reached(peers: usize, per_round: usize, rounds: u64) -> (BTreeSet<usize>, usize) {
    let messages =
        (0..rounds).flat_map(|round| peers_for_round((0..peers).collect(), per_round, round));
    let messages: Vec<usize> = messages.collect();
    (messages.iter().copied().collect(), messages.len())
}

/// Guards against saturating the small links of dozens of nodes in four data centres.
#[parameterized(
    four_centres = { 19, 58 },
    more_centres = { 9, 90 },
    hundreds_of_nodes = { 74, 225 },
    one_centre = { 40, 0 },
)]
fn every_peer_is_reached_in_time_and_few_per_round(local: usize, remote: usize) {
    for awaited in [true, false] {
        let per_round = peers_per_round(local, remote, 8, awaited);
        assert!(per_round.local <= 8, "{per_round:?}");
        let rounds = rounds_to_cover(local, remote, 8, awaited) as u64;
        assert_eq!(reached(local, per_round.local, rounds).0.len(), local);
        let (remote_peers, messages) = reached(remote, per_round.remote, rounds);
        assert_eq!(remote_peers.len(), remote);
        // With rounds of 100 ms, remote peers get a message every 1.2 s, not every round.
        assert!(
            messages <= remote * 2,
            "{messages} messages to {remote} peers"
        );
        assert!(!awaited || rounds <= 12, "{rounds} rounds");
    }
}

/// Guards against the cost of messages between data centres with hundreds of nodes.
#[test]
fn few_messages_are_sent_to_other_data_centres() {
    let messages = |awaited| peers_per_round(49, 245, 8, awaited).remote * 10;
    assert!(messages(true) <= 210, "{}", messages(true));
    assert!(messages(false) <= 50, "{}", messages(false));
}

#[test]
fn a_small_fleet_sends_to_all_peers_in_every_round() {
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
