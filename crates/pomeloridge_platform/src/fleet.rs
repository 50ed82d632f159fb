//! Entries of the platform's lists: VMs that run nodes, and backend servers.

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
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerKind {
    /// LLM engine.
    Engine,
    /// Plain service.
    Service,
}

/// Lifecycle state of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerState {
    /// Ordered and not yet ready.
    Starting,
    /// Accepts requests.
    Ready,
    /// About to be removed.
    Leaving,
}

/// A backend server in the platform's list.
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
    /// What it serves.
    pub kind: ServerKind,
    /// Whether it is cheaper and may be reclaimed, together with the others of its data centre.
    pub preemptible: bool,
    /// Price per hour.
    pub price: f64,
    /// Whether it refuses orders with an older fencing token.
    pub checks_fence: bool,
    /// Lifecycle state.
    pub state: ServerState,
    /// When it will be removed, if known.
    pub leave_at: Option<SystemTime>,
}
