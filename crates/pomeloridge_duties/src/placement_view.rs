//! What the placement decision sees of a model's engines, and what it decides.

use std::time::Duration;

use derive_more::Display;
use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;

use crate::demand::OfferedLoad;
use crate::plan::PoolPlan;

/// One engine of the model.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Identifier.
    pub id: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Role as last heard.
    pub role: Role,
    /// What it may be used for.
    pub standing: Standing,
    /// Role that an exception keeps it at.
    pub pinned: Option<Role>,
    /// Requests that run or wait there.
    pub load: u32,
}

/// What an engine may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes new work.
    Serving,
    /// It lacks its pool's model, by its own report.
    Lacking,
    /// An order to it is outstanding.
    Ordered,
    /// An exception drains it, or it is drained for a release.
    Excepted,
    /// It is starting, leaving or not reached.
    Away,
}

/// What the decision rests on; it must be fresh.
#[derive(Clone, Debug)]
pub struct ModelView<'a> {
    /// What the operators ask for.
    pub plan: &'a PoolPlan,
    /// The model's engines.
    pub engines: &'a [EngineView],
    /// Demand, averaged over some seconds.
    pub mix: OfferedLoad,
    /// Loads of models that are under way in the whole fleet.
    pub loads: usize,
}

/// What an engine is to do.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlacementChoice {
    /// Take a role.
    #[display("move engine={engine} from={from} to={to}")]
    Move {
        /// Which engine.
        engine: Name,
        /// Its role.
        from: Role,
        /// The role to take.
        to: Role,
    },
    /// Load the pool's model.
    #[display("load engine={_0}")]
    Load(Name),
}

/// Why it is to do it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PlacementReason {
    /// The mix of prompts and output has shifted.
    #[display("the mix has shifted")]
    Mix,
    /// An exception pins the engine.
    #[display("an exception pins it")]
    Pinned,
    /// The engine lacks its pool's model.
    #[display("the model is lacking")]
    Lacking,
}

/// A decision with its reason.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "choice={choice} reason=\"{reason}\" gain_s={:.1} loss_s={:.1}",
    gain.as_secs_f64(),
    loss.as_secs_f64()
)]
pub struct PlacementDecision {
    /// What is to be done.
    pub choice: PlacementChoice,
    /// Why.
    pub reason: PlacementReason,
    /// Engine time gained over the horizon.
    pub gain: Duration,
    /// Engine time lost by the change.
    pub loss: Duration,
}
