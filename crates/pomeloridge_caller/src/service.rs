//! Runs a call to a plain service.
//!
//! A call that is not idempotent is retried only if none of it was sent, or if the
//! service reported that it was not run.

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

use crate::auth::forwardable_headers;
use crate::claim::{ClaimOutcome, ClaimRequest, claim_key};
use crate::frontend::{AcceptedRequest, Frontend, Usage};
use crate::in_flight::InFlightGuard;
use crate::permit::AdmissionPermit;
use crate::refusal::Refusal;
use crate::server_selection::{self, SelectedServer, SelectionRequest};

/// Work of a call for admission and routing.
const CALL_WORK: Work = Work {
    prompt: 1,
    output: 1,
};

/// Handles a call to a plain service.
pub(crate) async fn serve(
    frontend: &Frontend,
    accepted: &AcceptedRequest,
    responder: &mut Responder,
) {
    let fingerprint = fingerprint(accepted);
    let call = ServiceCall {
        frontend,
        accepted,
        pool: &accepted.route.pool,
        id: frontend.ids.next(&accepted.account, &fingerprint.0),
        fingerprint,
    };
    let permit = monoio::select! {
        permit = call.acquire_permit() => permit,
        _ = responder.closed() => {
            frontend.meter.increment(Counter::Cancelled);
            return;
        }
    };
    // From here on the call runs to completion even if its caller disconnects, so
    // that a repeat gets its outcome.
    let outcome = match permit {
        Ok(mut permit) => call.run_claimed(&mut permit).await,
        Err(refusal) => Err(refusal),
    };
    match outcome {
        Ok(response) => {
            frontend.meter.increment(Counter::Answered);
            let status = response.status.as_u16();
            frontend.record_decision(&call.id, format!("outcome=answered status={status}"));
            let _ = responder.send(response).await;
        }
        Err(refusal) => frontend.refuse(&refusal, Some(&call.id), responder).await,
    }
}

fn fingerprint(accepted: &AcceptedRequest) -> Fingerprint {
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

/// A call to a plain service.
struct ServiceCall<'a> {
    frontend: &'a Frontend,
    accepted: &'a AcceptedRequest,
    pool: &'a Name,
    id: String,
    fingerprint: Fingerprint,
}

impl ServiceCall<'_> {
    async fn acquire_permit(&self) -> Result<AdmissionPermit, Refusal> {
        self.frontend.check_quarantine(&self.fingerprint, false)?;
        AdmissionPermit::acquire(self.frontend, self.accepted, &self.id, self.pool, CALL_WORK).await
    }

    fn is_idempotent(&self) -> bool {
        let method = self.accepted.request.method.as_str();
        self.accepted.route.is_idempotent(method)
    }

    /// Runs the call, under a claim if it has an idempotency key and is not idempotent.
    async fn run_claimed(&self, permit: &mut AdmissionPermit) -> Result<Response, Refusal> {
        let key = self.accepted.request.header("idempotency-key");
        let Some(key) = key.filter(|_| !self.is_idempotent()) else {
            return self.run(permit).await;
        };
        let now_ms = self.frontend.clock.unix_ms();
        let request = ClaimRequest {
            account: &self.accepted.account,
            key,
            fingerprint: &self.fingerprint.0,
            request_id: &self.id,
            now_ms,
            until_ms: now_ms + self.accepted.route.deadline_ms,
        };
        let claim = match claim_key(&self.frontend.claims, &request).await? {
            ClaimOutcome::Run(claim) => claim,
            ClaimOutcome::Replay(response) => {
                self.frontend
                    .record_decision(&self.id, "claim=repeat stored answer given".to_owned());
                return Ok(response);
            }
        };
        let outcome = self.run(permit).await;
        match &outcome {
            Ok(response) => claim.store_answer(response).await,
            Err(refusal) => match refusal.run() {
                RunStatus::NotRun => claim.release().await,
                RunStatus::Ran | RunStatus::Unknown => claim.store_unknown().await,
            },
        }
        outcome
    }

    async fn run(&self, permit: &mut AdmissionPermit) -> Result<Response, Refusal> {
        let frontend = self.frontend;
        let mut tried = Vec::new();
        let mut attempts = 0;
        let mut may_have_run = false;
        loop {
            attempts += 1;
            let SelectedServer {
                server, address, ..
            } = self.select_server(&tried, may_have_run)?;
            let mut in_flight =
                InFlightGuard::start(frontend, server, CALL_WORK, self.fingerprint, false);
            match self.attempt(address).await {
                Ok(response) => {
                    in_flight.record_first_output();
                    in_flight.record_answer(1);
                    permit.charge(1);
                    permit.mark_answered();
                    frontend
                        .policy
                        .admission
                        .borrow_mut()
                        .record_server_acceptance(self.pool);
                    self.record_usage().await;
                    return Ok(self.caller_response(response));
                }
                Err(error) => {
                    in_flight.record_failure(error);
                    drop(in_flight);
                    tried.push(server);
                    may_have_run |= !error.not_run();
                    if error == BackendError::Lost {
                        // Peers must know before the call is retried or refused.
                        (frontend.share_suspicions)().await;
                    }
                    frontend.check_quarantine(&self.fingerprint, may_have_run)?;
                    self.after_failure(error, attempts, may_have_run)?;
                }
            }
        }
    }

    fn select_server(
        &self,
        tried: &[ServerKey],
        may_have_run: bool,
    ) -> Result<SelectedServer, Refusal> {
        let request = SelectionRequest {
            pool: self.pool,
            session: None,
            blocks: &[],
            work: CALL_WORK,
            tried,
            suspect: false,
            allow_tried: false,
        };
        server_selection::select_server(self.frontend, &self.id, &request).map_err(|kind| Refusal {
            run: may_have_run.then_some(RunStatus::Unknown),
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
            headers: forwardable_headers(&request.headers),
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

    /// Decides whether the call is retried; an error is final.
    fn after_failure(
        &self,
        error: BackendError,
        attempts: u32,
        may_have_run: bool,
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
        frontend.record_decision(&self.id, text);
        if verdict == RetryVerdict::Retry {
            frontend.meter.increment(Counter::Retries);
            return Ok(());
        }
        Err(final_refusal(error, may_have_run))
    }

    async fn record_usage(&self) {
        let usage = Usage {
            request_id: self.id.clone(),
            account: self.accepted.account.clone(),
            prompt_tokens: 0,
            output_tokens: 0,
        };
        (self.frontend.record_usage)(usage).await;
    }

    fn caller_response(&self, response: Response) -> Response {
        Response {
            headers: forwardable_headers(&response.headers),
            ..response
        }
        .with_header("x-request-id", &self.id)
    }
}

/// Returns the refusal after the last attempt.
fn final_refusal(error: BackendError, may_have_run: bool) -> Refusal {
    let kind = match error {
        BackendError::Connect if !may_have_run => ErrorKind::NoServer,
        BackendError::Refused if !may_have_run => ErrorKind::Overloaded,
        BackendError::Connect | BackendError::Refused | BackendError::Lost => ErrorKind::ServerLost,
        BackendError::Silent => ErrorKind::DeadlinePassed,
        // A crossed or broken response does not show whether the call ran.
        BackendError::Crossed | BackendError::Broken | BackendError::Rejected => {
            return Refusal {
                run: Some(RunStatus::Unknown),
                ..Refusal::from(ErrorKind::ServerFault)
            };
        }
    };
    kind.into()
}
