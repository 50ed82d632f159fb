//! Refusals of operators' requests and their JSON.

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{Fault, Response};
use pomeloridge_base::id::Revision;
use serde_json::{Map, Value, json};

use crate::check::Problem;

/// Status and JSON body of a response, or a refusal.
pub(crate) type RouteResult = Result<(u16, Value), Refusal>;

/// A refused request, with the fields that help to correct it.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) kind: ErrorKind,
    pub(crate) fields: Map<String, Value>,
}

impl Refusal {
    /// Refuses a request with one problem.
    pub(crate) fn problem(place: &str, problem: &str, fix: &str) -> Self {
        Self::problems(&[Problem::new(place, problem, fix)])
    }

    /// Refuses a request with all problems found in it.
    pub(crate) fn problems(problems: &[Problem]) -> Self {
        Self::from(ErrorKind::BadJson).with_field("problems", json!(problems))
    }

    /// Refuses a change of an object that is now at another revision.
    pub(crate) fn conflict(current: Revision) -> Self {
        Self::from(ErrorKind::Conflict).with_field("revision", json!(current))
    }

    /// Adds a field to the error object.
    #[must_use]
    pub(crate) fn with_field(mut self, name: &str, value: Value) -> Self {
        self.fields.insert(name.to_owned(), value);
        self
    }

    /// Returns the response, with `Retry-After` in whole seconds, at least 1.
    pub(crate) fn response(self) -> Response {
        let answer = self.kind.answer();
        let retry = answer.retry_after.map(|retry| retry.as_millis() as u64);
        let mut error = self.fields;
        error.insert("code".to_owned(), json!(answer.code));
        error.insert("message".to_owned(), json!(answer.text));
        error.insert("run".to_owned(), json!(answer.run));
        error.insert("retry_after_ms".to_owned(), json!(retry));
        let response = Response::json(answer.status, &json!({ "error": error }));
        match answer.retry_after {
            Some(retry) => response.with_header("retry-after", &retry.as_secs().max(1).to_string()),
            None => response,
        }
    }
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            fields: Map::new(),
        }
    }
}

impl From<&Fault> for Refusal {
    fn from(fault: &Fault) -> Self {
        Self::from(match fault {
            Fault::Timeout => ErrorKind::HeadTimeout,
            Fault::HeadTooLarge => ErrorKind::HeadTooLarge,
            Fault::BodyTooLarge => ErrorKind::BodyTooLarge,
            Fault::OutOfMemory => ErrorKind::Overloaded,
            Fault::Connect(_) | Fault::Closed | Fault::Io(_) | Fault::Malformed(_) => {
                ErrorKind::BadRequest
            }
        })
    }
}
