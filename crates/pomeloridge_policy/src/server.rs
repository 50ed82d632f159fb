//! What a node knows of one backend server: the platform's description, the
//! last load report, and what the node and its peers have in flight there.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;
use slotmap::new_key_type;

use crate::eject::Ejection;
use crate::load::Rates;

new_key_type! {
    /// Key of a backend server in the fleet.
    pub struct ServerKey;
    /// Key of a request that runs on a backend server.
    pub struct DispatchKey;
}

/// Age after which a load report says nothing any more.
pub const REPORT_TTL: Duration = Duration::from_secs(10);
/// Age after which a peer's share says nothing any more.
pub const PEER_TTL: Duration = Duration::from_secs(3);
/// Slots taken for a server that has not reported yet.
pub const DEFAULT_SLOTS: u32 = 8;
/// Ended requests remembered for the correction of a late report.
const ENDED_KEPT: usize = 1024;

/// What a backend server is.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine.
    #[default]
    #[display("engine")]
    Engine,
    /// A plain service.
    #[display("service")]
    Service,
}

/// What the platform says of a server's life.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum ServerState {
    /// Ordered, takes no work yet.
    #[display("starting")]
    Starting,
    /// Takes work.
    #[default]
    #[display("ready")]
    Ready,
    /// Will stop; takes no new work.
    #[display("leaving")]
    Leaving,
}

/// What an engine is best at.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Role {
    /// Reading prompts.
    #[display("prefill")]
    Prefill,
    /// Making output.
    #[display("decode")]
    Decode,
    /// Both.
    #[default]
    #[display("mixed")]
    Mixed,
}

/// A server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Identifier.
    pub id: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Model or service that it serves.
    pub pool: Name,
    /// What it is.
    pub kind: ServerKind,
    /// Whether the platform may reclaim it at short notice.
    pub preemptible: bool,
    /// State in the platform's list.
    pub state: ServerState,
}

/// What a server said of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When it was true, on this node's clock.
    pub measured_at: Instant,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait on the server.
    pub queued: u32,
    /// Prompt tokens that wait to be read.
    pub prefill_tokens: u64,
    /// Requests that may run at once.
    pub slots: u32,
    /// Role of an engine.
    pub role: Role,
    /// Models loaded; empty if the server names none.
    pub models: Vec<Name>,
    /// Whether the server says that it will stop.
    pub leaving: bool,
}

/// The work that a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens to be read.
    pub prompt: u64,
    /// Output tokens expected.
    pub output: u64,
}

/// What a peer has in flight on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerInFlight {
    /// When it was received.
    pub at: Instant,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens sent of requests without a first token.
    pub prefill_tokens: u64,
    /// Whether a suspect of the peer runs there.
    pub occupied: bool,
}

/// A request that this node runs on a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub(crate) server: ServerKey,
    pub(crate) work: Work,
    pub(crate) at: Instant,
    pub(crate) first: Option<Instant>,
    /// Prompt tokens ahead when it was sent.
    pub(crate) ahead: f64,
    /// Requests in flight when it was sent, with itself.
    pub(crate) batch: u32,
}

/// When an ended request was sent and ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
}

/// One backend server in the view of this node.
#[derive(Debug)]
pub struct Server {
    /// The platform's description.
    pub info: ServerInfo,
    /// The last load report.
    pub report: Option<LoadReport>,
    /// Learned speeds.
    pub rates: Rates,
    /// Whether connections to it fail.
    pub ejection: Ejection,
    /// Whether an operator's exception drains it.
    pub drained: bool,
    /// Whether a suspect of this node runs on it.
    pub occupied: bool,
    pub(crate) open: Vec<DispatchKey>,
    pub(crate) ended: VecDeque<Ended>,
    pub(crate) peers: HashMap<Name, PeerInFlight>,
}

impl Server {
    pub(crate) fn new(info: ServerInfo, rates: Rates) -> Self {
        Self {
            info,
            report: None,
            rates,
            ejection: Ejection::default(),
            drained: false,
            occupied: false,
            open: Vec::new(),
            ended: VecDeque::new(),
            peers: HashMap::new(),
        }
    }

    /// Whether the platform, the server or an operator says that it takes no new work.
    pub fn is_leaving(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|report| report.leaving);
        reported || self.drained || self.info.state == ServerState::Leaving
    }

    /// Whether it takes work of its pool, as far as it was heard of.
    pub fn is_serving(&self) -> bool {
        self.info.state == ServerState::Ready && !self.is_leaving() && self.has_model()
    }

    /// Whether its pool's model is loaded, as far as it says.
    fn has_model(&self) -> bool {
        let models = self.report.as_ref().map(|report| &report.models);
        models.is_none_or(|models| models.is_empty() || models.contains(&self.info.pool))
    }

    /// Requests that may run at once.
    pub fn slots(&self) -> u32 {
        let reported = self.report.as_ref().map(|report| report.slots);
        reported.unwrap_or(DEFAULT_SLOTS)
    }

    /// Requests of this node in flight.
    pub fn own_in_flight_count(&self) -> u32 {
        self.open.len() as u32
    }

    /// Whether a suspect of this node or of a peer runs on it.
    pub fn is_occupied(&self, now: Instant) -> bool {
        self.occupied || self.live_peers(now).any(|share| share.occupied)
    }

    /// The peers whose suspects run on it.
    pub(crate) fn occupied_by(&self, now: Instant) -> impl Iterator<Item = &Name> {
        let fresh = move |share: &PeerInFlight| now.saturating_duration_since(share.at) <= PEER_TTL;
        let peers = self.peers.iter();
        peers
            .filter(move |(_, share)| share.occupied && fresh(share))
            .map(|(peer, _)| peer)
    }

    /// The last report, unless it is too old.
    pub(crate) fn live_report(&self, now: Instant) -> Option<&LoadReport> {
        let report = self.report.as_ref()?;
        let age = now.saturating_duration_since(report.measured_at);
        (age <= REPORT_TTL).then_some(report)
    }

    /// The peers' shares that are not too old.
    pub(crate) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &PeerInFlight> {
        let fresh =
            move |share: &&PeerInFlight| now.saturating_duration_since(share.at) <= PEER_TTL;
        self.peers.values().filter(fresh)
    }

    /// Remembers an ended request until a report covers its end.
    pub(crate) fn remember(&mut self, ended: Ended) {
        if self.ended.len() == ENDED_KEPT {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }
}
