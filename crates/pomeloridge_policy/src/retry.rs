//! Decides whether a failed request is retried on another backend server.

use std::time::{Duration, Instant};

use derive_more::Display;

/// Number of retries that a node may send without recent successes.
const MIN_RETRIES: f64 = 3.0;
/// Time in which a balance below the minimum gains one retry.
const REFILL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of retries that successes add up to.
const MAX_RETRIES: f64 = 100.0;
/// Number of retries of one request that are not charged to the budget.
///
/// An accepted request must be answered although its server is lost, and a crashing engine
/// loses many requests at once.
const UNCHARGED_RETRIES: u32 = 1;
/// Maximum number of attempts at one request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// How far a failed attempt got.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Progress {
    /// Nothing was written to the server.
    #[display("unsent")]
    Unsent,
    /// The server refused the request before any work.
    #[display("refused")]
    Refused,
    /// At least one byte was written, and the outcome is unknown.
    #[display("written")]
    Written,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether the request may be executed twice.
    pub idempotent: bool,
    /// How far the attempt got.
    pub progress: Progress,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

/// Whether a request is retried, and if not, why.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryVerdict {
    /// The request is retried.
    #[display("retry")]
    Retry,
    /// A server may have executed it, and it must not be executed twice.
    #[display("not_idempotent")]
    NotIdempotent,
    /// The maximum number of attempts is reached.
    #[display("attempts_spent")]
    AttemptsSpent,
    /// Its deadline has passed.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The node has sent too many retries for its successes.
    #[display("budget_spent")]
    BudgetSpent,
}

/// Limits a node's retries to a percentage of its successes.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries gained per success.
    gain: f64,
    /// Retries left.
    balance: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Returns a budget of `percent` retries per hundred successes.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            gain: f64::from(percent) / 100.0,
            balance: MIN_RETRIES,
            refilled_at: now,
        }
    }

    /// Records an answered request.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.gain).min(MAX_RETRIES.max(self.balance));
    }

    /// Decides whether a failed attempt is retried, and charges the budget if it is.
    pub fn may_retry(&mut self, attempt: Attempt, now: Instant) -> RetryVerdict {
        if !may_be_executed_again(attempt) {
            return RetryVerdict::NotIdempotent;
        }
        if attempt.attempts >= MAX_ATTEMPTS {
            return RetryVerdict::AttemptsSpent;
        }
        if attempt.deadline <= now {
            return RetryVerdict::DeadlinePassed;
        }
        if attempt.attempts <= UNCHARGED_RETRIES {
            return RetryVerdict::Retry;
        }
        self.refill(now);
        if self.balance < 1.0 {
            return RetryVerdict::BudgetSpent;
        }
        self.balance -= 1.0;
        RetryVerdict::Retry
    }

    /// Returns the number of retries left.
    pub fn remaining(&self) -> u32 {
        self.balance as u32
    }

    /// Refills the balance up to [`MIN_RETRIES`] for the time passed.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let gained = elapsed.as_secs_f64() / REFILL_INTERVAL.as_secs_f64();
        if self.balance < MIN_RETRIES {
            self.balance = (self.balance + gained).min(MIN_RETRIES);
        }
    }
}

fn may_be_executed_again(attempt: Attempt) -> bool {
    match attempt.progress {
        Progress::Unsent | Progress::Refused => true,
        Progress::Written => attempt.idempotent,
    }
}
