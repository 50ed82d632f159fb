//! Gathering of batches from the nodes that keep them.

use super::{BatchPage, Ledger, Pending, StoredRange, UsageSource};

/// Lines that are gathered in one round at most; the rest is left to the next.
const ROUND_LINES: usize = 400_000;

/// Who keeps which batches.
#[derive(Clone, Debug, Default)]
pub struct BatchInventory {
    /// What each node keeps, this node's own store among them.
    pub ranges: Vec<StoredRange>,
    /// Whether every known node answered.
    pub complete: bool,
}

/// How the nodes' batches are reached.
pub struct NodeClient<S, F, D> {
    /// `async fn() -> BatchInventory`: asks every node what it keeps.
    pub list: S,
    /// `async fn(&StoredRange, u64) -> Option<BatchPage>`: reads batches from a number on
    /// at the holding's keeper; `None` if it did not answer.
    pub fetch: F,
    /// `async fn(&UsageSource, u64)`: lets every node drop the batches up to a number.
    pub discard: D,
}

/// Whether no more is gathered in this round.
pub(crate) fn is_full(pending: &Pending) -> bool {
    pending.lines() > ROUND_LINES
}

/// Adds to `pending` what is kept and not yet counted; says whether nothing is lacking.
pub async fn gather(
    ledger: &Ledger,
    pending: &mut Pending,
    gathered: &BatchInventory,
    fetch: impl AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
) -> bool {
    let mut complete = gathered.complete;
    // A node that keeps its own batches has them all, so that the copies
    // elsewhere need not be read.
    let (own, copies): (Vec<_>, Vec<_>) = gathered
        .ranges
        .iter()
        .partition(|holding| holding.stored_on == holding.source.node);
    for holding in own.into_iter().chain(copies) {
        complete &= read(ledger, pending, holding, &fetch).await;
    }
    complete
}

async fn read(
    ledger: &Ledger,
    pending: &mut Pending,
    holding: &StoredRange,
    fetch: impl AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
) -> bool {
    let mut from = holding.first;
    loop {
        from = next_wanted(ledger, pending, &holding.source, from);
        if from > holding.last {
            return true;
        }
        if is_full(pending) {
            return false;
        }
        let Some(part) = fetch(holding, from).await else {
            return false;
        };
        let Some(last) = part.batches.last().map(|batch| batch.number) else {
            return true;
        };
        for batch in part.batches {
            if batch.source == holding.source && !ledger.has_counted(&batch.source, batch.number) {
                pending.add(batch);
            }
        }
        if !part.has_more {
            return true;
        }
        from = from.max(last).saturating_add(1);
    }
}

/// The least number from `from` on that is neither counted nor pending.
fn next_wanted(ledger: &Ledger, pending: &Pending, start: &UsageSource, from: u64) -> u64 {
    let mut numbers = pending.numbers(start);
    if let Some(counted) = ledger.starts().get(start) {
        for (first, last) in counted.numbers.iter() {
            numbers.insert(first, last);
        }
    }
    numbers.next_missing(from)
}
