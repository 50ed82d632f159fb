//! Hints about the prompt blocks that each backend server has in its prefix cache.
//!
//! Hints come from this node's own requests and from cache events. They need not be
//! exact: a lost event only causes a cache miss or an overestimated benefit.

use std::collections::{HashMap, VecDeque};

use derive_more::{Display, From, Into};
use sha2::{Digest, Sha256};

use crate::server::ServerKey;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;
/// Prompt tokens assumed per block.
pub const BLOCK_TOKENS: u64 = 64;
/// Maximum number of blocks hashed per prompt.
pub const MAX_BLOCKS_PER_PROMPT: usize = 64;
/// Maximum number of servers recorded per block.
const MAX_HOLDERS_PER_BLOCK: usize = 4;

/// The hash of a prompt block, chained with the hashes of all blocks before it.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

/// Returns the chained hashes of the complete blocks at the start of a prompt.
pub fn block_hashes(prompt: &[u8]) -> Vec<BlockHash> {
    let mut chain = 0_u64;
    let chunks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS_PER_PROMPT);
    let hashes = chunks.map(|chunk| {
        let hash = Sha256::new().chain_update(chain.to_be_bytes());
        chain = leading_number(&hash.chain_update(chunk).finalize());
        BlockHash(chain)
    });
    hashes.collect()
}

/// Returns the first eight bytes of a hash as a big-endian number.
pub(crate) fn leading_number(hash: &[u8]) -> u64 {
    let first = hash.iter().take(8);
    first.fold(0, |number, byte| (number << 8) | u64::from(*byte))
}

/// The servers that are expected to hold each prompt block.
///
/// The oldest blocks are evicted first.
#[derive(Debug)]
pub struct PrefixHints {
    holders: HashMap<BlockHash, Vec<ServerKey>>,
    /// Blocks in order of insertion.
    order: VecDeque<BlockHash>,
    limit: usize,
}

impl PrefixHints {
    /// Creates an empty table that holds at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            holders: HashMap::new(),
            order: VecDeque::new(),
            limit: limit.max(1),
        }
    }

    /// Records that a server holds a block.
    pub fn add(&mut self, server: ServerKey, block: BlockHash) {
        if !self.holders.contains_key(&block) {
            self.evict_oldest();
            self.order.push_back(block);
        }
        let holders = self.holders.entry(block).or_default();
        holders.retain(|holder| *holder != server);
        if holders.len() == MAX_HOLDERS_PER_BLOCK {
            holders.remove(0);
        }
        holders.push(server);
    }

    /// Records that a server holds every block of a prompt.
    pub fn add_blocks(&mut self, server: ServerKey, blocks: &[BlockHash]) {
        for block in blocks {
            self.add(server, *block);
        }
    }

    /// Records that a server has evicted a block.
    pub fn remove(&mut self, server: ServerKey, block: BlockHash) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|holder| *holder != server);
        }
    }

    /// Removes a server from all blocks, for example after its restart.
    pub fn remove_server(&mut self, server: ServerKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != server);
        }
    }

    /// Returns the prompt tokens of the longest prefix that a server is expected to hold.
    pub fn cached_tokens(&self, server: ServerKey, blocks: &[BlockHash]) -> u64 {
        let holds = |block: &&BlockHash| {
            let holders = self.holders.get(block);
            holders.is_some_and(|holders| holders.contains(&server))
        };
        blocks.iter().take_while(holds).count() as u64 * BLOCK_TOKENS
    }

    /// Returns the number of recorded blocks.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no blocks are recorded.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn evict_oldest(&mut self) {
        while self.order.len() >= self.limit {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&oldest);
        }
    }
}
