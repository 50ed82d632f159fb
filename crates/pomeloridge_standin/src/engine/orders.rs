//! Orders to the engine: role, load, drain and resume of service.

use std::collections::BTreeMap;

use pomeloridge_base::id::Epoch;
use serde::{Deserialize, Serialize};

use super::role::Role;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    Role,
    Load,
    Drain,
    ResumeService,
}

/// An order as it arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OrderBody {
    pub(crate) order_id: String,
    pub(crate) fence: Epoch,
    pub(crate) action: Action,
    #[serde(default)]
    pub(crate) role: Option<Role>,
    #[serde(default)]
    pub(crate) model: Option<String>,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderState {
    Running,
    Done,
}

/// What became of an order that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It is to be carried out now.
    New,
    /// It was taken before and has come so far.
    Repeated(OrderState),
    /// The fence was lower than this one, seen before.
    Stale(Epoch),
    /// This other order still runs.
    Busy(String),
    /// It lacks its role or model.
    Incomplete,
}

/// The engine's setup and the orders taken.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fence: bool,
    pub(crate) role: Role,
    pub(crate) models: Vec<String>,
    pub(crate) fence: Epoch,
    pub(crate) drained: bool,
    /// Whether the engine is away for a change.
    pub(crate) away: bool,
    running: Option<String>,
    taken: BTreeMap<String, OrderState>,
}

impl Orders {
    /// An engine that has had no order.
    pub(crate) fn new(checks_fence: bool, role: Role, models: Vec<String>) -> Self {
        Self {
            checks_fence,
            role,
            models,
            fence: Epoch::default(),
            drained: false,
            away: false,
            running: None,
            taken: BTreeMap::new(),
        }
    }

    /// The order that still runs.
    pub(crate) fn running(&self) -> Option<&str> {
        self.running.as_deref()
    }

    /// Takes an order; a new one is marked as running.
    pub(crate) fn take(&mut self, order: &OrderBody) -> Taken {
        if self.checks_fence && order.fence < self.fence {
            return Taken::Stale(self.fence);
        }
        let complete = match order.action {
            Action::Role => order.role.is_some(),
            Action::Load => order.model.is_some(),
            Action::Drain | Action::ResumeService => true,
        };
        if !complete {
            return Taken::Incomplete;
        }
        if let Some(state) = self.taken.get(&order.order_id) {
            return Taken::Repeated(*state);
        }
        if let Some(running) = &self.running {
            return Taken::Busy(running.clone());
        }
        self.fence = self.fence.max(order.fence);
        self.running = Some(order.order_id.clone());
        self.taken
            .insert(order.order_id.clone(), OrderState::Running);
        Taken::New
    }

    /// Carries an order's change out and marks it as done.
    pub(crate) fn finish(&mut self, order: &OrderBody) {
        match order.action {
            Action::Role => self.role = order.role.unwrap_or(self.role),
            Action::Load => {
                let loaded = order.model.iter().filter(|m| !self.models.contains(m));
                let loaded: Vec<_> = loaded.cloned().collect();
                self.models.extend(loaded);
            }
            Action::Drain => self.drained = true,
            Action::ResumeService => self.drained = false,
        }
        self.away = false;
        self.running = None;
        self.taken.insert(order.order_id.clone(), OrderState::Done);
    }

    /// Whether new generations are refused.
    pub(crate) fn refuses(&self) -> bool {
        self.away || self.drained
    }
}
