//! Orders to the engine: change the role, load a model, drain, resume service.

use std::collections::BTreeMap;

use pomeloridge_base::id::Epoch;
use serde::{Deserialize, Serialize};

use super::role::Role;

/// Action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    Role,
    Load,
    Drain,
    ResumeService,
}

/// Body of `POST /orders`.
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

/// State of a submitted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderState {
    Running,
    Done,
}

/// Outcome of submitting an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SubmitOutcome {
    /// New; the caller executes it.
    New,
    /// Submitted before; its current state.
    Repeated(OrderState),
    /// The fencing token is lower than this one, the highest seen.
    Stale(Epoch),
    /// Another order is running; its id.
    Busy(String),
    /// The role or model is missing.
    Incomplete,
}

/// The engine's configuration and all submitted orders.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fence: bool,
    pub(crate) role: Role,
    pub(crate) models: Vec<String>,
    /// Highest fencing token seen.
    pub(crate) fence: Epoch,
    pub(crate) drained: bool,
    /// Whether a role change is in progress.
    pub(crate) reconfiguring: bool,
    running: Option<String>,
    states: BTreeMap<String, OrderState>,
}

impl Orders {
    /// Creates the state of an engine without orders.
    pub(crate) fn new(checks_fence: bool, role: Role, models: Vec<String>) -> Self {
        Self {
            checks_fence,
            role,
            models,
            fence: Epoch::default(),
            drained: false,
            reconfiguring: false,
            running: None,
            states: BTreeMap::new(),
        }
    }

    /// Returns the id of the running order.
    pub(crate) fn running(&self) -> Option<&str> {
        self.running.as_deref()
    }

    /// Submits an order; a new one is marked as running.
    pub(crate) fn submit(&mut self, order: &OrderBody) -> SubmitOutcome {
        if self.checks_fence && order.fence < self.fence {
            return SubmitOutcome::Stale(self.fence);
        }
        let complete = match order.action {
            Action::Role => order.role.is_some(),
            Action::Load => order.model.is_some(),
            Action::Drain | Action::ResumeService => true,
        };
        if !complete {
            return SubmitOutcome::Incomplete;
        }
        if let Some(state) = self.states.get(&order.order_id) {
            return SubmitOutcome::Repeated(*state);
        }
        if let Some(running) = &self.running {
            return SubmitOutcome::Busy(running.clone());
        }
        self.fence = self.fence.max(order.fence);
        self.running = Some(order.order_id.clone());
        self.states
            .insert(order.order_id.clone(), OrderState::Running);
        SubmitOutcome::New
    }

    /// Applies an order's change and marks it as done.
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
        self.reconfiguring = false;
        self.running = None;
        self.states.insert(order.order_id.clone(), OrderState::Done);
    }

    /// Returns whether new generations are refused.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.reconfiguring || self.drained
    }
}
