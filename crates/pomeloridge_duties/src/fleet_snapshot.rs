//! What the binary tells the placement duty in each round.

use std::collections::{BTreeMap, BTreeSet};

use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;

use crate::demand::DemandReport;
use crate::plan::{PoolPlan, ServerExceptions};

/// What is known of one server from its load report and from failures seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// Role of an engine.
    pub role: Role,
    /// Models that are loaded; empty if it names none.
    pub models: Vec<Name>,
    /// Whether it says that it takes no new work.
    pub leaving: bool,
    /// Whether it has been reached lately, by this node or by a peer.
    pub reachable: bool,
}

/// What the binary knows.
#[derive(Clone, Debug)]
pub struct FleetSnapshot {
    /// What the operators ask for; see [`crate::plan::pool_plans`].
    pub plans: Vec<PoolPlan>,
    /// Exceptions about servers; see [`crate::plan::server_exceptions`].
    pub exceptions: ServerExceptions,
    /// Demand of all nodes.
    pub demand: DemandReport,
    /// Loads by server; one that is lacking has not been read yet.
    pub loads: BTreeMap<Name, ServerLoad>,
    /// Data centres of the fleet.
    pub data_centres: BTreeSet<Name>,
}
