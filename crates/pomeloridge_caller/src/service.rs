//! Runs a call to a plain service.
//!
//! A call that may not be repeated is sent again only if no byte of it was
//! written, or if the service said that it had done nothing.

use std::net::SocketAddr;
use std::time::Duration;

use pomeloridge_backend::{BackendError, Call, forward};
use pomeloridge_base::error::{ErrorKind, RunStatus};
use pomeloridge_base::http::{Responder, Response};
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::retry::{Attempt, Progress, RetryVerdict};
use pomeloridge_policy::server::{ServerKey, Work};
use pomeloridge_policy::suspicion::Fingerprint;

use crate::auth::shared_headers;
use crate::choice::{self, Chosen};
use crate::claim::{Claimed, Subject, claim};
use crate::frontend::{Accepted, Frontend, Usage};
use crate::in_flight::InFlight;
use crate::refusal::Refusal;
use crate::turn::Turn;

/// The work that one call counts as.
const CALL_WORK: Work = Work {
    prompt: 1,
    output: 1,
};

/// Answers a call to a plain service.
pub(crate) async fn serve(frontend: &Frontend, accepted: &Accepted, responder: &mut Responder) {
    let fingerprint = fingerprint(accepted);
    let call = ServiceCall {
        frontend,
        accepted,
        pool: &accepted.route.pool,
        id: frontend.ids.next(&accepted.account, &fingerprint.0),
        fingerprint,
    };
    let turn = monoio::select! {
        turn = call.turn() => turn,
        () = responder.closed() => {
            frontend.meter.increment(Counter::Cancelled);
            return;
        }
    };
    // From here on the call is run to its end even if its caller goes away, so
    // that its outcome is known to a repeat.
    let outcome = match turn {
        Ok(mut turn) => call.run_claimed(&mut turn).await,
        Err(refusal) => Err(refusal),
    };
    match outcome {
        Ok(response) => {
            frontend.meter.increment(Counter::Answered);
            let status = response.status.as_u16();
            frontend.note(&call.id, format!("outcome=answered status={status}"));
            let _ = responder.send(response).await;
        }
        Err(refusal) => frontend.refuse(&refusal, Some(&call.id), responder).await,
    }
}

fn fingerprint(accepted: &Accepted) -> Fingerprint {
    let request = &accepted.request;
    let target = request.uri.to_string();
    let parts = [
        request.method.as_str().as_bytes(),
        b" ",
        target.as_bytes(),
        b"\0",
        &request.body,
    ];
    Fingerprint::of(&accepted.account, &accepted.route.path, &parts.concat())
}

/// A call that is being run.
struct ServiceCall<'a> {
    frontend: &'a Frontend,
    accepted: &'a Accepted,
    pool: &'a Name,
    id: String,
    fingerprint: Fingerprint,
}

impl ServiceCall<'_> {
    async fn turn(&self) -> Result<Turn, Refusal> {
        self.frontend.check_quarantine(&self.fingerprint, false)?;
        Turn::wait(self.frontend, self.accepted, &self.id, self.pool, CALL_WORK).await
    }

    fn is_idempotent(&self) -> bool {
        let method = self.accepted.request.method.as_str();
        self.accepted.route.is_idempotent(method)
    }

    /// Runs the call, under a claim if it came with an idempotency key.
    async fn run_claimed(&self, turn: &mut Turn) -> Result<Response, Refusal> {
        let key = self.accepted.request.header("idempotency-key");
        let Some(key) = key.filter(|_| !self.is_idempotent()) else {
            return self.run(turn).await;
        };
        let now_ms = self.frontend.clock.unix_ms();
        let subject = Subject {
            account: &self.accepted.account,
            key,
            fingerprint: &self.fingerprint.0,
            request_id: &self.id,
            now_ms,
            until_ms: now_ms + self.accepted.route.deadline_ms,
        };
        let claim = match claim(&self.frontend.claims, &subject).await? {
            Claimed::Run(claim) => claim,
            Claimed::Answer(response) => {
                self.frontend
                    .note(&self.id, "claim=repeat stored answer given".to_owned());
                return Ok(response);
            }
        };
        let outcome = self.run(turn).await;
        match &outcome {
            Ok(response) => claim.done(response).await,
            Err(refusal) => match refusal.run() {
                RunStatus::NotRun => claim.release().await,
                RunStatus::Ran | RunStatus::Unknown => claim.unknown().await,
            },
        }
        outcome
    }

    async fn run(&self, turn: &mut Turn) -> Result<Response, Refusal> {
        let frontend = self.frontend;
        let mut tried = Vec::new();
        let mut attempts = 0;
        let mut written = false;
        loop {
            attempts += 1;
            let Chosen {
                server, address, ..
            } = self.choose(&tried, written)?;
            let mut in_flight =
                InFlight::start(frontend, server, CALL_WORK, self.fingerprint, false);
            match self.attempt(address).await {
                Ok(response) => {
                    in_flight.first_piece();
                    in_flight.answered(1);
                    turn.charge(1);
                    turn.answered();
                    frontend
                        .policy
                        .admission
                        .borrow_mut()
                        .record_server_acceptance(self.pool);
                    self.bill().await;
                    return Ok(self.answer(response));
                }
                Err(error) => {
                    in_flight.failed(error);
                    drop(in_flight);
                    tried.push(server);
                    written |= !error.not_run();
                    if error == BackendError::Lost {
                        // Before the call is sent again or refused, the peers must know.
                        (frontend.share_suspicions)().await;
                    }
                    frontend.check_quarantine(&self.fingerprint, written)?;
                    self.after_failure(error, attempts, written)?;
                }
            }
        }
    }

    fn choose(&self, tried: &[ServerKey], written: bool) -> Result<Chosen, Refusal> {
        let wanted = choice::Wanted {
            pool: self.pool,
            session: None,
            blocks: &[],
            work: CALL_WORK,
            tried,
            suspect: false,
            again: false,
        };
        choice::choose(self.frontend, &self.id, &wanted).map_err(|kind| Refusal {
            run: written.then_some(RunStatus::Unknown),
            ..Refusal::from(kind)
        })
    }

    async fn attempt(&self, address: SocketAddr) -> Result<Response, BackendError> {
        let route = &self.accepted.route;
        let request = &self.accepted.request;
        let target = request.uri.path_and_query();
        let call = Call {
            id: self.id.clone(),
            method: request.method.clone(),
            target: target.map_or_else(|| "/".to_owned(), ToString::to_string),
            headers: shared_headers(&request.headers),
            body: request.body.clone(),
            first_byte: Duration::from_millis(route.first_byte_ms),
            gap: Duration::from_millis(route.gap_ms),
        };
        forward(
            address,
            &call,
            self.frontend.connect_timeout,
            self.accepted.deadline,
        )
        .await
    }

    /// Decides whether the call is sent again; an error is the final answer.
    fn after_failure(
        &self,
        error: BackendError,
        attempts: u32,
        written: bool,
    ) -> Result<(), Refusal> {
        let frontend = self.frontend;
        let now = frontend.clock.now();
        if error == BackendError::Refused {
            frontend
                .policy
                .admission
                .borrow_mut()
                .record_server_refusal(self.pool, now);
        }
        let attempt = Attempt {
            idempotent: self.is_idempotent(),
            progress: match error {
                BackendError::Connect => Progress::Unsent,
                BackendError::Refused => Progress::Refused,
                BackendError::Lost
                | BackendError::Silent
                | BackendError::Crossed
                | BackendError::Broken
                | BackendError::Rejected => Progress::Written,
            },
            attempts,
            deadline: self.accepted.deadline,
        };
        let verdict = frontend.policy.budget.borrow_mut().may_retry(attempt, now);
        let text = format!("attempt={attempts} failed=\"{error}\" verdict={verdict}");
        frontend.note(&self.id, text);
        if verdict == RetryVerdict::Retry {
            frontend.meter.increment(Counter::Retries);
            return Ok(());
        }
        Err(final_refusal(error, written))
    }

    async fn bill(&self) {
        let usage = Usage {
            request_id: self.id.clone(),
            account: self.accepted.account.clone(),
            prompt_tokens: 0,
            output_tokens: 0,
        };
        (self.frontend.record_usage)(usage).await;
    }

    fn answer(&self, response: Response) -> Response {
        Response {
            headers: shared_headers(&response.headers),
            ..response
        }
        .with_header("x-request-id", &self.id)
    }
}

/// The final answer after the last attempt.
fn final_refusal(error: BackendError, written: bool) -> Refusal {
    let kind = match error {
        BackendError::Connect if !written => ErrorKind::NoServer,
        BackendError::Refused if !written => ErrorKind::Overloaded,
        BackendError::Connect | BackendError::Refused | BackendError::Lost => ErrorKind::ServerLost,
        BackendError::Silent => ErrorKind::DeadlinePassed,
        // A crossed or broken answer says nothing of the call itself.
        BackendError::Crossed | BackendError::Broken | BackendError::Rejected => {
            return Refusal {
                run: Some(RunStatus::Unknown),
                ..Refusal::from(ErrorKind::ServerFault)
            };
        }
    };
    kind.into()
}
