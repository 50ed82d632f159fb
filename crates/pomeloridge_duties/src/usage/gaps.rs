//! Detection of lost batches, of which no node stores a copy.

use std::collections::BTreeMap;

use super::{Ledger, PendingBatches, Ranges, UsageSource};

/// First gap in the batch numbers of each source, and the rounds in which it was found.
#[derive(Clone, Debug, Default)]
pub struct Gaps(BTreeMap<UsageSource, Gap>);

#[derive(Clone, Copy, Debug)]
struct Gap {
    first: u64,
    rounds: u32,
}

impl Gaps {
    /// Records a round in which every known node answered.
    ///
    /// Returns the first gap of each source that was found in `gap_rounds` successive rounds;
    /// its batches are lost. A round in which some nodes did not answer must not be recorded,
    /// because one of them may store a missing batch.
    pub fn record_round(
        &mut self,
        ledger: &Ledger,
        pending: &PendingBatches,
        gap_rounds: u32,
    ) -> BTreeMap<UsageSource, Ranges> {
        let mut gaps = BTreeMap::new();
        let mut lost = BTreeMap::new();
        for (source, first, last) in open_gaps(ledger, pending) {
            let previous = self.0.get(&source).filter(|gap| gap.first == first);
            let rounds = previous.map_or(1, |gap| gap.rounds.saturating_add(1));
            if rounds >= gap_rounds {
                lost.insert(source.clone(), Ranges::from_iter([(first, last)]));
            }
            gaps.insert(source, Gap { first, rounds });
        }
        self.0 = gaps;
        lost
    }
}

/// Returns the first gap of each source that has one, as its first and last number.
fn open_gaps(ledger: &Ledger, pending: &PendingBatches) -> Vec<(UsageSource, u64, u64)> {
    let mut known = BTreeMap::<UsageSource, Ranges>::new();
    for (source, counted) in ledger.counted() {
        known.insert(source.clone(), counted.numbers.clone());
    }
    for batch in pending.batches() {
        let numbers = known.entry(batch.source.clone()).or_default();
        numbers.insert(batch.number, batch.number);
    }
    let gap = |(source, numbers): (UsageSource, Ranges)| {
        let (first, last) = numbers.first_gap()?;
        Some((source, first, last))
    };
    known.into_iter().filter_map(gap).collect()
}
