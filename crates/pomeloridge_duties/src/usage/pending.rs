//! Buffer of batches to count.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::{Batch, Ledger, Ranges, UsageSource};

/// Fetched batches that have not been counted.
#[derive(Clone, Debug, Default)]
pub struct PendingBatches {
    batches: BTreeMap<(UsageSource, u64), Batch>,
    lines: usize,
}

impl PendingBatches {
    /// Adds a batch unless one with its source and number is already present.
    pub fn add(&mut self, batch: Batch) {
        match self.batches.entry((batch.source.clone(), batch.number)) {
            Entry::Vacant(entry) => {
                self.lines += batch.lines.len();
                entry.insert(batch);
            }
            Entry::Occupied(entry) if *entry.get() != batch => {
                log::error!(
                    "usage start={} number={} choice=keep_first reason=\"two batches have one number\"",
                    batch.source,
                    batch.number
                );
            }
            Entry::Occupied(_) => {}
        }
    }

    /// Returns the total number of usage lines.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Returns the batches in the order of their sources and numbers.
    pub fn batches(&self) -> impl Iterator<Item = &Batch> {
        self.batches.values()
    }

    /// Returns the numbers of the batches of one source.
    pub fn numbers(&self, source: &UsageSource) -> Ranges {
        let range = (source.clone(), 0)..=(source.clone(), u64::MAX);
        let batches = self.batches.range(range);
        batches.map(|((_, number), _)| (*number, *number)).collect()
    }

    /// Removes the batches that have been counted.
    pub fn remove_counted(&mut self, ledger: &Ledger) {
        self.batches
            .retain(|(source, number), _| !ledger.has_counted(source, *number));
        self.lines = self.batches.values().map(|batch| batch.lines.len()).sum();
    }
}
