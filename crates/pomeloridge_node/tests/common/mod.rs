//! Fixtures shared by the tests of this crate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::clock::ManualClock;
use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_node::member::{LinkOptions, ListedNode, Member, MemberState};
use pomeloridge_node::membership::Membership;

pub const OPTIONS: LinkOptions = LinkOptions {
    heartbeat: Duration::from_millis(250),
    suspect: Duration::from_millis(1500),
    fan_out: 8,
    cut_off: Duration::from_secs(2),
};

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn member(name: &str, data_centre: &str, counter: u64) -> Member {
    Member {
        name: Name::from(name),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Name::from(data_centre),
        incarnation: Incarnation(1),
        state: MemberState::Live,
        counter,
        reaches_platform: false,
    }
}

pub fn listed(name: &str, data_centre: &str) -> ListedNode {
    ListedNode {
        name: Name::from(name),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Name::from(data_centre),
        leaving: false,
    }
}

pub fn membership(name: &str, data_centre: &str) -> (Membership, Rc<ManualClock>) {
    let clock = Rc::new(ManualClock::new());
    let own = member(name, data_centre, 0);
    (Membership::new(own, OPTIONS, clock.clone()), clock)
}
