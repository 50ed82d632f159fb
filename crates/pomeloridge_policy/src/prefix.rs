//! Hints of which backend server holds which prompt blocks in its cache.
//!
//! Hints come from this node's own requests and from cache events. They are
//! only hints: a lost event costs a miss or a benefit that does not come.

use std::collections::{HashMap, VecDeque};

use derive_more::{Display, From, Into};
use sha2::{Digest, Sha256};

use crate::server::ServerKey;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;
/// Prompt tokens that one block stands for.
pub const BLOCK_TOKENS: u64 = 64;
/// Blocks of one prompt that are looked at.
pub const BLOCKS_PER_PROMPT: usize = 64;
/// Servers remembered for one block.
const HOLDERS: usize = 4;

/// A prompt block together with everything before it.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

/// The whole blocks of a prompt, from its start; each stands for all before it.
pub fn block_hashes(prompt: &[u8]) -> Vec<BlockHash> {
    let mut chain = 0_u64;
    let pieces = prompt.chunks_exact(BLOCK_BYTES).take(BLOCKS_PER_PROMPT);
    let chained = pieces.map(|piece| {
        let hash = Sha256::new().chain_update(chain.to_be_bytes());
        chain = leading_number(&hash.chain_update(piece).finalize());
        BlockHash(chain)
    });
    chained.collect()
}

/// The first eight bytes of a hash as a number.
pub(crate) fn leading_number(hash: &[u8]) -> u64 {
    let first = hash.iter().take(8);
    first.fold(0, |number, byte| (number << 8) | u64::from(*byte))
}

/// Which servers hold which blocks; the oldest blocks are forgotten first.
#[derive(Debug)]
pub struct PrefixHints {
    holders: HashMap<BlockHash, Vec<ServerKey>>,
    order: VecDeque<BlockHash>,
    limit: usize,
}

impl PrefixHints {
    /// Remembers at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            holders: HashMap::new(),
            order: VecDeque::new(),
            limit: limit.max(1),
        }
    }

    /// Notes that a server holds a block.
    pub fn add(&mut self, server: ServerKey, block: BlockHash) {
        if !self.holders.contains_key(&block) {
            self.make_room();
            self.order.push_back(block);
        }
        let holders = self.holders.entry(block).or_default();
        holders.retain(|holder| *holder != server);
        if holders.len() == HOLDERS {
            holders.remove(0);
        }
        holders.push(server);
    }

    /// Notes that a server holds every block of a prompt.
    pub fn add_blocks(&mut self, server: ServerKey, blocks: &[BlockHash]) {
        for block in blocks {
            self.add(server, *block);
        }
    }

    /// Notes that a server dropped a block.
    pub fn remove(&mut self, server: ServerKey, block: BlockHash) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|holder| *holder != server);
        }
    }

    /// Forgets everything about a server, as after its restart.
    pub fn remove_server(&mut self, server: ServerKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != server);
        }
    }

    /// Prompt tokens of the longest prefix that a server is thought to hold.
    pub fn cached_tokens(&self, server: ServerKey, blocks: &[BlockHash]) -> u64 {
        let holds = |block: &&BlockHash| {
            let holders = self.holders.get(block);
            holders.is_some_and(|holders| holders.contains(&server))
        };
        blocks.iter().take_while(holds).count() as u64 * BLOCK_TOKENS
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn make_room(&mut self) {
        while self.order.len() >= self.limit {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&oldest);
        }
    }
}
