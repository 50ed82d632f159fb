//! Usage batches kept in memory, a node's own and those of its peers.
//!
//! What is kept was acknowledged, so it is dropped only when the usage duty
//! says that it is sealed. When the store is full it refuses new batches, and
//! their senders count them as unreplicated.

use std::collections::BTreeMap;

use derive_more::Display;
use pomeloridge_base::id::{Incarnation, Name};

use crate::usage::{UsageBatch, UsagePage, UsageSpan};

/// Lines returned at once at most; one batch is returned whole in any case.
const MAX_PAGE_LINES: usize = 10_000;

/// Starts of nodes that are remembered at most when nothing of them is kept.
const MAX_EMPTY_SOURCES: usize = 10_000;

/// What became of a batch that was to be kept.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum InsertOutcome {
    /// It is kept from now on.
    #[display("new")]
    New,
    /// It was kept or sealed before.
    #[display("repeated")]
    Repeated,
    /// Another batch has its number; it is not kept.
    #[display("conflict")]
    Conflict,
    /// There is no room; it is not kept.
    #[display("full")]
    Full,
}

impl InsertOutcome {
    /// Whether the batch may be acknowledged.
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
    limit: usize,
}

/// The batches of one start of a node.
#[derive(Debug, Default)]
struct SourceBatches {
    batches: BTreeMap<u64, UsageBatch>,
    sealed: u64,
}

impl UsageStore {
    /// An empty store for at most `limit` lines.
    pub fn new(limit: usize) -> Self {
        Self {
            sources: BTreeMap::new(),
            lines: 0,
            limit,
        }
    }

    /// Lines kept.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Keeps a batch; a repeated one changes nothing.
    pub fn insert(&mut self, batch: UsageBatch) -> InsertOutcome {
        let key = (batch.node.clone(), batch.incarnation);
        let source = self.sources.get(&key);
        if source.is_some_and(|source| batch.number <= source.sealed) {
            return InsertOutcome::Repeated;
        }
        if let Some(kept) = source.and_then(|source| source.batches.get(&batch.number)) {
            return if *kept == batch {
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

    /// The batches kept of one start of a node, from a number on.
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

    /// Which batches are kept.
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

    /// Drops the batches up to a number that is sealed; those numbers are not kept again.
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

    /// Forgets the oldest start of which nothing is kept, if there are too many.
    fn prune(&mut self) {
        if self.sources.len() <= MAX_EMPTY_SOURCES {
            return;
        }
        let empty = (self.sources.iter()).filter(|(_, source)| source.batches.is_empty());
        let oldest = empty.min_by_key(|((_, incarnation), _)| *incarnation);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.sources.remove(&key);
        }
    }
}
