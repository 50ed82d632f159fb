//! Names, members, servers and accounts for the tables.

use std::net::SocketAddr;

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_node::member::{ListedNode, Member, MemberState};
use pomeloridge_policy::server::{ServerInfo, ServerKind, ServerState};

/// Seed of all random choices.
pub const SEED: u64 = 20_261_204;
/// Numbers of client accounts.
pub const ACCOUNTS: [usize; 4] = [1_000, 3_000, 9_000, 27_000];
/// Numbers of backend servers.
pub const SERVERS: [usize; 3] = [500, 2_000, 8_000];
/// Numbers of nodes.
pub const MEMBERS: [usize; 4] = [7, 70, 700, 2_400];
/// Data centres.
pub const DATA_CENTRES: usize = 10;
/// Models.
pub const POOLS: usize = 4;

/// A client account.
pub fn account(index: usize) -> Name {
    Name::from(format!("account-{index:05}"))
}

/// A data centre.
pub fn data_centre(index: usize) -> Name {
    Name::from(format!("dc-{:02}", index % DATA_CENTRES))
}

/// A model.
pub fn pool(index: usize) -> Name {
    Name::from(format!("model-{}", index % POOLS))
}

/// A node.
pub fn node(index: usize) -> Name {
    Name::from(format!("entry-{index:04}"))
}

/// A backend server.
pub fn server_id(index: usize) -> Name {
    Name::from(format!("engine-{index:05}"))
}

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    ([10, 0, high, low], 7000).into()
}

/// A node as it speaks of itself.
pub fn member(index: usize, counter: u64) -> Member {
    Member {
        name: node(index),
        address: address(index),
        data_centre: data_centre(index),
        incarnation: Incarnation(1_790_000_000_000),
        state: MemberState::Live,
        counter,
        reaches_platform: true,
    }
}

/// A node in the platform's list.
pub fn listed(index: usize) -> ListedNode {
    ListedNode {
        name: node(index),
        address: address(index),
        data_centre: data_centre(index),
        leaving: false,
    }
}

/// A ready engine.
pub fn server(index: usize) -> ServerInfo {
    ServerInfo {
        id: server_id(index),
        address: address(index),
        data_centre: data_centre(index),
        pool: pool(index),
        kind: ServerKind::Engine,
        preemptible: index.is_multiple_of(3),
        state: ServerState::Ready,
    }
}
