//! Fetches batches from the nodes that store them.

use super::{BatchPage, Ledger, PendingBatches, StoredRange, UsageSource};

/// Number of pending lines above which the rest is left to the next round.
const MAX_ROUND_LINES: usize = 400_000;

/// Ranges of batches that the nodes store.
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
    /// `async fn(&UsageSource, u64)`: lets every node discard the batches up to a number.
    pub discard: D,
}

/// Returns whether the limit of lines for this round is exceeded.
pub(crate) fn is_full(pending: &PendingBatches) -> bool {
    pending.lines() > MAX_ROUND_LINES
}

/// Adds stored batches that are not yet counted to `pending`; returns whether none is missing.
pub async fn gather(
    ledger: &Ledger,
    pending: &mut PendingBatches,
    gathered: &BatchInventory,
    fetch: impl AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
) -> bool {
    let mut complete = gathered.complete;
    // A node that still stores its own batches has them all, so its ranges are read
    // first and the copies on peers need not be fetched.
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
    pending: &mut PendingBatches,
    holding: &StoredRange,
    fetch: impl AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
) -> bool {
    let mut from = holding.first;
    loop {
        from = next_uncounted(ledger, pending, &holding.source, from);
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
