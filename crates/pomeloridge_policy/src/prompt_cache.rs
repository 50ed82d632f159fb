//! Tracks which prompt parts a server is expected to have in its KV cache.
//!
//! A cached part is useful only if all parts before it are cached as well. Like the
//! server itself, the tracked cache evicts the least recently used parts when it is full.

use std::collections::{BTreeMap, HashMap};

/// A part of a prompt that may be shared with other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the content; equal content has the same identifier.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    last_use: u64,
}

/// The prompt parts that one server is expected to have cached.
#[derive(Clone, Debug)]
pub struct PromptCache {
    capacity: u64,
    tokens: u64,
    use_count: u64,
    cached: HashMap<u64, CachedPart>,
    /// Identifiers of the cached parts by their last use.
    by_use: BTreeMap<u64, u64>,
}

impl PromptCache {
    /// Creates an empty cache of `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            tokens: 0,
            use_count: 0,
            cached: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Sets the capacity in tokens and evicts parts beyond it.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.evict();
    }

    /// Returns whether a part is cached.
    pub fn contains(&self, part: PromptPart) -> bool {
        self.cached.contains_key(&part.id)
    }

    /// Returns the tokens of the leading parts that are cached without a gap.
    pub fn leading_tokens(&self, parts: &[PromptPart]) -> u64 {
        let leading = parts
            .iter()
            .take_while(|part| self.cached.contains_key(&part.id));
        leading.map(|part| part.tokens).sum()
    }

    /// Records that the server processes these parts, which caches them.
    pub fn record(&mut self, parts: &[PromptPart]) {
        for part in parts {
            self.use_count += 1;
            let entry = CachedPart {
                tokens: part.tokens,
                last_use: self.use_count,
            };
            if let Some(previous) = self.cached.insert(part.id, entry) {
                self.by_use.remove(&previous.last_use);
                self.tokens -= previous.tokens;
            }
            self.by_use.insert(self.use_count, part.id);
            self.tokens += part.tokens;
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.tokens > self.capacity && self.evict_least_recent() {}
    }

    fn evict_least_recent(&mut self) -> bool {
        let Some((_, id)) = self.by_use.pop_first() else {
            return false;
        };
        if let Some(entry) = self.cached.remove(&id) {
            self.tokens -= entry.tokens;
        }
        true
    }
}
