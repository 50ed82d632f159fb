//! The attempts of one request: which server it is sent to, whether it is retried, and the
//! final refusal.

mod in_flight;
mod log_send;
mod other;
mod retry_blocker;

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::error::{ErrorKind, RunStatus};
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_base::refusal::Refusal;
use pomeloridge_policy::crashes::QUARANTINE_CRASHES;
use pomeloridge_policy::dispatch::{AnswerNeeds, DispatchRequest, Plan, TargetKey};

use crate::accept::{Accepted, Trial};
use crate::account_quota::RunCredits;
use crate::config::Route;
use crate::crash_detection;
use crate::exchange::Failure;
use crate::part_quarantine;
use crate::silence::SilentWork;
use crate::state::State;
use crate::versions;

pub(crate) use in_flight::InFlightAttempt;
use other::{OtherAttempt, OtherState};
pub(crate) use retry_blocker::RetryBlocker;

/// Default and shortest retry delay that a refusal gives the caller.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Upper bound of the random factor that spreads the callers' retries after a backoff ends.
const MAX_RETRY_JITTER_FACTOR: f64 = 1.25;
/// Number of server refusals after which a request is no longer retried.
const MAX_REFUSED_SENDS: usize = 3;

/// The attempts made so far for one request.
pub(crate) struct Attempts<'a> {
    state: &'a Rc<State>,
    accepted: &'a Accepted,
    tried: Vec<TargetKey>,
    /// Attempts after which a server may have run the request.
    possible_runs: u32,
    /// Attempts that reached a server.
    deliveries: u32,
    /// Attempts that a server refused without running the request.
    refusals: usize,
    /// Whether a separate prefill was planned, which happens at most once.
    prefill_tried: bool,
    /// Latest failure after which a server may have run the request.
    last_run_failure: Option<Failure>,
    /// When the latest attempt was planned.
    last_sent_at: Instant,
    /// When the next attempt was charged to the retry budget, if it was.
    next_charge: Cell<Option<Instant>>,
    /// The same for the running or latest attempt.
    charge: Option<Instant>,
    /// The attempt beside the running or latest one, if a hedge was begun.
    other: Cell<Option<OtherAttempt>>,
    /// Server of the attempt that was cancelled as the other one was answered.
    cancelled: Rc<Cell<Option<TargetKey>>>,
    /// Credit of its client account for the runs.
    pub(crate) credits: RunCredits<'a>,
    /// Software version at which the request may run, once it is bound to one.
    version: OnceCell<Name>,
}

impl Drop for Attempts<'_> {
    /// Gives back the charge of an attempt that is not made.
    fn drop(&mut self) {
        if let Some(spent_at) = self.next_charge.take() {
            let service = &self.accepted.service;
            self.state.give_back_retry(service, spent_at);
        }
    }
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(state: &'a Rc<State>, accepted: &'a Accepted) -> Self {
        Self {
            state,
            accepted,
            tried: Vec::new(),
            possible_runs: 0,
            deliveries: 0,
            refusals: 0,
            prefill_tried: false,
            last_run_failure: None,
            last_sent_at: accepted.arrived_at,
            next_charge: Cell::default(),
            charge: None,
            other: Cell::default(),
            cancelled: Rc::default(),
            credits: RunCredits::new(state, accepted),
            version: OnceCell::new(),
        }
    }

    /// Binds the request to a software version, if its stream may go on elsewhere and it is not
    /// bound yet. Must be called before an event of the stream is forwarded.
    pub(crate) fn bind(&self, version: &Name) {
        let accepted = self.accepted;
        if accepted.route.kind.is_resumable() && self.version.set(version.clone()).is_ok() {
            versions::record_begun(
                self.state,
                &accepted.service,
                accepted.first_attempt(),
                version,
                accepted.caller_deadline,
            );
        }
    }

    pub(crate) fn accepted(&self) -> &'a Accepted {
        self.accepted
    }

    pub(crate) fn state(&self) -> &'a Rc<State> {
        self.state
    }

    /// Returns the request's id for the log.
    pub(crate) fn label(&self) -> &str {
        self.accepted.inbound.label()
    }

    /// Returns what the caller needs from now on.
    pub(crate) fn needs(&self, now: Instant) -> AnswerNeeds {
        let Accepted {
            route,
            service,
            inbound,
            ..
        } = self.accepted;
        let needs = self.accepted.needs(now);
        with_expected_answer(self.state, route, service, inbound.length_estimate, needs)
    }

    /// Takes the credit for the next run, unless it is there, or returns the final refusal.
    pub(crate) async fn charge_run(&self) -> Result<(), Refusal> {
        self.credits.charge().await.map_err(|refusal| {
            let own = self.refusal(refusal.kind);
            if own.kind == refusal.kind {
                refusal
            } else {
                own
            }
        })
    }

    /// Chooses the server of the next attempt, or returns the final refusal.
    pub(crate) fn choose(&mut self) -> Result<Plan, Refusal> {
        let (state, accepted) = (self.state, self.accepted);
        let now = state.now();
        if accepted.time_left(now).is_zero() {
            log::info!(
                "request id={} choice=refuse reason=\"deadline passed\"",
                accepted.inbound.label()
            );
            return Err(self.refusal(ErrorKind::DeadlinePassed));
        }
        part_quarantine::grant_trial(state, accepted);
        if let Some(quarantine_left) = state.quarantine_left(accepted) {
            state.meter.increment(Counter::Quarantined);
            log::info!(
                "request id={} print={} choice=refuse reason=\"servers ended under it\" \
                 left_ms={} parts={}",
                accepted.inbound.label(),
                accepted.fingerprint,
                quarantine_left.as_millis(),
                accepted.part_labels()
            );
            return Err(Refusal {
                retry_after: Some(quarantine_left),
                ..self.refusal(ErrorKind::Quarantined)
            });
        }
        let request = DispatchRequest {
            service: &accepted.service,
            prompt: accepted.inbound.prompt.as_ref(),
            tried: &self.tried,
            allow_separate_prefill: !self.prefill_tried
                && accepted.inbound.last_event.is_none()
                && accepted.trial.get() == Trial::None,
            version: self.version.get(),
            needs: self.needs(now),
        };
        let expected_tokens = request.needs.output_tokens;
        let plan = state.dispatcher.borrow_mut().choose(&request, now);
        let Some(plan) = plan else {
            log::info!(
                "request id={} choice=refuse service={} version={} tried={} over_limit={} \
                 reason=\"no server available\"",
                accepted.inbound.label(),
                accepted.service,
                self.version.get().cloned().unwrap_or_default(),
                self.tried.len(),
                state
                    .dispatcher
                    .borrow()
                    .over_limit_count(&accepted.service, now)
            );
            return Err(self.no_server_refusal(now));
        };
        let may_be_late = self.deliveries > 0 || accepted.continues_stream();
        if !may_be_late && accepted.caller_gives_up_before(plan.ttft) {
            log::info!(
                "request id={} choice=refuse service={} server={} unread={} predicted_ms={} \
                 reason=\"the caller would time out before the first chunk\"",
                accepted.inbound.label(),
                accepted.service,
                state.server_name(plan.prefill.unwrap_or(plan.server)),
                plan.prefill_tokens,
                plan.ttft.as_millis()
            );
            return Err(Refusal {
                retry_after: Some(self.overload_retry_after(plan.ttft)),
                ..self.refusal(ErrorKind::Overloaded)
            });
        }
        self.last_sent_at = now;
        self.charge = self.next_charge.take();
        self.prefill_tried |= plan.prefill.is_some();
        self.log_send(&plan, expected_tokens, now);
        Ok(plan)
    }

    /// Chooses the engine that generates the output after a separate prefill.
    ///
    /// The prefill takes time, so this engine may differ from the planned one.
    pub(crate) fn choose_decode_engine(&self, plan: Plan) -> Plan {
        let now = self.state.now();
        let request = DispatchRequest {
            service: &self.accepted.service,
            prompt: self.accepted.inbound.prompt.as_ref(),
            tried: &self.tried,
            allow_separate_prefill: false,
            version: self.version.get(),
            needs: self.needs(now),
        };
        let dispatcher = self.state.dispatcher.borrow();
        let prefill_server = plan.prefill.unwrap_or(plan.server);
        let run = dispatcher.choose_decode_engine(&request, prefill_server, now);
        let run = run.unwrap_or(plan.server);
        drop(dispatcher);
        if run != plan.server {
            log::info!(
                "request id={} choice=run_elsewhere server={} reason=\"prompt read\"",
                self.accepted.inbound.label(),
                self.state.server_name(run)
            );
        }
        Plan {
            server: run,
            ..plan
        }
    }

    /// Records a failed attempt; `Ok` means that the request is retried.
    pub(crate) async fn handle_failure(
        &mut self,
        server: TargetKey,
        failure: Failure,
    ) -> Result<(), Refusal> {
        self.probe_for_crash(server, failure).await;
        self.settle_other();
        let mut retry = self.check_retry(server, failure);
        if retry.is_ok() && self.credits.charge().await.is_err() {
            retry = Err(RetryBlocker::Allotment);
        }
        log::info!(
            "request id={} print={} server={} failure={failure} again={}{} parts={}",
            self.accepted.inbound.label(),
            self.accepted.fingerprint,
            self.state.server_name(server),
            retry.is_ok(),
            retry
                .err()
                .map(|blocker| format!(" by={blocker}"))
                .unwrap_or_default(),
            self.accepted.part_labels()
        );
        match retry {
            Ok(()) => {
                self.state.meter.increment(Counter::Retries);
                Ok(())
            }
            Err(_) => Err(self.refusal(final_error_kind(failure))),
        }
    }

    /// Starts a probe of a server that may have crashed. If one more crash would quarantine the
    /// request, waits for the probe's result before the request can be retried, which it can't be
    /// after its deadline.
    async fn probe_for_crash(&self, server: TargetKey, failure: Failure) {
        if !failure.may_be_crash() {
            return;
        }
        let state = self.state;
        crash_detection::probe(state, server);
        let crashes = state
            .crashes
            .borrow()
            .crash_count(&self.accepted.fingerprint, state.now());
        let parts = &self.accepted.shared_parts;
        if crashes + 1 >= QUARANTINE_CRASHES || state.parts.borrow().is_nearly_quarantined(parts) {
            crash_detection::wait_for_probe(state, server, self.accepted.deadline).await;
        }
    }

    fn check_retry(&mut self, server: TargetKey, failure: Failure) -> Result<(), RetryBlocker> {
        self.record_failure(server, failure);
        let kind = self.accepted.route.kind;
        if !failure.not_run() && !kind.is_retryable() {
            return Err(RetryBlocker::Kind);
        }
        if self.possible_runs >= self.accepted.route.max_attempts {
            return Err(RetryBlocker::Attempts);
        }
        if self.refusals >= MAX_REFUSED_SENDS {
            return Err(RetryBlocker::Refusals);
        }
        if self.accepted.time_left(self.state.now()).is_zero() {
            return Err(RetryBlocker::Deadline);
        }
        // Only an attempt that reached a server makes the next one a retry.
        if self.deliveries > 0 && !self.charge_next() {
            return Err(RetryBlocker::Budget);
        }
        Ok(())
    }

    /// Charges the next attempt to the retry budget unless it is charged already; returns whether
    /// the budget allows it.
    fn charge_next(&self) -> bool {
        let charge = self.next_charge.get();
        let charge = charge.or_else(|| self.state.try_spend_retry(&self.accepted.service));
        self.next_charge.set(charge);
        charge.is_some()
    }

    /// Reserves a retry of a request whose server is silent, if another server may take it over
    /// now. A server that is silent since the request was sent is ejected in any case.
    pub(crate) fn reserve_retry(
        &self,
        server: TargetKey,
        work: SilentWork,
    ) -> Result<(), RetryBlocker> {
        let reserved = self.try_reserve(server, work);
        if reserved.is_err() {
            self.eject_if_dead(server, Failure::TimedOut);
        }
        reserved
    }

    fn try_reserve(&self, server: TargetKey, work: SilentWork) -> Result<(), RetryBlocker> {
        let (state, accepted) = (self.state, self.accepted);
        let other = self.other.get();
        if other.is_some_and(|other| other.state == OtherState::Running) {
            return Err(RetryBlocker::Hedge);
        }
        let runs = [work == SilentWork::Run, other.is_some()].map(u32::from);
        let runs = self.possible_runs + runs.iter().sum::<u32>();
        if runs >= accepted.route.max_attempts {
            return Err(RetryBlocker::Attempts);
        }
        if self.refusals >= MAX_REFUSED_SENDS {
            return Err(RetryBlocker::Refusals);
        }
        if state.quarantine_left(accepted).is_some() {
            return Err(RetryBlocker::Quarantine);
        }
        let tried = self.tried_with(server);
        let now = state.now();
        let request = self.request_beside(&tried, now);
        if !state.dispatcher.borrow().has_server(&request, now) {
            return Err(RetryBlocker::Servers);
        }
        if !self.credits.may_charge() {
            return Err(RetryBlocker::Allotment);
        }
        if !state.has_retry(&accepted.service) || !self.charge_next() {
            return Err(RetryBlocker::Budget);
        }
        Ok(())
    }

    /// Records a failed prefill; `Ok` means that the request runs without a separate prefill.
    ///
    /// The run is still the request's first, but it is charged to the retry budget if the
    /// prefill reached an engine.
    pub(crate) async fn handle_prefill_failure(
        &mut self,
        prefill_server: TargetKey,
        failure: Failure,
    ) -> Result<(), Refusal> {
        self.probe_for_crash(prefill_server, failure).await;
        self.eject_if_dead(prefill_server, failure);
        let blocker = if self.accepted.time_left(self.state.now()).is_zero() {
            Some(RetryBlocker::Deadline)
        } else {
            let is_allowed = !failure.reached_server() || self.charge_next();
            (!is_allowed).then_some(RetryBlocker::Budget)
        };
        log::info!(
            "request id={} print={} server={} failure={failure} choice={}{}",
            self.accepted.inbound.label(),
            self.accepted.fingerprint,
            self.state.server_name(prefill_server),
            if blocker.is_none() {
                "run_without_prefill"
            } else {
                "refuse"
            },
            blocker
                .map(|blocker| format!(" by={blocker}"))
                .unwrap_or_default()
        );
        match blocker {
            None => {
                self.charge = self.next_charge.take().or(self.charge);
                Ok(())
            }
            Some(RetryBlocker::Deadline) => Err(self.refusal(ErrorKind::DeadlinePassed)),
            Some(_) => Err(self.refusal(ErrorKind::Overloaded)),
        }
    }

    /// Counts a failed attempt and ejects the server if it appears to be dead.
    fn record_failure(&mut self, server: TargetKey, failure: Failure) {
        self.count_failure(server, failure);
        self.eject_if_dead(server, failure);
    }

    fn count_failure(&mut self, server: TargetKey, failure: Failure) {
        self.credits.end_run(failure.not_run());
        if failure != Failure::StaleConnection {
            self.tried.push(server);
        }
        if failure.reached_server() {
            self.deliveries += 1;
        } else if self.charge.is_some() {
            // Nothing was sent, so that the charge holds for the next attempt.
            self.next_charge.set(self.charge.take());
        }
        if failure.not_run() {
            if failure.reached_server() {
                self.refusals += 1;
                part_quarantine::record_refusal(self.state, self.accepted);
            }
        } else {
            self.possible_runs += 1;
            self.last_run_failure = Some(failure);
        }
    }

    fn eject_if_dead(&self, server: TargetKey, failure: Failure) {
        let state = self.state;
        let now = state.now();
        let mut dispatcher = state.dispatcher.borrow_mut();
        if failure == Failure::Refused {
            dispatcher.record_refusal(server, now);
            return;
        }
        let is_dead = match failure {
            Failure::Unreachable | Failure::NotListening | Failure::Misdirected => true,
            // A server that answers other requests is slow, not dead.
            // Nor is one whose answer arrived while this process was paused.
            Failure::TimedOut => {
                dispatcher.read_time_left(now).is_zero()
                    && dispatcher.is_silent_since(server, self.last_sent_at)
            }
            _ => false,
        };
        drop(dispatcher);
        if is_dead {
            state.eject(server, failure);
        }
        if failure == Failure::NotListening {
            crash_detection::record_crash(state, server);
        }
    }

    /// Builds a refusal that tells the caller whether the request may have run.
    pub(crate) fn refusal(&self, kind: ErrorKind) -> Refusal {
        let run = self.run_state();
        // "Not run" may be claimed only if no server can have run the request.
        let kind = match (kind.answer().run, run) {
            (RunStatus::NotRun, RunStatus::Unknown) => self
                .last_run_failure
                .map_or(ErrorKind::ServerLost, final_error_kind),
            _ => kind,
        };
        Refusal {
            run: Some(run),
            retry_after: kind.answer().retry_after.map(|_| DEFAULT_RETRY_AFTER),
            ..Refusal::from(kind)
        }
    }

    /// Builds the refusal for a service without an available server. The retry delay lasts until
    /// the first server takes requests again after its backoff or by its limit, with jitter so
    /// that callers don't retry all at once.
    fn no_server_refusal(&self, now: Instant) -> Refusal {
        let dispatcher = self.state.dispatcher.borrow();
        let wait = dispatcher.shortest_wait(&self.accepted.service, self.version.get(), now);
        let refusal = self.refusal(ErrorKind::NoServer);
        Refusal {
            retry_after: wait.map_or(refusal.retry_after, |wait| {
                let spread = wait.mul_f64(rand::random_range(1.0..MAX_RETRY_JITTER_FACTOR));
                Some(spread.max(DEFAULT_RETRY_AFTER))
            }),
            ..refusal
        }
    }

    /// Returns the time until the queue should be short enough, with jitter so that callers don't
    /// retry all at once.
    fn overload_retry_after(&self, predicted: Duration) -> Duration {
        let excess = predicted.saturating_sub(self.accepted.route.latency_target);
        excess
            .mul_f64(rand::random_range(0.5..1.0))
            .max(DEFAULT_RETRY_AFTER)
    }

    fn run_state(&self) -> RunStatus {
        if self.possible_runs == 0 {
            RunStatus::NotRun
        } else {
            RunStatus::Unknown
        }
    }
}

/// Adds to a caller's needs the expected length of its answer.
pub(crate) fn with_expected_answer(
    state: &State,
    route: &Route,
    service: &Name,
    length_estimate: Option<u64>,
    needs: AnswerNeeds,
) -> AnswerNeeds {
    let dispatcher = state.dispatcher.borrow();
    let expected = dispatcher.expected_length(&route.name, length_estimate);
    let config = state.config();
    let service = config
        .as_ref()
        .and_then(|config| config.services.get(service));
    let engine = service.and_then(|service| service.engine);
    let tokens = expected.map(|expected| expected.tokens);
    AnswerNeeds {
        output_tokens: tokens.into_iter().chain(needs.output_tokens).min(),
        length_spread: expected.map_or(needs.length_spread, |expected| expected.spread),
        event_tokens: engine.map(|engine| engine.tokens_per_event as u32),
        ..needs
    }
}

/// Returns the error that the caller gets if the last attempt failed like this.
fn final_error_kind(failure: Failure) -> ErrorKind {
    match failure {
        Failure::Unreachable
        | Failure::NotListening
        | Failure::Leaving
        | Failure::BackingOff
        | Failure::OverLimit
        | Failure::Misdirected => ErrorKind::NoServer,
        Failure::Refused => ErrorKind::Overloaded,
        Failure::StaleConnection | Failure::ConnectionLost => ErrorKind::ServerLost,
        Failure::Quarantined => ErrorKind::Quarantined,
        Failure::InvalidResponse | Failure::ServerError => ErrorKind::ServerFault,
        Failure::TimedOut => ErrorKind::DeadlinePassed,
    }
}
