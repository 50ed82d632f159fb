//! Which parts of prompts a server is thought to hold.
//!
//! A part is of use only while all parts before it are held as well. The server
//! drops the least recently used parts when its memory is full; so does this view.

use std::collections::{BTreeMap, HashMap};

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier; the same content has the same one.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    used: u64,
}

/// The parts that one server is thought to hold.
#[derive(Clone, Debug)]
pub struct PromptCache {
    capacity: u64,
    tokens: u64,
    uses: u64,
    held: HashMap<u64, Held>,
    by_use: BTreeMap<u64, u64>,
}

impl PromptCache {
    /// An empty cache of `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            tokens: 0,
            uses: 0,
            held: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Changes the number of tokens that are held.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.shrink();
    }

    /// Whether a part is held.
    pub fn contains(&self, part: PromptPart) -> bool {
        self.held.contains_key(&part.id)
    }

    /// Tokens of the leading parts that are held.
    pub fn leading_tokens(&self, parts: &[PromptPart]) -> u64 {
        let leading = parts
            .iter()
            .take_while(|part| self.held.contains_key(&part.id));
        leading.map(|part| part.tokens).sum()
    }

    /// Notes that the server has read these parts.
    pub fn record(&mut self, parts: &[PromptPart]) {
        for part in parts {
            self.uses += 1;
            let held = Held {
                tokens: part.tokens,
                used: self.uses,
            };
            if let Some(before) = self.held.insert(part.id, held) {
                self.by_use.remove(&before.used);
                self.tokens -= before.tokens;
            }
            self.by_use.insert(self.uses, part.id);
            self.tokens += part.tokens;
        }
        self.shrink();
    }

    fn shrink(&mut self) {
        while self.tokens > self.capacity && self.drop_oldest() {}
    }

    fn drop_oldest(&mut self) -> bool {
        let Some((_, id)) = self.by_use.pop_first() else {
            return false;
        };
        if let Some(held) = self.held.remove(&id) {
            self.tokens -= held.tokens;
        }
        true
    }
}
