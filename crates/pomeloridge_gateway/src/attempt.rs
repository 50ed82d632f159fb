//! The attempts at one request: which server, whether again, and the final refusal.

use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::counted::Counted;
use pomeloridge_base::error::{ErrorKind, Run};
use pomeloridge_base::meter::Counter;
use pomeloridge_base::refusal::Refusal;
use pomeloridge_policy::crashes::{KNOWN_ENDS, RunEnd, RunKey};
use pomeloridge_policy::dispatch::{DispatchRequest, InFlightKey, Plan, TargetKey};

use crate::accept::Accepted;
use crate::exchange::Failure;
use crate::pace::Pace;
use crate::server_end;
use crate::state::State;

/// When a caller may come back to a service that has no free server.
const COME_BACK: Duration = Duration::from_millis(400);
/// Part of a servers' time by which callers return later than it, at most.
const RETURN_SPREAD: f64 = 1.25;
/// Sendings of one request that a server refused unread, at most.
const REFUSED_SENDS: usize = 3;

/// Keeps a request counted on its server until it is dropped.
pub(crate) struct Sent {
    state: Rc<State>,
    server: TargetKey,
    key: InFlightKey,
    run: Option<RunKey>,
    end: RunEnd,
    _running: Counted,
}

impl Sent {
    pub(crate) fn new(
        state: &Rc<State>,
        server: TargetKey,
        unread: u64,
        accepted: &Accepted,
    ) -> Self {
        let now = state.now();
        let prompt = accepted.inbound.prompt.as_ref();
        let mut dispatcher = state.dispatcher.borrow_mut();
        let key = dispatcher.begin(server, unread, prompt, now);
        let start = dispatcher
            .target(server)
            .map(|target| target.info.incarnation());
        drop(dispatcher);
        let mut crashes = state.crashes.borrow_mut();
        Self {
            state: Rc::clone(state),
            server,
            key,
            run: start.map(|start| crashes.begin(accepted.print, start)),
            end: RunEnd::Lost,
            _running: Counted::new(&state.in_flight),
        }
    }

    /// The server.
    pub(crate) fn server(&self) -> TargetKey {
        self.server
    }

    /// Notes that the server has read the prompt.
    pub(crate) fn prompt_read(&self) {
        let now = self.state.now();
        let mut dispatcher = self.state.dispatcher.borrow_mut();
        dispatcher.record_prefill_done(self.key, now);
        dispatcher.mark_reachable(self.server, now);
    }

    /// Notes the pace at which the server made the pieces of a whole stream, or of the rest
    /// of one.
    pub(crate) fn made(&self, pace: Pace, rest: bool) {
        let now = self.state.now();
        let mut dispatcher = self.state.dispatcher.borrow_mut();
        if let Some((tokens, span)) = pace.after_first() {
            dispatcher.record_decode(self.server, tokens, span, now);
        }
        if !rest {
            dispatcher.record_output_tokens(self.server, pace.tokens());
        }
    }

    /// Notes how the request ended on the server; not told, it was lost there.
    pub(crate) fn ended(&mut self, end: RunEnd) {
        self.end = end;
    }

    /// Notes a failure, which may have left the server alive or untouched.
    pub(crate) fn failed(&mut self, failure: Failure) {
        if !failure.may_be_end() {
            self.ended(RunEnd::Settled);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.state.dispatcher.borrow_mut().end(self.key);
        if let Some(run) = self.run {
            let now = self.state.now();
            self.state.crashes.borrow_mut().end(run, self.end, now);
        }
    }
}

/// What was tried for a request.
pub(crate) struct Attempts<'a> {
    state: &'a Rc<State>,
    accepted: &'a Accepted,
    tried: Vec<TargetKey>,
    /// Servers that may have run it.
    runs: u32,
    /// Sendings that reached a server.
    arrivals: u32,
    refused: usize,
    /// Whether its prompt was sent to be read apart; that is tried once.
    prefilled: bool,
    /// The latest failure after which it may have run.
    ran: Option<Failure>,
    /// When the latest sending was decided.
    sent: Instant,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(state: &'a Rc<State>, accepted: &'a Accepted) -> Self {
        Self {
            state,
            accepted,
            tried: Vec::new(),
            runs: 0,
            arrivals: 0,
            refused: 0,
            prefilled: false,
            ran: None,
            sent: accepted.arrived,
        }
    }

    /// Chooses where the request goes next; a refusal is final.
    pub(crate) fn choose(&mut self) -> Result<Plan, Refusal> {
        let (state, accepted) = (self.state, self.accepted);
        let now = state.now();
        if accepted.left(now).is_zero() {
            return Err(self.refusal(ErrorKind::DeadlinePassed));
        }
        if let Some(left) = state.quarantine_left(accepted) {
            state.meter.one(Counter::Quarantined);
            log::info!(
                "request id={} print={} choice=refuse reason=\"servers ended under it\" \
                 left_ms={}",
                accepted.inbound.label(),
                accepted.print,
                left.as_millis()
            );
            return Err(Refusal {
                retry: Some(left),
                ..self.refusal(ErrorKind::Quarantined)
            });
        }
        let wanted = DispatchRequest {
            service: &accepted.service,
            prompt: accepted.inbound.prompt.as_ref(),
            tried: &self.tried,
            allow_separate_prefill: !self.prefilled && accepted.inbound.last_event.is_none(),
        };
        let plan = state.dispatcher.borrow_mut().choose(&wanted, now);
        let Some(plan) = plan else {
            log::info!(
                "request id={} choice=refuse service={} tried={} reason=\"no server takes it\"",
                accepted.inbound.label(),
                accepted.service,
                self.tried.len()
            );
            return Err(self.no_server(now));
        };
        if self.arrivals == 0 && accepted.gives_up_before(plan.ttft) {
            log::info!(
                "request id={} choice=refuse service={} server={} unread={} predicted_ms={} \
                 reason=\"the caller would leave before its first piece\"",
                accepted.inbound.label(),
                accepted.service,
                state.server_name(plan.prefill.unwrap_or(plan.server)),
                plan.prefill_tokens,
                plan.ttft.as_millis()
            );
            return Err(Refusal {
                retry: Some(self.come_back(plan.ttft)),
                ..self.refusal(ErrorKind::Overloaded)
            });
        }
        self.sent = now;
        self.prefilled |= plan.prefill.is_some();
        log::info!(
            "request id={} print={} choice=send route={} service={} server={} prefill={} \
             unread={} fetch={} predicted_ms={} attempt={} left_ms={}",
            accepted.inbound.label(),
            accepted.print,
            accepted.route.name,
            accepted.service,
            state.server_name(plan.server),
            plan.prefill
                .map(|key| state.server_name(key))
                .unwrap_or_default(),
            plan.prefill_tokens,
            plan.fetch_from
                .map(|key| state.server_name(key))
                .unwrap_or_default(),
            plan.ttft.as_millis(),
            self.arrivals + 1,
            accepted.left(now).as_millis()
        );
        Ok(plan)
    }

    /// The engine that runs a request whose prompt has been read for it.
    pub(crate) fn choose_maker(&self, plan: Plan) -> Plan {
        let wanted = DispatchRequest {
            service: &self.accepted.service,
            prompt: self.accepted.inbound.prompt.as_ref(),
            tried: &self.tried,
            allow_separate_prefill: false,
        };
        let dispatcher = self.state.dispatcher.borrow();
        let reader = plan.prefill.unwrap_or(plan.server);
        let run = dispatcher.choose_decode_engine(&wanted, reader, self.state.now());
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

    /// Takes in a failed attempt; `Ok` means that the request is sent again.
    pub(crate) async fn failed(
        &mut self,
        server: TargetKey,
        failure: Failure,
    ) -> Result<(), Refusal> {
        self.look_for_end(server, failure).await;
        let again = self.may_repeat(server, failure);
        log::info!(
            "request id={} print={} server={} failure={failure} again={}",
            self.accepted.inbound.label(),
            self.accepted.print,
            self.state.server_name(server),
            again.is_ok()
        );
        if again.is_ok() {
            self.state.meter.one(Counter::Retries);
        }
        again
    }

    /// Looks whether the server has ended; where one more end bars the request, that is
    /// known before it is sent again.
    async fn look_for_end(&self, server: TargetKey, failure: Failure) {
        if !failure.may_be_end() {
            return;
        }
        let state = self.state;
        server_end::look(state, server);
        let ends = state
            .crashes
            .borrow()
            .ends(&self.accepted.print, state.now());
        if ends + 1 >= KNOWN_ENDS {
            server_end::looked(state, server).await;
        }
    }

    fn may_repeat(&mut self, server: TargetKey, failure: Failure) -> Result<(), Refusal> {
        self.note(server, failure);
        let kind = self.accepted.route.kind;
        if !failure.not_run() && !kind.is_retryable() {
            return Err(self.refusal(final_kind(failure)));
        }
        let spent = self.runs >= self.accepted.route.max_attempts || self.refused >= REFUSED_SENDS;
        // Only a sending that reached a server makes the next one a repeat.
        let repeat = self.arrivals > 0;
        if spent || (repeat && !self.state.try_spend_retry(&self.accepted.service)) {
            return Err(self.refusal(final_kind(failure)));
        }
        Ok(())
    }

    /// Takes in a prefill that failed; `Ok` means that its request runs without it.
    ///
    /// The run is the request's first, but where the prefill reached an engine the two
    /// together count as a repeat.
    pub(crate) async fn prefill_failed(
        &mut self,
        reader: TargetKey,
        failure: Failure,
    ) -> Result<(), Refusal> {
        self.look_for_end(reader, failure).await;
        self.eject_if_dead(reader, failure);
        let runs = !failure.arrived() || self.state.try_spend_retry(&self.accepted.service);
        log::info!(
            "request id={} print={} server={} failure={failure} choice={}",
            self.accepted.inbound.label(),
            self.accepted.print,
            self.state.server_name(reader),
            if runs {
                "run_without_prefill"
            } else {
                "refuse"
            }
        );
        if runs {
            Ok(())
        } else {
            Err(self.refusal(ErrorKind::Overloaded))
        }
    }

    /// Takes in what a failure says of the server.
    fn note(&mut self, server: TargetKey, failure: Failure) {
        if failure != Failure::Stale {
            self.tried.push(server);
        }
        if failure.arrived() {
            self.arrivals += 1;
        }
        if failure.not_run() {
            self.refused += usize::from(failure.arrived());
        } else {
            self.runs += 1;
            self.ran = Some(failure);
        }
        self.eject_if_dead(server, failure);
    }

    fn eject_if_dead(&self, server: TargetKey, failure: Failure) {
        let state = self.state;
        let now = state.now();
        let mut dispatcher = state.dispatcher.borrow_mut();
        if failure == Failure::Refused {
            dispatcher.record_refusal(server, now);
            return;
        }
        let dead = match failure {
            Failure::Unreachable | Failure::NotListening | Failure::Misdirected => true,
            // A server that answers others is slow, not gone.
            Failure::Silent => dispatcher.is_silent_since(server, self.sent),
            _ => false,
        };
        drop(dispatcher);
        if dead {
            state.eject(server, failure);
        }
        if failure == Failure::NotListening {
            server_end::ended(state, server);
        }
    }

    /// A refusal that says truthfully whether the request has run.
    fn refusal(&self, kind: ErrorKind) -> Refusal {
        let run = self.run();
        // "Not run" stands only where no server may have run it.
        let kind = match (kind.answer().run, run) {
            (Run::NotRun, Run::Unknown) => self.ran.map_or(ErrorKind::ServerLost, final_kind),
            _ => kind,
        };
        Refusal {
            run: Some(run),
            retry: kind.answer().retry.map(|_| COME_BACK),
            ..Refusal::from(kind)
        }
    }

    /// The refusal while no server takes the request: it may come back once one wants
    /// requests again, not all at that very moment.
    fn no_server(&self, now: Instant) -> Refusal {
        let dispatcher = self.state.dispatcher.borrow();
        let first = dispatcher.shortest_backoff(&self.accepted.service, now);
        let refusal = self.refusal(ErrorKind::NoServer);
        Refusal {
            retry: first.map_or(refusal.retry, |first| {
                Some(first.mul_f64(rand::random_range(1.0..RETURN_SPREAD)))
            }),
            ..refusal
        }
    }

    /// When the queue is short enough again, spread so that callers don't return together.
    fn come_back(&self, predicted: Duration) -> Duration {
        let wait = predicted.saturating_sub(self.accepted.route.latency_target);
        wait.mul_f64(rand::random_range(0.5..1.0)).max(COME_BACK)
    }

    fn run(&self) -> Run {
        if self.runs == 0 {
            Run::NotRun
        } else {
            Run::Unknown
        }
    }
}

/// The answer after the last attempt.
fn final_kind(failure: Failure) -> ErrorKind {
    match failure {
        Failure::Unreachable
        | Failure::NotListening
        | Failure::Leaving
        | Failure::Away
        | Failure::Misdirected => ErrorKind::NoServer,
        Failure::Refused => ErrorKind::Overloaded,
        Failure::Stale | Failure::Lost => ErrorKind::ServerLost,
        Failure::Barred => ErrorKind::Quarantined,
        Failure::Broken | Failure::ServerError => ErrorKind::ServerFault,
        Failure::Silent => ErrorKind::DeadlinePassed,
    }
}
