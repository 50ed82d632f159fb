//! What the platform lists: the system's own VMs and the backend servers.

use std::net::SocketAddr;
use std::time::SystemTime;

use pomeloridge_base::id::Name;

/// A VM that runs a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the node.
    pub name: Name,
    /// Address of the node port.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Whether the VM is about to be taken away.
    pub leaving: bool,
}

/// What a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Where a backend server is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerState {
    /// Ordered and not yet ready.
    Starting,
    /// Takes work.
    Ready,
    /// About to be taken away.
    Leaving,
}

/// A backend server that has been ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Identifier.
    pub id: Name,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Name of the model or service.
    pub pool: Name,
    /// What it runs.
    pub kind: ServerKind,
    /// Whether it is cheap and may be reclaimed with its data centre.
    pub preemptible: bool,
    /// Price per hour.
    pub price: f64,
    /// Whether it refuses orders with a lower fencing number.
    pub checks_fence: bool,
    /// Where it is in its life.
    pub state: ServerState,
    /// When it is taken away, if that is known.
    pub leave_at: Option<SystemTime>,
}
