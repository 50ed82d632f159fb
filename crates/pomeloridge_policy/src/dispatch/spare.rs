//! Room for second attempts: they may use only what other requests leave.

use std::time::Instant;

use pomeloridge_base::id::Name;

use super::sample::Selection;
use super::{DispatchRequest, Dispatcher, Plan, Stage};

/// Requests in flight per slot of a server up to which it takes second attempts.
const MAX_SERVER_USE: f64 = 0.5;
/// Longest prompt that is prefilled once more for a second attempt, in tokens.
const MAX_PREFILL_TOKENS: u64 = 2048;

impl Dispatcher {
    /// Plans a second attempt beside one that is running, at a server with room. Nothing is
    /// reserved, and no ejected server is probed by it.
    pub fn plan_second(&self, request: &DispatchRequest<'_>, now: Instant) -> Option<Plan> {
        let plan = self.plan(request, Selection::Sample, now)?;
        let target = self.target(plan.server)?;
        let room = f64::from(target.info.slots) * MAX_SERVER_USE;
        let has_room = f64::from(target.running(now) + 1) <= room;
        let is_short = plan.prefill_tokens <= MAX_PREFILL_TOKENS;
        (has_room && is_short && !target.is_ejected()).then_some(plan)
    }

    /// Returns the requests in flight per slot of the servers that run a service's requests.
    pub fn service_use(&self, service: &Name, now: Instant) -> f64 {
        let targets = self.targets.values().filter(|target| {
            target.info.service == *service
                && target.info.stage != Stage::Prefill
                && !target.is_leaving()
                && !target.is_ejected()
        });
        let (running, slots) = targets.fold((0, 0), |(running, slots), target| {
            (running + target.running(now), slots + target.info.slots)
        });
        f64::from(running) / f64::from(slots.max(1))
    }
}
