//! Records of the requests of a run.

use std::time::Duration;

use pomeloridge_base::error::RunStatus;

use crate::arrivals::Arrival;
use crate::plan::Kind;

/// One request and its answer, as observed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Kind of request.
    pub kind: Kind,
    /// Index of the client account in the plan.
    pub account: usize,
    /// Position of the request in the run, from 0.
    pub serial: u64,
    /// Time of the first attempt, since the start of the run.
    pub start: Duration,
    /// End of the last answer, since the start of the run.
    pub end: Duration,
    /// Arrival of each token, since the first attempt.
    pub tokens: Vec<Duration>,
    /// HTTP status of the last answer; 0 without one.
    pub status: u16,
    /// Error code of the refusal or failure; empty without one.
    pub code: String,
    /// Run status that the last answer reports.
    pub run_status: Option<RunStatus>,
    /// Delay before a retry that a refusal asks for.
    pub retry_after: Option<Duration>,
    /// Whether the end of the answer arrived.
    pub complete: bool,
    /// Whether everything that arrived matches the expected answer.
    pub correct: bool,
    /// Failed connections to nodes.
    pub connect_failures: u32,
    /// Number of times it was sent.
    pub attempts: u32,
}

impl Record {
    /// Creates the record of a request that is about to be sent.
    pub fn new(arrival: &Arrival, start: Duration) -> Self {
        Self {
            kind: arrival.kind,
            account: arrival.account,
            serial: arrival.serial,
            start,
            end: start,
            tokens: Vec::new(),
            status: 0,
            code: String::new(),
            run_status: None,
            retry_after: None,
            complete: false,
            correct: true,
            connect_failures: 0,
            attempts: 0,
        }
    }

    /// Returns whether it was refused and is known not to have run.
    pub fn refused(&self) -> bool {
        matches!(self.status, 429 | 503) && self.run_status == Some(RunStatus::NotRun)
    }

    /// Returns the time from the first attempt to the end.
    pub fn duration(&self) -> Duration {
        self.end.saturating_sub(self.start)
    }

    /// Clears the last answer before a retry.
    pub(crate) fn reset(&mut self) {
        self.tokens.clear();
        self.status = 0;
        self.code.clear();
        self.run_status = None;
        self.retry_after = None;
        self.complete = false;
        self.correct = true;
    }
}

/// Records of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// All requests, in order of arrival.
    pub records: Vec<Record>,
    /// Longest delay of a request after its arrival time; a long one means that the
    /// load generator lacked CPU time and the run is not meaningful.
    pub lag: Duration,
}
