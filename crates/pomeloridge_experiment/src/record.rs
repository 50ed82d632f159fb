//! What is known of each request after a run.

use std::time::Duration;

use pomeloridge_base::error::RunStatus;

use crate::arrivals::Arrival;
use crate::plan::Kind;

/// One request and its answer, as its caller saw them.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Kind.
    pub kind: Kind,
    /// Index of the client account in the plan.
    pub account: usize,
    /// Number of the request in the run.
    pub serial: u64,
    /// When it was first sent, from the start of the run.
    pub start: Duration,
    /// When its answer ended, from the start of the run.
    pub end: Duration,
    /// Arrival of each token, from the first sending.
    pub tokens: Vec<Duration>,
    /// Status of the last answer; 0 if none came.
    pub status: u16,
    /// Code of the refusal or failure.
    pub code: String,
    /// What the last answer says of whether it ran.
    pub run: Option<RunStatus>,
    /// Time after which a refusal asks the caller to come back.
    pub retry: Option<Duration>,
    /// Whether the answer's end arrived.
    pub whole: bool,
    /// Whether everything that arrived is what was asked for.
    pub right: bool,
    /// Connections to nodes that failed.
    pub unreached: u32,
    /// How often it was sent.
    pub sent: u32,
}

impl Record {
    /// A request that is about to be sent.
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
            run: None,
            retry: None,
            whole: false,
            right: true,
            unreached: 0,
            sent: 0,
        }
    }

    /// Whether it was refused and is known not to have run.
    pub fn refused(&self) -> bool {
        matches!(self.status, 429 | 503) && self.run == Some(RunStatus::NotRun)
    }

    /// Time from the first sending to the end.
    pub fn took(&self) -> Duration {
        self.end.saturating_sub(self.start)
    }

    /// Forgets the last answer, before the request is sent again.
    pub(crate) fn clear(&mut self) {
        self.tokens.clear();
        self.status = 0;
        self.code.clear();
        self.run = None;
        self.retry = None;
        self.whole = false;
        self.right = true;
    }
}

/// Everything that was seen in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Every request, in the order of first sending.
    pub records: Vec<Record>,
    /// Longest time by which a request was sent late; a long one means that the
    /// load generator was short of processor time and the run says little.
    pub lag: Duration,
}
