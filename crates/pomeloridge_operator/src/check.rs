//! Validation of configurations; all problems are reported at once.

mod fields;
mod rules;

use pomeloridge_base::config::{Exception, FleetConfig};
use pomeloridge_base::id::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub(crate) use rules::check_exceptions;

/// Maximum bytes in the name of an account or the id of an exception.
const MAX_NAME_BYTES: usize = 128;

/// A problem in a request body, with its place and a fix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Path of the field, such as `routes[1].weight`, or another place in the request.
    pub place: String,
    /// Description of the problem.
    pub problem: String,
    /// Suggested correction.
    pub fix: String,
}

impl Problem {
    pub(crate) fn new(
        place: impl Into<String>,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) -> Self {
        Self {
            place: place.into(),
            problem: problem.into(),
            fix: fix.into(),
        }
    }
}

/// Parses a fleet configuration and checks it; returns all problems found.
pub fn parse_fleet(body: &[u8]) -> Result<FleetConfig, Vec<Problem>> {
    let value = parse_json(body)?;
    let mut problems = fields::check_fleet(&value);
    // Parsed from the text again, since `Value` has dropped the first of two equal keys.
    let fleet = match serde_json::from_slice::<FleetConfig>(body) {
        Ok(fleet) => fleet,
        Err(error) => {
            if problems.is_empty() {
                problems.push(json_problem(&error));
            }
            return Err(problems);
        }
    };
    problems.extend(rules::check_fleet(&fleet));
    if problems.is_empty() {
        Ok(fleet)
    } else {
        Err(problems)
    }
}

/// Parses an exception; returns all problems with its fields.
pub(crate) fn parse_exception(body: &[u8]) -> Result<Exception, Vec<Problem>> {
    let value = parse_json(body)?;
    let mut problems = fields::check_exception("exception", &value);
    match serde_json::from_slice(body) {
        Ok(exception) => Ok(exception),
        Err(error) => {
            if problems.is_empty() {
                problems.push(json_problem(&error));
            }
            Err(problems)
        }
    }
}

/// Checks the name and the weight of a new client account.
pub(crate) fn check_account(name: &Name, weight: f64) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(rules::check_name("name", name));
    problems.extend(rules::check_positive("weight", weight));
    problems
}

fn parse_json(body: &[u8]) -> Result<Value, Vec<Problem>> {
    serde_json::from_slice(body).map_err(|error| vec![json_problem(&error)])
}

fn json_problem(error: &serde_json::Error) -> Problem {
    let place = format!("line {} column {}", error.line(), error.column());
    Problem::new(place, error.to_string(), "correct the JSON text")
}
