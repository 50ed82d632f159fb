//! Requests that are answered by a stream of events.
//!
//! Whole events are passed on as they come. If the server is lost on the way and
//! the stream may be resumed, another server goes on behind the last event within
//! the same response; else the response ends as cut.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, StatusCode};
use pomeloridge_base::http::{Fault, Responder, Response};
use pomeloridge_base::meter::Timer;
use pomeloridge_base::refusal::Refusal;
use pomeloridge_policy::crashes::RunEnd;
use pomeloridge_policy::dispatch::Plan;

use crate::accept::Accepted;
use crate::attempt::{Attempts, Sent};
use crate::call::{end_of, gather};
use crate::events::EventSplitter;
use crate::exchange::{Exchange, Failure, Sending, exchange, until_silent};
use crate::pace::Pace;
use crate::prefill::{ReadPrompt, read_prompt};
use crate::request::SendStage;
use crate::state::State;

/// How a stream ended.
pub(crate) enum StreamEnd {
    /// The answer is complete, as a stream.
    Complete,
    /// The server gave an answer that is no stream.
    Whole(Response),
    /// It ends without an answer of a server.
    Refused(Refusal),
    /// It was cut after a part had been passed on.
    Cut(Failure),
    /// The caller has gone.
    Gone,
}

/// When the pieces of a stream came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timing {
    /// Time from the request's arrival to the first piece.
    pub(crate) first: Option<Duration>,
    /// Longest time between two pieces.
    pub(crate) longest_gap: Duration,
}

enum Stop {
    Server(Failure),
    Caller,
}

/// A stream over all its attempts.
pub(crate) struct Stream<'a> {
    state: &'a Rc<State>,
    accepted: &'a Accepted,
    /// Head of the first answer, until it is passed on.
    head: Option<(StatusCode, HeaderMap)>,
    started: bool,
    counted: bool,
    last_event: Option<u64>,
    last_piece: Option<Instant>,
    timing: Timing,
    /// Tokens in an event.
    stride: u64,
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
            started: false,
            counted: false,
            last_event: accepted.inbound.last_event,
            last_piece: None,
            timing: Timing::default(),
            stride: engine.map_or(1, |engine| engine.tokens_per_event),
        }
    }

    /// Runs the request and passes its events on.
    pub(crate) async fn run(&mut self, responder: &mut Responder) -> StreamEnd {
        let mut attempts = Attempts::new(self.state, self.accepted);
        loop {
            let plan = match attempts.choose() {
                Ok(plan) => plan,
                Err(refusal) => return self.ended(refusal, Failure::Unreachable),
            };
            let prompt = match self.read_prompt(plan, &mut attempts, responder).await {
                Ok(prompt) => prompt,
                Err(end) => return end,
            };
            let plan = match &prompt {
                Some(_) => attempts.choose_maker(plan),
                None => plan,
            };
            let failure = match self.attempt(plan, prompt, responder).await {
                Ok(None) => return StreamEnd::Complete,
                Ok(Some(response)) => return StreamEnd::Whole(response),
                Err(Stop::Caller) => return StreamEnd::Gone,
                Err(Stop::Server(failure)) => failure,
            };
            if let Err(refusal) = attempts.failed(plan.server, failure).await {
                return self.ended(refusal, failure);
            }
        }
    }

    /// Pieces that were passed on forbid another answer.
    fn ended(&self, refusal: Refusal, failure: Failure) -> StreamEnd {
        if self.started {
            StreamEnd::Cut(failure)
        } else {
            StreamEnd::Refused(refusal)
        }
    }

    async fn attempt(
        &mut self,
        plan: Plan,
        mut prompt: Option<ReadPrompt>,
        responder: &mut Responder,
    ) -> Result<Option<Response>, Stop> {
        let accepted = self.accepted;
        // Memory that is moved need not be read here.
        let unread = if prompt.is_some() {
            0
        } else {
            plan.prefill_tokens
        };
        self.state
            .count_work(&accepted.service, plan.prefill_tokens, 0);
        let mut sent = Sent::new(self.state, plan.server, unread, accepted);
        let sending = Sending {
            server: plan.server,
            stage: prompt
                .as_ref()
                .map_or(SendStage::Run, |prompt| SendStage::RunFrom(prompt.source())),
            fetch: plan.fetch_from.filter(|_| prompt.is_none()),
            last_event: self.last_event,
            patience: accepted.silence(plan.ttft),
        };
        let started = exchange(self.state, accepted, sending);
        let exchanged = monoio::select! {
            exchanged = started => {
                exchanged.inspect_err(|failure| sent.failed(*failure)).map_err(Stop::Server)?
            }
            () = responder.gone() => return Err(Stop::Caller),
        };
        if let Some(prompt) = &mut prompt {
            prompt.take();
        }
        if !exchanged.head.status.is_success() && !self.started {
            self.count();
            sent.prompt_read();
            let response = gather(self.state, accepted, exchanged).await;
            let response = response.map_err(Stop::Server)?;
            sent.ended(end_of(&response));
            return Ok(Some(response));
        }
        if !exchanged.head.status.is_success() || !exchanged.head.sealed {
            return Err(Stop::Server(Failure::Broken));
        }
        if self.head.is_none() && !self.started {
            self.head = Some((exchanged.head.status, exchanged.head.headers.clone()));
        }
        self.pass_on(exchanged, &mut sent, responder).await?;
        Ok(None)
    }

    /// Has the prompt read apart where the plan says so; one that could not be is read by
    /// the run.
    async fn read_prompt(
        &self,
        plan: Plan,
        attempts: &mut Attempts<'_>,
        responder: &mut Responder,
    ) -> Result<Option<ReadPrompt>, StreamEnd> {
        let Some(reader) = plan.prefill else {
            return Ok(None);
        };
        let read = monoio::select! {
            read = read_prompt(self.state, self.accepted, plan, reader) => read,
            () = responder.gone() => return Err(StreamEnd::Gone),
        };
        match read {
            Ok(read) => Ok(Some(read)),
            Err(failure) => match attempts.prefill_failed(reader, failure).await {
                Ok(()) => Ok(None),
                Err(refusal) => Err(self.ended(refusal, failure)),
            },
        }
    }

    async fn pass_on(
        &mut self,
        exchanged: Exchange,
        sent: &mut Sent,
        responder: &mut Responder,
    ) -> Result<(), Stop> {
        let Exchange {
            mut connection,
            head,
        } = exchanged;
        let mut events = EventSplitter::default();
        let mut pace = Pace::default();
        let rest = self.last_event.is_some();
        loop {
            let silence = self
                .accepted
                .silence(self.accepted.route.gap_target.unwrap_or_default());
            let piece = monoio::select! {
                piece = connection.next(self.accepted.deadline) => piece,
                () = until_silent(self.state, sent.server(), silence) => Err(Fault::Timeout),
                () = responder.gone() => return Err(Stop::Caller),
            };
            let piece = piece.map_err(|fault| Stop::Server(Failure::after_write(&fault)))?;
            let Some(piece) = piece else { break };
            sent.prompt_read();
            self.count();
            if !events.push(&piece) {
                return Err(Stop::Server(Failure::Broken));
            }
            let made = self.pass_events(&mut events, responder).await?;
            pace.piece(made, self.state.now());
        }
        if !events.is_whole() {
            return Err(Stop::Server(Failure::Broken));
        }
        sent.made(pace, rest);
        sent.ended(RunEnd::Answered);
        self.start(responder).await?;
        responder.finish().await.map_err(|_| Stop::Caller)?;
        self.state.pool.put(connection, head.idle, self.state.now());
        Ok(())
    }

    /// Passes on every whole event that has come; gives the tokens that they hold.
    async fn pass_events(
        &mut self,
        events: &mut EventSplitter,
        responder: &mut Responder,
    ) -> Result<u64, Stop> {
        let mut pieces = Vec::new();
        let mut made = 0;
        while let Some(event) = events.next_event() {
            made += self.stride;
            let had = event.id.zip(self.last_event);
            if had.is_some_and(|(id, last)| id <= last) {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            pieces.extend_from_slice(&event.bytes);
        }
        if pieces.is_empty() {
            return Ok(made);
        }
        self.state.count_work(&self.accepted.service, 0, made);
        self.start(responder).await?;
        self.note_piece();
        let passed: Result<(), Fault> = responder.chunk(&pieces).await;
        passed.map_err(|_| Stop::Caller)?;
        Ok(made)
    }

    /// When the pieces came.
    pub(crate) fn timing(&self) -> Timing {
        self.timing
    }

    fn note_piece(&mut self) {
        let now = self.state.now();
        if let Some(last) = self.last_piece.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.timing.longest_gap = self.timing.longest_gap.max(gap);
            self.state.meter.time(Timer::Gap, gap);
        } else {
            let first = now.saturating_duration_since(self.accepted.arrived);
            self.timing.first = Some(first);
            self.state.meter.time(Timer::FirstToken, first);
        }
    }

    /// Passes on the head before the first event, or before an empty stream's end.
    async fn start(&mut self, responder: &mut Responder) -> Result<(), Stop> {
        if let Some((status, headers)) = self.head.take() {
            let started = responder.start(status, &headers).await;
            started.map_err(|_| Stop::Caller)?;
            self.started = true;
        }
        Ok(())
    }

    /// Counts the request's usage once.
    fn count(&mut self) {
        if !std::mem::replace(&mut self.counted, true) {
            self.state.count_usage(self.accepted.account.as_ref());
        }
    }
}
