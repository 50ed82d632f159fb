//! A refusal: an error kind with what the table of kinds can't know.

use std::time::Duration;

use crate::error::{ErrorKind, RunStatus};
use crate::http::Fault;

/// A refusal: its kind, and what the table can't know.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Kind of error.
    pub kind: ErrorKind,
    /// The place in the request, if one is at fault.
    pub detail: Option<String>,
    /// When to come back, if it is known better than the table has it.
    pub retry_after: Option<Duration>,
    /// Whether the request was run, if it is known better than the table has it.
    pub run: Option<RunStatus>,
}

impl Refusal {
    /// Adds the place that is at fault.
    pub fn with_detail(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            detail: Some(detail.into()),
            ..Self::from(kind)
        }
    }

    /// Whether the request was run.
    pub fn run(&self) -> RunStatus {
        self.run.unwrap_or(self.kind.answer().run)
    }

    /// When to come back.
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
            Fault::Malformed(_) | Fault::Closed | Fault::Io(_) | Fault::Connect(_) => {
                ErrorKind::BadRequest
            }
        };
        Self::with_detail(kind, detail)
    }
}
