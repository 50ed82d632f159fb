//! Usage of client accounts, in batches numbered by the node that served the requests.

use bytes::Bytes;
use pomeloridge_base::id::{Incarnation, Name};

/// Usage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageLine {
    /// Id of the request; lines with the same id are counted once.
    pub request_id: Bytes,
    /// Client account that is charged.
    pub account: Name,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
}

/// Usage lines collected and numbered by one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageBatch {
    /// Node that served the requests.
    pub node: Name,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Number within the incarnation, from 1 without gaps.
    pub number: u64,
    /// Usage of each request.
    pub lines: Vec<UsageLine>,
}

/// Range of the stored batches of one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageSpan {
    /// Node that served the requests.
    pub node: Name,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Lowest stored number.
    pub first: u64,
    /// Highest stored number.
    pub last: u64,
}

/// Page of the batches stored on a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsagePage {
    /// Batches in ascending order of their numbers.
    pub batches: Vec<UsageBatch>,
    /// Whether more batches follow.
    pub has_more: bool,
}
