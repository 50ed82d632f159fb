//! Usage batches: what client accounts used, numbered by the node that served them.

use bytes::Bytes;
use pomeloridge_base::id::{Incarnation, Name};

/// What one request used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageLine {
    /// The request's id; a line known to two nodes counts once.
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
pub struct UsageBatch {
    /// The node that served the requests.
    pub node: Name,
    /// Which start of the node.
    pub incarnation: Incarnation,
    /// Number in the incarnation, from 1 without gaps.
    pub number: u64,
    /// What was used.
    pub lines: Vec<UsageLine>,
}

/// The batches that are kept of one start of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageSpan {
    /// The node that served the requests.
    pub node: Name,
    /// Which start of the node.
    pub incarnation: Incarnation,
    /// The lowest number kept.
    pub first: u64,
    /// The highest number kept.
    pub last: u64,
}

/// Part of the batches that a node keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsagePage {
    /// Batches in the order of their numbers.
    pub batches: Vec<UsageBatch>,
    /// Whether batches were left out at the end.
    pub has_more: bool,
}
