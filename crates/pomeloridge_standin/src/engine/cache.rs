//! The prefix cache: blocks of the prompt, chained by hash, forgotten when long unused.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::Serialize;
use sha2::{Digest, Sha256};

/// Bytes of one block of a prompt.
pub const BLOCK_BYTES: usize = 256;
/// Events that are kept for readers.
const EVENTS: usize = 10_000;
/// One event of so many is never shown.
const GAP: u64 = 17;

/// The hashes of a prompt's whole blocks; each covers all blocks before it too.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut chain = 0_u64;
    let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        let mut hash = Sha256::new();
        hash.update(chain.to_be_bytes());
        hash.update(block);
        let digest = hash.finalize();
        chain = digest[..8]
            .iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
        hashes.push(chain);
    }
    hashes
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EventKind {
    Stored,
    Removed,
}

/// A cache event as it is shown; `block` is hexadecimal.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    n: u64,
    kind: EventKind,
    block: String,
    #[serde(skip)]
    at: u64,
}

/// Blocks by their last use.
#[derive(Debug)]
pub(crate) struct Cache {
    limit: usize,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<Event>,
    last_event: u64,
}

impl Cache {
    /// A cache of at most `limit` blocks.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            used: HashMap::new(),
            order: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// How many blocks from the start are there; marks them as used.
    pub(crate) fn find(&mut self, blocks: &[u64]) -> usize {
        let known = blocks.iter().take_while(|b| self.used.contains_key(b));
        let count = known.count();
        self.touch(&blocks[..count]);
        count
    }

    /// Keeps blocks, forgetting the longest unused; `now` in Unix ms.
    pub(crate) fn store(&mut self, blocks: &[u64], now: u64) {
        for block in blocks.iter().take(self.limit) {
            if !self.used.contains_key(block) {
                self.note(EventKind::Stored, *block, now);
            }
            self.touch(&[*block]);
        }
        while self.used.len() > self.limit {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.note(EventKind::Removed, block, now);
        }
    }

    /// The events after `after` that happened until `until` (Unix ms), without
    /// the gaps, and the number to ask after next time.
    pub(crate) fn events(&self, after: u64, until: u64) -> (u64, Vec<&Event>) {
        let asked = |event: &&Event| event.n > after && event.at <= until;
        let next = self.events.iter().filter(asked).map(|event| event.n).max();
        let shown = |event: &&Event| asked(event) && !event.n.is_multiple_of(GAP);
        (
            next.unwrap_or(after),
            self.events.iter().filter(shown).collect(),
        )
    }

    fn touch(&mut self, blocks: &[u64]) {
        // The start of a prompt is marked last, so that its end is forgotten first.
        for block in blocks.iter().rev() {
            self.uses += 1;
            if let Some(before) = self.used.insert(*block, self.uses) {
                self.order.remove(&before);
            }
            self.order.insert(self.uses, *block);
        }
    }

    fn note(&mut self, kind: EventKind, block: u64, at: u64) {
        self.last_event += 1;
        self.events.push_back(Event {
            n: self.last_event,
            kind,
            block: format!("{block:016x}"),
            at,
        });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
