//! Content of a heartbeat request and of its reply.

use std::time::Duration;

use pomeloridge_base::id::{Name, Revision};

use crate::member::Member;

/// Heartbeat, sent as a request and as its reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Sending node.
    pub sender: Member,
    /// State of the node's components.
    pub payload: HeartbeatPayload,
    /// Other nodes, with the states that the sender assigns to them.
    pub members: Vec<Member>,
}

/// State that the components of a node contribute to its heartbeats.
///
/// It carries states, not changes, so the next heartbeat makes up for a lost one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatPayload {
    /// Whether the node reaches the platform's object service.
    pub reaches_platform: bool,
    /// Revisions of the configuration objects in force, by key.
    pub digests: Vec<(String, Revision)>,
    /// Service given since the start of the node's incarnation.
    pub service: Vec<ServiceLine>,
    /// Requests in flight from the node, by backend server.
    pub shares: Vec<ShareLine>,
    /// Requests suspected of crashing engines.
    pub suspicions: Vec<Suspicion>,
    /// Recent demand, by pool.
    pub demand: Vec<DemandLine>,
}

/// Service given to a client account by a node in its current incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLine {
    /// Client account that was charged.
    pub account: Name,
    /// Pool of backend servers.
    pub pool: Name,
    /// Cumulative charge.
    pub amount: f64,
}

/// A node's share of a backend server's load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareLine {
    /// Backend server that the requests were sent to.
    pub server: Name,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of the requests that have not received a first token.
    pub prompt_tokens: u64,
    /// Whether the node runs a suspect request there.
    pub reserved_for_suspect: bool,
}

/// Demand for one pool at a node; rates are per second.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandLine {
    /// Model or service.
    pub pool: Name,
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second.
    pub prompt_tokens: f64,
    /// Output tokens per second.
    pub output_tokens: f64,
    /// Requests queued now.
    pub queued: u32,
    /// Requests per second refused for lack of servers.
    pub refused: f64,
}

/// Status of a request that may crash engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionState {
    /// Was running on an engine that was lost.
    Suspect,
    /// Is refused.
    Quarantined,
    /// Has succeeded since.
    Cleared,
}

/// A request suspected of crashing engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Hash of account, route and body.
    pub fingerprint: [u8; 32],
    /// Time since it became suspect. An age needs no common clock.
    pub age: Duration,
    /// Status.
    pub state: SuspicionState,
    /// Engine whose loss made the request suspect.
    pub engine: Name,
}
