//! What a generation does after a failed attempt: another engine, another turn,
//! or its final answer.

use std::time::Duration;

use pomeloridge_backend::BackendError;
use pomeloridge_base::error::{ErrorKind, RunStatus};
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::retry::{Attempt, Progress, RetryVerdict};
use pomeloridge_policy::server::ServerKey;

use crate::generation_run::{End, GenerationRun};
use crate::refusal::Refusal;
use crate::turn::Turn;

/// Servers that may refuse a request before it waits for another turn.
const REFUSALS_PER_TURN: usize = 2;
/// Rounds of refusals up to which the pause after them grows.
const LONGEST_PAUSE_ROUNDS: usize = 10;
/// Pause after all servers that were asked had refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

impl GenerationRun<'_> {
    pub(crate) fn check_quarantine(&self) -> Result<(), Refusal> {
        let frontend = self.frontend;
        frontend.check_quarantine(&self.fingerprint, self.written)
    }

    pub(crate) fn is_suspect(&self) -> bool {
        let now = self.frontend.clock.now();
        let suspicions = self.frontend.policy.suspicions.borrow();
        suspicions.is_suspect(&self.fingerprint, now)
    }

    pub(crate) fn no_server(&self, kind: ErrorKind) -> End {
        let run = self.written.then_some(RunStatus::Unknown);
        End::Refused(Refusal {
            run,
            ..Refusal::from(kind)
        })
    }

    /// Decides whether the generation goes on elsewhere; an error is the final answer.
    pub(crate) async fn after_failure(
        &mut self,
        error: BackendError,
        server: ServerKey,
        turn: &Turn,
    ) -> Result<(), End> {
        let frontend = self.frontend;
        self.written |= !error.not_run();
        self.tried.push(server);
        if error == BackendError::Refused {
            let pool = &self.completion.model;
            let now = frontend.clock.now();
            frontend
                .policy
                .admission
                .borrow_mut()
                .record_server_refusal(pool, now);
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
        let verdict = frontend
            .policy
            .budget
            .borrow_mut()
            .may_retry(attempt, frontend.clock.now());
        frontend.note(
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

    /// Tries another server after a refusal, or waits for another turn after several.
    ///
    /// A request that an engine has worked on keeps its turn: it was accepted.
    pub(crate) async fn after_refusal(&mut self, turn: &Turn) -> Result<(), End> {
        self.attempts -= 1;
        self.refusals += 1;
        self.frontend
            .note(&self.id, format!("refusals={} by servers", self.refusals));
        if self.refusals.is_multiple_of(REFUSALS_PER_TURN) {
            self.tried.clear();
            let rounds = (self.refusals / REFUSALS_PER_TURN).min(LONGEST_PAUSE_ROUNDS);
            monoio::time::sleep(REFUSED_PAUSE * rounds as u32).await;
            if !self.written {
                turn.again().await?;
            } else if self.frontend.clock.now() >= self.accepted.deadline {
                return Err(ErrorKind::DeadlinePassed.into());
            }
        }
        Ok(())
    }

    /// Adds what is known of the run to a final answer: an engine may have had it.
    pub(crate) fn truthful(&self, refusal: Refusal) -> Refusal {
        match refusal.run() {
            RunStatus::NotRun if self.written => Refusal {
                run: Some(RunStatus::Unknown),
                ..refusal
            },
            RunStatus::NotRun | RunStatus::Ran | RunStatus::Unknown => refusal,
        }
    }

    pub(crate) fn final_error(&self, error: BackendError) -> ErrorKind {
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
}
