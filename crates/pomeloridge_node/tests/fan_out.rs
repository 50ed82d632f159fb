//! Selection of peers and relays: bounded, deterministic and spread over data centres.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{OPTIONS, listed, member, membership, ms};
use pomeloridge_base::id::Name;
use pomeloridge_node::member::{Member, MemberState};
use yare::parameterized;

const CENTRES: [&str; 4] = ["tln-a", "tln-b", "tartu-a", "narva-a"];

/// Returns the name and the data centre of a node by its number.
fn node(number: usize) -> (String, &'static str) {
    (format!("vm-{number}"), CENTRES[number % CENTRES.len()])
}

fn peers_of(number: usize, count: usize) -> Vec<Member> {
    let (name, data_centre) = node(number);
    let (mut view, _clock) = membership(&name, data_centre);
    for other in (0..count).filter(|other| *other != number) {
        let (name, data_centre) = node(other);
        view.record_heartbeat(&member(&name, data_centre, 1));
    }
    view.peers()
}

#[parameterized(
    alone = { 1, 0 },
    small = { 7, 6 },
    full_mesh = { 9, 8 },
    over = { 10, 8 },
    large = { 2400, 8 },
)]
fn peers_are_bounded(count: usize, expected: usize) {
    let peers = peers_of(3 % count, count);
    assert_eq!(peers.len(), expected);
    let names: BTreeSet<_> = peers.iter().map(|peer| peer.name.clone()).collect();
    assert_eq!(names.len(), expected, "a peer was chosen twice");
    assert_eq!(peers_of(3 % count, count), peers, "the choice changed");
}

#[test]
fn a_large_fleet_is_connected_and_reaches_every_data_centre() {
    let count = 240;
    let mut links = BTreeMap::new();
    for number in 0..count {
        let peers = peers_of(number, count);
        let centres: BTreeSet<_> = peers.iter().map(|peer| peer.data_centre.clone()).collect();
        let others = CENTRES.iter().filter(|centre| **centre != node(number).1);
        for centre in others {
            assert!(centres.contains(&Name::from(*centre)), "vm-{number}");
        }
        let names: Vec<_> = peers.into_iter().map(|peer| peer.name).collect();
        links.insert(Name::from(node(number).0), names);
    }
    let mut visited = BTreeSet::from([Name::from("vm-0")]);
    let mut stack = vec![Name::from("vm-0")];
    while let Some(name) = stack.pop() {
        stack.extend(
            links[&name]
                .iter()
                .filter(|peer| visited.insert((*peer).clone()))
                .cloned(),
        );
    }
    assert_eq!(visited.len(), count);
}

#[test]
fn one_peer_is_a_down_node_in_turn() {
    let (mut view, clock) = membership("a", "x");
    let names: Vec<_> = (0..20).map(|number| format!("n{number}")).collect();
    view.update_listed(
        &names
            .iter()
            .map(|name| listed(name, "x"))
            .collect::<Vec<_>>(),
    );
    clock.advance(ms(5000));
    for name in &names[..15] {
        view.record_heartbeat(&member(name, "x", 1));
    }
    let mut probed = BTreeSet::new();
    for turn in 0..200 {
        clock.advance(ms(2000));
        for name in &names[..15] {
            view.record_heartbeat(&member(name, "x", turn + 2));
        }
        let peers = view.peers();
        assert_eq!(peers.len(), OPTIONS.fan_out);
        let down = peers
            .into_iter()
            .filter(|peer| peer.state == MemberState::Down);
        let down: Vec<_> = down.map(|peer| peer.name).collect();
        assert_eq!(down.len(), 1);
        probed.extend(down);
    }
    assert_eq!(probed.len(), 5);
}

#[test]
fn nodes_agree_on_two_relays_and_replace_a_lost_one() {
    let names = ["a", "b", "c", "d", "e"];
    let choices: BTreeSet<_> = names
        .iter()
        .map(|own| {
            let (mut view, _clock) = membership(own, "x");
            for other in names.iter().filter(|other| *other != own) {
                view.record_heartbeat(&member(other, "x", 1));
            }
            view.record_heartbeat(&member("far", "y", 1));
            let relays = view.relays(&Name::from("x"));
            assert_eq!(view.is_relay(), relays.contains(&Name::from(*own)));
            relays
        })
        .collect();
    assert_eq!(choices.len(), 1);
    let relays = choices.into_iter().next().expect("there is one choice");
    assert_eq!(relays.len(), 2);

    let (mut view, clock) = membership("far", "y");
    for name in names {
        view.record_heartbeat(&member(name, "x", 1));
    }
    assert_eq!(view.relays(&Name::from("x")), relays);
    clock.advance(ms(1501));
    for name in names.iter().filter(|name| Name::from(**name) != relays[0]) {
        view.record_heartbeat(&member(name, "x", 2));
    }
    let after = view.relays(&Name::from("x"));
    assert_eq!(after.len(), 2);
    assert_eq!(after[0], relays[1]);
}

#[test]
fn nodes_that_reach_the_platform_are_relays_first() {
    let (mut view, _clock) = membership("far", "y");
    for name in ["a", "b", "c", "d"] {
        let reaches_platform = name == "c" || name == "d";
        view.record_heartbeat(&Member {
            reaches_platform,
            ..member(name, "x", 1)
        });
    }
    let relays: BTreeSet<_> = view.relays(&Name::from("x")).into_iter().collect();
    assert_eq!(relays, BTreeSet::from([Name::from("c"), Name::from("d")]));
}

#[test]
fn the_last_node_of_a_data_centre_becomes_its_relay() {
    let (mut view, clock) = membership("own", "x");
    let relay = |name, counter| Member {
        reaches_platform: true,
        ..member(name, "x", counter)
    };
    for counter in 1..10 {
        view.record_heartbeat(&relay("a", counter));
        view.record_heartbeat(&relay("b", counter));
        view.track_changes();
        assert!(!view.is_relay());
        assert!(!view.must_read_directly());
        clock.advance(ms(1000));
    }
    clock.advance(ms(501));
    view.record_heartbeat(&member("far", "y", 1));
    assert_eq!(view.relays(&Name::from("x")), [Name::from("own")]);
    assert!(view.is_relay());
}

#[test]
fn relays_without_the_platform_do_not_count_as_news() {
    let names = ["a", "b", "c", "d", "e"];
    let (name, mut view, clock) = names
        .iter()
        .find_map(|own| {
            let (mut view, clock) = membership(own, "x");
            for other in names.iter().filter(|other| *other != own) {
                view.record_heartbeat(&member(other, "x", 1));
            }
            (!view.is_relay()).then_some((*own, view, clock))
        })
        .expect("three of five are not relays");
    for counter in 2..6 {
        clock.advance(ms(1000));
        for other in names.iter().filter(|other| **other != name) {
            view.record_heartbeat(&member(other, "x", counter));
        }
        view.track_changes();
    }
    assert!(view.must_read_directly());
    view.record_push();
    assert!(!view.must_read_directly());
}
