//! This node's parts of the budgets that bound retries and hedges.

use std::time::Instant;

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_base::settings::SettingValues;
use pomeloridge_policy::fleet_retry_budget::{AllowanceShare, FleetRetryBudget, FleetRetryLimits};
use pomeloridge_policy::hedging::HedgeLimits;

use super::State;

impl State {
    /// Returns this node's share of the fleet's fixed retry allowance.
    fn allowance_share(&self) -> AllowanceShare {
        AllowanceShare {
            // Silent nodes may still be running, cut off, and spend their shares.
            nodes: self.peers.borrow().known_count() + 1,
            available_from: self.allowance_from.get(),
        }
    }

    /// Returns whether this node's share of the fleet's budget allows one more retry.
    pub(crate) fn has_retry(&self, service: &Name) -> bool {
        let share = self.allowance_share();
        self.with_budget(service, |budget, now| budget.usage(share, now).has_room())
    }

    /// Charges a retry to this node's share of the fleet's budget; returns when, or `None` if it is
    /// not allowed.
    pub(crate) fn try_spend_retry(&self, service: &Name) -> Option<Instant> {
        let share = self.allowance_share();
        let (usage, spent_at) = self.with_budget(service, |budget, now| {
            let usage = budget.usage(share, now);
            (usage, budget.try_spend(share, now).then_some(now))
        });
        if spent_at.is_none() {
            let mut hedging = self.hedging.borrow_mut();
            hedging.record_retry_denied(service, self.now());
            drop(hedging);
            self.meter.increment(Counter::RetriesDenied);
            log::info!(
                "repeats service={service} choice=deny made={} bound={:.1} nodes={}",
                usage.used,
                usage.limit,
                share.nodes
            );
        }
        spent_at
    }

    /// Charges a retry that is not needed, as [`Self::try_spend_retry`] does, if the budget has room
    /// for others besides.
    pub(crate) fn try_spend_spare(&self, service: &Name) -> Option<Instant> {
        let share = self.allowance_share();
        self.with_budget(service, |budget, now| {
            budget.try_spend_spare(share, now).then_some(now)
        })
    }

    /// Gives back a retry that was charged at `spent_at` and has not been sent.
    pub(crate) fn give_back_retry(&self, service: &Name, spent_at: Instant) {
        self.with_budget(service, |budget, _| budget.give_back(spent_at));
    }

    /// Counts a request, which increases the retry budget of its service.
    pub(crate) fn count_request(&self, service: &Name) {
        self.with_budget(service, FleetRetryBudget::record_request);
    }

    fn with_budget<T>(
        &self,
        service: &Name,
        act: impl FnOnce(&mut FleetRetryBudget, Instant) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| FleetRetryBudget::new(self.retry_limits()));
        act(budget, self.now())
    }

    fn retry_limits(&self) -> FleetRetryLimits {
        retry_limits(&self.settings())
    }

    /// Reloads the settings; if `requested`, the result is logged even if nothing has changed.
    pub(crate) fn reload(&self, requested: bool) {
        self.settings.reload(requested);
        let limits = self.retry_limits();
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_limits(limits);
        }
        let limits = hedge_limits(&self.settings());
        self.hedging.borrow_mut().set_limits(limits);
    }
}

pub(super) fn retry_limits(settings: &SettingValues) -> FleetRetryLimits {
    FleetRetryLimits {
        ratio: settings.amount("repeats", "ratio"),
        allowance: settings.amount("repeats", "slack"),
        window: settings.time("repeats", "window_s"),
    }
}

pub(super) fn hedge_limits(settings: &SettingValues) -> HedgeLimits {
    HedgeLimits {
        share: settings.amount("hedge", "share"),
        most: settings.number("hedge", "most"),
    }
}
