//! The load on a server, as sent by nodes and as reported by the server itself.
//!
//! A load that a peer has told may be over a second old, while an engine reads most prompts in a
//! fraction of one. Where servers differ, the prompts in it lessen with its age, to none when the
//! engine has read all that was known to be ahead.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Age at which a load reported by a peer expires.
pub(super) const PEER_LOAD_TTL: Duration = Duration::from_millis(1500);
/// Most tokens that a message of a peer may name; more than any engine holds, and few enough to be
/// added up.
pub(super) const MAX_PEER_TOKENS: u64 = u32::MAX as u64;
/// Most running requests that it may name.
const MAX_PEER_RUNNING: u32 = u16::MAX as u32;
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

impl NodeLoad {
    /// Limits a load that a message has named.
    pub(super) fn clamped(self) -> Self {
        Self {
            prefill_tokens: self.prefill_tokens.min(MAX_PEER_TOKENS),
            running: self.running.min(MAX_PEER_RUNNING),
            held_tokens: self.held_tokens.min(MAX_PEER_TOKENS),
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

/// A load of a peer, and what becomes of it.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    told: PeerLoad,
    /// Time in which the server reads all prompts that were known to be ahead; `None` if the load
    /// is taken to stay as it is.
    read_in: Option<Duration>,
}

impl KnownLoad {
    /// Returns the load that is left, or `None` if it has expired.
    fn at(&self, now: Instant) -> Option<NodeLoad> {
        let age = now.saturating_duration_since(self.told.at);
        let load = self.told.load;
        let prefill_tokens = match self.read_in {
            Some(read_in) if age < read_in => {
                let left = 1.0 - age.as_secs_f64() / read_in.as_secs_f64();
                (load.prefill_tokens as f64 * left) as u64
            }
            Some(_) => 0,
            None => load.prefill_tokens,
        };
        (age < PEER_LOAD_TTL).then_some(NodeLoad {
            prefill_tokens,
            ..load
        })
    }
}

/// The loads of all peers on one server.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads(Vec<(Name, KnownLoad)>);

impl PeerLoads {
    pub(super) fn set(&mut self, peer: &Name, load: Option<PeerLoad>) {
        self.0.retain(|(name, _)| name != peer);
        if let Some(told) = load {
            let known = KnownLoad {
                told,
                read_in: None,
            };
            self.0.push((peer.clone(), known));
        }
    }

    /// Sets the time in which the server reads all prompts that are known now, for the load that
    /// a peer has just told.
    pub(super) fn set_read_in(&mut self, peer: &Name, read_in: Duration) {
        let known = self.0.iter_mut().find(|(name, _)| name == peer);
        if let Some((_, known)) = known {
            known.read_in = Some(read_in);
        }
    }

    pub(super) fn sum(&self, now: Instant) -> NodeLoad {
        self.sum_of(|_| true, now)
    }

    /// Returns the summed load of the peers whose names match.
    pub(super) fn sum_of(&self, includes: impl Fn(&Name) -> bool, now: Instant) -> NodeLoad {
        let matching = self.0.iter().filter(|(name, _)| includes(name));
        let loads = matching.filter_map(|(_, load)| load.at(now));
        loads.fold(NodeLoad::default(), NodeLoad::plus)
    }
}
