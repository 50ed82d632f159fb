//! Baseline placement policies to compare the default one with.

use std::time::Duration;

use pomeloridge_policy::server::Role;

use crate::placement::{PlacementOptions, decide_placement};
use crate::placement_view::{
    EngineStatus, EngineView, ModelView, PlacementAction, PlacementDecision, PlacementReason,
};

/// Prefill or decode utilisation above which an engine is moved to that role.
const HIGH_UTILISATION: f64 = 0.8;
/// Utilisation of the other kind of work below which an engine is taken from it.
const LOW_UTILISATION: f64 = 0.5;

/// Policy that decides on roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Changes a role when the gain outweighs the loss.
    #[default]
    Gain,
    /// Never changes a role or loads a model.
    Static,
    /// Changes a role as soon as utilisation crosses a threshold.
    Threshold,
}

impl PlacementPolicy {
    /// Returns the model loads and role changes for one model.
    pub fn decide(self, view: &ModelView, options: &PlacementOptions) -> Vec<PlacementDecision> {
        match self {
            Self::Gain => decide_placement(view, options),
            Self::Static => Vec::new(),
            Self::Threshold => threshold(view, options).into_iter().collect(),
        }
    }

    /// Returns whether role changes must pass [`RoleChangeDebounce`](crate::placement::RoleChangeDebounce).
    pub fn debounces(self) -> bool {
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
        .filter(|engine| engine.status == EngineStatus::Serving)
        .collect();
    if view.config.held
        || serving.is_empty()
        || view
            .engines
            .iter()
            .any(|engine| engine.status == EngineStatus::OrderPending)
    {
        return None;
    }
    let engines = serving.len() as f64;
    let (prefill, decode) = (
        view.offered_load.prefill / engines,
        view.offered_load.decode / engines,
    );
    let to = if prefill > HIGH_UTILISATION && decode < LOW_UTILISATION {
        Role::Prefill
    } else if decode > HIGH_UTILISATION && prefill < LOW_UTILISATION {
        Role::Decode
    } else {
        Role::Mixed
    };
    let movable = |engine: &&&EngineView| engine.role != to && engine.pinned.is_none();
    let engine = serving
        .iter()
        .filter(movable)
        .min_by_key(|engine| (engine.load, &engine.id))?;
    Some(PlacementDecision {
        action: PlacementAction::ChangeRole {
            engine: engine.id.clone(),
            from: engine.role,
            to,
        },
        reason: PlacementReason::LoadShift,
        gain: Duration::ZERO,
        loss: options.role_change_time,
    })
}
