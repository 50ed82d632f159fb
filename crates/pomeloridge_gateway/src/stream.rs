//! Requests whose response is a stream of events.
//!
//! Complete events are forwarded as they arrive. If the server fails midway and the stream
//! is resumable, another server continues after the last event within the same response;
//! otherwise the response ends truncated.

mod accounting;
mod continuation;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{Fault, Responder, Response};
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_base::refusal::Refusal;
use pomeloridge_policy::crashes::RunOutcome;
use pomeloridge_policy::dispatch::Plan;

use crate::accept::Accepted;
use crate::attempt::{Attempts, InFlightAttempt};
use crate::events::EventSplitter;
use crate::exchange::{Exchange, Failure, SendParams, exchange};
use crate::hedge::{self, Raced};
use crate::prefill::{PrefilledPrompt, prefill};
use crate::relief::{Handover, Relief, RunEnd};
use crate::request::SendStage;
use crate::silence::{SilenceWatch, SilentWork};
use crate::state::State;
use crate::token_rate::TokenRate;
use crate::unary::{read_response, run_outcome};
use crate::versions;

/// Maximum number of bytes of a stream from one event with a new id to the next.
const MAX_IDLE_BYTES: usize = 1024 * 1024;

/// Bytes that count as held while the head or the end of a stream is written.
const SMALL_WRITE: usize = 1;

/// How a stream ended.
pub(crate) enum StreamOutcome {
    /// The whole stream was forwarded.
    Complete,
    /// The server sent an error response instead of a stream.
    NotStreamed(Response),
    /// The request is refused before any part of a response was sent.
    Refused(Refusal),
    /// The stream failed after a part of it had been forwarded.
    Truncated(Failure),
    /// The caller closed its connection, or it failed.
    CallerGone(Fault),
}

/// Latencies of a stream as the caller sees them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTiming {
    /// Time from the request's arrival to the first chunk.
    pub(crate) first_chunk: Option<Duration>,
    /// Longest time between two chunks.
    pub(crate) longest_gap: Duration,
    /// Number of events that were forwarded.
    pub(crate) events: u64,
}

enum AttemptError {
    Server(Failure),
    /// The run was stopped on its engine, so that another one continues it.
    Moved(Box<Handover>),
    CallerGone(Fault),
}

/// A response that has begun: the head of one that is not a stream, or the first chunk.
struct Opened<'a> {
    in_flight: InFlightAttempt,
    watch: SilenceWatch<'a>,
    exchanged: Exchange,
    /// First chunk of a stream; `None` if it has none.
    chunk: Option<Bytes>,
}

/// The response stream of one request, across all its attempts.
pub(crate) struct Stream<'a> {
    state: &'a Rc<State>,
    accepted: &'a Accepted,
    /// Head of the response that is being read, until it is forwarded.
    head: Option<(StatusCode, HeaderMap)>,
    head_sent: bool,
    /// Content type in the forwarded head.
    content_type: Option<HeaderValue>,
    /// Whether an event without an id was forwarded, so that no other server can continue.
    is_unnumbered: bool,
    usage_counted: Cell<bool>,
    last_event: Option<u64>,
    last_chunk_at: Option<Instant>,
    timing: StreamTiming,
    /// Servers to which the request was sent, in order.
    servers: RefCell<Vec<Name>>,
    /// Number of tokens that the service's engines put into one event.
    tokens_per_event: u64,
}

impl<'a> Stream<'a> {
    pub(crate) fn new(state: &'a Rc<State>, accepted: &'a Accepted) -> Self {
        let config = state.config();
        let service = config
            .as_ref()
            .and_then(|c| c.services.get(&accepted.service));
        let engine = service.and_then(|service| service.engine);
        Self {
            state,
            accepted,
            head: None,
            head_sent: false,
            content_type: None,
            is_unnumbered: false,
            usage_counted: Cell::new(false),
            last_event: accepted.inbound.last_event,
            last_chunk_at: None,
            timing: StreamTiming::default(),
            servers: RefCell::default(),
            tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
        }
    }

    /// Runs the request and forwards its events to the caller.
    pub(crate) async fn run(&mut self, responder: &mut Responder) -> StreamOutcome {
        let mut attempts = Attempts::new(self.state, self.accepted);
        if self.accepted.route.kind.is_resumable() {
            let bound = monoio::select! {
                bound = self.bind(&attempts) => bound,
                () = monoio::time::sleep(self.accepted.time_left(self.state.now())) => {
                    Err(attempts.refusal(ErrorKind::DeadlinePassed))
                }
                fault = responder.closed() => return StreamOutcome::CallerGone(fault),
            };
            if let Err(refusal) = bound {
                return StreamOutcome::Refused(refusal);
            }
        }
        let mut last_failure = Failure::Unreachable;
        let mut has_moved = false;
        loop {
            if let Err(outcome) = self.charge_run(&attempts, last_failure, responder).await {
                return outcome;
            }
            let plan = match attempts.choose() {
                Ok(plan) => plan,
                Err(refusal) => return self.final_outcome(refusal, last_failure),
            };
            let mut prompt = match self
                .prefill_if_planned(plan, &mut attempts, responder)
                .await
            {
                Ok(prompt) => prompt,
                Err(outcome) => return outcome,
            };
            // The credit may have lapsed during the prefill.
            if let Err(outcome) = self.charge_run(&attempts, last_failure, responder).await {
                return outcome;
            }
            let plan = match &prompt {
                Some(_) => attempts.choose_decode_engine(plan),
                None => plan,
            };
            let mut handover: Option<Box<Handover>> = None;
            let (server, failure) = loop {
                let raced = monoio::select! {
                    raced = self.open_next(plan, &mut prompt, handover.as_deref_mut(), &attempts) => raced,
                    fault = responder.closed() => return StreamOutcome::CallerGone(fault),
                };
                let Raced { server, outcome } = raced;
                drop(handover.take());
                let delivered = match outcome {
                    Ok(opened) => self.deliver(opened, responder).await,
                    Err(failure) => Err(AttemptError::Server(failure)),
                };
                match delivered {
                    Ok(None) => return StreamOutcome::Complete,
                    Ok(Some(response)) => return StreamOutcome::NotStreamed(response),
                    Err(AttemptError::CallerGone(fault)) => {
                        return StreamOutcome::CallerGone(fault);
                    }
                    Err(AttemptError::Moved(stopped)) => {
                        has_moved = true;
                        handover = Some(stopped);
                    }
                    Err(AttemptError::Server(failure)) => break (server, failure),
                }
            };
            if let Err(refusal) = attempts.handle_failure(server, failure).await {
                return self.final_outcome(refusal, failure);
            }
            last_failure = failure;
            // A server that refuses to continue a moved run has not run it, but another one has.
            if has_moved && !self.accepted.route.kind.is_resumable() {
                return StreamOutcome::Truncated(failure);
            }
            if self.is_unnumbered {
                log::info!(
                    "request id={} choice=cut reason=\"the events have no ids\"",
                    self.accepted.inbound.label()
                );
                return StreamOutcome::Truncated(failure);
            }
        }
    }

    /// Takes the credit for the next run, unless it is there.
    async fn charge_run(
        &self,
        attempts: &Attempts<'_>,
        last_failure: Failure,
        responder: &mut Responder,
    ) -> Result<(), StreamOutcome> {
        monoio::select! {
            charged = attempts.charge_run() => {
                charged.map_err(|refusal| self.final_outcome(refusal, last_failure))
            }
            fault = responder.closed() => Err(StreamOutcome::CallerGone(fault)),
        }
    }

    /// Binds the request to the software version at which its stream began or must begin, if that
    /// is decided already.
    async fn bind(&self, attempts: &Attempts<'_>) -> Result<(), Refusal> {
        let (state, accepted) = (self.state, self.accepted);
        let (service, inbound) = (&accepted.service, &accepted.inbound);
        let resumes = inbound.resumes.as_deref();
        let version = if accepted.continues_stream() {
            let version = versions::version_of_resumed(state, service, resumes).await;
            version.map(Some)
        } else {
            let version = versions::version_of_new(state, service, &inbound.id);
            if let Ok(Some(version)) = &version {
                versions::wait_for_servers(state, service, version).await;
            }
            version
        };
        match version {
            Ok(None) => Ok(()),
            Ok(Some(version)) => {
                if accepted.continues_stream() {
                    log::info!(
                        "request id={} choice=continue resumes={} service={service} \
                         version={version}",
                        inbound.label(),
                        inbound.resumes_label()
                    );
                }
                attempts.bind(&version);
                Ok(())
            }
            Err(reason) => {
                state.meter.increment(Counter::UnknownVersions);
                log::info!(
                    "request id={} choice=refuse resumes={} service={service} \
                     reason=\"version of the stream is not known: {reason}\"",
                    inbound.label(),
                    inbound.resumes_label()
                );
                Err(attempts.refusal(ErrorKind::UnknownVersion))
            }
        }
    }

    /// Returns the outcome after the last attempt. A refusal can no longer be sent once the head
    /// of a response has been sent.
    fn final_outcome(&self, refusal: Refusal, failure: Failure) -> StreamOutcome {
        if self.head_sent {
            StreamOutcome::Truncated(failure)
        } else {
            StreamOutcome::Refused(refusal)
        }
    }

    /// Begins an attempt and waits for its first chunk. Another server may be the first to send one
    /// if no event has been forwarded and the prompt was not prefilled for this one.
    async fn open_first<'b>(
        &self,
        plan: Plan,
        prompt: Option<&mut PrefilledPrompt>,
        attempts: &'b Attempts<'b>,
    ) -> Raced<Opened<'b>> {
        if prompt.is_some() || self.head_sent || self.last_event.is_some() {
            return Raced {
                server: plan.server,
                outcome: self.open(plan, prompt, attempts).await,
            };
        }
        let open = async |plan| self.open(plan, None, attempts).await;
        hedge::race(attempts, plan, open, |opened| opened.exchanged.head.status).await
    }

    async fn open<'b>(
        &self,
        plan: Plan,
        prompt: Option<&mut PrefilledPrompt>,
        attempts: &'b Attempts<'b>,
    ) -> Result<Opened<'b>, Failure> {
        let accepted = self.accepted;
        // The KV cache of a separate prefill is transferred, so nothing is left to prefill here.
        let prefill_tokens = if prompt.is_some() {
            0
        } else {
            plan.prefill_tokens
        };
        attempts.credits.begin_run();
        self.count_demand(plan);
        self.servers
            .borrow_mut()
            .push(self.state.server_name(plan.server));
        let mut in_flight = InFlightAttempt::new(self.state, plan.server, prefill_tokens, attempts);
        in_flight.watch_parts(accepted);
        let mut watch = SilenceWatch {
            attempts,
            server: plan.server,
            work: SilentWork::Run,
            timeout: accepted.silence_timeout(plan.ttft),
        };
        let params = SendParams {
            watch,
            stage: prompt
                .as_ref()
                .map_or(SendStage::Run, |prompt| SendStage::RunFrom(prompt.source())),
            fetch: plan.fetch_from.filter(|_| prompt.is_none()),
            last_event: self.last_event,
        };
        let exchanged = exchange(self.state, accepted, params).await;
        let mut exchanged = exchanged.inspect_err(|failure| in_flight.record_failure(*failure))?;
        if let Some(prompt) = prompt {
            prompt.mark_taken();
        }
        let is_stream = exchanged.head.status.is_success();
        if !is_stream && !self.head_sent {
            self.count_usage_once();
            in_flight.record_prefill_done();
            return Ok(Opened {
                in_flight,
                watch,
                exchanged,
                chunk: None,
            });
        }
        let is_other_type = self.head_sent
            && exchanged.head.headers.get(CONTENT_TYPE) != self.content_type.as_ref();
        if !is_stream || !exchanged.head.sealed || is_other_type {
            return Err(Failure::InvalidResponse);
        }
        let gap = accepted.route.gap_target.unwrap_or_default();
        watch.timeout = accepted.silence_timeout(gap);
        let chunk = monoio::select! {
            chunk = exchanged.connection.read_chunk(accepted.deadline) => chunk,
            () = watch.given_up(self.state) => Err(Fault::Timeout),
        };
        let chunk = chunk.map_err(|fault| Failure::after_write(&fault))?;
        Ok(Opened {
            in_flight,
            watch,
            exchanged,
            chunk,
        })
    }

    /// Forwards a response that has begun; returns it if it is not a stream.
    async fn deliver(
        &mut self,
        opened: Opened<'_>,
        responder: &mut Responder,
    ) -> Result<Option<Response>, AttemptError> {
        let head = &opened.exchanged.head;
        if !head.status.is_success() {
            let Opened {
                mut in_flight,
                watch,
                exchanged,
                ..
            } = opened;
            let response = monoio::select! {
                response = read_response(self.state, exchanged, watch) => response,
                fault = responder.closed() => return Err(AttemptError::CallerGone(fault)),
            };
            let response = response.map_err(AttemptError::Server)?;
            in_flight.set_outcome(run_outcome(&response));
            return Ok(Some(response));
        }
        if !self.head_sent {
            self.head = Some((head.status, head.headers.clone()));
        }
        self.forward_response(opened, responder).await?;
        Ok(None)
    }

    /// Runs the separate prefill if the plan has one. Returns `None` if there is none or it
    /// failed; the engine that runs the request then prefills the prompt itself.
    async fn prefill_if_planned(
        &self,
        plan: Plan,
        attempts: &mut Attempts<'_>,
        responder: &mut Responder,
    ) -> Result<Option<PrefilledPrompt>, StreamOutcome> {
        let Some(prefill_server) = plan.prefill else {
            return Ok(None);
        };
        let prefilled = monoio::select! {
            prefilled = prefill(self.state, attempts, plan, prefill_server) => prefilled,
            fault = responder.closed() => return Err(StreamOutcome::CallerGone(fault)),
        };
        match prefilled {
            Ok(prompt) => Ok(Some(prompt)),
            Err(failure) => match attempts
                .handle_prefill_failure(prefill_server, failure)
                .await
            {
                Ok(()) => Ok(None),
                Err(refusal) => Err(self.final_outcome(refusal, failure)),
            },
        }
    }

    async fn forward_response(
        &mut self,
        opened: Opened<'_>,
        responder: &mut Responder,
    ) -> Result<(), AttemptError> {
        let Opened {
            mut in_flight,
            mut watch,
            exchanged,
            chunk: mut next,
        } = opened;
        let Exchange {
            mut connection,
            head,
            server,
        } = exchanged;
        let mut events = EventSplitter::default();
        let mut rate = TokenRate::default();
        let mut idle_bytes = 0;
        let is_continuation = self.last_event.is_some();
        let is_resumed = self.head_sent;
        let is_resumable = self.accepted.route.kind.is_resumable();
        let mut relief = Relief::new(watch.attempts, watch.server, &server);
        while let Some(chunk) = next {
            in_flight.record_prefill_done();
            self.count_usage_once();
            let before = self.last_event;
            if !events.push(&chunk) {
                return Err(AttemptError::Server(Failure::InvalidResponse));
            }
            // The response may be that of a process of another version, which began to listen at
            // the address before its entry arrived.
            if is_resumable
                && self
                    .state
                    .dispatcher
                    .borrow()
                    .has_other_version(watch.server, &server)
            {
                return Err(AttemptError::Server(Failure::ConnectionLost));
            }
            let bind = || watch.attempts.bind(&server.version);
            let tokens = self
                .forward_events(&mut events, is_resumed, bind, responder)
                .await?;
            watch.timeout = self.accepted.answer_silence_timeout();
            if tokens > 0 {
                in_flight.record_events();
            }
            // Events that the caller already has, and comments, bring the stream no further.
            idle_bytes = if self.last_event == before {
                idle_bytes + chunk.len()
            } else {
                0
            };
            if idle_bytes > MAX_IDLE_BYTES {
                return Err(AttemptError::Server(Failure::InvalidResponse));
            }
            let kept = connection.keep(events.buffered());
            kept.map_err(|fault| AttemptError::Server(Failure::after_write(&fault)))?;
            rate.record(tokens, self.state.now());
            if !self.is_unnumbered {
                relief.advance(self.timing.events, self.timing.longest_gap);
            }
            let chunk = monoio::select! {
                chunk = connection.read_chunk(self.accepted.deadline) => chunk,
                () = watch.given_up(self.state) => Err(Fault::Timeout),
                fault = responder.closed() => return Err(AttemptError::CallerGone(fault)),
            };
            // A stopped run ends its stream, which may look as if it were complete.
            if !matches!(chunk, Ok(Some(_)) | Err(Fault::Timeout)) {
                let end = monoio::select! {
                    end = relief.run_end() => end,
                    fault = responder.closed() => return Err(AttemptError::CallerGone(fault)),
                };
                match end {
                    RunEnd::OnItsOwn => {}
                    RunEnd::Moved(handover) => {
                        in_flight.record_pace(rate);
                        in_flight.set_outcome(RunOutcome::ServerAlive);
                        return Err(AttemptError::Moved(handover));
                    }
                    // The end of a framed answer is that of its run.
                    RunEnd::Unknown if connection.reusable() => {}
                    RunEnd::Unknown => {
                        return Err(AttemptError::Server(Failure::ConnectionLost));
                    }
                }
            }
            next = chunk.map_err(|fault| AttemptError::Server(Failure::after_write(&fault)))?;
        }
        if !events.is_empty() {
            return Err(AttemptError::Server(Failure::InvalidResponse));
        }
        in_flight.record_output(self.accepted, rate, is_continuation);
        in_flight.set_outcome(RunOutcome::Answered);
        self.send_head(responder).await?;
        self.write_held(SMALL_WRITE, responder.finish()).await?;
        self.state.pool.put(connection, head.idle, self.state.now());
        Ok(())
    }

    /// Forwards the complete events received so far, except those that the caller already has.
    /// Returns the number of tokens in all of them. An event without an id is none of a stream
    /// that another server began. Calls `bind` before any event is forwarded.
    async fn forward_events(
        &mut self,
        events: &mut EventSplitter,
        is_resumed: bool,
        bind: impl FnOnce(),
        responder: &mut Responder,
    ) -> Result<u64, AttemptError> {
        let mut bytes = Vec::new();
        let (mut tokens, mut is_foreign) = (0, false);
        while let Some(event) = events.next_event() {
            is_foreign = is_resumed && event.id.is_none();
            if is_foreign {
                break;
            }
            tokens += self.tokens_per_event;
            let seen = event.id.zip(self.last_event);
            if seen.is_some_and(|(id, last)| id <= last) {
                continue;
            }
            self.is_unnumbered |= event.id.is_none();
            self.last_event = event.id.or(self.last_event);
            self.timing.events += 1;
            bytes.extend_from_slice(&event.bytes);
        }
        if !bytes.is_empty() {
            bind();
            self.send_head(responder).await?;
            self.record_chunk();
            // The events and their copy with the frame of a chunk.
            let held = 2 * bytes.len() + events.buffered();
            self.write_held(held, responder.send_chunk(&bytes)).await?;
        }
        if is_foreign {
            return Err(AttemptError::Server(Failure::InvalidResponse));
        }
        Ok(tokens)
    }

    /// Sends the response head if it has not been sent yet.
    async fn send_head(&mut self, responder: &mut Responder) -> Result<(), AttemptError> {
        if let Some((status, headers)) = self.head.take() {
            self.content_type = headers.get(CONTENT_TYPE).cloned();
            self.write_held(SMALL_WRITE, responder.start(status, &headers))
                .await?;
            self.head_sent = true;
        }
        Ok(())
    }

    /// Writes a part of the answer, for which these bytes are held. Only what holds some is cut.
    async fn write_held(
        &self,
        bytes: usize,
        write: impl Future<Output = Result<(), Fault>>,
    ) -> Result<(), AttemptError> {
        self.accepted.hold_answer(bytes);
        let sent = write.await;
        self.accepted.hold_answer(0);
        sent.map_err(AttemptError::CallerGone)
    }
}
