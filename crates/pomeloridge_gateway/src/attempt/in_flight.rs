//! The guard of one attempt: counts it as in flight on its server, and tells at its end what is known
//! of the server since.

use std::cell::Cell;
use std::rc::Rc;

use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_policy::crashes::{RunKey, RunOutcome};
use pomeloridge_policy::dispatch::{InFlightKey, TargetKey};
use pomeloridge_policy::part_crashes::PartRunKey;

use super::Attempts;
use crate::accept::Accepted;
use crate::exchange::Failure;
use crate::state::State;
use crate::token_rate::TokenRate;
use crate::{crash_detection, part_quarantine, peers};

/// Guard that counts a request as in flight on its server until it is dropped.
pub(crate) struct InFlightAttempt {
    state: Rc<State>,
    server: TargetKey,
    key: InFlightKey,
    run: Option<RunKey>,
    /// The run as one of the prompt's parts, if the server is to answer the prompt.
    part_run: Option<PartRunKey>,
    outcome: RunOutcome,
    /// Server whose run this node has cancelled, as another one answered the request.
    cancelled: Rc<Cell<Option<TargetKey>>>,
    _in_flight: CountGuard,
}

impl InFlightAttempt {
    pub(crate) fn new(
        state: &Rc<State>,
        server: TargetKey,
        prefill_tokens: u64,
        attempts: &Attempts<'_>,
    ) -> Self {
        let now = state.now();
        let accepted = attempts.accepted;
        let prompt = accepted.inbound.prompt.as_ref();
        let mut dispatcher = state.dispatcher.borrow_mut();
        let key = dispatcher.begin(server, prefill_tokens, prompt, now);
        let incarnation = dispatcher
            .target(server)
            .map(|target| target.info.incarnation());
        drop(dispatcher);
        peers::announce_prompt(state, server, prefill_tokens);
        let mut crashes = state.crashes.borrow_mut();
        Self {
            state: Rc::clone(state),
            server,
            key,
            run: incarnation
                .map(|incarnation| crashes.start_run(accepted.fingerprint, incarnation)),
            part_run: None,
            outcome: RunOutcome::Lost,
            cancelled: Rc::clone(&attempts.cancelled),
            _in_flight: CountGuard::new(&state.in_flight),
        }
    }

    /// Records that the server is to answer the prompt, not only to read it.
    pub(crate) fn watch_parts(&mut self, accepted: &Accepted) {
        self.part_run = part_quarantine::start_run(&self.state, self.server, accepted);
        if let Some(run) = self.part_run {
            accepted.set_part_run(self.server, run);
        }
    }

    /// Records that the server has sent whole events of the answer.
    pub(crate) fn record_events(&self) {
        if let Some(run) = self.part_run {
            let now = self.state.now();
            let cleared = self.state.parts.borrow_mut().record_output(run, now);
            part_quarantine::record_cleared(&self.state, &cleared);
        }
    }

    /// Records that the server has prefilled the prompt.
    pub(crate) fn record_prefill_done(&self) {
        let now = self.state.now();
        let mut dispatcher = self.state.dispatcher.borrow_mut();
        dispatcher.record_prefill_done(self.key, now);
        dispatcher.mark_reachable(self.server, now);
    }

    /// Records the rate at which the server generated the tokens of a run that moved on.
    pub(crate) fn record_pace(&self, rate: TokenRate) {
        let now = self.state.now();
        if let Some((tokens, span)) = rate.after_first_chunk() {
            let mut dispatcher = self.state.dispatcher.borrow_mut();
            dispatcher.record_decode(self.server, tokens, span, now);
        }
    }

    /// Records the rate at which the server generated tokens, and their number unless the
    /// stream continues one that another server began.
    pub(crate) fn record_output(
        &self,
        accepted: &Accepted,
        rate: TokenRate,
        is_continuation: bool,
    ) {
        let now = self.state.now();
        let mut dispatcher = self.state.dispatcher.borrow_mut();
        if let Some((tokens, span)) = rate.after_first_chunk() {
            dispatcher.record_decode(self.server, tokens, span, now);
        }
        if !is_continuation {
            let estimate = accepted.inbound.length_estimate;
            let (route, tokens) = (&accepted.route.name, rate.total_tokens());
            dispatcher.record_output_tokens(self.server, route, tokens, estimate);
        }
    }

    /// Records how the request ended on the server; the default is that it was lost there.
    pub(crate) fn set_outcome(&mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }

    /// Records a failure; only one that may be a crash counts as a lost run.
    pub(crate) fn record_failure(&mut self, failure: Failure) {
        if !failure.may_be_crash() {
            self.set_outcome(RunOutcome::ServerAlive);
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        // The other server's answer shows that the request did not crash this one.
        if self.outcome == RunOutcome::Lost && self.cancelled.get() == Some(self.server) {
            self.outcome = RunOutcome::ServerAlive;
        }
        self.state.dispatcher.borrow_mut().end(self.key);
        if let Some(run) = self.run {
            let now = self.state.now();
            let mut crashes = self.state.crashes.borrow_mut();
            let ended = crashes.finish_run(run, self.outcome, now);
            drop(crashes);
            if let Some(fingerprint) = ended {
                crash_detection::record_answered(&self.state, &fingerprint);
            }
        }
        if let Some(run) = self.part_run {
            let now = self.state.now();
            let mut parts = self.state.parts.borrow_mut();
            let cleared = parts.finish_run(run, self.outcome, now);
            drop(parts);
            part_quarantine::record_cleared(&self.state, &cleared);
        }
    }
}
