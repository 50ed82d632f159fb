//! Membership: what one heartbeat costs, and what each second's looks cost.

use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::clock::{ManualClock, SharedClock};
use pomeloridge_node::member::{LinkOptions, ListedNode, Member};
use pomeloridge_node::membership::Membership;

use crate::fixture::{MEMBERS, data_centre, listed, member};
use crate::meter::{bytes, nanoseconds};
use crate::row::{Row, Unit};

/// Members told in one heartbeat.
const TOLD: usize = 128;
/// Silence of the platform that makes the node look at its peers.
const SILENCE: Duration = Duration::from_secs(10);
/// The settings' defaults.
const OPTIONS: LinkOptions = LinkOptions {
    heartbeat: Duration::from_millis(250),
    suspect: Duration::from_millis(1_500),
    fan_out: 8,
    cut_off: Duration::from_secs(2),
};

/// Measures membership.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("membership", what, "node", unit, &MEMBERS, measure)
    };
    vec![
        row("memory", Unit::Bytes, |count| bytes(|| known(count))),
        row("take the platform's list", Unit::Nanoseconds, list),
        row("take a heartbeat's members", Unit::Nanoseconds, take),
        row("choose the members to tell", Unit::Nanoseconds, |count| {
            let mut membership = known(count);
            nanoseconds(|| membership.next_gossip())
        }),
        row("look for changes", Unit::Nanoseconds, |count| {
            let mut membership = known(count);
            nanoseconds(|| membership.track_changes())
        }),
        row("choose the peers", Unit::Nanoseconds, |count| {
            let membership = known(count);
            nanoseconds(|| membership.peers())
        }),
        row("relays of a data centre", Unit::Nanoseconds, |count| {
            let membership = known(count);
            nanoseconds(|| membership.relays(&data_centre(1)))
        }),
        row("standing", Unit::Nanoseconds, |count| {
            let membership = known(count);
            nanoseconds(|| membership.connectivity(SILENCE))
        }),
        row("all members, as a list", Unit::Nanoseconds, |count| {
            let membership = known(count);
            nanoseconds(|| membership.members().collect::<Vec<_>>())
        }),
    ]
}

/// Node 0 of a fleet, which has heard all others.
fn known(count: usize) -> Membership {
    let clock: SharedClock = Rc::new(ManualClock::new());
    let mut membership = Membership::new(member(0, 0), OPTIONS, clock);
    membership.update_listed(&vms(count));
    for index in 1..count {
        membership.record_heartbeat(&member(index, 1));
    }
    membership.track_changes();
    membership
}

fn vms(count: usize) -> Vec<ListedNode> {
    (0..count).map(listed).collect()
}

fn list(count: usize) -> f64 {
    let mut membership = known(count);
    let vms = vms(count);
    nanoseconds(|| membership.update_listed(&vms))
}

fn take(count: usize) -> f64 {
    let mut membership = known(count);
    let mut told: Vec<Member> = (1..count.min(TOLD + 1)).map(|n| member(n, 1)).collect();
    let mut counter = 1;
    nanoseconds(|| {
        counter += 1;
        for member in &mut told {
            member.counter = counter;
        }
        membership.record_heartbeat(&member(1, counter));
        membership.merge_gossip(&told);
    })
}
