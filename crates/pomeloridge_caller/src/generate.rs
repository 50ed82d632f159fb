//! Runs a completion: waits for its turn, generates on an engine, goes on
//! elsewhere when the engine is lost, and sends the answer whole or token by token.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use pomeloridge_backend::{BackendError, Event, Generate, Generation};
use pomeloridge_base::error::{ErrorKind, Run};
use pomeloridge_base::http::{Responder, Response};
use pomeloridge_base::meter::{Counter, Timer};
use pomeloridge_policy::prefix::{Block, blocks};
use pomeloridge_policy::retry::{Attempt, Progress, RetryVerdict};
use pomeloridge_policy::server::{ServerKey, Work};
use pomeloridge_policy::suspicion::{Fingerprint, Treatment};

use crate::answer::{self, Refusal};
use crate::choice::{self, Chosen};
use crate::completion::{self, Completion, DONE_EVENT};
use crate::front::{Accepted, Front, Usage};
use crate::in_flight::InFlight;
use crate::turn::Turn;

/// Servers that may refuse a request before it waits for another turn.
const REFUSALS_PER_TURN: usize = 2;
/// Rounds of refusals up to which the pause after them grows.
const LONGEST_PAUSE_ROUNDS: usize = 10;
/// Pause after all servers that were asked had refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// Why a generation ended without an answer.
enum End {
    /// It is refused, or failed.
    Refused(Refusal),
    /// Its caller has gone.
    Gone,
}

impl From<Refusal> for End {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<ErrorKind> for End {
    fn from(kind: ErrorKind) -> Self {
        Self::Refused(kind.into())
    }
}

/// Why one attempt ended without an answer.
enum Stop {
    /// The engine failed.
    Backend(BackendError),
    /// The caller has gone.
    Gone,
}

/// Answers a request for a completion.
pub(crate) async fn serve(front: &Front, accepted: &Accepted, responder: &mut Responder) {
    let body = &accepted.request.body;
    let parsed = completion::parse(accepted.route.kind, body, &front.config.borrow());
    let completion = match parsed {
        Ok(completion) => completion,
        Err(refusal) => return front.refuse(&refusal, None, responder).await,
    };
    let fingerprint = fingerprint(accepted, &completion);
    let id = match request_id(front, accepted, &completion, &fingerprint) {
        Ok(id) => id,
        Err(refusal) => return front.refuse(&refusal, None, responder).await,
    };
    let mut run = GenerationRun {
        front,
        accepted,
        blocks: blocks(completion.prompt.as_bytes()),
        texts: completion.resume.clone(),
        completion,
        fingerprint,
        id,
        tried: Vec::new(),
        attempts: 0,
        refusals: 0,
        written: false,
    };
    match run.run(responder).await {
        Ok(()) => front.meter.one(Counter::Answered),
        Err(End::Gone) => {
            front.meter.one(Counter::Cancelled);
            front.note(
                &run.id,
                "outcome=cancelled reason=\"the caller has gone\"".to_owned(),
            );
        }
        Err(End::Refused(refusal)) => run.give_up(&run.truthful(refusal), responder).await,
    }
}

/// Tells a completion from others; a reconnect has the one of its first request.
fn fingerprint(accepted: &Accepted, completion: &Completion) -> Fingerprint {
    let bound = completion.max_tokens.to_be_bytes();
    let body = [
        completion.model.as_bytes(),
        b"\0",
        &bound,
        completion.prompt.as_bytes(),
    ];
    Fingerprint::of(&accepted.account, &accepted.route.path, &body.concat())
}

/// A new identifier, or the one that a reconnect names with `Last-Event-ID`.
fn request_id(
    front: &Front,
    accepted: &Accepted,
    completion: &Completion,
    fingerprint: &Fingerprint,
) -> Result<String, Refusal> {
    let Some(last) = accepted.request.header("last-event-id") else {
        return Ok(front.ids.next(&accepted.account, &fingerprint.0));
    };
    let wrong = |detail: &str| Refusal::at(ErrorKind::BadRequest, detail);
    let (id, index) = last
        .rsplit_once(':')
        .ok_or_else(|| wrong("Last-Event-ID is not ID:INDEX"))?;
    if !front.ids.is_own(id, &accepted.account, &fingerprint.0) {
        return Err(wrong("Last-Event-ID belongs to another request"));
    }
    let next = index.parse::<usize>().ok().map(|index| index + 1);
    if next != Some(completion.resume.len()) {
        return Err(wrong("`resume` must hold the tokens up to Last-Event-ID"));
    }
    front.note(
        id,
        format!("reconnect resumed_tokens={}", completion.resume.len()),
    );
    Ok(id.to_owned())
}

/// A completion that is being run, over all its attempts.
struct GenerationRun<'a> {
    front: &'a Front,
    accepted: &'a Accepted,
    completion: Completion,
    blocks: Vec<Block>,
    fingerprint: Fingerprint,
    id: String,
    /// Texts of all tokens so far, with those the caller had before.
    texts: Vec<String>,
    tried: Vec<ServerKey>,
    attempts: u32,
    refusals: usize,
    /// Whether an engine may have run a part of it.
    written: bool,
}

impl GenerationRun<'_> {
    async fn run(&mut self, responder: &mut Responder) -> Result<(), End> {
        let front = self.front;
        self.check_quarantine()?;
        let pool = self.completion.model.clone();
        let work = self.work();
        let mut turn = monoio::select! {
            turn = Turn::wait(front, self.accepted, &self.id, &pool, work) => turn?,
            () = responder.gone() => return Err(End::Gone),
        };
        loop {
            self.attempts += 1;
            let suspect = self.is_suspect();
            let chosen = self.choose(suspect, responder).await?;
            let server = chosen.server;
            let mut in_flight = InFlight::start(
                front,
                server,
                self.work_on(chosen),
                self.fingerprint,
                suspect,
            );
            match self.attempt(chosen, &turn, &in_flight, responder).await {
                Ok(()) => {
                    in_flight.answered(self.texts.len() as u64);
                    turn.answered();
                    front.policy.admission.borrow_mut().accepted(&pool);
                    return self.finish(responder).await;
                }
                Err(Stop::Gone) => return Err(End::Gone),
                Err(Stop::Backend(error)) => {
                    in_flight.failed(error);
                    drop(in_flight);
                    if error == BackendError::Lost {
                        // Before this request is sent again or refused, the peers
                        // must know: its caller may send it to one of them at once.
                        (front.spread)().await;
                    }
                    self.after_failure(error, server, &turn).await?;
                }
            }
        }
    }

    /// The work that is left, with the output that answers like it had.
    fn work(&self) -> Work {
        let most = u64::from(self.completion.max_tokens);
        let made = self.texts.len() as u64;
        let estimates = self.front.policy.estimates.borrow();
        let (pool, account) = (&self.completion.model, &self.accepted.account);
        Work {
            prompt: self.completion.prompt_tokens() + made,
            output: estimates.expected(pool, account, most).saturating_sub(made),
        }
    }

    /// The work on a server, without what it is thought to have cached.
    fn work_on(&self, chosen: Chosen) -> Work {
        let work = self.work();
        Work {
            prompt: work.prompt.saturating_sub(chosen.cached),
            ..work
        }
    }

    fn check_quarantine(&self) -> Result<(), Refusal> {
        let now = self.front.clock.now();
        let suspicions = self.front.policy.suspicions.borrow();
        match suspicions.treatment(&self.fingerprint, now) {
            Treatment::Normal | Treatment::Apart => Ok(()),
            Treatment::Refuse(left) => Err(Refusal {
                retry: Some(left),
                run: self.written.then_some(Run::Unknown),
                ..Refusal::from(ErrorKind::Quarantined)
            }),
        }
    }

    fn is_suspect(&self) -> bool {
        let now = self.front.clock.now();
        let suspicions = self.front.policy.suspicions.borrow();
        suspicions.is_suspect(&self.fingerprint, now)
    }

    /// Chooses an engine; one without another suspect for a suspect.
    async fn choose(&self, suspect: bool, responder: &mut Responder) -> Result<Chosen, End> {
        let wanted = choice::Wanted {
            pool: &self.completion.model,
            session: self.completion.session.as_deref(),
            blocks: &self.blocks,
            work: self.work(),
            tried: &self.tried,
            suspect,
            again: true,
        };
        if !suspect {
            let chosen = choice::choose(self.front, &self.id, &wanted);
            return chosen.map_err(|kind| self.no_server(kind));
        }
        monoio::select! {
            chosen = choice::choose_apart(self.front, &self.id, &wanted, self.accepted.deadline) => {
                chosen.map_err(|kind| self.no_server(kind))
            }
            () = responder.gone() => Err(End::Gone),
        }
    }

    fn no_server(&self, kind: ErrorKind) -> End {
        let run = self.written.then_some(Run::Unknown);
        End::Refused(Refusal {
            run,
            ..Refusal::from(kind)
        })
    }

    /// Runs the rest of the generation on one engine.
    async fn attempt(
        &mut self,
        chosen: Chosen,
        turn: &Turn,
        in_flight: &InFlight,
        responder: &mut Responder,
    ) -> Result<(), Stop> {
        let front = self.front;
        let request = Generate {
            id: self.id.clone(),
            prompt: self.completion.prompt.clone(),
            resume: self.texts.clone(),
            max_tokens: self.completion.max_tokens,
            priority: self.accepted.route.weight as i32,
        };
        let first_byte = Duration::from_millis(self.accepted.route.first_byte_ms);
        let gap = Duration::from_millis(self.accepted.route.gap_ms);
        let mut deadline = self.accepted.deadline.min(front.clock.now() + first_byte);
        let mut generation = monoio::select! {
            started = Generation::start(chosen.address, &request, front.connect, deadline) => {
                started.map_err(Stop::Backend)?
            }
            () = responder.gone() => return Err(Stop::Gone),
        };
        let mut last = None;
        loop {
            let event = monoio::select! {
                event = generation.next(deadline) => event.map_err(Stop::Backend)?,
                () = responder.gone() => return Err(Stop::Gone),
            };
            let now = front.clock.now();
            deadline = self.accepted.deadline.min(now + gap);
            match event {
                Event::Token { index, text } => {
                    if let Some(last) = last.replace(now) {
                        front.meter.time(Timer::Gap, now - last);
                    } else {
                        in_flight.first_piece();
                        self.first_token(chosen.server);
                    }
                    turn.charge(1);
                    self.count_token();
                    self.send_token(index, &text, responder).await?;
                    self.texts.push(text);
                }
                Event::Done { .. } => return Ok(()),
            }
        }
    }

    fn count_token(&self) {
        let now = self.front.clock.now();
        let mut demand = self.front.policy.demand.borrow_mut();
        demand.made(&self.completion.model, 1, now);
    }

    fn first_token(&self, server: ServerKey) {
        let front = self.front;
        let mut hints = front.policy.hints.borrow_mut();
        hints.add_all(server, &self.blocks);
        if self.texts.len() == self.completion.resume.len() {
            let taken = front
                .clock
                .now()
                .saturating_duration_since(self.accepted.arrived);
            front.meter.time(Timer::FirstToken, taken);
        }
    }

    async fn send_token(
        &self,
        index: u32,
        text: &str,
        responder: &mut Responder,
    ) -> Result<(), Stop> {
        self.front.meter.one(Counter::Tokens);
        if !self.completion.stream {
            return Ok(());
        }
        if !responder.started() {
            let head = stream_head(&self.id);
            let started = responder.start(StatusCode::OK, &head).await;
            started.map_err(|_| Stop::Gone)?;
        }
        let event = completion::token_event(&self.id, &self.completion, index, text);
        let sent = responder.chunk(event.as_bytes()).await;
        sent.map_err(|_| Stop::Gone)
    }

    /// Decides whether the generation goes on elsewhere; an error is the final answer.
    async fn after_failure(
        &mut self,
        error: BackendError,
        server: ServerKey,
        turn: &Turn,
    ) -> Result<(), End> {
        let front = self.front;
        self.written |= !error.not_run();
        self.tried.push(server);
        if error == BackendError::Refused {
            let pool = &self.completion.model;
            let now = front.clock.now();
            front.policy.admission.borrow_mut().refused(pool, now);
            return self.after_refusal(turn).await;
        }
        if error == BackendError::Rejected {
            return Err(ErrorKind::ServerFault.into());
        }
        self.check_quarantine()?;
        let attempt = Attempt {
            idempotent: true,
            progress: if error.not_run() {
                Progress::Unsent
            } else {
                Progress::Written
            },
            attempts: self.attempts,
            deadline: self.accepted.deadline,
        };
        let verdict = front
            .policy
            .budget
            .borrow_mut()
            .may_retry(attempt, front.clock.now());
        front.note(
            &self.id,
            format!(
                "attempt={} failed=\"{error}\" verdict={verdict}",
                self.attempts
            ),
        );
        match verdict {
            RetryVerdict::Retry => {
                front.meter.one(Counter::Retries);
                if !self.texts.is_empty() {
                    front.meter.one(Counter::Resumed);
                }
                Ok(())
            }
            RetryVerdict::DeadlinePassed => Err(ErrorKind::DeadlinePassed.into()),
            RetryVerdict::NotIdempotent
            | RetryVerdict::AttemptsSpent
            | RetryVerdict::BudgetSpent => Err(self.final_error(error).into()),
        }
    }

    /// Tries another server after a refusal, or waits for another turn after several.
    ///
    /// A request that an engine has worked on keeps its turn: it was accepted.
    async fn after_refusal(&mut self, turn: &Turn) -> Result<(), End> {
        self.attempts -= 1;
        self.refusals += 1;
        self.front
            .note(&self.id, format!("refusals={} by servers", self.refusals));
        if self.refusals.is_multiple_of(REFUSALS_PER_TURN) {
            self.tried.clear();
            let rounds = (self.refusals / REFUSALS_PER_TURN).min(LONGEST_PAUSE_ROUNDS);
            monoio::time::sleep(REFUSED_PAUSE * rounds as u32).await;
            if !self.written {
                turn.again().await?;
            } else if self.front.clock.now() >= self.accepted.deadline {
                return Err(ErrorKind::DeadlinePassed.into());
            }
        }
        Ok(())
    }

    /// Adds what is known of the run to a final answer: an engine may have had it.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        match refusal.run() {
            Run::NotRun if self.written => Refusal {
                run: Some(Run::Unknown),
                ..refusal
            },
            Run::NotRun | Run::Ran | Run::Unknown => refusal,
        }
    }

    fn final_error(&self, error: BackendError) -> ErrorKind {
        if !self.written {
            return ErrorKind::NoServer;
        }
        match error {
            BackendError::Silent => ErrorKind::DeadlinePassed,
            BackendError::Crossed | BackendError::Broken | BackendError::Rejected => {
                ErrorKind::ServerFault
            }
            BackendError::Connect | BackendError::Refused | BackendError::Lost => {
                ErrorKind::ServerLost
            }
        }
    }

    /// Bills the answer, and ends it.
    async fn finish(&self, responder: &mut Responder) -> Result<(), End> {
        let tokens = self.texts.len() as u64;
        let usage = Usage {
            request: self.id.clone(),
            account: self.accepted.account.clone(),
            prompt: self.completion.prompt_tokens(),
            output: tokens,
        };
        self.learn_output(tokens);
        (self.front.bill)(usage).await;
        let sent = if self.completion.stream {
            self.end_stream(responder).await
        } else {
            let text = self.texts.concat();
            let body = completion::whole(&self.id, &self.completion, &text, tokens);
            let response = Response::new(200, body)
                .with("content-type", "application/json")
                .with("x-request-id", &self.id);
            responder.send(response).await.is_ok()
        };
        if !sent {
            return Err(End::Gone);
        }
        let text = format!(
            "outcome=answered tokens={tokens} attempts={}",
            self.attempts
        );
        self.front.note(&self.id, text);
        Ok(())
    }

    fn learn_output(&self, tokens: u64) {
        let mut estimates = self.front.policy.estimates.borrow_mut();
        estimates.learn(&self.completion.model, &self.accepted.account, tokens);
    }

    async fn end_stream(&self, responder: &mut Responder) -> bool {
        if !responder.started() {
            let head = stream_head(&self.id);
            if responder.start(StatusCode::OK, &head).await.is_err() {
                return false;
            }
        }
        responder.chunk(DONE_EVENT.as_bytes()).await.is_ok() && responder.finish().await.is_ok()
    }

    /// Gives the final answer at once; a stream that has begun ends as aborted.
    async fn give_up(&self, refusal: &Refusal, responder: &mut Responder) {
        if !responder.started() {
            return self.front.refuse(refusal, Some(&self.id), responder).await;
        }
        self.front.meter.one(Counter::Failed);
        let code = refusal.kind.answer().code;
        self.front
            .note(&self.id, format!("outcome=aborted code={code}"));
        let body = answer::render(refusal, Some(&self.id));
        let event = format!("event: error\ndata: {body}\n\n");
        // The body is left without its end, so that nobody takes it for whole.
        let _ = responder.chunk(event.as_bytes()).await;
    }
}

fn stream_head(id: &str) -> HeaderMap {
    let mut head = HeaderMap::new();
    head.insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    head.insert("cache-control", HeaderValue::from_static("no-store"));
    if let Ok(id) = HeaderValue::from_str(id) {
        head.insert("x-request-id", id);
    }
    head
}
