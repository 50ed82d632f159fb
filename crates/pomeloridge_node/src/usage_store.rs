//! In-memory store of usage batches, a node's own and those of its peers.
//!
//! A stored batch was acknowledged, so it is dropped only when the usage duty reports
//! it as sealed. A full store refuses new batches, and their senders count them as
//! unreplicated.

use std::collections::BTreeMap;

use derive_more::Display;
use pomeloridge_base::id::{Incarnation, Name};

use crate::usage::{UsageBatch, UsagePage, UsageSpan};

/// Maximum number of lines in one page; the first batch is always returned whole.
const MAX_PAGE_LINES: usize = 10_000;

/// Number of sources above which the oldest one without batches is removed.
const MAX_SOURCES: usize = 10_000;

/// Outcome of storing a batch.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum InsertOutcome {
    /// Stored.
    #[display("new")]
    New,
    /// Already stored or sealed.
    #[display("repeated")]
    Repeated,
    /// Not stored: a different batch has its number.
    #[display("conflict")]
    Conflict,
    /// Not stored: the store is full.
    #[display("full")]
    Full,
}

impl InsertOutcome {
    /// Returns whether the batch may be acknowledged.
    pub fn can_acknowledge(self) -> bool {
        match self {
            Self::New | Self::Repeated => true,
            Self::Conflict | Self::Full => false,
        }
    }
}

/// Usage batches by node, incarnation and number.
#[derive(Debug)]
pub struct UsageStore {
    sources: BTreeMap<(Name, Incarnation), SourceBatches>,
    lines: usize,
    /// Maximum number of lines.
    limit: usize,
}

/// Batches of one incarnation of a node.
#[derive(Debug, Default)]
struct SourceBatches {
    batches: BTreeMap<u64, UsageBatch>,
    /// Highest sealed number.
    sealed: u64,
}

impl UsageStore {
    /// Creates an empty store for at most `limit` lines.
    pub fn new(limit: usize) -> Self {
        Self {
            sources: BTreeMap::new(),
            lines: 0,
            limit,
        }
    }

    /// Returns the number of stored lines.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Stores a batch; a repeated one changes nothing.
    pub fn insert(&mut self, batch: UsageBatch) -> InsertOutcome {
        let key = (batch.node.clone(), batch.incarnation);
        let source = self.sources.get(&key);
        if source.is_some_and(|source| batch.number <= source.sealed) {
            return InsertOutcome::Repeated;
        }
        if let Some(stored) = source.and_then(|source| source.batches.get(&batch.number)) {
            return if *stored == batch {
                InsertOutcome::Repeated
            } else {
                InsertOutcome::Conflict
            };
        }
        if self.lines + batch.lines.len() > self.limit {
            return InsertOutcome::Full;
        }
        self.lines += batch.lines.len();
        let source = self.sources.entry(key).or_default();
        source.batches.insert(batch.number, batch);
        InsertOutcome::New
    }

    /// Returns a page of the batches of one incarnation of a node, from number `from` on.
    pub fn read(&self, node: &Name, incarnation: Incarnation, from: u64) -> UsagePage {
        let mut page = UsagePage::default();
        let Some(source) = self.sources.get(&(node.clone(), incarnation)) else {
            return page;
        };
        let mut lines = 0;
        for batch in source.batches.range(from..).map(|(_, batch)| batch) {
            lines += batch.lines.len();
            if lines > MAX_PAGE_LINES && !page.batches.is_empty() {
                page.has_more = true;
                break;
            }
            page.batches.push(batch.clone());
        }
        page
    }

    /// Returns the ranges of the stored batches.
    pub fn spans(&self) -> Vec<UsageSpan> {
        let sources = self.sources.iter();
        let span = sources.filter_map(|((node, incarnation), source)| {
            Some(UsageSpan {
                node: node.clone(),
                incarnation: *incarnation,
                first: *source.batches.first_key_value()?.0,
                last: *source.batches.last_key_value()?.0,
            })
        });
        span.collect()
    }

    /// Drops the batches up to a sealed number; those numbers are not stored again.
    pub fn drop_sealed(&mut self, node: &Name, incarnation: Incarnation, up_to: u64) {
        let key = (node.clone(), incarnation);
        let source = self.sources.entry(key).or_default();
        source.sealed = source.sealed.max(up_to);
        let rest = source.batches.split_off(&source.sealed.saturating_add(1));
        let dropped = std::mem::replace(&mut source.batches, rest);
        self.lines -= dropped
            .values()
            .map(|batch| batch.lines.len())
            .sum::<usize>();
        self.prune();
    }

    /// Removes the oldest source without batches if there are too many sources.
    fn prune(&mut self) {
        if self.sources.len() <= MAX_SOURCES {
            return;
        }
        let empty = (self.sources.iter()).filter(|(_, source)| source.batches.is_empty());
        let oldest = empty.min_by_key(|((_, incarnation), _)| *incarnation);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.sources.remove(&key);
        }
    }
}
