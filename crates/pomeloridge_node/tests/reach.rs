//! The rule that tells a cut-off node from an outage.

mod common;

use common::{listed, member, membership, ms};
use pomeloridge_node::member::Member;
use pomeloridge_node::reach::Standing;
use yare::parameterized;

#[parameterized(
    platform_reached = { 0, 6, 0, 0, Standing::Connected },
    platform_just_lost = { 1999, 6, 0, 0, Standing::Connected },
    alone = { 2000, 6, 0, 0, Standing::CutOff },
    smaller_side = { 2000, 6, 2, 0, Standing::CutOff },
    half = { 2000, 7, 3, 3, Standing::CutOff },
    outage = { 2000, 6, 3, 0, Standing::Outage },
    outage_of_all = { 60_000, 6, 6, 0, Standing::Outage },
    through_peers = { 2000, 6, 3, 1, Standing::ThroughPeers },
    single_node = { 2000, 0, 0, 0, Standing::Outage },
    one_of_two = { 2000, 1, 0, 0, Standing::CutOff },
    two_of_two = { 2000, 1, 1, 0, Standing::Outage },
)]
fn standing_follows_the_table(
    platform_silence: u64,
    others: usize,
    heard: usize,
    platform: usize,
    standing: Standing,
) {
    let (mut view, clock) = membership("own", "x");
    let names: Vec<_> = (0..others).map(|number| format!("n{number}")).collect();
    view.list(
        &names
            .iter()
            .map(|name| listed(name, "x"))
            .collect::<Vec<_>>(),
    );
    for name in &names {
        view.heard(&member(name, "x", 1));
    }
    clock.advance(ms(2001));
    for (number, name) in names[..heard].iter().enumerate() {
        view.heard(&Member {
            platform: number < platform,
            ..member(name, "x", 2)
        });
    }
    assert_eq!(view.standing(ms(platform_silence)), standing);
    let cut_off = standing == Standing::CutOff;
    assert_eq!(view.is_cut_off(ms(platform_silence)), cut_off);
}

#[test]
fn nodes_heard_through_others_count() {
    let (mut view, clock) = membership("own", "x");
    let names: Vec<_> = (0..6).map(|number| format!("n{number}")).collect();
    view.list(
        &names
            .iter()
            .map(|name| listed(name, "x"))
            .collect::<Vec<_>>(),
    );
    clock.advance(ms(10_000));
    view.heard(&member("n0", "x", 1));
    assert!(view.is_cut_off(ms(10_000)));
    let told: Vec<_> = names[1..4]
        .iter()
        .map(|name| member(name, "x", 3))
        .collect();
    view.gossip(&told);
    assert!(!view.is_cut_off(ms(10_000)));
}

#[test]
fn a_node_of_a_large_fleet_that_hears_no_one_is_cut_off() {
    let (mut view, clock) = membership("own", "x");
    for number in 0..2400 {
        view.heard(&member(&format!("n{number}"), "x", 1));
    }
    assert!(!view.is_cut_off(ms(2001)));
    clock.advance(ms(2001));
    assert!(view.is_cut_off(ms(2001)));
}
