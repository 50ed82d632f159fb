//! Usage batches received from the nodes.

use bytes::Bytes;
use derive_more::Display;
use pomeloridge_base::id::{Incarnation, Name};
use sha2::{Digest, Sha256};

/// Incarnation of a node, which numbers its batches from 1.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{node}@{incarnation}")]
pub struct UsageSource {
    /// The node.
    pub node: Name,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
}

/// Usage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Request id.
    pub request_id: Bytes,
    /// Client account.
    pub account: Name,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
}

/// Usage lines that one node collected under one batch number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Node incarnation that numbered it.
    pub source: UsageSource,
    /// Batch number, from 1.
    pub number: u64,
    /// Usage by request.
    pub lines: Vec<Line>,
}

/// Range of batches of one source that one node stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRange {
    /// Node that stores them.
    pub stored_on: Name,
    /// Node incarnation that numbered them.
    pub source: UsageSource,
    /// Lowest stored number.
    pub first: u64,
    /// Highest stored number; numbers in between may be missing.
    pub last: u64,
}

/// Page of the batches of one source that one node stores.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchPage {
    /// Batches in ascending order of their numbers.
    pub batches: Vec<Batch>,
    /// Whether further batches follow.
    pub has_more: bool,
}

/// First 8 bytes of the SHA-256 of a request id.
///
/// The probability of any collision among a million remembered ids is below one
/// in ten million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// Hashes a request id.
    pub fn of(request_id: &[u8]) -> Self {
        let digest = Sha256::digest(request_id);
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(first))
    }
}
