//! What a heartbeat carries in either direction.

use std::time::Duration;

use pomeloridge_base::id::{Name, Revision};

use crate::member::Member;

/// A heartbeat, as a request and as its reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The node that speaks.
    pub sender: Member,
    /// What the node's parts have to say.
    pub payload: HeartbeatPayload,
    /// Other nodes, as the sender holds them to be.
    pub members: Vec<Member>,
}

/// What the parts of a node put into its heartbeats.
///
/// Everything in it is a state, not a change, so that a lost heartbeat is made
/// good by the next one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatPayload {
    /// Whether the node reaches the platform.
    pub reaches_platform: bool,
    /// Revisions of the configuration objects in force, by key.
    pub digests: Vec<(String, Revision)>,
    /// Service given since the node's incarnation began.
    pub service: Vec<ServiceLine>,
    /// Requests in flight from this node.
    pub shares: Vec<ShareLine>,
    /// Requests suspected of crashing engines.
    pub suspicions: Vec<Suspicion>,
    /// What this node was asked for of late.
    pub demand: Vec<DemandLine>,
}

/// Service that a client account has had from a node in this incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLine {
    /// Client account.
    pub account: Name,
    /// Pool of backend servers.
    pub pool: Name,
    /// Charge, cumulative.
    pub amount: f64,
}

/// A node's share of a backend server's load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareLine {
    /// Backend server.
    pub server: Name,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of the requests that have had no token yet.
    pub prompt_tokens: u64,
    /// Whether a suspect of the node runs there.
    pub reserved_for_suspect: bool,
}

/// What a node was asked for of one pool, each second.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandLine {
    /// Model or service.
    pub pool: Name,
    /// Requests.
    pub requests: f64,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Output tokens.
    pub output_tokens: f64,
    /// Requests that wait now.
    pub queued: u32,
    /// Requests refused for want of servers.
    pub refused: f64,
}

/// What is held of a request that may crash engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionState {
    /// It ran on an engine that was lost.
    Suspect,
    /// It is refused.
    Quarantined,
    /// It succeeded since.
    Cleared,
}

/// A request suspected of crashing engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Hash of account, route and body.
    pub fingerprint: [u8; 32],
    /// Time since it was found; ages need no common clock.
    pub age: Duration,
    /// What is held of it.
    pub state: SuspicionState,
    /// Engine whose loss it was found by.
    pub engine: Name,
}
