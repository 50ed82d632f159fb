//! What an engine is brought to, and the orders that bring it there.

use derive_more::Display;
use pomeloridge_backend as backend;
use pomeloridge_backend::OrderAction;
use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;
use serde::{Deserialize, Serialize};

/// A role in the form in which it is kept.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum StoredRole {
    /// Reading prompts.
    Prefill,
    /// Making output.
    Decode,
    /// Both.
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

/// What an engine is to be brought to.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "goal", rename_all = "snake_case")]
pub enum Goal {
    /// Another role.
    #[display("role {role}")]
    Role {
        /// Which one.
        role: StoredRole,
    },
    /// Another model loaded.
    #[display("load {model}")]
    Load {
        /// Which one.
        model: Name,
    },
    /// No work left, to be released.
    #[display("release")]
    Release,
    /// Taking work again.
    #[display("resume")]
    Resume,
}

impl Goal {
    /// The orders that bring an engine there, in turn; no work is cut by a change.
    pub fn steps(&self) -> Vec<OrderAction> {
        let around = |change| vec![OrderAction::Drain, change, OrderAction::Resume];
        match self {
            Self::Role { role } => around(OrderAction::Role((*role).into())),
            Self::Load { model } => around(OrderAction::Load(model.clone())),
            Self::Release => vec![OrderAction::Drain],
            Self::Resume => vec![OrderAction::Resume],
        }
    }
}
