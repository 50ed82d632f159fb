//! The JSON form of answers and refusals.

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{Fault, Response};
use pomeloridge_base::id::Revision;
use serde_json::{Map, Value, json};

use crate::check::Problem;

/// What a route answers: a status and a JSON object.
pub(crate) type Outcome = Result<(u16, Value), Refusal>;

/// A refusal with what an operator needs to mend it.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) kind: ErrorKind,
    pub(crate) more: Map<String, Value>,
}

impl Refusal {
    /// The body is refused for one problem.
    pub(crate) fn problem(place: &str, problem: &str, fix: &str) -> Self {
        Self::problems(&[Problem::new(place, problem, fix)])
    }

    /// The body is refused for every problem found in it.
    pub(crate) fn problems(problems: &[Problem]) -> Self {
        Self::from(ErrorKind::BadJson).with("problems", json!(problems))
    }

    /// The object has another revision than the expected one.
    pub(crate) fn conflict(current: Revision) -> Self {
        Self::from(ErrorKind::Conflict).with("revision", json!(current))
    }

    /// Adds a field to the error.
    #[must_use]
    pub(crate) fn with(mut self, name: &str, value: Value) -> Self {
        self.more.insert(name.to_owned(), value);
        self
    }

    pub(crate) fn response(self) -> Response {
        let answer = self.kind.answer();
        let retry = answer.retry_after.map(|retry| retry.as_millis() as u64);
        let mut error = self.more;
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
            more: Map::new(),
        }
    }
}

impl From<&Fault> for Refusal {
    fn from(fault: &Fault) -> Self {
        Self::from(match fault {
            Fault::Timeout => ErrorKind::HeadTimeout,
            Fault::HeadTooLarge => ErrorKind::HeadTooLarge,
            Fault::BodyTooLarge => ErrorKind::BodyTooLarge,
            Fault::Connect(_) | Fault::Closed | Fault::Io(_) | Fault::Malformed(_) => {
                ErrorKind::BadRequest
            }
        })
    }
}
