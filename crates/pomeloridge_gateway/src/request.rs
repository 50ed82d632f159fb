//! Requests and response heads, independent of any platform's wire format.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{PromptShape, ReportedLoad};
use pomeloridge_policy::rate_limit::{InvalidRateLimit, RateLimit};

/// A request as received from a caller.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Identifier of this attempt of the caller; each retry of the caller has a new one.
    pub id: Bytes,
    /// HTTP method.
    pub method: Method,
    /// Request target (path and query) as the caller sent it.
    pub target: String,
    /// Host that the request is addressed to, without port.
    pub host: String,
    /// Headers that are forwarded to the backend server.
    pub headers: HeaderMap,
    /// Key of the client account.
    pub key: Option<Bytes>,
    /// Time for which the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// Prompt; `None` for requests to plain services.
    pub prompt: Option<PromptShape>,
    /// Maximum number of output tokens, if the caller names it.
    pub output_tokens: Option<u64>,
    /// The caller's estimate of the number of output tokens, if it gives one.
    pub length_estimate: Option<u64>,
    /// Last event that the caller received in an earlier attempt.
    pub last_event: Option<u64>,
    /// Identifier of the attempt that brought the first event of the stream that is continued.
    pub resumes: Option<Bytes>,
    /// Request body.
    pub body: Bytes,
}

impl Inbound {
    /// Returns the path of the target.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the number of prompt and output tokens; `None` for requests to plain services.
    pub fn total_tokens(&self) -> Option<u64> {
        let prompt = self.prompt.as_ref()?;
        let output = self.output_tokens.unwrap_or_default();
        Some(prompt.tokens.saturating_add(output))
    }

    /// Returns the identifier as text for the log.
    pub fn label(&self) -> &str {
        std::str::from_utf8(&self.id).unwrap_or("?")
    }

    /// Returns the attempt that brought the first event as text for the log, empty if the caller
    /// names none.
    pub(crate) fn resumes_label(&self) -> &str {
        let resumes = self.resumes.as_deref().unwrap_or_default();
        std::str::from_utf8(resumes).unwrap_or("?")
    }
}

/// Part of a request that a server is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendStage {
    /// Run the request completely.
    Run,
    /// Only prefill the prompt.
    Prefill,
    /// Run the request from a KV cache that another engine holds.
    RunFrom(KvSource),
}

/// KV cache of a prompt on another engine; it can be taken only once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// Address of the engine that prefilled the prompt.
    pub address: SocketAddr,
    /// Identifier of the KV cache on that engine.
    pub handle: String,
}

/// Metadata that is sent to a server along with a request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Identity of the intended server; a server with another identity must not run the request.
    pub server: &'a Name,
    /// Client account that the request belongs to.
    pub account: Option<&'a Name>,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Part of the request to run.
    pub stage: SendStage,
    /// Engine from which the KV cache of shared prompt parts is fetched.
    pub fetch: Option<SocketAddr>,
    /// Last event that the caller has received.
    pub last_event: Option<u64>,
    /// Priority on the engine, from 0 (highest) to 9.
    pub priority: u8,
}

/// The head of a server's response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that are forwarded to the caller.
    pub headers: HeaderMap,
    /// Identifier of the caller's attempt that the response belongs to, if given.
    pub id: Option<Bytes>,
    /// Whether the server states that it has not run the request.
    pub not_run: bool,
    /// Whether the address belongs to another server than the intended one.
    pub misdirected: bool,
    /// Whether the response carries the seal that marks it as written by the server itself.
    pub sealed: bool,
    /// Load of the server, if reported.
    pub load: Option<ServerLoad>,
    /// Time after which the server closes an idle connection, if given.
    pub idle: Option<Duration>,
    /// Backoff, departure or request rate that the server announces.
    pub notice: Notice,
}

/// The load that a server reports in the head of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Requests being served.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Factor by which work takes longer there than usual at this moment, if reported.
    pub slowdown: Option<f64>,
}

/// Announcement of a server in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Time for which this node must send the server no requests.
    pub retry_after: Option<Duration>,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Request rate that the server takes from the whole fleet, if it names one.
    pub rate_limit: Option<Result<RateLimit, InvalidRateLimit>>,
}

impl ResponseHead {
    /// Converts the reported load for the dispatcher.
    pub(crate) fn reported(&self, at: Instant) -> Option<ReportedLoad> {
        self.load.map(|load| ReportedLoad {
            running: load.running,
            waiting: load.waiting,
            slowdown: load.slowdown,
            at,
        })
    }
}

/// KV cache of a prompt that an engine has prefilled for another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvHandle {
    /// Identifier of the KV cache on the engine.
    pub id: String,
    /// Number of tokens in it.
    pub tokens: u64,
}
