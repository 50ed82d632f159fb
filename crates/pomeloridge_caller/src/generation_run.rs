//! Runs a completion: waits for admission, generates on an engine, and continues on
//! another one if the engine is lost.

use std::time::Duration;

use pomeloridge_backend::{BackendError, Event, Generation, GenerationRequest};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::Responder;
use pomeloridge_base::meter::Timer;
use pomeloridge_policy::prefix::BlockHash;
use pomeloridge_policy::server::{ServerKey, Work};
use pomeloridge_policy::suspicion::Fingerprint;

use crate::completion::Completion;
use crate::frontend::{AcceptedRequest, Frontend};
use crate::in_flight::InFlightGuard;
use crate::permit::AdmissionPermit;
use crate::refusal::Refusal;
use crate::server_selection::{self, SelectedServer, SelectionRequest};

/// Why a generation ended without an answer.
pub(crate) enum GenerationError {
    /// It was refused or failed.
    Refused(Refusal),
    /// The caller disconnected.
    CallerDisconnected,
}

impl From<Refusal> for GenerationError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<ErrorKind> for GenerationError {
    fn from(kind: ErrorKind) -> Self {
        Self::Refused(kind.into())
    }
}

/// Why one attempt ended without an answer.
pub(crate) enum AttemptError {
    /// The engine failed.
    Backend(BackendError),
    /// The caller disconnected.
    CallerDisconnected,
}

/// State of a running completion across its attempts.
pub(crate) struct GenerationRun<'a> {
    pub(crate) frontend: &'a Frontend,
    pub(crate) accepted: &'a AcceptedRequest,
    pub(crate) completion: Completion,
    pub(crate) blocks: Vec<BlockHash>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) id: String,
    /// Texts of all tokens so far, including those of `resume`.
    pub(crate) texts: Vec<String>,
    pub(crate) tried: Vec<ServerKey>,
    pub(crate) attempts: u32,
    pub(crate) refusals: usize,
    /// Whether an engine may have run part of the request.
    pub(crate) may_have_run: bool,
}

impl GenerationRun<'_> {
    pub(crate) async fn run(&mut self, responder: &mut Responder) -> Result<(), GenerationError> {
        let frontend = self.frontend;
        self.check_quarantine()?;
        let pool = self.completion.model.clone();
        let work = self.work();
        let mut permit = monoio::select! {
            permit = AdmissionPermit::acquire(frontend, self.accepted, &self.id, &pool, work) => {
                permit?
            }
            _ = responder.closed() => return Err(GenerationError::CallerDisconnected),
        };
        loop {
            self.attempts += 1;
            let suspect = self.is_suspect();
            let chosen = self.select_server(suspect, responder).await?;
            let server = chosen.server;
            let mut in_flight = InFlightGuard::start(
                frontend,
                server,
                self.work_on(chosen),
                self.fingerprint,
                suspect,
            );
            match self.attempt(chosen, &permit, &in_flight, responder).await {
                Ok(()) => {
                    in_flight.record_answer(self.texts.len() as u64);
                    permit.mark_answered();
                    frontend
                        .policy
                        .admission
                        .borrow_mut()
                        .record_server_acceptance(&pool);
                    return self.finish(responder).await;
                }
                Err(AttemptError::CallerDisconnected) => {
                    return Err(GenerationError::CallerDisconnected);
                }
                Err(AttemptError::Backend(error)) => {
                    in_flight.record_failure(error);
                    drop(in_flight);
                    if error == BackendError::Lost {
                        // Peers must know before this request is retried or refused:
                        // its caller may send it to one of them immediately.
                        (frontend.share_suspicions)().await;
                    }
                    self.after_failure(error, server, &permit).await?;
                }
            }
        }
    }

    /// Returns the remaining work, with the output estimated from earlier answers.
    pub(crate) fn work(&self) -> Work {
        let max_tokens = u64::from(self.completion.max_tokens);
        let generated = self.texts.len() as u64;
        let estimates = self.frontend.policy.estimates.borrow();
        let (pool, account) = (&self.completion.model, &self.accepted.account);
        Work {
            prompt: self.completion.prompt_tokens() + generated,
            output: estimates
                .expected(pool, account, max_tokens)
                .saturating_sub(generated),
        }
    }

    /// Returns the remaining work without the prompt tokens cached on a server.
    pub(crate) fn work_on(&self, chosen: SelectedServer) -> Work {
        let work = self.work();
        Work {
            prompt: work.prompt.saturating_sub(chosen.cached),
            ..work
        }
    }

    /// Selects an engine; for a suspect, one without another suspect.
    pub(crate) async fn select_server(
        &self,
        suspect: bool,
        responder: &mut Responder,
    ) -> Result<SelectedServer, GenerationError> {
        let request = SelectionRequest {
            pool: &self.completion.model,
            session: self.completion.session.as_deref(),
            blocks: &self.blocks,
            work: self.work(),
            tried: &self.tried,
            suspect,
            allow_tried: true,
        };
        if !suspect {
            let chosen = server_selection::select_server(self.frontend, &self.id, &request);
            return chosen.map_err(|kind| self.selection_error(kind));
        }
        monoio::select! {
            chosen = server_selection::select_isolated(
                self.frontend,
                &self.id,
                &request,
                self.accepted.deadline,
            ) => {
                chosen.map_err(|kind| self.selection_error(kind))
            }
            _ = responder.closed() => Err(GenerationError::CallerDisconnected),
        }
    }

    /// Runs the remaining generation on one engine.
    pub(crate) async fn attempt(
        &mut self,
        chosen: SelectedServer,
        permit: &AdmissionPermit,
        in_flight: &InFlightGuard,
        responder: &mut Responder,
    ) -> Result<(), AttemptError> {
        let frontend = self.frontend;
        let request = GenerationRequest {
            id: self.id.clone(),
            prompt: self.completion.prompt.clone(),
            resume: self.texts.clone(),
            max_tokens: self.completion.max_tokens,
            priority: self.accepted.route.weight as i32,
        };
        let first_byte = Duration::from_millis(self.accepted.route.first_byte_ms);
        let gap = Duration::from_millis(self.accepted.route.gap_ms);
        let mut deadline = self
            .accepted
            .deadline
            .min(frontend.clock.now() + first_byte);
        let mut generation = monoio::select! {
            started = Generation::start(
                chosen.address,
                &request,
                frontend.connect_timeout,
                deadline,
            ) => {
                started.map_err(AttemptError::Backend)?
            }
            _ = responder.closed() => return Err(AttemptError::CallerDisconnected),
        };
        let mut last = None;
        loop {
            let event = monoio::select! {
                event = generation.next(deadline) => event.map_err(AttemptError::Backend)?,
                _ = responder.closed() => return Err(AttemptError::CallerDisconnected),
            };
            let now = frontend.clock.now();
            deadline = self.accepted.deadline.min(now + gap);
            match event {
                Event::Token { index, text } => {
                    if let Some(last) = last.replace(now) {
                        frontend.meter.record(Timer::TokenGap, now - last);
                    } else {
                        in_flight.record_first_output();
                        self.record_first_token(chosen.server);
                    }
                    permit.charge(1);
                    self.count_token();
                    self.send_token(index, &text, responder).await?;
                    self.texts.push(text);
                }
                Event::Done { .. } => return Ok(()),
            }
        }
    }
}
