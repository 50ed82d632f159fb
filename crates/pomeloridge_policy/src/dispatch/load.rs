//! Loads of a server: what this node and its peers have sent, and what it says itself.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Age after which a peer's word is no longer counted.
const PEER_WORD_TTL: Duration = Duration::from_millis(1500);
/// Age after which a server's own report is no longer counted.
const REPORT_TTL: Duration = Duration::from_millis(250);

/// What one node has sent to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Prompt tokens that the server has not read yet.
    pub prefill_tokens: u64,
    /// Requests that have not ended.
    pub running: u32,
}

/// What a peer told of its load on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Its load.
    pub load: NodeLoad,
    /// When it was told.
    pub at: Instant,
}

/// What a server told of itself with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// When it was told.
    pub at: Instant,
}

impl ReportedLoad {
    /// Requests on the server, if the report is recent.
    pub(super) fn total(&self, now: Instant) -> u32 {
        if now.saturating_duration_since(self.at) < REPORT_TTL {
            self.running + self.waiting
        } else {
            0
        }
    }
}

/// The words of all peers about one server.
#[derive(Clone, Debug, Default)]
pub struct PeerWords(Vec<(Name, PeerLoad)>);

impl PeerWords {
    pub(super) fn set(&mut self, peer: &Name, load: Option<PeerLoad>) {
        self.0.retain(|(name, _)| name != peer);
        if let Some(load) = load {
            self.0.push((peer.clone(), load));
        }
    }

    pub(super) fn sum(&self, now: Instant) -> NodeLoad {
        self.sum_of(|_| true, now)
    }

    /// The sum of some peers' words.
    pub(super) fn sum_of(&self, of: impl Fn(&Name) -> bool, now: Instant) -> NodeLoad {
        let recent = |load: &PeerLoad| now.saturating_duration_since(load.at) < PEER_WORD_TTL;
        let recent = self
            .0
            .iter()
            .filter(|(name, load)| recent(load) && of(name));
        recent.fold(NodeLoad::default(), |sum, (_, peer)| NodeLoad {
            prefill_tokens: sum.prefill_tokens + peer.load.prefill_tokens,
            running: sum.running + peer.load.running,
        })
    }
}
