//! Distinction between a cut-off node and an outage of the platform.

mod common;

use common::{listed, member, membership, ms};
use pomeloridge_node::member::Member;
use pomeloridge_node::reach::Connectivity;
use yare::parameterized;

#[parameterized(
    platform_reached = { 0, 6, 0, 0, Connectivity::Connected },
    platform_just_lost = { 1999, 6, 0, 0, Connectivity::Connected },
    alone = { 2000, 6, 0, 0, Connectivity::CutOff },
    smaller_side = { 2000, 6, 2, 0, Connectivity::CutOff },
    half = { 2000, 7, 3, 3, Connectivity::CutOff },
    outage = { 2000, 6, 3, 0, Connectivity::Outage },
    outage_of_all = { 60_000, 6, 6, 0, Connectivity::Outage },
    through_peers = { 2000, 6, 3, 1, Connectivity::ThroughPeers },
    single_node = { 2000, 0, 0, 0, Connectivity::Outage },
    one_of_two = { 2000, 1, 0, 0, Connectivity::CutOff },
    two_of_two = { 2000, 1, 1, 0, Connectivity::Outage },
)]
fn connectivity_follows_the_table(
    platform_silence: u64,
    others: usize,
    heard: usize,
    reaching_platform: usize,
    connectivity: Connectivity,
) {
    let (mut view, clock) = membership("own", "x");
    let names: Vec<_> = (0..others).map(|number| format!("n{number}")).collect();
    view.update_listed(
        &names
            .iter()
            .map(|name| listed(name, "x"))
            .collect::<Vec<_>>(),
    );
    for name in &names {
        view.record_heartbeat(&member(name, "x", 1));
    }
    clock.advance(ms(2001));
    for (number, name) in names[..heard].iter().enumerate() {
        view.record_heartbeat(&Member {
            reaches_platform: number < reaching_platform,
            ..member(name, "x", 2)
        });
    }
    assert_eq!(view.connectivity(ms(platform_silence)), connectivity);
    let cut_off = connectivity == Connectivity::CutOff;
    assert_eq!(view.is_cut_off(ms(platform_silence)), cut_off);
}

#[test]
fn nodes_heard_through_others_count() {
    let (mut view, clock) = membership("own", "x");
    let names: Vec<_> = (0..6).map(|number| format!("n{number}")).collect();
    view.update_listed(
        &names
            .iter()
            .map(|name| listed(name, "x"))
            .collect::<Vec<_>>(),
    );
    clock.advance(ms(10_000));
    view.record_heartbeat(&member("n0", "x", 1));
    assert!(view.is_cut_off(ms(10_000)));
    let members: Vec<_> = names[1..4]
        .iter()
        .map(|name| member(name, "x", 3))
        .collect();
    view.merge_gossip(&members);
    assert!(!view.is_cut_off(ms(10_000)));
}

#[test]
fn a_node_of_a_large_fleet_that_hears_no_node_is_cut_off() {
    let (mut view, clock) = membership("own", "x");
    for number in 0..2400 {
        view.record_heartbeat(&member(&format!("n{number}"), "x", 1));
    }
    assert!(!view.is_cut_off(ms(2001)));
    clock.advance(ms(2001));
    assert!(view.is_cut_off(ms(2001)));
}
