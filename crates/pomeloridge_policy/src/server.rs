//! A node's state of one backend server: the platform's description, the last
//! load report, and the requests that the node and its peers have in flight there.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;
use slotmap::new_key_type;

use crate::ejection::Ejection;
use crate::load::Rates;

new_key_type! {
    /// Key of a backend server in the [`ServerTable`](crate::server_table::ServerTable).
    pub struct ServerKey;
    /// Key of a request that runs on a backend server.
    pub struct DispatchKey;
}

/// Age after which a load report is ignored.
pub const REPORT_TTL: Duration = Duration::from_secs(10);
/// Age after which a peer's in-flight requests are ignored.
pub const PEER_TTL: Duration = Duration::from_secs(3);
/// Slots assumed for a server that has not reported yet.
pub const DEFAULT_SLOTS: u32 = 8;
/// Maximum ended requests kept per server to correct a delayed load report.
const MAX_ENDED_REQUESTS: usize = 1024;

/// Kind of a backend server.
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

/// Lifecycle state of a server, as listed by the platform.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum ServerState {
    /// Ordered, but not accepting work yet.
    #[display("starting")]
    Starting,
    /// Accepts work.
    #[default]
    #[display("ready")]
    Ready,
    /// About to stop; accepts no new work.
    #[display("leaving")]
    Leaving,
}

/// The kind of work that an engine is optimised for.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Role {
    /// Prompt processing.
    #[display("prefill")]
    Prefill,
    /// Output generation.
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
    /// Listening address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Model or service served.
    pub pool: Name,
    /// Kind of server.
    pub kind: ServerKind,
    /// Whether the platform may reclaim the server at short notice; `cheap` in its list.
    pub preemptible: bool,
    /// State in the platform's list.
    pub state: ServerState,
}

/// A server's report of its own load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When the load was measured, on this node's clock.
    pub measured_at: Instant,
    /// Running requests.
    pub running: u32,
    /// Requests queued on the server.
    pub queued: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill_tokens: u64,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Role of an engine.
    pub role: Role,
    /// Loaded models; empty if the server does not report any.
    pub models: Vec<Name>,
    /// Whether the server is about to stop.
    pub leaving: bool,
}

/// The size of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens to process.
    pub prompt: u64,
    /// Expected output tokens.
    pub output: u64,
}

/// A peer's requests in flight on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerInFlight {
    /// When the peer's message was received.
    pub received_at: Instant,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens of requests that have no first token yet.
    pub prefill_tokens: u64,
    /// Whether the peer has reserved the server for a suspect.
    pub reserved_for_suspect: bool,
}

/// A request of this node in flight on a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub(crate) server: ServerKey,
    pub(crate) work: Work,
    pub(crate) sent_at: Instant,
    pub(crate) first_token_at: Option<Instant>,
    /// Estimated prompt tokens waiting ahead of it when it was sent.
    pub(crate) prefill_ahead: f64,
    /// Estimated requests in flight when it was sent, including itself.
    pub(crate) batch: u32,
}

/// The times at which an ended request was sent and ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedRequest {
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
}

/// A backend server as known to this node.
#[derive(Debug)]
pub struct Server {
    /// The platform's description.
    pub info: ServerInfo,
    /// The last load report.
    pub report: Option<LoadReport>,
    /// Learned processing rates.
    pub rates: Rates,
    /// Ejection state after failed connections.
    pub ejection: Ejection,
    /// Whether an operator's exception drains the server.
    pub drained: bool,
    /// Whether this node has reserved the server for a suspect.
    pub reserved_for_suspect: bool,
    /// This node's requests in flight.
    pub(crate) in_flight: Vec<DispatchKey>,
    /// Requests that ended after the last load report was measured.
    pub(crate) ended: VecDeque<EndedRequest>,
    /// Requests in flight of each peer.
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
            reserved_for_suspect: false,
            in_flight: Vec::new(),
            ended: VecDeque::new(),
            peers: HashMap::new(),
        }
    }

    /// Returns whether the server accepts no new work, according to the platform, an
    /// operator or the server itself.
    pub fn is_leaving(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|report| report.leaving);
        reported || self.drained || self.info.state == ServerState::Leaving
    }

    /// Returns whether the server accepts work of its pool, as far as known.
    pub fn is_serving(&self) -> bool {
        self.info.state == ServerState::Ready && !self.is_leaving() && self.has_model()
    }

    /// Returns whether the pool's model is loaded; true if no models were reported.
    fn has_model(&self) -> bool {
        let models = self.report.as_ref().map(|report| &report.models);
        models.is_none_or(|models| models.is_empty() || models.contains(&self.info.pool))
    }

    /// Returns the maximum number of concurrent requests.
    pub fn slots(&self) -> u32 {
        let reported = self.report.as_ref().map(|report| report.slots);
        reported.unwrap_or(DEFAULT_SLOTS)
    }

    /// Returns the number of this node's requests in flight.
    pub fn own_in_flight_count(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Returns whether this node or a peer has reserved the server for a suspect.
    pub fn is_reserved_for_suspect(&self, now: Instant) -> bool {
        self.reserved_for_suspect
            || self
                .live_peers(now)
                .any(|in_flight| in_flight.reserved_for_suspect)
    }

    /// Returns the peers that have reserved the server for a suspect.
    pub(crate) fn reserved_by(&self, now: Instant) -> impl Iterator<Item = &Name> {
        let fresh = move |in_flight: &PeerInFlight| {
            now.saturating_duration_since(in_flight.received_at) <= PEER_TTL
        };
        let peers = self.peers.iter();
        peers
            .filter(move |(_, in_flight)| in_flight.reserved_for_suspect && fresh(in_flight))
            .map(|(peer, _)| peer)
    }

    /// Returns the last load report unless it has expired.
    pub(crate) fn live_report(&self, now: Instant) -> Option<&LoadReport> {
        let report = self.report.as_ref()?;
        let age = now.saturating_duration_since(report.measured_at);
        (age <= REPORT_TTL).then_some(report)
    }

    /// Returns the in-flight requests of the peers that sent a message recently.
    pub(crate) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &PeerInFlight> {
        let fresh = move |in_flight: &&PeerInFlight| {
            now.saturating_duration_since(in_flight.received_at) <= PEER_TTL
        };
        self.peers.values().filter(fresh)
    }

    /// Records an ended request until a load report covers its end.
    pub(crate) fn record_ended(&mut self, ended: EndedRequest) {
        if self.ended.len() == MAX_ENDED_REQUESTS {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }
}
