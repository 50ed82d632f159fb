//! Batches of which no copy is left.

use std::collections::BTreeMap;

use super::{Ledger, Pending, Ranges, UsageSource};

/// Gaps in the numbers of starts, with the rounds in which they were looked for in vain.
#[derive(Clone, Debug, Default)]
pub struct Gaps(BTreeMap<UsageSource, Gap>);

#[derive(Clone, Copy, Debug)]
struct Gap {
    first: u64,
    rounds: u32,
}

impl Gaps {
    /// Notes a round in which every known node was asked.
    ///
    /// Gives the batches that have been looked for in `patience` rounds: the
    /// first gap of each start. A round that asked only some nodes must not be
    /// noted: the copy may be on one of the others.
    pub fn note(
        &mut self,
        ledger: &Ledger,
        pending: &Pending,
        patience: u32,
    ) -> BTreeMap<UsageSource, Ranges> {
        let mut gaps = BTreeMap::new();
        let mut lost = BTreeMap::new();
        for (start, first, last) in open_gaps(ledger, pending) {
            let before = self.0.get(&start).filter(|gap| gap.first == first);
            let rounds = before.map_or(1, |gap| gap.rounds.saturating_add(1));
            if rounds >= patience {
                lost.insert(start.clone(), Ranges::from_iter([(first, last)]));
            }
            gaps.insert(start, Gap { first, rounds });
        }
        self.0 = gaps;
        lost
    }
}

/// The starts with a gap, each with the numbers that the first one begins and ends with.
fn open_gaps(ledger: &Ledger, pending: &Pending) -> Vec<(UsageSource, u64, u64)> {
    let mut known = BTreeMap::<UsageSource, Ranges>::new();
    for (start, counted) in ledger.starts() {
        known.insert(start.clone(), counted.numbers.clone());
    }
    for batch in pending.batches() {
        let numbers = known.entry(batch.source.clone()).or_default();
        numbers.insert(batch.number, batch.number);
    }
    let gap = |(start, numbers): (UsageSource, Ranges)| {
        let (first, last) = numbers.first_gap()?;
        Some((start, first, last))
    };
    known.into_iter().filter_map(gap).collect()
}
