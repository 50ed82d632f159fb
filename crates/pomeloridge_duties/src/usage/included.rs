//! The `included` field of a sealed window: the batches and requests counted so far.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use displaydoc::Display;
use pomeloridge_base::id::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Ranges, RequestHash, UsageSource};

/// Hexadecimal digits of a request hash.
const HASH_DIGITS: usize = 16;

/// Counted batches of one source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CountedBatches {
    /// Batch numbers.
    pub numbers: Ranges,
    /// Last window in which one of them was counted.
    pub window: u64,
}

/// Batches counted up to the end of a window, and the requests counted in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Included {
    /// Batches counted in this window and in earlier ones, by source.
    pub counted: BTreeMap<UsageSource, CountedBatches>,
    /// Requests counted in this window.
    pub requests: BTreeSet<RequestHash>,
    /// End of the previous window, in ms since the Unix epoch; informational.
    pub from_ms: u64,
    /// Time at which the window was sealed, in ms since the Unix epoch.
    pub to_ms: u64,
}

/// Error in the `included` field of a sealed window.
#[derive(Debug, Display)]
pub enum IncludedError {
    /// sealed window is malformed: {0}
    Malformed(serde_json::Error),
    /// request hashes of a sealed window are not hexadecimal
    Hashes,
}

impl std::error::Error for IncludedError {}

#[derive(Serialize, Deserialize)]
struct IncludedWire {
    starts: Vec<SourceWire>,
    requests: String,
    from_ms: u64,
    to_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct SourceWire {
    node: Name,
    incarnation: Incarnation,
    numbers: Vec<(u64, u64)>,
    window: u64,
}

impl Included {
    /// Converts to the stored form.
    pub fn to_value(&self) -> Value {
        serde_json::to_value(IncludedWire::from(self)).unwrap_or_default()
    }

    /// Parses the stored form.
    pub fn from_value(value: &Value) -> Result<Self, IncludedError> {
        let wire = IncludedWire::deserialize(value).map_err(IncludedError::Malformed)?;
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
        let starts = included.counted.iter().map(|(source, counted)| SourceWire {
            node: source.node.clone(),
            incarnation: source.incarnation,
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
        let requests = digits.chunks(HASH_DIGITS).map(parse_hash);
        let counted = wire.starts.into_iter().map(|wire| {
            let source = UsageSource {
                node: wire.node,
                incarnation: wire.incarnation,
            };
            let counted = CountedBatches {
                numbers: wire.numbers.into_iter().collect(),
                window: wire.window,
            };
            (source, counted)
        });
        Ok(Self {
            counted: counted.collect(),
            requests: requests.collect::<Result<_, _>>()?,
            from_ms: wire.from_ms,
            to_ms: wire.to_ms,
        })
    }
}

fn parse_hash(digits: &[u8]) -> Result<RequestHash, IncludedError> {
    let text = std::str::from_utf8(digits).map_err(|_| IncludedError::Hashes)?;
    let hash = u64::from_str_radix(text, 16).map_err(|_| IncludedError::Hashes)?;
    Ok(RequestHash(hash))
}
