//! Inputs and results of the placement decision for one model.

use std::time::Duration;

use derive_more::Display;
use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;

use crate::demand::OfferedLoad;
use crate::pool_config::PoolConfig;

/// State of one engine of the model.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Identifier.
    pub id: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Role in the last load report.
    pub role: Role,
    /// Whether it serves, and if not, why.
    pub status: EngineStatus,
    /// Role to which an exception pins it.
    pub pinned: Option<Role>,
    /// Number of running and queued requests.
    pub load: u32,
}

/// Whether an engine serves, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStatus {
    /// Accepts new requests.
    Serving,
    /// Reports models, but not that of its pool.
    ModelMissing,
    /// Has an outstanding order, or ended one so recently that load reports may not show it.
    OrderPending,
    /// Drained by an exception or for its release.
    Drained,
    /// Starting, leaving, unreachable, or without a load report.
    Unavailable,
}

/// Input of the placement decision for one model; it must be fresh.
#[derive(Clone, Debug)]
pub struct ModelView<'a> {
    /// Configured limits of the pool.
    pub config: &'a PoolConfig,
    /// The model's engines.
    pub engines: &'a [EngineView],
    /// Offered load, as an exponential moving average over some seconds.
    pub offered_load: OfferedLoad,
    /// Model loads in progress in the whole fleet.
    pub model_loads: usize,
}

/// Action that an engine is to take.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlacementAction {
    /// Change the role.
    #[display("move engine={engine} from={from} to={to}")]
    ChangeRole {
        /// Identifier of the engine.
        engine: Name,
        /// Current role.
        from: Role,
        /// New role.
        to: Role,
    },
    /// Load the pool's model.
    #[display("load engine={_0}")]
    LoadModel(Name),
}

/// Reason for a placement action.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PlacementReason {
    /// The ratio of prefill to decode load has shifted.
    #[display("the mix has shifted")]
    LoadShift,
    /// An exception pins the engine to another role.
    #[display("an exception pins it")]
    Pinned,
    /// The engine does not have its pool's model.
    #[display("the model is lacking")]
    ModelMissing,
}

/// Placement action with its reason, gain and loss.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "choice={action} reason=\"{reason}\" gain_s={:.1} loss_s={:.1}",
    gain.as_secs_f64(),
    loss.as_secs_f64()
)]
pub struct PlacementDecision {
    /// Action to take.
    pub action: PlacementAction,
    /// Reason for the action.
    pub reason: PlacementReason,
    /// Engine time gained over the horizon.
    pub gain: Duration,
    /// Engine time lost during the change.
    pub loss: Duration,
}
