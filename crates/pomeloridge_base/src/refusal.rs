//! Refusals: an error kind with the details of the refused request.

use std::time::Duration;

use crate::error::{ErrorKind, RunStatus};
use crate::http::Fault;

/// Reason for which a request is refused or has failed.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Error kind, which determines the status, code and text.
    pub kind: ErrorKind,
    /// Details of what is wrong, where the text of the kind is not enough.
    pub detail: Option<String>,
    /// Time after which to retry, if it differs from that of the kind.
    pub retry_after: Option<Duration>,
    /// Whether the request was run, if it differs from that of the kind.
    pub run: Option<RunStatus>,
}

impl Refusal {
    /// Creates a refusal with details of what is wrong.
    pub fn with_detail(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            detail: Some(detail.into()),
            ..Self::from(kind)
        }
    }

    /// Returns whether the request was run.
    pub fn run(&self) -> RunStatus {
        self.run.unwrap_or(self.kind.answer().run)
    }

    /// Returns the time after which to retry; `None` if a retry can't help.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after.or(self.kind.answer().retry_after)
    }
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            detail: None,
            retry_after: None,
            run: None,
        }
    }
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Self {
        let detail = fault.to_string();
        let kind = match fault {
            Fault::HeadTooLarge => ErrorKind::HeadTooLarge,
            Fault::BodyTooLarge => ErrorKind::BodyTooLarge,
            Fault::Timeout => ErrorKind::HeadTimeout,
            Fault::OutOfMemory => ErrorKind::Overloaded,
            Fault::Malformed(_) | Fault::Closed | Fault::Io(_) | Fault::Connect(_) => {
                ErrorKind::BadRequest
            }
        };
        Self::with_detail(kind, detail)
    }
}
