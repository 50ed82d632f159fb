//! What the ordering decision sees of a pool, and what it decides.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use pomeloridge_base::id::Name;
use pomeloridge_policy::server::{ServerKind, ServerState};

use crate::demand::DemandHistory;
use crate::plan::PoolPlan;

/// A drain that was ordered for a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time since it was ordered, as far as this holder knows.
    pub time: Duration,
    /// Whether the engine has ended it.
    pub ended: bool,
}

/// One server of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Identifier.
    pub id: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Engine or plain service.
    pub kind: ServerKind,
    /// Whether it may be reclaimed at short notice.
    pub cheap: bool,
    /// Price an hour.
    pub price: f64,
    /// State in the platform's list.
    pub state: ServerState,
    /// Requests that run or wait there.
    pub load: u32,
    /// Its drain for a release, if one was ordered.
    pub drained: Option<Drain>,
    /// Whether an operator drains it, or it says itself that it will stop.
    pub excepted: bool,
    /// Whether it is reached; a server that has long been silent is none to count on.
    pub reachable: bool,
}

impl ServerView {
    /// Whether it serves, or will once it has started.
    pub(crate) fn counts(&self) -> bool {
        let leaving = self.state == ServerState::Leaving || self.drained.is_some();
        !leaving && !self.excepted && self.reachable
    }
}

/// An ordered server that the platform does not list yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingServer {
    /// Data centre.
    pub data_centre: Name,
    /// Whether it is a cheap one.
    pub cheap: bool,
    /// Whether it is so late that it is not counted on.
    pub late: bool,
}

/// Prices an hour, where they are known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Of a cheap server.
    pub cheap: Option<f64>,
    /// Of a regular server.
    pub regular: Option<f64>,
}

/// What the decision rests on; it must be fresh.
#[derive(Clone, Debug)]
pub struct PoolView<'a> {
    /// What the operators ask for.
    pub plan: &'a PoolPlan,
    /// Demand of the last minutes.
    pub history: &'a DemandHistory,
    /// Listed servers.
    pub servers: &'a [ServerView],
    /// Ordered servers that are not listed.
    pub arriving: &'a [PendingServer],
    /// Data centres in which servers can be ordered.
    pub data_centres: &'a BTreeSet<Name>,
    /// Data centres whose cheap servers were reclaimed lately.
    pub reclaimed: &'a BTreeSet<Name>,
    /// Time from an order to a ready server.
    pub delay: Duration,
    /// Prices.
    pub prices: Prices,
}

/// What is to be done.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ScalingAction {
    /// Order a server.
    #[display("add data_centre={data_centre} cheap={cheap}")]
    Add {
        /// Where.
        data_centre: Name,
        /// Whether a cheap one.
        cheap: bool,
    },
    /// Let a server finish its work, to be released afterwards.
    #[display("drain server={_0}")]
    Drain(Name),
    /// Give a server back.
    #[display("release server={_0}")]
    Release(Name),
    /// Let a drained server serve again.
    #[display("resume server={_0}")]
    Resume(Name),
}

/// Why it is to be done.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ScalingReason {
    /// Fewer servers than the floor.
    #[display("below the floor")]
    Floor,
    /// The forecast needs more servers.
    #[display("forecast exceeds capacity")]
    Forecast,
    /// The loss of one data centre's cheap servers would leave too few.
    #[display("loss of a data centre's cheap servers would leave too few")]
    Loss,
    /// More servers than the ceiling.
    #[display("above the ceiling")]
    Ceiling,
    /// Demand has been low for the hold time.
    #[display("demand has been low")]
    Low,
    /// Utilisation passed a threshold.
    #[display("utilisation passed the threshold")]
    Threshold,
}

/// A decision with its reason.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("choice={choice} reason=\"{reason}\"")]
pub struct ScalingDecision {
    /// What is to be done.
    pub choice: ScalingAction,
    /// Why.
    pub reason: ScalingReason,
}
