//! Input and output of the autoscaling decision for one pool.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use pomeloridge_base::id::Name;
use pomeloridge_policy::server::{ServerKind, ServerState};

use crate::demand::DemandHistory;
use crate::pool_config::PoolConfig;

/// A drain that was ordered to release a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time since this lease holder first saw the drain.
    pub elapsed: Duration,
    /// Whether the engine has finished draining.
    pub finished: bool,
}

/// A listed server of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Identifier.
    pub id: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Engine or service.
    pub kind: ServerKind,
    /// Whether the platform may reclaim it at short notice.
    pub preemptible: bool,
    /// Price per hour.
    pub hourly_price: f64,
    /// State in the platform's server list.
    pub state: ServerState,
    /// Running and queued requests; `u32::MAX` if unknown.
    pub load: u32,
    /// The drain before its release, if one was ordered.
    pub drain: Option<Drain>,
    /// Whether an operator drains it, or its load reports say that it is shutting down.
    pub excluded: bool,
    /// Whether it responds; a server that has long been silent isn't counted as capacity.
    pub reachable: bool,
}

impl ServerView {
    /// Returns whether it serves requests, or will once it has started.
    pub(crate) fn counts_as_capacity(&self) -> bool {
        let leaving = self.state == ServerState::Leaving || self.drain.is_some();
        !leaving && !self.excluded && self.reachable
    }
}

/// An ordered server that the platform doesn't list yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingServer {
    /// Data centre.
    pub data_centre: Name,
    /// Whether a preemptible server was ordered.
    pub preemptible: bool,
    /// Whether it is too late to be counted as capacity.
    pub overdue: bool,
}

/// Prices per hour, as far as they are known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of a preemptible server.
    pub preemptible: Option<f64>,
    /// Price of an on-demand server.
    pub on_demand: Option<f64>,
}

/// Input of the autoscaling decision; see [`crate::freshness`] for how old it may be.
#[derive(Clone, Debug)]
pub struct PoolView<'a> {
    /// The pool's configured limits.
    pub config: &'a PoolConfig,
    /// Load of the last minutes.
    pub history: &'a DemandHistory,
    /// Servers that the platform lists.
    pub servers: &'a [ServerView],
    /// Ordered servers that aren't listed yet.
    pub pending: &'a [PendingServer],
    /// Data centres in which servers can be ordered.
    pub data_centres: &'a BTreeSet<Name>,
    /// Data centres whose preemptible servers were reclaimed recently.
    pub recently_reclaimed: &'a BTreeSet<Name>,
    /// Time from an order until the server is ready.
    pub provisioning_delay: Duration,
    /// Prices of the pool's servers.
    pub prices: Prices,
}

/// A change to the servers of a pool.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ScalingAction {
    /// Order a new server.
    #[display("add data_centre={data_centre} cheap={preemptible}")]
    Add {
        /// Data centre.
        data_centre: Name,
        /// Whether to order a preemptible server.
        preemptible: bool,
    },
    /// Stop new requests to a server, so that it can be released once it is idle.
    #[display("drain server={_0}")]
    Drain(Name),
    /// Return a server to the platform.
    #[display("release server={_0}")]
    Release(Name),
    /// Put a draining or drained server back into service.
    #[display("resume server={_0}")]
    Resume(Name),
}

/// Reason of a decision.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ScalingReason {
    /// The pool has fewer servers than its floor.
    #[display("below the floor")]
    Floor,
    /// The forecast load requires more servers.
    #[display("forecast exceeds capacity")]
    Forecast,
    /// The loss of one data centre's preemptible servers would leave too few.
    #[display("loss of a data centre's cheap servers would leave too few")]
    DataCentreLoss,
    /// The pool has more servers than its ceiling.
    #[display("above the ceiling")]
    Ceiling,
    /// Demand has been low for the scale-down delay.
    #[display("demand has been low")]
    LowDemand,
    /// Utilisation passed a threshold of the threshold policy.
    #[display("utilisation passed the threshold")]
    Threshold,
}

/// A decision with its reason.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("choice={action} reason=\"{reason}\"")]
pub struct ScalingDecision {
    /// The change to make.
    pub action: ScalingAction,
    /// Why it is made.
    pub reason: ScalingReason,
}
