//! State of a node as seen by other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use pomeloridge_base::id::{Incarnation, Name};

/// Liveness of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Heard, directly or through gossip.
    #[display("live")]
    Live,
    /// Heard, and accepts no new work before it stops.
    #[display("leaving")]
    Leaving,
    /// Silent for longer than the suspect time.
    #[display("suspect")]
    Suspect,
    /// Silent for several suspect times.
    #[display("down")]
    Down,
}

impl MemberState {
    /// Returns whether the node is heard.
    pub fn is_heard(self) -> bool {
        match self {
            Self::Live | Self::Leaving => true,
            Self::Suspect | Self::Down => false,
        }
    }
}

/// Node with the state that the reporting node assigns to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique in the fleet.
    pub name: Name,
    /// Listening address for other nodes.
    pub address: SocketAddr,
    /// Data centre of its VM.
    pub data_centre: Name,
    /// Start of the node; a later start has a higher number.
    pub incarnation: Incarnation,
    /// State assigned by the reporting node.
    pub state: MemberState,
    /// Number of heartbeats that the node has started in this incarnation.
    pub counter: u64,
    /// Whether the node reaches the platform's object service.
    pub reaches_platform: bool,
}

/// Node in the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Name of the VM's node.
    pub name: Name,
    /// Listening address for other nodes.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Whether the platform will remove the VM.
    pub leaving: bool,
}

/// Time limits and bounds of the links between nodes.
#[derive(Clone, Copy, Debug)]
pub struct LinkOptions {
    /// Interval between two heartbeats to a peer.
    pub heartbeat: Duration,
    /// Silence after which a node is suspected.
    pub suspect: Duration,
    /// Maximum number of peers that heartbeats are sent to.
    pub fan_out: usize,
    /// Time without the platform and without most nodes after which a node is cut off.
    pub cut_off: Duration,
}
