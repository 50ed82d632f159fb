//! Checks a configuration as a whole, so that an operator sees every fault at once.

mod fields;
mod rules;

use pomeloridge_base::config::{Exception, FleetConfig};
use pomeloridge_base::id::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub(crate) use rules::check_exceptions;

/// Longest name of an account or an exception, in bytes.
const NAME_BYTES: usize = 128;

/// A fault in a configuration: where it is, what it is and how to mend it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Place in the object, such as `routes[1].weight`.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
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

/// Reads a fleet configuration or says everything that is wrong with it.
pub fn parse_fleet(body: &[u8]) -> Result<FleetConfig, Vec<Problem>> {
    let value = parse_json(body)?;
    let mut problems = fields::fleet(&value);
    // The text is read again, because a value keeps only the last of two equal keys.
    let fleet = match serde_json::from_slice::<FleetConfig>(body) {
        Ok(fleet) => fleet,
        Err(error) => {
            if problems.is_empty() {
                problems.push(unreadable(&error));
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

/// Reads one exception or says everything that is wrong with its fields.
pub(crate) fn read_exception(body: &[u8]) -> Result<Exception, Vec<Problem>> {
    let value = parse_json(body)?;
    let mut problems = fields::exception("exception", &value);
    match serde_json::from_slice(body) {
        Ok(exception) => Ok(exception),
        Err(error) => {
            if problems.is_empty() {
                problems.push(unreadable(&error));
            }
            Err(problems)
        }
    }
}

/// Checks what an operator says of a client account.
pub(crate) fn check_account(name: &Name, weight: f64) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(rules::name("name", name));
    problems.extend(rules::positive("weight", weight));
    problems
}

fn parse_json(body: &[u8]) -> Result<Value, Vec<Problem>> {
    serde_json::from_slice(body).map_err(|error| vec![unreadable(&error)])
}

fn unreadable(error: &serde_json::Error) -> Problem {
    let place = format!("line {} column {}", error.line(), error.column());
    Problem::new(place, error.to_string(), "correct the JSON text")
}
