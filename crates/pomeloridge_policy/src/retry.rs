//! When a failed request is sent to another backend server.

use std::time::{Duration, Instant};

use derive_more::Display;

/// Retries that a quiet node may make at once.
const FLOOR: f64 = 3.0;
/// Time in which the floor gains one retry.
const FLOOR_REFILL: Duration = Duration::from_secs(1);
/// Most retries that are saved up.
const SAVED: f64 = 100.0;
/// Retries of one request that the budget is not charged for.
///
/// A request was accepted and is to be answered although its server is lost;
/// an engine that crashes sends many such requests at once.
const FREE_RETRIES: u32 = 1;
/// Attempts at one request, with the first.
const ATTEMPTS: u32 = 4;

/// How far a failed attempt had come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Progress {
    /// No byte was written to the server.
    #[display("unsent")]
    Unsent,
    /// The server refused the request before any work.
    #[display("refused")]
    Refused,
    /// A byte was written, and the outcome is not known.
    #[display("written")]
    Written,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether the request may be run twice.
    pub idempotent: bool,
    /// How far it had come.
    pub progress: Progress,
    /// Attempts so far, with this one.
    pub attempts: u32,
    /// When the answer must be whole.
    pub deadline: Instant,
}

/// Whether a request is sent again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryVerdict {
    /// It is.
    #[display("retry")]
    Retry,
    /// A server may have run it, and it must not run twice.
    #[display("not_idempotent")]
    NotIdempotent,
    /// It was tried often enough.
    #[display("attempts_spent")]
    AttemptsSpent,
    /// There is no time left.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The node has made too many retries for its successes.
    #[display("budget_spent")]
    BudgetSpent,
}

/// The retries that a node may make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    earned: f64,
    balance: f64,
    refilled: Instant,
}

impl RetryBudget {
    /// A budget of `percent` retries for a hundred successes.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            earned: f64::from(percent) / 100.0,
            balance: FLOOR,
            refilled: now,
        }
    }

    /// Notes a request that was answered.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.earned).min(SAVED.max(self.balance));
    }

    /// Decides on a failed attempt, and charges the budget for a retry.
    pub fn may_retry(&mut self, attempt: Attempt, now: Instant) -> RetryVerdict {
        if !may_run_again(attempt) {
            return RetryVerdict::NotIdempotent;
        }
        if attempt.attempts >= ATTEMPTS {
            return RetryVerdict::AttemptsSpent;
        }
        if attempt.deadline <= now {
            return RetryVerdict::DeadlinePassed;
        }
        if attempt.attempts <= FREE_RETRIES {
            return RetryVerdict::Retry;
        }
        self.refill(now);
        if self.balance < 1.0 {
            return RetryVerdict::BudgetSpent;
        }
        self.balance -= 1.0;
        RetryVerdict::Retry
    }

    /// Retries left.
    pub fn remaining(&self) -> u32 {
        self.balance as u32
    }

    /// Lets the balance grow up to the floor.
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        let gained = passed.as_secs_f64() / FLOOR_REFILL.as_secs_f64();
        if self.balance < FLOOR {
            self.balance = (self.balance + gained).min(FLOOR);
        }
    }
}

fn may_run_again(attempt: Attempt) -> bool {
    match attempt.progress {
        Progress::Unsent | Progress::Refused => true,
        Progress::Written => attempt.idempotent,
    }
}
