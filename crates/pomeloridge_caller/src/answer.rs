//! Renders refusals from the table of error kinds.

use std::time::Duration;

use pomeloridge_base::error::{ErrorKind, Run};
use pomeloridge_base::http::{Fault, Response};
use serde::Serialize;

/// A refusal: its kind, and what the table can't know.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Kind of error.
    pub kind: ErrorKind,
    /// The place in the request, if one is at fault.
    pub detail: Option<String>,
    /// When to come back, if it is known better than the table has it.
    pub retry: Option<Duration>,
    /// Whether the request was run, if it is known better than the table has it.
    pub run: Option<Run>,
}

impl Refusal {
    /// Adds the place that is at fault.
    pub fn at(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            detail: Some(detail.into()),
            ..Self::from(kind)
        }
    }

    /// Whether the request was run.
    pub fn run(&self) -> Run {
        self.run.unwrap_or(self.kind.answer().run)
    }

    /// When to come back.
    pub fn retry(&self) -> Option<Duration> {
        self.retry.or(self.kind.answer().retry)
    }
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            detail: None,
            retry: None,
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
        Self::at(kind, detail)
    }
}

#[derive(Serialize)]
struct WireRefusal<'a> {
    error: WireError<'a>,
}

#[derive(Serialize)]
struct WireError<'a> {
    code: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    run: Run,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a str>,
}

/// The JSON of a refusal.
pub fn render(refusal: &Refusal, request_id: Option<&str>) -> String {
    let answer = refusal.kind.answer();
    let wire = WireRefusal {
        error: WireError {
            code: answer.code,
            message: answer.text,
            detail: refusal.detail.as_deref(),
            run: refusal.run(),
            retry_after_ms: refusal.retry().map(|retry| retry.as_millis() as u64),
            request_id,
        },
    };
    serde_json::to_string(&wire).unwrap_or_default()
}

/// The whole response for a refusal, with `Retry-After` in whole seconds.
pub fn response(refusal: &Refusal, request_id: Option<&str>) -> Response {
    let body = render(refusal, request_id);
    let mut response = Response::new(refusal.kind.answer().status, body)
        .with("content-type", "application/json")
        .with("x-run", &refusal.run().to_string());
    if let Some(retry) = refusal.retry() {
        let seconds = retry.as_millis().div_ceil(1000).max(1);
        response = response.with("retry-after", &seconds.to_string());
    }
    match request_id {
        Some(id) => response.with("x-request-id", id),
        None => response,
    }
}
