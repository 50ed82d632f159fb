//! What a sealed window says besides its figures, and the form in which it is kept.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use displaydoc::Display;
use pomeloridge_base::id::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Ranges, RequestHash, UsageSource};

/// Hexadecimal digits of a request hash.
const HASH_DIGITS: usize = 16;

/// The batches of one start that have been counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CountedBatches {
    /// Their numbers.
    pub numbers: Ranges,
    /// The last window that counted one.
    pub window: u64,
}

/// What has been counted up to the end of a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Included {
    /// Batches counted in this window and before it.
    pub counted: BTreeMap<UsageSource, CountedBatches>,
    /// Requests counted in this window.
    pub requests: BTreeSet<RequestHash>,
    /// End of the window before, in ms since the Unix epoch; information only.
    pub from_ms: u64,
    /// When the window was sealed, in ms since the Unix epoch; information only.
    pub to_ms: u64,
}

/// A sealed window that can't be read.
#[derive(Debug, Display)]
pub enum IncludedError {
    /// the sealed window's form is wrong: {0}
    Form(serde_json::Error),
    /// the sealed window's request hashes are not in hexadecimal
    Hashes,
}

impl std::error::Error for IncludedError {}

#[derive(Serialize, Deserialize)]
struct IncludedWire {
    starts: Vec<StartWire>,
    requests: String,
    from_ms: u64,
    to_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct StartWire {
    node: Name,
    incarnation: Incarnation,
    numbers: Vec<(u64, u64)>,
    window: u64,
}

impl Included {
    /// The form in which it is sealed.
    pub fn to_value(&self) -> Value {
        serde_json::to_value(IncludedWire::from(self)).unwrap_or_default()
    }

    /// Reads what was sealed.
    pub fn from_value(value: &Value) -> Result<Self, IncludedError> {
        let wire = IncludedWire::deserialize(value).map_err(IncludedError::Form)?;
        wire.try_into()
    }
}

impl From<&Included> for IncludedWire {
    fn from(included: &Included) -> Self {
        let mut requests = String::with_capacity(included.requests.len() * HASH_DIGITS);
        for hash in &included.requests {
            // Writing to a `String` does not fail.
            let _ = write!(requests, "{:016x}", hash.0);
        }
        let starts = included.counted.iter().map(|(start, counted)| StartWire {
            node: start.node.clone(),
            incarnation: start.incarnation,
            numbers: counted.numbers.iter().collect(),
            window: counted.window,
        });
        Self {
            starts: starts.collect(),
            requests,
            from_ms: included.from_ms,
            to_ms: included.to_ms,
        }
    }
}

impl TryFrom<IncludedWire> for Included {
    type Error = IncludedError;

    fn try_from(wire: IncludedWire) -> Result<Self, Self::Error> {
        let digits = wire.requests.as_bytes();
        if !digits.len().is_multiple_of(HASH_DIGITS) {
            return Err(IncludedError::Hashes);
        }
        let requests = digits.chunks(HASH_DIGITS).map(read_hash);
        let counted = wire.starts.into_iter().map(|start| {
            let key = UsageSource {
                node: start.node,
                incarnation: start.incarnation,
            };
            let counted = CountedBatches {
                numbers: start.numbers.into_iter().collect(),
                window: start.window,
            };
            (key, counted)
        });
        Ok(Self {
            counted: counted.collect(),
            requests: requests.collect::<Result<_, _>>()?,
            from_ms: wire.from_ms,
            to_ms: wire.to_ms,
        })
    }
}

fn read_hash(digits: &[u8]) -> Result<RequestHash, IncludedError> {
    let text = std::str::from_utf8(digits).map_err(|_| IncludedError::Hashes)?;
    let hash = u64::from_str_radix(text, 16).map_err(|_| IncludedError::Hashes)?;
    Ok(RequestHash(hash))
}
