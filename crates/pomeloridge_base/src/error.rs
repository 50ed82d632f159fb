//! The closed list of error kinds and the table from kind to answer.
//!
//! A caller reads three things from an answer: the status, whether the request
//! was run, and when to come back.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

/// Whether a refused request was run on a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
pub enum RunStatus {
    /// No byte of it reached a backend server, or the server refused it unread.
    #[display("not run")]
    #[serde(rename = "not run")]
    NotRun,
    /// A backend server ran it.
    #[display("ran")]
    #[serde(rename = "ran")]
    Ran,
    /// It was sent, and no outcome came back.
    #[display("unknown")]
    #[serde(rename = "unknown")]
    Unknown,
}

/// The answer that an error kind stands for.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Stable code in the JSON body.
    pub code: &'static str,
    /// Whether the request was run.
    pub run: RunStatus,
    /// When to come back, if coming back can help.
    pub retry_after: Option<Duration>,
    /// What went wrong and what to do about it.
    pub text: &'static str,
}

macro_rules! error_kinds {
    ($($kind:ident: $status:literal, $code:literal, $run:ident, $retry_after:expr, $text:literal;)*) => {
        /// Every kind of error that a caller or operator can be given.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $(#[doc = $text] $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The answer for this kind.
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

const SOON: Option<Duration> = Some(Duration::from_secs(1));
const LATER: Option<Duration> = Some(Duration::from_secs(5));
const MUCH_LATER: Option<Duration> = Some(Duration::from_mins(1));
const NEVER: Option<Duration> = None;

error_kinds! {
    BadRequest: 400, "bad_request", NotRun, NEVER, "the request could not be read as HTTP/1.1; send it again correctly framed";
    BadJson: 400, "bad_json", NotRun, NEVER, "the body is not the JSON object that the route expects";
    KeyMissing: 401, "key_missing", NotRun, NEVER, "the route needs a client account key; send `Authorization: Bearer KEY`";
    KeyUnknown: 401, "key_unknown", NotRun, NEVER, "the key belongs to no client account or has been withdrawn; ask the operators for a new key";
    KeyExposed: 400, "key_exposed", NotRun, NEVER, "the key stands in another header, the path, the query or the body; send it only in `Authorization`";
    Forbidden: 403, "forbidden", NotRun, NEVER, "the operator token is missing or wrong; send `Authorization: Bearer TOKEN`";
    UnknownPath: 404, "unknown_path", NotRun, NEVER, "no route has this path and method";
    UnknownModel: 404, "unknown_model", NotRun, NEVER, "no model of this name is served";
    NotFound: 404, "not_found", NotRun, NEVER, "no object of this name exists";
    Conflict: 409, "conflict", NotRun, NEVER, "the object changed since it was read; read it again and repeat the change";
    ClaimRunning: 409, "claim_running", Unknown, SOON, "a request with this idempotency key is still running";
    ClaimUnknown: 409, "claim_unknown", Unknown, NEVER, "a request with this idempotency key was sent and its outcome is unknown; ask the service before sending it under another key";
    BodyTooLarge: 413, "body_too_large", NotRun, NEVER, "the body is over the limit of the route";
    HeadTooLarge: 431, "head_too_large", NotRun, NEVER, "the request head is over the limit";
    HeadTimeout: 408, "head_timeout", NotRun, SOON, "the request did not arrive whole in time";
    ClaimMismatch: 422, "claim_mismatch", NotRun, NEVER, "the idempotency key was used before with another request";
    Quarantined: 422, "quarantined", NotRun, MUCH_LATER, "this request crashed two backend servers and is refused for a time";
    AccountBusy: 429, "account_busy", NotRun, SOON, "the client account has too many requests waiting";
    Overloaded: 503, "overloaded", NotRun, SOON, "the wait would be longer than the request's deadline";
    NoServer: 503, "no_server", NotRun, LATER, "no backend server for this route can take work";
    CutOff: 503, "cut_off", NotRun, SOON, "this node is cut off from the platform and its peers";
    NoConfig: 503, "no_config", NotRun, SOON, "this node knows no configuration yet";
    Stopping: 503, "stopping", NotRun, SOON, "this node is shutting down";
    ClaimsDown: 503, "claims_down", NotRun, LATER, "the idempotency key cannot be claimed while the object service is down";
    PlatformDown: 503, "platform_down", NotRun, LATER, "the object service does not answer";
    ChangeUnknown: 503, "change_unknown", Unknown, SOON, "the object service did not confirm the change; read the object before repeating it";
    ServerLost: 502, "server_lost", Unknown, SOON, "the backend server was lost after the request had been sent";
    ServerFault: 502, "server_fault", Ran, SOON, "the backend server's answer was broken or belonged to another request";
    DeadlinePassed: 504, "deadline_passed", Unknown, SOON, "the backend server did not answer within the deadline";
}
