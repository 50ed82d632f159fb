//! What is known of a run: what callers sent and got, what the stand-ins
//! received, which faults were injected, and what operators saw.

use serde_json::Value;

/// What a caller sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// A completion answered whole.
    #[default]
    Unary,
    /// A completion answered as a stream.
    Stream,
    /// A filing, which may not be run twice.
    Filing,
}

impl Kind {
    /// Whether it is a completion.
    pub fn is_completion(self) -> bool {
        self != Self::Filing
    }
}

/// One request of a caller and what came of it; times are Unix ms.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// Text that no other request has, but for repeats under one idempotency key.
    pub marker: String,
    /// What was sent.
    pub kind: Kind,
    /// Client account.
    pub account: String,
    /// Node that it was sent to.
    pub node: String,
    /// Idempotency key, if one was sent.
    pub idempotency_key: Option<String>,
    /// Prompt of a completion.
    pub prompt: String,
    /// Tokens asked for.
    pub max_tokens: u32,
    /// When it was sent.
    pub sent_at: u64,
    /// When its answer ended.
    pub ended_at: u64,
    /// Whether a connection was opened at all.
    pub connected: bool,
    /// Status; 0 if no head of an answer came.
    pub status: u16,
    /// Code of a refusal.
    pub code: String,
    /// Whether a refused request was run, in the words of the refusal.
    pub run: String,
    /// Identifier that the node gave.
    pub request_id: String,
    /// Texts of the tokens of a stream.
    pub texts: Vec<String>,
    /// Indexes of the tokens of a stream.
    pub indexes: Vec<u32>,
    /// Whether the caller went away before the answer.
    pub abandoned: bool,
    /// Times that a cut stream was taken up at another node.
    pub resumes: u32,
    /// Whether the answer came to its end.
    pub complete: bool,
    /// Body of an answer that is no stream.
    pub body: String,
    /// What cut the exchange.
    pub error: String,
}

impl Exchange {
    /// Whether it was answered whole and with success.
    pub fn is_answered(&self) -> bool {
        self.complete && (self.status == 200 || self.status == 201)
    }

    /// Whether the refusal said that it was not run.
    pub fn is_not_run(&self) -> bool {
        self.run == "not run"
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// One line of a stand-in's history.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// Which stand-in.
    pub source: String,
    /// When it arrived, in Unix ms.
    pub at: u64,
    /// What arrived.
    pub kind: String,
    /// All fields.
    pub fields: Value,
}

impl Line {
    /// A text field; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields[name].as_str().unwrap_or_default()
    }

    /// A number field; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.fields[name].as_u64().unwrap_or_default()
    }

    /// Whether work of a caller was begun.
    pub fn is_work(&self) -> bool {
        self.kind == "generate" || self.kind == "run"
    }
}

/// A fault or a planned change that was made; times are Unix ms.
#[derive(Clone, Debug)]
pub struct Event {
    /// When it had been made.
    pub at: u64,
    /// What was made.
    pub kind: EventKind,
}

/// What can be made to happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A backend server was marked as leaving.
    Leaving {
        /// Server.
        server: String,
    },
    /// A node was asked to stop and ended with this code.
    Stopped {
        /// Node.
        node: String,
        /// Exit code; `None` if it did not end, or by a signal.
        code: Option<i32>,
    },
    /// A client account key was withdrawn.
    Withdrawn {
        /// Identifier of the key.
        key: String,
    },
    /// Anything else.
    Note(String),
}

/// A look at a key that has been withdrawn.
#[derive(Clone, Debug)]
pub struct KeyProbe {
    /// Identifier of the key.
    pub key: String,
    /// Node.
    pub node: String,
    /// When the request was sent.
    pub sent_at: u64,
    /// Status; 0 if no answer came.
    pub status: u16,
}

/// The revision of one object that one start of a node has in force.
#[derive(Clone, Debug)]
pub struct ConfigProbe {
    /// Node and its operator address, which differs between two starts.
    pub node: String,
    /// Object.
    pub key: String,
    /// Revision in force.
    pub revision: u64,
    /// When the look was sent.
    pub sent_at: u64,
    /// When its answer came.
    pub at: u64,
}

/// An operator's call on the fleet's configuration; times are Unix ms.
#[derive(Clone, Debug)]
pub struct ConfigCall {
    /// Operator.
    pub by: usize,
    /// When it was sent.
    pub sent_at: u64,
    /// When its answer came.
    pub ended_at: u64,
    /// What it was and what came of it.
    pub call: RegisterOp,
}

/// A call on the register that holds the fleet's configuration.
///
/// A value is named by a number that only one write has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterOp {
    /// A read of a revision and a value.
    Read {
        /// Revision.
        revision: u64,
        /// Value.
        value: u64,
    },
    /// A write that took effect.
    Applied {
        /// Revision it was made from.
        expect: u64,
        /// Revision it got.
        revision: u64,
        /// Value.
        value: u64,
    },
    /// A write that was refused, as the revision was not the one expected.
    Conflict {
        /// Revision it was made from.
        expect: u64,
    },
    /// A write whose outcome the operator was not told.
    Unknown {
        /// Revision it was made from.
        expect: u64,
        /// Value.
        value: u64,
    },
}

/// What a scenario lets callers expect of the requests that were accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Expectation {
    /// Every accepted request is answered whole.
    All,
    /// Every accepted completion is answered whole.
    Completions,
    /// Every stream that had begun is answered whole, if the caller takes it up again.
    Streams,
    /// An accepted request may be cut, and the caller sees that it was.
    #[default]
    Any,
}

/// All that is known of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of callers.
    pub exchanges: Vec<Exchange>,
    /// Lines of the stand-ins, in order of arrival.
    pub lines: Vec<Line>,
    /// Faults and planned changes.
    pub events: Vec<Event>,
    /// Looks at withdrawn keys.
    pub key_probes: Vec<KeyProbe>,
    /// Looks at revisions in force.
    pub config_probes: Vec<ConfigProbe>,
    /// Operators' calls.
    pub config_calls: Vec<ConfigCall>,
    /// Revision and value number of the configuration at the start.
    pub initial: (u64, u64),
    /// What callers may expect.
    pub expect: Expectation,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{guarantee}: {detail}")]
pub struct Violation {
    /// Which promise.
    pub guarantee: &'static str,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    /// A broken promise.
    pub fn new(guarantee: &'static str, detail: impl Into<String>) -> Self {
        Self {
            guarantee,
            detail: detail.into(),
        }
    }
}

/// A measured time of one run, in ms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// What was measured.
    pub name: &'static str,
    /// Every value of the run.
    pub values: Vec<u64>,
}
