//! The prefix cache: prompt blocks with chained hashes and LRU eviction.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::Serialize;
use sha2::{Digest, Sha256};

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;
/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 10_000;
/// Events whose number is a multiple of this are withheld from readers, as if lost.
const OMITTED_EVERY: u64 = 17;

/// Returns the chained hashes of the complete blocks at the start of a prompt.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
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

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EventKind {
    Stored,
    Removed,
}

/// A cache event; `block` is hexadecimal.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    n: u64,
    kind: EventKind,
    block: String,
    /// Unix ms.
    #[serde(skip)]
    at: u64,
}

/// Cached blocks in order of their last use.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    /// Number of the last use by block.
    last_use: HashMap<u64, u64>,
    /// Block by the number of its last use.
    by_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<Event>,
    last_event: u64,
}

impl Cache {
    /// Creates a cache of at most `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// Returns how many leading blocks are cached, and marks them as used.
    pub(crate) fn match_prefix(&mut self, blocks: &[u64]) -> usize {
        let cached = blocks.iter().take_while(|b| self.last_use.contains_key(b));
        let count = cached.count();
        self.touch(&blocks[..count]);
        count
    }

    /// Stores blocks, evicting the least recently used ones; `now` in Unix ms.
    pub(crate) fn store(&mut self, blocks: &[u64], now: u64) {
        for block in blocks.iter().take(self.capacity) {
            if !self.last_use.contains_key(block) {
                self.record_event(EventKind::Stored, *block, now);
            }
            self.touch(&[*block]);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&block);
            self.record_event(EventKind::Removed, block, now);
        }
    }

    /// Returns the number to continue after and the events after `after` up to
    /// `cutoff` (Unix ms), without the omitted ones.
    pub(crate) fn events(&self, after: u64, cutoff: u64) -> (u64, Vec<&Event>) {
        let selected = |event: &&Event| event.n > after && event.at <= cutoff;
        let next = self
            .events
            .iter()
            .filter(selected)
            .map(|event| event.n)
            .max();
        let shown = |event: &&Event| selected(event) && !event.n.is_multiple_of(OMITTED_EVERY);
        (
            next.unwrap_or(after),
            self.events.iter().filter(shown).collect(),
        )
    }

    fn touch(&mut self, blocks: &[u64]) {
        // The start of a prompt is marked last, so that its end is evicted first.
        for block in blocks.iter().rev() {
            self.use_count += 1;
            if let Some(previous) = self.last_use.insert(*block, self.use_count) {
                self.by_use.remove(&previous);
            }
            self.by_use.insert(self.use_count, *block);
        }
    }

    fn record_event(&mut self, kind: EventKind, block: u64, at: u64) {
        self.last_event += 1;
        self.events.push_back(Event {
            n: self.last_event,
            kind,
            block: format!("{block:016x}"),
            at,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
