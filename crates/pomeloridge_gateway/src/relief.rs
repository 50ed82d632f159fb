//! Moves a stream's run to another engine while it goes on.
//!
//! Whether and where to is decided by [`pomeloridge_policy::relief`]. First the engine copies the
//! run's KV cache to the other one and goes on. Once the copy is there, the engine is told to stop
//! and to copy the rest; it then closes the stream, and the other engine continues it after the last
//! event. A move that fails before the stop leaves the run where it is. A copy that is not used is
//! released when the stream ends.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::task::JoinHandle;
use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::dispatch::{DispatchRequest, InFlightKey, Plan, TargetInfo, TargetKey};
use pomeloridge_policy::relief::{Move, RunProgress, decide};

use crate::attempt::Attempts;
use crate::pool::{Connected, ConnectionNeeds};
use crate::ports::{MoveAnswer, RunMove};
use crate::prefill::PrefilledPrompt;
use crate::request::KvSource;
use crate::state::State;

/// Number of latest events over which the pace of a run is measured.
const PACE_EVENTS: usize = 4;
/// Timeout of a call that moves a run's KV cache.
const MOVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A stopped run and the engine that is to continue it.
pub(crate) struct Handover {
    pub(crate) plan: Plan,
    /// Engine on which the run was stopped; it can continue the run too.
    pub(crate) source: TargetKey,
    pub(crate) prompt: PrefilledPrompt,
    reserved: Reservation,
}

/// A place for a run on the engine to which it moves, which peers are told of.
struct Reservation {
    state: Rc<State>,
    key: InFlightKey,
    charged_at: Cell<Option<Instant>>,
    service: pomeloridge_base::id::Name,
    _moving: CountGuard,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state.dispatcher.borrow_mut().end(self.key);
        if let Some(charged_at) = self.charged_at.take() {
            self.state.give_back_retry(&self.service, charged_at);
        }
    }
}

/// A copy of a run's KV cache that another engine has received.
type Copied = Rc<RefCell<Option<PrefilledPrompt>>>;

/// Steps of a move.
enum Phase {
    /// The run stays; nothing has been tried yet.
    Idle,
    /// The KV cache is being copied while the run goes on.
    Copying(Move<TargetKey>, Reservation, JoinHandle<()>, Copied),
    /// The run is being stopped.
    Stopping(Move<TargetKey>, Reservation, JoinHandle<StopResult>),
    /// The move was tried, or is switched off.
    Over,
}

/// What is known of a run whose stream has ended.
pub(crate) enum RunEnd {
    /// The run has ended, or broken off, by itself.
    OnItsOwn,
    /// It was stopped, and another engine is to continue it.
    Moved(Box<Handover>),
    /// It may have been stopped.
    Unknown,
}

/// Result of the call that stops a run.
enum StopResult {
    Stopped(PrefilledPrompt),
    NotStopped,
    Unknown,
}

/// Watches the run of one stream on one engine.
pub(crate) struct Relief<'a> {
    attempts: &'a Attempts<'a>,
    source: TargetKey,
    info: TargetInfo,
    phase: Phase,
    /// Times of the latest chunks, with the number of events so far.
    chunks: VecDeque<(Instant, u64)>,
    /// Number of events before the first chunk.
    first_events: Option<u64>,
    /// When the engine leaves, with the time left that its entry names.
    leaves: Option<(Duration, Instant)>,
}

impl<'a> Relief<'a> {
    /// Watches a run on an engine; its configuration and the settings decide whether it may move.
    pub(crate) fn new(attempts: &'a Attempts<'a>, source: TargetKey, info: &TargetInfo) -> Self {
        let state = attempts.state();
        let config = state.config();
        let service = config.as_ref().and_then(|c| c.services.get(&info.service));
        let moves = service.and_then(|service| service.engine);
        let is_on = moves.is_some_and(|engine| engine.moves)
            && state.settings().text("relief", "moves") == "on"
            && state.dispatcher.borrow().relieves(&info.service);
        Self {
            attempts,
            source,
            info: info.clone(),
            phase: if is_on { Phase::Idle } else { Phase::Over },
            chunks: VecDeque::new(),
            first_events: None,
            leaves: None,
        }
    }

    /// Records the events so far, and begins or continues a move. `longest_gap` is the longest
    /// one so far.
    pub(crate) fn advance(&mut self, events: u64, longest_gap: Duration) {
        match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Idle => {
                self.phase = Phase::Idle;
                self.record(events);
                if let Some(progress) = self.progress(events, longest_gap) {
                    self.begin_if_needed(events, &progress);
                }
            }
            Phase::Copying(chosen, reserved, task, copied) => {
                if !task.is_finished() {
                    self.phase = Phase::Copying(chosen, reserved, task, copied);
                } else if let Some(copy) = copied.take() {
                    self.stop(chosen, reserved, copy);
                }
            }
            phase => self.phase = phase,
        }
    }

    /// Returns how the run ended whose stream has ended.
    pub(crate) async fn run_end(&mut self) -> RunEnd {
        let Phase::Stopping(chosen, reserved, task) =
            std::mem::replace(&mut self.phase, Phase::Over)
        else {
            return RunEnd::OnItsOwn;
        };
        let prompt = match task.await {
            StopResult::Stopped(prompt) => prompt,
            StopResult::NotStopped => return RunEnd::OnItsOwn,
            StopResult::Unknown => return RunEnd::Unknown,
        };
        RunEnd::Moved(Box::new(Handover {
            plan: Plan {
                server: chosen.engine,
                prefill: None,
                fetch_from: None,
                prefill_tokens: 0,
                ttft: chosen.end.min(MOVE_TIMEOUT),
                end: chosen.end,
                cost: chosen.end,
            },
            source: self.source,
            prompt,
            reserved,
        }))
    }

    fn record(&mut self, events: u64) {
        let now = self.attempts.state().now();
        self.first_events.get_or_insert(events);
        if self.chunks.back().is_some_and(|(_, last)| *last == events) {
            return;
        }
        self.chunks.push_back((now, events));
        if self.chunks.len() > PACE_EVENTS + 1 {
            self.chunks.pop_front();
        }
    }

    fn progress(&mut self, events: u64, longest_gap: Duration) -> Option<RunProgress> {
        let (state, accepted) = (self.attempts.state(), self.attempts.accepted());
        let now = state.now();
        let (first_at, first) = *self.chunks.front()?;
        let (last_at, last) = *self.chunks.back()?;
        let gaps = u32::try_from(last.saturating_sub(first)).ok()?;
        let gap = last_at
            .saturating_duration_since(first_at)
            .checked_div(gaps)?;
        let needs = self.attempts.needs(now);
        let event_tokens = f64::from(needs.event_tokens?.max(1));
        let expected = f64::from(needs.output_tokens?) / event_tokens;
        let entry = state.dispatcher.borrow();
        let leaves_in = entry
            .target(self.source)
            .and_then(|target| target.info.leaves_in);
        drop(entry);
        let known = self.leaves.filter(|(left, _)| Some(*left) == leaves_in);
        self.leaves = known.or(leaves_in.map(|left| (left, now + left)));
        let gap_target = accepted.route.gap_target;
        Some(RunProgress {
            gaps: events - self.first_events?,
            gap,
            events_left: (expected - events as f64).max(1.0),
            time_left: accepted.time_left(now),
            engine_left: self.leaves.map(|(_, at)| at.saturating_duration_since(now)),
            gap_target: gap_target.filter(|target| longest_gap <= *target),
        })
    }

    fn begin_if_needed(&mut self, events: u64, progress: &RunProgress) {
        if progress.need().is_none() {
            return;
        }
        let (state, accepted) = (self.attempts.state(), self.attempts.accepted());
        let now = state.now();
        let prompt = accepted.inbound.prompt.as_ref();
        let needs = self.attempts.needs(now);
        let tokens = prompt.map_or(0, |prompt| prompt.tokens)
            + u64::from(needs.output_tokens.unwrap_or_default());
        let request = DispatchRequest {
            service: &accepted.service,
            prompt,
            tried: &[],
            allow_separate_prefill: false,
            version: None,
            needs,
        };
        let dispatcher = state.dispatcher.borrow();
        let engines = dispatcher.relief_engines(self.source, &request, tokens, now);
        let compared = engines.len();
        let chosen = decide(progress, engines);
        let speed = dispatcher.known_speed(self.source, now);
        drop(dispatcher);
        let Some(chosen) = chosen else {
            return;
        };
        let most = state.settings().number("relief", "most") as usize;
        let Some(moving) = CountGuard::try_new(&state.moves, most) else {
            return;
        };
        let Some(charged_at) = state.try_spend_retry(&accepted.service) else {
            return;
        };
        let address = state
            .dispatcher
            .borrow()
            .target(chosen.engine)
            .map(|target| target.info.address);
        let Some(address) = address else {
            return;
        };
        log::info!(
            "request id={} choice=move reason={} from={} to={} events={events} events_left={:.1} \
             gap_ms={} stay_ms={} end_ms={} left_ms={} compared={compared} running={} \
             speed={:.2} slowdown={}",
            self.attempts.label(),
            chosen.reason,
            self.info.id,
            state.server_name(chosen.engine),
            progress.events_left,
            progress.gap.as_millis(),
            chosen.stay.as_millis(),
            chosen.end.as_millis(),
            progress.time_left.as_millis(),
            speed.running,
            speed.factor,
            speed.slowdown_label()
        );
        state.meter.increment(Counter::Moves);
        let key = state
            .dispatcher
            .borrow_mut()
            .begin(chosen.engine, 0, prompt, now);
        let reserved = Reservation {
            state: Rc::clone(state),
            key,
            charged_at: Cell::new(Some(charged_at)),
            service: accepted.service.clone(),
            _moving: moving,
        };
        let copied = Copied::default();
        let call = self.call(address, false);
        let (result, copy_state) = (Rc::clone(&copied), Rc::clone(state));
        let (label, source) = (self.attempts.label().to_owned(), self.info.address);
        let task = monoio::spawn(async move {
            let answer = call.await;
            match answer {
                Ok(MoveAnswer {
                    is_done: true,
                    handle: Some(handle),
                }) => {
                    let source = KvSource {
                        address: source,
                        handle,
                    };
                    result.replace(Some(PrefilledPrompt::new(copy_state, source)));
                }
                Ok(_) => log::info!("request id={label} choice=stay reason=\"move refused\""),
                Err(reason) => log::info!("request id={label} choice=stay reason=\"{reason}\""),
            }
        });
        self.phase = Phase::Copying(chosen, reserved, task, copied);
    }

    /// Stops the run, so that the other engine can continue it.
    fn stop(&mut self, chosen: Move<TargetKey>, reserved: Reservation, mut copy: PrefilledPrompt) {
        let state = self.attempts.state();
        let target = state.dispatcher.borrow();
        let target = target.target(chosen.engine).map(|target| {
            let is_open = !target.is_leaving()
                && !target.is_ejected()
                && target.backoff(state.now()).is_none();
            (target.info.address, is_open)
        });
        let Some((address, true)) = target else {
            return;
        };
        let call = self.call(address, true);
        let (stop_state, source) = (Rc::clone(state), self.info.address);
        let label = self.attempts.label().to_owned();
        let task = monoio::spawn(async move {
            let answer = call.await;
            match answer {
                // A handle says that the run has stopped, also if the copy is not complete.
                Ok(MoveAnswer {
                    handle: Some(handle),
                    ..
                }) => {
                    copy.mark_taken();
                    let source = KvSource {
                        address: source,
                        handle,
                    };
                    StopResult::Stopped(PrefilledPrompt::new(stop_state, source))
                }
                // The run has stopped, but nothing can continue it.
                Ok(MoveAnswer { is_done: true, .. }) => {
                    log::info!("request id={label} choice=stay reason=\"no handle\"");
                    StopResult::Unknown
                }
                Ok(_) => {
                    log::info!("request id={label} choice=stay reason=\"not stopped\"");
                    StopResult::NotStopped
                }
                Err(reason) => {
                    log::info!("request id={label} choice=stay reason=\"{reason}\"");
                    StopResult::Unknown
                }
            }
        });
        self.phase = Phase::Stopping(chosen, reserved, task);
    }

    /// Calls the engine that runs the request.
    fn call(
        &self,
        target: std::net::SocketAddr,
        stops: bool,
    ) -> impl Future<Output = Result<MoveAnswer, String>> + 'static {
        let state = Rc::clone(self.attempts.state());
        let address = self.info.address;
        let message = (state.ports.server.move_run)(&RunMove {
            server: self.info.id.clone(),
            attempt: self.attempts.accepted().inbound.id.clone(),
            target,
            stops,
        });
        async move {
            // What is not sent moves nothing.
            let Some(max_open) = state.begin_call(address) else {
                return Ok(MoveAnswer::default());
            };
            let needs = ConnectionNeeds {
                is_fresh: true,
                max_open,
            };
            let deadline = state.now() + MOVE_TIMEOUT;
            let connected = state
                .pool
                .connect(address, needs, deadline, state.now())
                .await;
            let Ok(Connected { mut connection, .. }) = connected else {
                return Ok(MoveAnswer::default());
            };
            let response = connection.exchange(&message, deadline).await;
            let response = response.map_err(|fault| fault.to_string())?;
            state.pool.put(connection, None, state.now());
            Ok((state.ports.server.moved)(&response))
        }
    }
}

impl Handover {
    /// Records that the other engine has continued the run.
    pub(crate) fn mark_used(&mut self) {
        self.reserved.charged_at.set(None);
        self.prompt.mark_taken();
    }
}
