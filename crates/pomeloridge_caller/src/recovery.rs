//! Recovery of a generation after a failed attempt: a retry on another engine, a
//! return to the admission queue, or the final error.

use std::time::Duration;

use pomeloridge_backend::BackendError;
use pomeloridge_base::error::{ErrorKind, RunStatus};
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::retry::{Attempt, Progress, RetryVerdict};
use pomeloridge_policy::server::ServerKey;

use crate::generation_run::{GenerationError, GenerationRun};
use crate::permit::AdmissionPermit;
use crate::refusal::Refusal;

/// Refusals by servers after which a request is queued again.
const REFUSALS_BEFORE_REQUEUE: usize = 2;
/// Rounds of refusals up to which the backoff grows.
const MAX_BACKOFF_ROUNDS: usize = 10;
/// Increase of the backoff with each round of refusals.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);

impl GenerationRun<'_> {
    pub(crate) fn check_quarantine(&self) -> Result<(), Refusal> {
        let frontend = self.frontend;
        frontend.check_quarantine(&self.fingerprint, self.may_have_run)
    }

    pub(crate) fn is_suspect(&self) -> bool {
        let now = self.frontend.clock.now();
        let suspicions = self.frontend.policy.suspicions.borrow();
        suspicions.is_suspect(&self.fingerprint, now)
    }

    pub(crate) fn selection_error(&self, kind: ErrorKind) -> GenerationError {
        let run = self.may_have_run.then_some(RunStatus::Unknown);
        GenerationError::Refused(Refusal {
            run,
            ..Refusal::from(kind)
        })
    }

    /// Decides whether the generation is retried; an error is final.
    pub(crate) async fn after_failure(
        &mut self,
        error: BackendError,
        server: ServerKey,
        permit: &AdmissionPermit,
    ) -> Result<(), GenerationError> {
        let frontend = self.frontend;
        self.may_have_run |= !error.not_run();
        self.tried.push(server);
        if error == BackendError::Refused {
            let pool = &self.completion.model;
            let now = frontend.clock.now();
            frontend
                .policy
                .admission
                .borrow_mut()
                .record_server_refusal(pool, now);
            return self.after_refusal(permit).await;
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
        let verdict = frontend
            .policy
            .budget
            .borrow_mut()
            .may_retry(attempt, frontend.clock.now());
        frontend.record_decision(
            &self.id,
            format!(
                "attempt={} failed=\"{error}\" verdict={verdict}",
                self.attempts
            ),
        );
        match verdict {
            RetryVerdict::Retry => {
                frontend.meter.increment(Counter::Retries);
                if !self.texts.is_empty() {
                    frontend.meter.increment(Counter::Resumed);
                }
                Ok(())
            }
            RetryVerdict::DeadlinePassed => Err(ErrorKind::DeadlinePassed.into()),
            RetryVerdict::NotIdempotent
            | RetryVerdict::AttemptsSpent
            | RetryVerdict::BudgetSpent => Err(self.final_error(error).into()),
        }
    }

    /// Retries on another server after a refusal, or queues again after several.
    ///
    /// A request that an engine may have run keeps its permit: it was accepted.
    pub(crate) async fn after_refusal(
        &mut self,
        permit: &AdmissionPermit,
    ) -> Result<(), GenerationError> {
        self.attempts -= 1;
        self.refusals += 1;
        self.frontend
            .record_decision(&self.id, format!("refusals={} by servers", self.refusals));
        if self.refusals.is_multiple_of(REFUSALS_BEFORE_REQUEUE) {
            self.tried.clear();
            let rounds = (self.refusals / REFUSALS_BEFORE_REQUEUE).min(MAX_BACKOFF_ROUNDS);
            monoio::time::sleep(REFUSAL_BACKOFF * rounds as u32).await;
            if !self.may_have_run {
                permit.requeue().await?;
            } else if self.frontend.clock.now() >= self.accepted.deadline {
                return Err(ErrorKind::DeadlinePassed.into());
            }
        }
        Ok(())
    }

    /// Marks the run of a refusal as unknown if an engine may have run the request.
    pub(crate) fn with_run_status(&self, refusal: Refusal) -> Refusal {
        match refusal.run() {
            RunStatus::NotRun if self.may_have_run => Refusal {
                run: Some(RunStatus::Unknown),
                ..refusal
            },
            RunStatus::NotRun | RunStatus::Ran | RunStatus::Unknown => refusal,
        }
    }

    pub(crate) fn final_error(&self, error: BackendError) -> ErrorKind {
        if !self.may_have_run {
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
}
