//! Runs a second attempt of a request beside one that is slow, and delivers the first answer.
//!
//! When that is due and allowed is decided by [`pomeloridge_policy::hedging`]. The attempt that is
//! not delivered is cancelled by dropping it, which aborts its connection and releases what it
//! holds. An attempt that fails leaves the request to the other one.

use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::dispatch::{Plan, TargetKey};
use pomeloridge_policy::hedging::{
    HedgeDenial, HedgeKind, HedgeLoad, MAX_HEDGE_TIME, SlowAttempt, part_of,
};
use pomeloridge_policy::timeouts::silence_timeout;

use crate::accept::{Accepted, Trial};
use crate::attempt::Attempts;
use crate::config::RouteKind;
use crate::exchange::Failure;
use crate::peers;
use crate::state::State;

/// Time after its start in which a node begins no hedges: it may not know its peers yet, and would
/// take too large a part of their number.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// How an attempt, or the pair of an attempt and its hedge, ended.
pub(crate) struct Raced<T> {
    /// Server of the attempt that counts.
    pub(crate) server: TargetKey,
    pub(crate) outcome: Result<T, Failure>,
}

impl<T> Raced<T> {
    /// Returns why the outcome is not to be delivered while another attempt runs, if it is not.
    fn failure(&self, status: impl Fn(&T) -> StatusCode) -> Option<Failure> {
        match &self.outcome {
            Ok(answer) if status(answer).is_server_error() => Some(Failure::ServerError),
            Ok(_) => None,
            Err(failure) => Some(*failure),
        }
    }
}

/// Runs a planned attempt, and if it is slow a second one. `status` returns the status of an
/// answer.
pub(crate) async fn race<T>(
    attempts: &Attempts<'_>,
    plan: Plan,
    run: impl AsyncFn(Plan) -> Result<T, Failure>,
    status: impl Fn(&T) -> StatusCode,
) -> Raced<T> {
    let state = attempts.state();
    let raced = |plan: Plan, outcome| Raced {
        server: plan.server,
        outcome,
    };
    if !state.hedging.borrow().is_on() {
        return raced(plan, run(plan).await);
    }
    let first_timing = Timing::start(attempts, plan);
    let mut first = Box::pin(run(plan));
    let hedge = monoio::select! {
        outcome = &mut first => {
            let first = raced(plan, outcome);
            first_timing.record_end(state, &first, first.failure(&status));
            return first;
        }
        hedge = Hedge::begin_when_due(attempts, &first_timing) => hedge,
    };
    let timing = Timing::start(attempts, hedge.plan);
    let mut second = Box::pin(run(hedge.plan));
    let ended = monoio::select! {
        outcome = &mut first => Some((raced(plan, outcome), &first_timing)),
        outcome = &mut second => Some((raced(hedge.plan, outcome), &timing)),
        () = monoio::time::sleep(MAX_HEDGE_TIME) => None,
    };
    let Some((ended, ended_timing)) = ended else {
        hedge.log_end(attempts, "none", plan.server);
        timing.cancel(attempts);
        drop(second);
        drop(hedge);
        let first = raced(plan, first.await);
        first_timing.record_end(state, &first, first.failure(&status));
        return first;
    };
    let is_first = ended.server == plan.server;
    let (other_plan, other_timing, other): (_, _, Pin<Box<_>>) = if is_first {
        (hedge.plan, &timing, second)
    } else {
        (plan, &first_timing, first)
    };
    let failure = ended.failure(&status);
    ended_timing.record_end(state, &ended, failure);
    let Some(failure) = failure else {
        if !is_first {
            state.meter.increment(Counter::HedgesWon);
            first_timing.eject_if_silent(state);
        }
        hedge.log_end(
            attempts,
            if is_first { "first" } else { "hedge" },
            ended.server,
        );
        other_timing.cancel(attempts);
        return ended;
    };
    hedge.log_end(attempts, &format!("none failure={failure}"), ended.server);
    attempts.fail_other(ended.server, failure);
    if !is_first && !failure.reached_server() {
        state.give_back_retry(&attempts.accepted().service, hedge.charged_at);
    }
    drop(hedge);
    let other = raced(other_plan, other.await);
    other_timing.record_end(state, &other, other.failure(&status));
    match other.outcome {
        // A failure that a server has answered goes before one that this node would have to name.
        Err(failure) if ended.outcome.is_ok() => {
            attempts.fail_other(other.server, failure);
            ended
        }
        _ => other,
    }
}

/// What is measured of one attempt.
struct Timing {
    kind: HedgeKind,
    attempt: SlowAttempt,
    sent_at: Instant,
}

impl Timing {
    fn start(attempts: &Attempts<'_>, plan: Plan) -> Self {
        let accepted = attempts.accepted();
        let sent_at = attempts.state().now();
        let late_at = accepted.arrived_at + accepted.route.latency_target;
        Self {
            kind: HedgeKind {
                service: accepted.service.clone(),
                route: accepted.route.name.clone(),
                is_stream: matches!(accepted.route.kind, RouteKind::Stream { .. }),
            },
            attempt: SlowAttempt {
                server: plan.server,
                predicted: plan.ttft,
                time_left: late_at
                    .min(accepted.deadline)
                    .saturating_duration_since(sent_at),
            },
            sent_at,
        }
    }

    fn hedge_delay(&self, state: &State) -> Option<Duration> {
        let hedging = state.hedging.borrow();
        hedging.delay(&self.kind, &self.attempt, state.now())
    }

    /// Records the latency of an attempt that was answered or given up.
    fn record_end<T>(&self, state: &State, raced: &Raced<T>, failure: Option<Failure>) {
        debug_assert!(raced.server == self.attempt.server);
        if matches!(failure, None | Some(Failure::TimedOut)) {
            self.record(state);
        }
    }

    fn record(&self, state: &State) {
        let now = state.now();
        let latency = now.saturating_duration_since(self.sent_at);
        let mut hedging = state.hedging.borrow_mut();
        hedging.record_latency(&self.kind, &self.attempt, latency, now);
    }

    /// Records that the attempt is cancelled.
    fn cancel(&self, attempts: &Attempts<'_>) {
        self.record(attempts.state());
        attempts.cancel_other(self.attempt.server);
    }

    /// Ejects the server if it has sent nothing for so long that attempts at it would have been
    /// given up, had they not been cancelled.
    fn eject_if_silent(&self, state: &State) {
        let (server, now) = (self.attempt.server, state.now());
        let dispatcher = state.dispatcher.borrow();
        let has_read = dispatcher.read_time_left(now).is_zero();
        let is_silent = |since| has_read && dispatcher.is_silent_since(server, since);
        let mut hedging = state.hedging.borrow_mut();
        let silence = hedging.record_cancelled(server, self.sent_at, is_silent, now);
        drop(hedging);
        drop(dispatcher);
        if silence >= silence_timeout(self.attempt.predicted) {
            state.eject(server, Failure::TimedOut);
        }
    }
}

/// A hedge that is running beside the first attempt until it is dropped.
struct Hedge {
    state: Rc<State>,
    plan: Plan,
    /// When it was charged to the retry budget.
    charged_at: Instant,
}

impl Drop for Hedge {
    fn drop(&mut self) {
        self.state.hedging.borrow_mut().end();
    }
}

impl Hedge {
    /// Waits until the first attempt is due for a hedge and returns that; forever if there is to be
    /// none.
    async fn begin_when_due(attempts: &Attempts<'_>, first: &Timing) -> Self {
        let (state, accepted) = (attempts.state(), attempts.accepted());
        let may_hedge = accepted.route.kind.is_retryable() && !accepted.continues_stream();
        let delay = first.hedge_delay(state);
        let Some(delay) = delay.filter(|_| may_hedge && attempts.allows_hedge()) else {
            return std::future::pending().await;
        };
        monoio::time::sleep(delay).await;
        // After a pause of this process, what has arrived meanwhile is read first.
        let left = state.dispatcher.borrow().read_time_left(state.now());
        if !left.is_zero() {
            monoio::time::sleep(left).await;
        }
        let begun = match attempts.credits.charge().await {
            Ok(()) => Self::begin(attempts, first, delay),
            Err(_) => Err(HedgeDenial::Allotment),
        };
        match begun {
            Ok(hedge) => hedge,
            Err(denial) => {
                record_denial(state, accepted, denial);
                std::future::pending().await
            }
        }
    }

    fn begin(
        attempts: &Attempts<'_>,
        first: &Timing,
        delay: Duration,
    ) -> Result<Self, HedgeDenial> {
        let (state, accepted) = (attempts.state(), attempts.accepted());
        let now = state.now();
        let server = first.attempt.server;
        let mut hedging = state.hedging.borrow_mut();
        hedging.record_due(&accepted.service, server, now);
        drop(hedging);
        if state.lifecycle.is_stopping() {
            return Err(HedgeDenial::Stopping);
        }
        if !attempts.allows_hedge() {
            return Err(HedgeDenial::Attempts);
        }
        if is_suspect(state, accepted) {
            return Err(HedgeDenial::Suspect);
        }
        let dispatcher = state.dispatcher.borrow();
        let load = HedgeLoad {
            service_use: dispatcher.service_use(&accepted.service, now),
            part: part(state, now),
        };
        let hedging = state.hedging.borrow();
        hedging.check(&accepted.service, server, load, now)?;
        drop(hedging);
        let tried = attempts.tried_with(server);
        let plan = dispatcher.plan_second(&attempts.request_beside(&tried, now), now);
        let plan = plan.ok_or(HedgeDenial::Servers)?;
        drop(dispatcher);
        let charged_at = state
            .try_spend_spare(&accepted.service)
            .ok_or(HedgeDenial::Budget)?;
        state.hedging.borrow_mut().begin();
        state.meter.increment(Counter::Hedges);
        attempts.begin_other(plan.server);
        log::info!(
            "request id={} choice=hedge server={} beside={} waited_ms={} delay_ms={} \
             predicted_ms={} use={:.2} part={}",
            attempts.label(),
            state.server_name(plan.server),
            state.server_name(server),
            now.saturating_duration_since(first.sent_at).as_millis(),
            delay.as_millis(),
            plan.ttft.as_millis(),
            load.service_use,
            load.part
        );
        Ok(Self {
            state: Rc::clone(state),
            plan,
            charged_at,
        })
    }

    fn log_end(&self, attempts: &Attempts<'_>, won: &str, server: TargetKey) {
        log::info!(
            "request id={} choice=hedge_end won={won} server={} hedge={}",
            attempts.label(),
            self.state.server_name(server),
            self.state.server_name(self.plan.server)
        );
    }
}

/// Returns whether servers may have crashed under the request, so that it must not be spread.
fn is_suspect(state: &State, accepted: &Accepted) -> bool {
    let now = state.now();
    accepted.trial.get() != Trial::None
        || state.quarantine_left(accepted).is_some()
        || state
            .crashes
            .borrow()
            .crash_count(&accepted.fingerprint, now)
            > 0
        || state
            .parts
            .borrow()
            .is_nearly_quarantined(&accepted.shared_parts)
}

/// Returns how many hedges this node may have at once.
fn part(state: &State, now: Instant) -> u64 {
    let peers = state.peers.borrow();
    let age = now.saturating_duration_since(state.started);
    if age < SETTLING_TIME || !peers.is_initialized(now) {
        return 0;
    }
    let most = state.hedging.borrow().limits().most;
    let unix_ms = state.fleet_clock.borrow().unix_ms(now);
    part_of(
        most,
        peers::name_hash(&state.name),
        &peers.known_hashes(),
        unix_ms,
    )
}

fn record_denial(state: &State, accepted: &Accepted, denial: HedgeDenial) {
    state.meter.increment(Counter::HedgesDenied);
    let unlogged = state.hedging.borrow_mut().record_denial(state.now());
    if let Some(count) = unlogged {
        log::info!(
            "request id={} choice=no_hedge service={} by={denial} denied={count}",
            accepted.inbound.label(),
            accepted.service
        );
    }
}
