//! The load on a server, as sent by nodes and as reported by the server itself.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Age at which a load reported by a peer expires.
pub(super) const PEER_LOAD_TTL: Duration = Duration::from_millis(1500);
/// Age at which a server's own report expires.
const REPORT_TTL: Duration = Duration::from_millis(250);
/// Age at which the slowdown that a server reported expires.
const SLOWDOWN_TTL: Duration = Duration::from_millis(300);

/// The load of one or several nodes on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Prompt tokens that the server has not prefilled yet.
    pub prefill_tokens: u64,
    /// Requests in flight.
    pub running: u32,
    /// Tokens that these requests hold in the server's KV cache, with the expected output.
    pub held_tokens: u64,
}

impl NodeLoad {
    /// Returns the sum of two loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
            running: self.running + other.running,
            held_tokens: self.held_tokens + other.held_tokens,
        }
    }
}

/// The load of a peer on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Load.
    pub load: NodeLoad,
    /// When this node received it.
    pub at: Instant,
}

/// The load that a server reported with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests being served.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Factor by which work takes longer there than usual at this moment; `None` if the server
    /// does not tell.
    pub slowdown: Option<f64>,
    /// When this node received it.
    pub at: Instant,
}

impl ReportedLoad {
    /// Returns the requests on the server, or 0 if the report has expired.
    pub(super) fn total(&self, now: Instant) -> u32 {
        if now.saturating_duration_since(self.at) < REPORT_TTL {
            self.running + self.waiting
        } else {
            0
        }
    }

    /// Returns the reported slowdown and its age, unless it has expired.
    pub(super) fn slowdown(&self, now: Instant) -> Option<(f64, Duration)> {
        let age = now.saturating_duration_since(self.at);
        Some((self.slowdown?, age)).filter(|_| age < SLOWDOWN_TTL)
    }
}

/// The loads of all peers on one server.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads(Vec<(Name, PeerLoad)>);

impl PeerLoads {
    pub(super) fn set(&mut self, peer: &Name, load: Option<PeerLoad>) {
        self.0.retain(|(name, _)| name != peer);
        if let Some(load) = load {
            self.0.push((peer.clone(), load));
        }
    }

    pub(super) fn sum(&self, now: Instant) -> NodeLoad {
        self.sum_of(|_| true, now)
    }

    /// Returns the summed load of the peers whose names match.
    pub(super) fn sum_of(&self, includes: impl Fn(&Name) -> bool, now: Instant) -> NodeLoad {
        let recent = |load: &PeerLoad| now.saturating_duration_since(load.at) < PEER_LOAD_TTL;
        let recent = self
            .0
            .iter()
            .filter(|(name, load)| recent(load) && includes(name));
        recent.fold(NodeLoad::default(), |sum, (_, peer)| sum.plus(peer.load))
    }
}
