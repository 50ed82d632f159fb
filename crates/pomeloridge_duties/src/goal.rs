//! Goals of engines, and the sequence of orders that reaches each goal.

use derive_more::Display;
use pomeloridge_backend as backend;
use pomeloridge_backend::OrderAction;
use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;
use serde::{Deserialize, Serialize};

/// Role of an engine, as stored in intents.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum StoredRole {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Prefill and decode.
    Mixed,
}

impl From<Role> for StoredRole {
    fn from(role: Role) -> Self {
        match role {
            Role::Prefill => Self::Prefill,
            Role::Decode => Self::Decode,
            Role::Mixed => Self::Mixed,
        }
    }
}

impl From<StoredRole> for backend::Role {
    fn from(role: StoredRole) -> Self {
        match role {
            StoredRole::Prefill => Self::Prefill,
            StoredRole::Decode => Self::Decode,
            StoredRole::Mixed => Self::Mixed,
        }
    }
}

/// Target state of an engine.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "goal", rename_all = "snake_case")]
pub enum Goal {
    /// Serving in another role.
    #[display("role {role}")]
    Role {
        /// The role.
        role: StoredRole,
    },
    /// Serving with another model loaded.
    #[display("load {model}")]
    Load {
        /// The model.
        model: Name,
    },
    /// Drained, so that it can be released.
    #[display("release")]
    Release,
    /// Back in service after a drain.
    #[display("resume")]
    Resume,
}

impl Goal {
    /// Returns the orders that reach the goal, in sequence. An engine is drained before a
    /// change, so that no request is cut off.
    pub fn steps(&self) -> Vec<OrderAction> {
        let drain_around = |change| vec![OrderAction::Drain, change, OrderAction::Resume];
        match self {
            Self::Role { role } => drain_around(OrderAction::Role((*role).into())),
            Self::Load { model } => drain_around(OrderAction::Load(model.clone())),
            Self::Release => vec![OrderAction::Drain],
            Self::Resume => vec![OrderAction::Resume],
        }
    }
}
