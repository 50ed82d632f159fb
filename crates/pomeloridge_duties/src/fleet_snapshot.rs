//! State of the fleet that the caller passes to the placement duty each round.

use std::collections::{BTreeMap, BTreeSet};

use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;

use crate::demand::DemandReport;
use crate::pool_config::{PoolConfig, ServerExceptions};

/// State of one server, from its load report and observed failures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Running requests.
    pub running: u32,
    /// Requests queued at the server.
    pub queued: u32,
    /// Role, if it is an engine.
    pub role: Role,
    /// Loaded models; empty if it reports none.
    pub models: Vec<Name>,
    /// Whether it reports that it accepts no new requests.
    pub leaving: bool,
    /// Whether this node or a peer has reached it recently.
    pub reachable: bool,
}

/// State of the fleet as known to this node.
#[derive(Clone, Debug)]
pub struct FleetSnapshot {
    /// Configured limits of the pools; see [`crate::pool_config::pool_configs`].
    pub pools: Vec<PoolConfig>,
    /// Exceptions that apply to single servers; see [`crate::pool_config::server_exceptions`].
    pub exceptions: ServerExceptions,
    /// Demand reported by all nodes.
    pub demand: DemandReport,
    /// Load by server; servers without a load report yet are missing.
    pub loads: BTreeMap<Name, ServerLoad>,
    /// Data centres of the fleet.
    pub data_centres: BTreeSet<Name>,
}
