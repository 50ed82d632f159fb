//! A request and the head of its answer, free of any platform's wire form.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{PromptShape, ReportedLoad};

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Identifier of this attempt of the caller, unique among all attempts.
    pub id: Bytes,
    /// Method.
    pub method: Method,
    /// Target with path and query, as the caller sent it.
    pub target: String,
    /// Host that the caller asked for.
    pub host: String,
    /// Headers for the backend server.
    pub headers: HeaderMap,
    /// Client account key.
    pub key: Option<Bytes>,
    /// Time that the caller waits.
    pub caller_timeout: Option<Duration>,
    /// Prompt, where the request is for an engine.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller has had of an earlier answer.
    pub last_event: Option<u64>,
    /// Body.
    pub body: Bytes,
}

impl Inbound {
    /// The target's path.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The identifier as text for the log.
    pub fn label(&self) -> &str {
        std::str::from_utf8(&self.id).unwrap_or("?")
    }
}

/// What a server is asked to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendStage {
    /// Run it whole.
    Run,
    /// Only read its prompt.
    Prefill,
    /// Run it from memory that another engine holds.
    RunFrom(KvSource),
}

/// Memory of a prompt on another engine; it can be taken once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// Engine that read the prompt.
    pub address: SocketAddr,
    /// Its handle.
    pub handle: String,
}

/// One sending of a request to a server.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Identity that the server must have, or else not run the request.
    pub server: &'a Name,
    /// Client account.
    pub account: Option<&'a Name>,
    /// Time that is left.
    pub time_left: Duration,
    /// What to do.
    pub stage: SendStage,
    /// Engine from which shared parts of the prompt are taken.
    pub fetch: Option<SocketAddr>,
    /// Last event that the caller has had.
    pub last_event: Option<u64>,
    /// Rank among the requests of an engine, from 0 for the first to 9.
    pub priority: u8,
}

/// The head of a server's answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Attempt that the answer belongs to, if it says so.
    pub id: Option<Bytes>,
    /// Whether the server says that it has not run the request.
    pub not_run: bool,
    /// Whether another server has the address.
    pub misdirected: bool,
    /// Whether the answer is marked as the server's own.
    pub sealed: bool,
    /// Requests that run and wait on the server, if it says so.
    pub load: Option<(u32, u32)>,
    /// Time after which the server closes the connection if it is idle.
    pub idle: Option<Duration>,
    /// What the server asks of this node.
    pub notice: Notice,
}

/// What a server asks, with any answer, of the node that reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Time for which it wants no request of this node.
    pub retry_after: Option<Duration>,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl ResponseHead {
    /// The load as the dispatcher takes it.
    pub(crate) fn reported(&self, at: Instant) -> Option<ReportedLoad> {
        self.load.map(|(running, waiting)| ReportedLoad {
            running,
            waiting,
            at,
        })
    }
}

/// A prompt that an engine has read for another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvHandle {
    /// Identifier on the engine.
    pub id: String,
    /// Tokens that it holds.
    pub tokens: u64,
}
