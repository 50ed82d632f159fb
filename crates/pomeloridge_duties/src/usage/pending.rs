//! Batches that have been gathered and not yet counted.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::{Batch, Ledger, Ranges, UsageSource};

/// Batches by start and number.
#[derive(Clone, Debug, Default)]
pub struct Pending {
    batches: BTreeMap<(UsageSource, u64), Batch>,
    lines: usize,
}

impl Pending {
    /// Takes a batch; another copy of one that is held changes nothing.
    pub fn add(&mut self, batch: Batch) {
        match self.batches.entry((batch.source.clone(), batch.number)) {
            Entry::Vacant(free) => {
                self.lines += batch.lines.len();
                free.insert(batch);
            }
            Entry::Occupied(held) if *held.get() != batch => {
                log::error!(
                    "usage start={} number={} choice=keep_first reason=\"two batches have one number\"",
                    batch.source,
                    batch.number
                );
            }
            Entry::Occupied(_) => {}
        }
    }

    /// Lines held.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Batches by start and number.
    pub fn batches(&self) -> impl Iterator<Item = &Batch> {
        self.batches.values()
    }

    /// Numbers held of one start.
    pub fn numbers(&self, start: &UsageSource) -> Ranges {
        let range = (start.clone(), 0)..=(start.clone(), u64::MAX);
        let held = self.batches.range(range);
        held.map(|((_, number), _)| (*number, *number)).collect()
    }

    /// Drops what has been counted.
    pub fn drop_counted(&mut self, ledger: &Ledger) {
        self.batches
            .retain(|(start, number), _| !ledger.has_counted(start, *number));
        self.lines = self.batches.values().map(|batch| batch.lines.len()).sum();
    }
}
