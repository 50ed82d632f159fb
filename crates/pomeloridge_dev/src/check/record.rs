//! Recorded history of a run: requests of callers and their outcomes, the logs of
//! the stand-ins, the injected faults, and the calls of operators.

use serde_json::Value;

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// Completion without streaming.
    #[default]
    Unary,
    /// Streamed completion.
    Stream,
    /// Filing, which is not idempotent.
    Filing,
}

impl Kind {
    /// Returns whether the request is a completion.
    pub fn is_completion(self) -> bool {
        self != Self::Filing
    }
}

/// One request of a caller and its outcome; times are in Unix ms.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// Text unique to the request; repeats under one idempotency key share it.
    pub marker: String,
    /// Kind of request.
    pub kind: Kind,
    /// Client account whose key was sent.
    pub account: String,
    /// Node that the request was sent to.
    pub node: String,
    /// Idempotency key, if one was sent.
    pub idempotency_key: Option<String>,
    /// Prompt of a completion, or body of a filing.
    pub prompt: String,
    /// Number of tokens requested.
    pub max_tokens: u32,
    /// Time of sending.
    pub sent_at: u64,
    /// Time at which the response ended or failed.
    pub ended_at: u64,
    /// Whether a connection was established.
    pub connected: bool,
    /// HTTP status; 0 if no response head arrived.
    pub status: u16,
    /// Error code of a refusal.
    pub code: String,
    /// `run` field of a refusal, such as `not run`.
    pub run: String,
    /// Request identifier assigned by the node.
    pub request_id: String,
    /// Token texts of a stream.
    pub texts: Vec<String>,
    /// Token indexes of a stream.
    pub indexes: Vec<u32>,
    /// Whether the caller timed out early on purpose, before a response arrived.
    pub abandoned: bool,
    /// Number of times that the stream was resumed after an interruption.
    pub resumes: u32,
    /// Whether the response was received to its end.
    pub complete: bool,
    /// Body of a response that is not a stream.
    pub body: String,
    /// Error that interrupted the exchange; empty if there was none.
    pub error: String,
}

impl Exchange {
    /// Returns whether a complete, successful response arrived.
    pub fn is_answered(&self) -> bool {
        self.complete && (self.status == 200 || self.status == 201)
    }

    /// Returns whether the refusal states that the request was not run.
    pub fn is_not_run(&self) -> bool {
        self.run == "not run"
    }

    /// Parses the body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// One line of a stand-in's history file.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// Identifier of the stand-in.
    pub source: String,
    /// Time of arrival, in Unix ms.
    pub at: u64,
    /// `what` field: the kind of line, such as `generate` or `order`.
    pub kind: String,
    /// All fields of the line.
    pub fields: Value,
}

impl Line {
    /// Returns a text field; empty if missing.
    pub fn text(&self, name: &str) -> &str {
        self.fields[name].as_str().unwrap_or_default()
    }

    /// Returns a number field; 0 if missing.
    pub fn number(&self, name: &str) -> u64 {
        self.fields[name].as_u64().unwrap_or_default()
    }

    /// Returns whether the line records the start of a caller's request.
    pub fn is_work(&self) -> bool {
        self.kind == "generate" || self.kind == "run"
    }
}

/// Fault or planned change during a run.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time at which it was complete, in Unix ms.
    pub at: u64,
    /// Fault or change.
    pub kind: EventKind,
}

/// Kind of fault or planned change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Backend server marked as leaving.
    Leaving {
        /// Identifier of the server.
        server: String,
    },
    /// Node that ended after SIGTERM.
    Stopped {
        /// Name of the node.
        node: String,
        /// Exit code; `None` if the node did not end in time or was ended by a signal.
        code: Option<i32>,
    },
    /// Withdrawn key of a client account.
    Withdrawn {
        /// Identifier of the key.
        key: String,
    },
    /// Any other event, for a reader.
    Note(String),
}

/// Probe of a node with a key that is withdrawn during the run.
#[derive(Clone, Debug)]
pub struct KeyProbe {
    /// Identifier of the key.
    pub key: String,
    /// Name and caller address of the node.
    pub node: String,
    /// Time of sending, in Unix ms.
    pub sent_at: u64,
    /// HTTP status; 0 if no response arrived.
    pub status: u16,
}

/// Active revision of one object on one incarnation of a node; times are in Unix ms.
#[derive(Clone, Debug)]
pub struct ConfigProbe {
    /// Name and operator address of the node; the address differs between incarnations.
    pub node: String,
    /// Key of the object.
    pub key: String,
    /// Active revision.
    pub revision: u64,
    /// Time of sending.
    pub sent_at: u64,
    /// Time of the response.
    pub at: u64,
}

/// Operator's call on the fleet configuration; times are in Unix ms.
#[derive(Clone, Debug)]
pub struct ConfigCall {
    /// Index of the operator.
    pub operator: usize,
    /// Time of sending.
    pub sent_at: u64,
    /// Time of the response.
    pub ended_at: u64,
    /// Operation and its outcome.
    pub call: RegisterOp,
}

/// Operation on the register that holds the fleet configuration.
///
/// Each write has a value of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterOp {
    /// Read of a revision and its value.
    Read {
        /// Revision.
        revision: u64,
        /// Value.
        value: u64,
    },
    /// Write that took effect.
    Applied {
        /// Revision that the write was based on.
        expect: u64,
        /// Revision that the write created.
        revision: u64,
        /// Value.
        value: u64,
    },
    /// Write refused because the current revision was not `expect`.
    Conflict {
        /// Revision that the write was based on.
        expect: u64,
    },
    /// Write without a conclusive response.
    Unknown {
        /// Revision that the write was based on.
        expect: u64,
        /// Value.
        value: u64,
    },
}

/// What a scenario guarantees to callers for accepted requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Expectation {
    /// Every accepted request gets a complete response.
    All,
    /// Every accepted completion gets a complete response.
    Completions,
    /// Every stream that has started completes if the caller resumes it.
    Streams,
    /// An accepted request may be interrupted, visibly to the caller.
    #[default]
    Any,
}

/// Merged history of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of callers, by time of sending.
    pub exchanges: Vec<Exchange>,
    /// Lines of the stand-ins' histories, by time of arrival.
    pub lines: Vec<Line>,
    /// Faults and planned changes, by time.
    pub events: Vec<Event>,
    /// Probes with the withdrawn key, by time of sending.
    pub key_probes: Vec<KeyProbe>,
    /// Probes of active revisions, by time of the response.
    pub config_probes: Vec<ConfigProbe>,
    /// Operators' calls on the configuration.
    pub config_calls: Vec<ConfigCall>,
    /// Revision and value of the configuration at the start.
    pub initial: (u64, u64),
    /// Guarantee to callers.
    pub expect: Expectation,
}

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{guarantee}: {detail}")]
pub struct Violation {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Evidence from the history.
    pub detail: String,
}

impl Violation {
    /// Creates a violation.
    pub fn new(guarantee: &'static str, detail: impl Into<String>) -> Self {
        Self {
            guarantee,
            detail: detail.into(),
        }
    }
}

/// Durations measured in one run, in ms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Name of the measurement, as printed.
    pub name: &'static str,
    /// Measured values.
    pub values: Vec<u64>,
}
