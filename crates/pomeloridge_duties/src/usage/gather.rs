//! Fetches batches from the nodes that store them.

use super::{BatchPage, Ledger, PendingBatches, StoredRange, UsageSource};

/// Number of pending lines above which the remaining batches are left to the next round.
const MAX_ROUND_LINES: usize = 400_000;

/// Batches that the nodes store, as listed by the nodes.
#[derive(Clone, Debug, Default)]
pub struct BatchInventory {
    /// Ranges stored by each node, including this one.
    pub ranges: Vec<StoredRange>,
    /// Whether every known node answered.
    pub complete: bool,
}

/// Calls to the nodes that store batches.
pub struct NodeClient<S, F, D> {
    /// `async fn() -> BatchInventory`: lists the batches that every node stores.
    pub list: S,
    /// `async fn(&StoredRange, u64) -> Option<BatchPage>`: fetches batches from a
    /// number on from the node that stores the range; `None` if it did not answer.
    pub fetch: F,
    /// `async fn(&UsageSource, u64)`: tells every node to discard the batches up to a number.
    pub discard: D,
}

/// Returns whether the pending lines exceed the limit of one round.
pub(crate) fn is_full(pending: &PendingBatches) -> bool {
    pending.lines() > MAX_ROUND_LINES
}

/// Fetches the batches that are neither counted nor pending into `pending`.
///
/// Returns whether every node answered and all batches were fetched.
pub async fn gather(
    ledger: &Ledger,
    pending: &mut PendingBatches,
    inventory: &BatchInventory,
    fetch: impl AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
) -> bool {
    let mut complete = inventory.complete;
    // A node that still stores its own batches has them all, so its ranges are read
    // first and the copies on peers need not be fetched.
    let (own, copies): (Vec<_>, Vec<_>) = inventory
        .ranges
        .iter()
        .partition(|range| range.stored_on == range.source.node);
    for range in own.into_iter().chain(copies) {
        complete &= fetch_range(ledger, pending, range, &fetch).await;
    }
    complete
}

async fn fetch_range(
    ledger: &Ledger,
    pending: &mut PendingBatches,
    range: &StoredRange,
    fetch: impl AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
) -> bool {
    let mut from = range.first;
    loop {
        from = next_uncounted(ledger, pending, &range.source, from);
        if from > range.last {
            return true;
        }
        if is_full(pending) {
            return false;
        }
        let Some(page) = fetch(range, from).await else {
            return false;
        };
        let Some(last) = page.batches.last().map(|batch| batch.number) else {
            return true;
        };
        for batch in page.batches {
            if batch.source == range.source && !ledger.has_counted(&batch.source, batch.number) {
                pending.add(batch);
            }
        }
        if !page.has_more {
            return true;
        }
        from = from.max(last).saturating_add(1);
    }
}

/// Returns the lowest number from `from` on that is neither counted nor pending.
fn next_uncounted(
    ledger: &Ledger,
    pending: &PendingBatches,
    source: &UsageSource,
    from: u64,
) -> u64 {
    let mut numbers = pending.numbers(source);
    if let Some(counted) = ledger.counted().get(source) {
        for (first, last) in counted.numbers.iter() {
            numbers.insert(first, last);
        }
    }
    numbers.next_missing(from)
}
