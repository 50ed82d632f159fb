//! Error kinds, and the response that each of them gives.
//!
//! A response tells the caller the status, whether the request was run, and when to retry.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

/// Whether a refused request was run on a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
pub enum RunStatus {
    /// No byte of it reached a backend server, or the server refused it without processing it.
    #[display("not run")]
    #[serde(rename = "not run")]
    NotRun,
    /// A backend server ran it.
    #[display("ran")]
    #[serde(rename = "ran")]
    Ran,
    /// It was sent, and its outcome is unknown.
    #[display("unknown")]
    #[serde(rename = "unknown")]
    Unknown,
}

/// Response for an error kind.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Stable code in the JSON body.
    pub code: &'static str,
    /// Whether the request was run.
    pub run: RunStatus,
    /// Time after which to retry; `None` if a retry can't help.
    pub retry_after: Option<Duration>,
    /// What is wrong and, where something helps, what to do.
    pub text: &'static str,
}

macro_rules! error_kinds {
    ($($kind:ident: $status:literal, $code:literal, $run:ident, $retry_after:expr, $text:literal;)*) => {
        /// Every kind of error that callers and operators receive.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $(#[doc = $text] $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the response for this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        status: $status,
                        code: $code,
                        run: RunStatus::$run,
                        retry_after: $retry_after,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

const RETRY_1S: Option<Duration> = Some(Duration::from_secs(1));
const RETRY_5S: Option<Duration> = Some(Duration::from_secs(5));
const RETRY_60S: Option<Duration> = Some(Duration::from_mins(1));
const NO_RETRY: Option<Duration> = None;

error_kinds! {
    BadRequest: 400, "bad_request", NotRun, NO_RETRY, "the request could not be read as HTTP/1.1; send it again correctly framed";
    BadJson: 400, "bad_json", NotRun, NO_RETRY, "the body is not the JSON object that the route expects";
    KeyMissing: 401, "key_missing", NotRun, NO_RETRY, "the route needs a client account key; send `Authorization: Bearer KEY`";
    KeyUnknown: 401, "key_unknown", NotRun, NO_RETRY, "the key belongs to no client account or has been withdrawn; ask the operators for a new key";
    KeyExposed: 400, "key_exposed", NotRun, NO_RETRY, "the key stands in another header, the path, the query or the body; send it only in `Authorization`";
    Forbidden: 403, "forbidden", NotRun, NO_RETRY, "the operator token is missing or wrong; send `Authorization: Bearer TOKEN`";
    TokensUnset: 403, "tokens_unset", NotRun, NO_RETRY, "this process has no operators' tokens; set `[operator] tokens` in its settings";
    UnknownPath: 404, "unknown_path", NotRun, NO_RETRY, "no route has this path and method";
    UnknownModel: 404, "unknown_model", NotRun, NO_RETRY, "no model of this name is served";
    NotFound: 404, "not_found", NotRun, NO_RETRY, "no object of this name exists";
    Conflict: 409, "conflict", NotRun, NO_RETRY, "the object changed since it was read; read it again and repeat the change";
    ClaimRunning: 409, "claim_running", Unknown, RETRY_1S, "a request with this idempotency key is still running";
    ClaimUnknown: 409, "claim_unknown", Unknown, NO_RETRY, "a request with this idempotency key was sent and its outcome is unknown; ask the service before sending it under another key";
    BodyTooLarge: 413, "body_too_large", NotRun, NO_RETRY, "the body is over the limit of the route";
    HeadTooLarge: 431, "head_too_large", NotRun, NO_RETRY, "the request head is over the limit";
    HeadTimeout: 408, "head_timeout", NotRun, RETRY_1S, "the request did not arrive whole in time";
    ClaimMismatch: 422, "claim_mismatch", NotRun, NO_RETRY, "the idempotency key was used before with another request";
    Quarantined: 422, "quarantined", NotRun, RETRY_60S, "this request crashed two backend servers and is refused for a time";
    AccountBusy: 429, "account_busy", NotRun, RETRY_1S, "the client account has too many requests waiting";
    AllotmentUsed: 429, "allotment_used", NotRun, RETRY_1S, "the client account's allotment is used up for the moment";
    AllotmentTooSmall: 429, "allotment_too_small", NotRun, RETRY_60S, "the request is larger than what the client account's allotment has room for at any time; ask the operators for a larger one";
    AllotmentUnknown: 503, "allotment_unknown", NotRun, RETRY_1S, "none of the nodes that keep the client account's allotment answers";
    Overloaded: 503, "overloaded", NotRun, RETRY_1S, "the wait would be longer than the request's deadline";
    NoServer: 503, "no_server", NotRun, RETRY_5S, "no backend server for this route can take work";
    UnknownVersion: 503, "unknown_version", NotRun, RETRY_1S, "this node can't tell which software version began the stream; another may";
    CutOff: 503, "cut_off", NotRun, RETRY_1S, "this node is cut off from the platform and its peers";
    NoConfig: 503, "no_config", NotRun, RETRY_1S, "this node knows no configuration yet";
    Stopping: 503, "stopping", NotRun, RETRY_1S, "this node is shutting down";
    ClaimsDown: 503, "claims_down", NotRun, RETRY_5S, "the idempotency key cannot be claimed while the object service is down";
    PlatformDown: 503, "platform_down", NotRun, RETRY_5S, "the object service does not answer";
    ChangeUnknown: 503, "change_unknown", Unknown, RETRY_1S, "the object service did not confirm the change; read the object before repeating it";
    ServerLost: 502, "server_lost", Unknown, RETRY_1S, "the backend server was lost after the request had been sent";
    ServerFault: 502, "server_fault", Ran, RETRY_1S, "the backend server's answer was broken or belonged to another request";
    DeadlinePassed: 504, "deadline_passed", Unknown, RETRY_1S, "the backend server did not answer within the deadline";
}
