//! Measures membership: the cost of one heartbeat, and of the periodic checks.

use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::clock::{ManualClock, SharedClock};
use pomeloridge_node::member::{LinkOptions, ListedNode, Member};
use pomeloridge_node::membership::Membership;

use crate::fixture::{MEMBERS, data_centre, listed, member};
use crate::meter::{bytes, nanoseconds};
use crate::row::{Row, Unit};

/// Members in the gossip of one heartbeat.
const GOSSIP_MEMBERS: usize = 128;
/// Silence of the platform after which the node checks its peers.
const SILENCE: Duration = Duration::from_secs(10);
/// Defaults of the settings.
const OPTIONS: LinkOptions = LinkOptions {
    heartbeat: Duration::from_millis(250),
    suspect: Duration::from_millis(1_500),
    fan_out: 8,
    cut_off: Duration::from_secs(2),
};

/// Returns the measurements of membership.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("membership", what, "node", unit, &MEMBERS, measure)
    };
    vec![
        row("memory", Unit::Bytes, |count| bytes(|| membership(count))),
        row("take the platform's list", Unit::Nanoseconds, update_listed),
        row("take a heartbeat's members", Unit::Nanoseconds, merge),
        row("choose the members to tell", Unit::Nanoseconds, |count| {
            let mut membership = membership(count);
            nanoseconds(|| membership.next_gossip())
        }),
        row("look for changes", Unit::Nanoseconds, |count| {
            let mut membership = membership(count);
            nanoseconds(|| membership.track_changes())
        }),
        row("choose the peers", Unit::Nanoseconds, |count| {
            let membership = membership(count);
            nanoseconds(|| membership.peers())
        }),
        row("relays of a data centre", Unit::Nanoseconds, |count| {
            let membership = membership(count);
            nanoseconds(|| membership.relays(&data_centre(1)))
        }),
        row("standing", Unit::Nanoseconds, |count| {
            let membership = membership(count);
            nanoseconds(|| membership.connectivity(SILENCE))
        }),
        row("all members, as a list", Unit::Nanoseconds, |count| {
            let membership = membership(count);
            nanoseconds(|| membership.members().collect::<Vec<_>>())
        }),
    ]
}

/// Returns the membership of node 0, which has received a heartbeat of every other node.
fn membership(count: usize) -> Membership {
    let clock: SharedClock = Rc::new(ManualClock::new());
    let mut membership = Membership::new(member(0, 0), OPTIONS, clock);
    membership.update_listed(&listed_nodes(count));
    for index in 1..count {
        membership.record_heartbeat(&member(index, 1));
    }
    membership.track_changes();
    membership
}

fn listed_nodes(count: usize) -> Vec<ListedNode> {
    (0..count).map(listed).collect()
}

fn update_listed(count: usize) -> f64 {
    let mut membership = membership(count);
    let listed_nodes = listed_nodes(count);
    nanoseconds(|| membership.update_listed(&listed_nodes))
}

fn merge(count: usize) -> f64 {
    let mut membership = membership(count);
    let mut gossip: Vec<Member> = (1..count.min(GOSSIP_MEMBERS + 1))
        .map(|n| member(n, 1))
        .collect();
    let mut counter = 1;
    nanoseconds(|| {
        counter += 1;
        for member in &mut gossip {
            member.counter = counter;
        }
        membership.record_heartbeat(&member(1, counter));
        membership.merge_gossip(&gossip);
    })
}
