//! Batches that have been fetched but not yet counted.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::{Batch, Ledger, Ranges, UsageSource};

/// Batches by source and number.
#[derive(Clone, Debug, Default)]
pub struct PendingBatches {
    batches: BTreeMap<(UsageSource, u64), Batch>,
    lines: usize,
}

impl PendingBatches {
    /// Adds a batch; a further copy of the same batch is ignored.
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

    /// Returns the number of usage lines.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Batches by source and number.
    pub fn batches(&self) -> impl Iterator<Item = &Batch> {
        self.batches.values()
    }

    /// Returns the numbers of the batches of one source.
    pub fn numbers(&self, source: &UsageSource) -> Ranges {
        let range = (source.clone(), 0)..=(source.clone(), u64::MAX);
        let held = self.batches.range(range);
        held.map(|((_, number), _)| (*number, *number)).collect()
    }

    /// Removes the batches that have been counted.
    pub fn remove_counted(&mut self, ledger: &Ledger) {
        self.batches
            .retain(|(source, number), _| !ledger.has_counted(source, *number));
        self.lines = self.batches.values().map(|batch| batch.lines.len()).sum();
    }
}
