//! The log line of a send, with what the choice of its server rests on.

use std::time::Instant;

use pomeloridge_policy::dispatch::Plan;

use super::Attempts;

impl Attempts<'_> {
    /// Logs a send that begins now.
    pub(super) fn log_send(&self, plan: &Plan, expected_tokens: Option<u32>, now: Instant) {
        let (state, accepted) = (self.state, self.accepted);
        let speed = state.dispatcher.borrow().known_speed(plan.server, now);
        log::info!(
            "request id={} print={} choice=send route={} service={} server={} version={} \
             prefill={} unread={} fetch={} predicted_ms={} predicted_end_ms={} \
             expected_tokens={} running={} speed={:.2} slowdown={} attempt={} left_ms={} parts={}",
            accepted.inbound.label(),
            accepted.fingerprint,
            accepted.route.name,
            accepted.service,
            state.server_name(plan.server),
            state.server_version(plan.server),
            plan.prefill
                .map(|key| state.server_name(key))
                .unwrap_or_default(),
            plan.prefill_tokens,
            plan.fetch_from
                .map(|key| state.server_name(key))
                .unwrap_or_default(),
            plan.ttft.as_millis(),
            plan.end.as_millis(),
            expected_tokens.unwrap_or_default(),
            speed.running,
            speed.factor,
            speed.slowdown_label(),
            self.deliveries + 1,
            accepted.time_left(now).as_millis(),
            accepted.part_labels()
        );
    }
}
