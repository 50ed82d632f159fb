//! A node as other nodes see it.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use pomeloridge_base::id::{Incarnation, Name};

/// What is held of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// It is heard, directly or through others.
    #[display("live")]
    Live,
    /// It is heard, and takes no new work before it ends.
    #[display("leaving")]
    Leaving,
    /// It has been silent for longer than the suspect time.
    #[display("suspect")]
    Suspect,
    /// It has been silent for several suspect times.
    #[display("down")]
    Down,
}

impl MemberState {
    /// Whether the node is heard.
    pub fn is_heard(self) -> bool {
        match self {
            Self::Live | Self::Leaving => true,
            Self::Suspect | Self::Down => false,
        }
    }
}

/// A node with the state that the teller holds it to be in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Data centre of its VM.
    pub data_centre: Name,
    /// Which start of the node this is.
    pub incarnation: Incarnation,
    /// What the teller holds it to be.
    pub state: MemberState,
    /// Heartbeats that the node has begun in this incarnation.
    pub counter: u64,
    /// Whether the node reaches the platform.
    pub reaches_platform: bool,
}

/// A node in the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Name of the VM's node.
    pub name: Name,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Whether the VM will be taken away.
    pub leaving: bool,
}

/// Times and bounds of the links between nodes.
#[derive(Clone, Copy, Debug)]
pub struct LinkOptions {
    /// Time between two heartbeats to a peer.
    pub heartbeat: Duration,
    /// Silence after which a node is suspected.
    pub suspect: Duration,
    /// Peers that heartbeats are sent to at most.
    pub fan_out: usize,
    /// Time without platform and most nodes after which a node is cut off.
    pub cut_off: Duration,
}
