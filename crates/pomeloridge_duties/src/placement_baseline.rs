//! Rules of placement to compare with, in the shape of the real one.

use std::time::Duration;

use pomeloridge_policy::server::Role;

use crate::placement::{PlacementOptions, place};
use crate::placement_view::{
    EngineView, ModelView, PlacementChoice, PlacementDecision, PlacementReason, Standing,
};

/// Utilisation of one kind of work above which an engine is moved to it.
const HIGH_USE: f64 = 0.8;
/// Utilisation of the other kind of work below which an engine is taken from it.
const LOW_USE: f64 = 0.5;

/// Which rule decides on roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Weighs the gain against the loss.
    #[default]
    Gain,
    /// Moves nothing.
    Static,
    /// Moves an engine as soon as a threshold is passed.
    Threshold,
}

impl PlacementPolicy {
    /// Decides on loads and moves for one model.
    pub fn decide(self, view: &ModelView, options: &PlacementOptions) -> Vec<PlacementDecision> {
        match self {
            Self::Gain => place(view, options),
            Self::Static => Vec::new(),
            Self::Threshold => threshold(view, options).into_iter().collect(),
        }
    }

    /// Whether a move must have been wanted for a time.
    pub fn holds(self) -> bool {
        match self {
            Self::Gain | Self::Static => true,
            Self::Threshold => false,
        }
    }
}

fn threshold(view: &ModelView, options: &PlacementOptions) -> Option<PlacementDecision> {
    let serving: Vec<_> = view
        .engines
        .iter()
        .filter(|engine| engine.standing == Standing::Serving)
        .collect();
    if view.plan.held
        || serving.is_empty()
        || view
            .engines
            .iter()
            .any(|engine| engine.standing == Standing::Ordered)
    {
        return None;
    }
    let engines = serving.len() as f64;
    let (prefill, decode) = (view.mix.prefill / engines, view.mix.decode / engines);
    let to = if prefill > HIGH_USE && decode < LOW_USE {
        Role::Prefill
    } else if decode > HIGH_USE && prefill < LOW_USE {
        Role::Decode
    } else {
        Role::Mixed
    };
    let free = |engine: &&&EngineView| engine.role != to && engine.pinned.is_none();
    let engine = serving
        .iter()
        .filter(free)
        .min_by_key(|engine| (engine.load, &engine.id))?;
    Some(PlacementDecision {
        choice: PlacementChoice::Move {
            engine: engine.id.clone(),
            from: engine.role,
            to,
        },
        reason: PlacementReason::Mix,
        gain: Duration::ZERO,
        loss: options.change,
    })
}
