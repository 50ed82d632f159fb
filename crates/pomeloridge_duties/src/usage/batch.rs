//! Usage batches as they come from the nodes.

use bytes::Bytes;
use derive_more::Display;
use pomeloridge_base::id::{Incarnation, Name};
use sha2::{Digest, Sha256};

/// One start of a node, which numbers its batches from 1.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{node}@{incarnation}")]
pub struct UsageSource {
    /// The node.
    pub node: Name,
    /// Which start of it.
    pub incarnation: Incarnation,
}

/// What one request used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The request's id.
    pub request_id: Bytes,
    /// Client account.
    pub account: Name,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the output.
    pub output_tokens: u64,
}

/// Lines that were gathered and numbered by one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Who numbered it.
    pub source: UsageSource,
    /// Number, from 1.
    pub number: u64,
    /// What was used.
    pub lines: Vec<Line>,
}

/// The batches of one start that one node keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRange {
    /// The node that keeps them.
    pub stored_on: Name,
    /// Who numbered them.
    pub source: UsageSource,
    /// Lowest number kept.
    pub first: u64,
    /// Highest number kept; numbers between may be lacking.
    pub last: u64,
}

/// BatchPage of the batches that one node keeps of a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchPage {
    /// Batches in the order of their numbers.
    pub batches: Vec<Batch>,
    /// Whether batches were left out at the end.
    pub has_more: bool,
}

/// The first 8 bytes of the SHA-256 of a request's id.
///
/// Two of a million remembered ids are equal with a chance of less than one in
/// ten million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// Hash of a request's id.
    pub fn of(request_id: &[u8]) -> Self {
        let digest = Sha256::digest(request_id);
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(first))
    }
}
