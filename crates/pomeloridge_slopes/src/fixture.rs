//! Synthetic names, members and servers, and the sizes of the tables.

use std::net::SocketAddr;

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_node::member::{ListedNode, Member, MemberState};
use pomeloridge_policy::server::{ServerInfo, ServerKind, ServerState};

/// Seed of the random number generators.
pub const SEED: u64 = 20_261_204;
/// Measured numbers of client accounts.
pub const ACCOUNTS: [usize; 4] = [1_000, 3_000, 9_000, 27_000];
/// Measured numbers of backend servers.
pub const SERVERS: [usize; 3] = [500, 2_000, 8_000];
/// Measured numbers of nodes.
pub const MEMBERS: [usize; 4] = [7, 70, 700, 2_400];
/// Number of data centres.
pub const DATA_CENTRES: usize = 10;
/// Number of pools, one per model.
pub const POOLS: usize = 4;

/// Returns the name of a client account.
pub fn account(index: usize) -> Name {
    Name::from(format!("account-{index:05}"))
}

/// Returns the name of a data centre; indices wrap around.
pub fn data_centre(index: usize) -> Name {
    Name::from(format!("dc-{:02}", index % DATA_CENTRES))
}

/// Returns the name of a pool; indices wrap around.
pub fn pool(index: usize) -> Name {
    Name::from(format!("model-{}", index % POOLS))
}

/// Returns the name of a node.
pub fn node(index: usize) -> Name {
    Name::from(format!("entry-{index:04}"))
}

/// Returns the id of a backend server.
pub fn server_id(index: usize) -> Name {
    Name::from(format!("engine-{index:05}"))
}

/// Returns the address of a node or server.
pub fn address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    ([10, 0, high, low], 7000).into()
}

/// Returns a node as its own heartbeat describes it.
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

/// Returns a node as the platform lists it.
pub fn listed(index: usize) -> ListedNode {
    ListedNode {
        name: node(index),
        address: address(index),
        data_centre: data_centre(index),
        leaving: false,
    }
}

/// Returns a ready engine.
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
