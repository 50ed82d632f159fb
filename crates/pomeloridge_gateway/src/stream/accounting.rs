//! What a stream counts: the work that it asks for, its latencies, and the usage of its account.

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Timer;
use pomeloridge_policy::dispatch::Plan;

use super::{Stream, StreamTiming};
use crate::accept::Accepted;

impl Stream<'_> {
    /// Counts the work of a run: the prompt that it reads, and at the first run also the output that
    /// is expected of the request.
    pub(super) fn count_demand(&self, plan: Plan) {
        let Accepted {
            service,
            route,
            inbound,
            ..
        } = self.accepted;
        let decode_tokens = if self.servers.borrow().is_empty() {
            let expected = self.state.dispatcher.borrow().expected_decode_tokens(
                service,
                &route.name,
                inbound.length_estimate,
                inbound.output_tokens,
            );
            let events = inbound.last_event.unwrap_or_default();
            expected.saturating_sub(events.saturating_mul(self.tokens_per_event))
        } else {
            0
        };
        self.state
            .count_work(service, plan.prefill_tokens, decode_tokens);
    }

    /// Returns the servers to which the request was sent, for the log.
    pub(crate) fn server_labels(&self) -> String {
        let names = self.servers.borrow();
        names.iter().map(Name::as_str).collect::<Vec<_>>().join(",")
    }

    pub(crate) fn timing(&self) -> StreamTiming {
        self.timing
    }

    pub(super) fn record_chunk(&mut self) {
        let now = self.state.now();
        if let Some(last) = self.last_chunk_at.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.timing.longest_gap = self.timing.longest_gap.max(gap);
            self.state.meter.record(Timer::TokenGap, gap);
        } else {
            let first = now.saturating_duration_since(self.accepted.arrived_at);
            self.timing.first_chunk = Some(first);
            self.state.meter.record(Timer::FirstToken, first);
        }
    }

    /// Counts the request for its client account, at most once over all attempts.
    pub(super) fn count_usage_once(&self) {
        if !self.usage_counted.replace(true) {
            self.state.count_usage(self.accepted.account.as_ref());
        }
    }
}
