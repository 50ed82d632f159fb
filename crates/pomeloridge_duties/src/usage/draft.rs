//! Drafts the next usage window from the pending batches.

use std::collections::{BTreeMap, BTreeSet};

use pomeloridge_base::id::Name;
use pomeloridge_platform::PlatformError;
use pomeloridge_platform::usage::{Seal, UsageCounts};

use super::included::{CountedBatches, Included};
use super::store::window_id;
use super::{Batch, Ledger, Line, PendingBatches, Ranges, RequestHash, UsageSource};

/// Maximum estimated size of a sealed object in bytes. The object service accepts up to 1 MB.
const MAX_SEAL_BYTES: usize = 700_000;
/// Size of a request in a sealed object, in bytes.
const REQUEST_BYTES: usize = 16;
/// Size of a client account in a sealed object without its name, in bytes.
const ACCOUNT_BYTES: usize = 96;
/// Size of a source in a sealed object without the node's name, in bytes.
const SOURCE_BYTES: usize = 128;
/// Maximum size of a range of batch numbers in a sealed object, in bytes.
const RANGE_BYTES: usize = 44;

/// A window that is ready to be sealed.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowDraft {
    /// Number of the window.
    pub window: u64,
    /// Usage by client account.
    pub accounts: BTreeMap<Name, UsageCounts>,
    /// Batches counted up to its end, and the requests counted in it.
    pub included: Included,
}

impl WindowDraft {
    /// Converts the draft to the form in which it is stored and reported.
    pub fn seal(&self) -> Result<Seal, PlatformError> {
        let window = window_id(self.window);
        Seal::new(window, &self.accounts, self.included.to_value())
    }
}

/// Drafts the window after the ledger's last one; returns `None` if it would be empty.
///
/// The batches in `lost`, of which no copy is left, are recorded as counted. A source without
/// counted batches in the last `source_retention` windows is dropped unless one of its batches
/// is pending. Batches that don't fit into one object are left to the next window.
pub fn draft_window(
    ledger: &Ledger,
    pending: &PendingBatches,
    lost: &BTreeMap<UsageSource, Ranges>,
    source_retention: u64,
    now_ms: u64,
) -> Option<WindowDraft> {
    let window = ledger.window() + 1;
    let mut builder = DraftBuilder::new(ledger, window, source_retention);
    for batch in pending.batches() {
        if ledger.has_counted(&batch.source, batch.number) {
            continue;
        }
        if !builder.add(ledger, batch) {
            break;
        }
    }
    builder.skip(lost);
    builder.build(ledger, now_ms)
}

/// Accumulates the batches of a window and their estimated size in the sealed object.
struct DraftBuilder<'a> {
    window: u64,
    counted: BTreeMap<UsageSource, CountedBatches>,
    lines: BTreeMap<RequestHash, &'a Line>,
    accounts: BTreeSet<&'a Name>,
    bytes: usize,
}

impl<'a> DraftBuilder<'a> {
    fn new(ledger: &Ledger, window: u64, source_retention: u64) -> Self {
        let is_recent = |counted: &CountedBatches| window - counted.window <= source_retention;
        let sources = ledger.counted().iter();
        let retained = sources.filter(|(_, counted)| is_recent(counted));
        let counted: BTreeMap<_, _> = retained
            .map(|(source, counted)| (source.clone(), counted.clone()))
            .collect();
        let bytes = counted
            .iter()
            .map(|(source, counted)| source_bytes(source, counted));
        Self {
            window,
            bytes: bytes.sum(),
            counted,
            lines: BTreeMap::new(),
            accounts: BTreeSet::new(),
        }
    }

    /// Counts a batch; returns false if it does not fit into the object.
    fn add(&mut self, ledger: &Ledger, batch: &'a Batch) -> bool {
        let counted = self.counted.get(&batch.source);
        let new_source = if counted.is_none() {
            SOURCE_BYTES + batch.source.node.as_bytes().len()
        } else {
            0
        };
        let lines: usize = batch.lines.iter().map(|line| self.line_bytes(line)).sum();
        let bytes = new_source + RANGE_BYTES + lines;
        if !self.lines.is_empty() && self.bytes + bytes > MAX_SEAL_BYTES {
            return false;
        }
        self.bytes += bytes;
        for line in &batch.lines {
            self.count(ledger, line);
        }
        // A source that would have been dropped keeps its counted batches.
        let previous = ledger.counted().get(&batch.source);
        let entry = self.counted.entry(batch.source.clone());
        let counted = entry.or_insert_with(|| previous.cloned().unwrap_or_default());
        counted.numbers.insert(batch.number, batch.number);
        counted.window = self.window;
        true
    }

    fn line_bytes(&self, line: &Line) -> usize {
        if self.accounts.contains(&line.account) {
            REQUEST_BYTES
        } else {
            REQUEST_BYTES + ACCOUNT_BYTES + line.account.as_bytes().len()
        }
    }

    /// Counts a line unless its request was counted in an earlier window.
    ///
    /// A stream that was resumed on another node has a line from each node. The greater line
    /// includes the other one, whichever comes first.
    fn count(&mut self, ledger: &Ledger, line: &'a Line) {
        let request = RequestHash::of(&line.request_id);
        if ledger.has_counted_request(request) {
            return;
        }
        self.accounts.insert(&line.account);
        let size = |line: &Line| (line.output_tokens, line.prompt_tokens);
        let counted = self.lines.entry(request).or_insert(line);
        if size(line) > size(counted) {
            *counted = line;
        }
    }

    /// Records lost batches as counted.
    fn skip(&mut self, lost: &BTreeMap<UsageSource, Ranges>) {
        for (source, numbers) in lost {
            let Some(counted) = self.counted.get_mut(source) else {
                continue;
            };
            for (first, last) in numbers.iter() {
                counted.numbers.insert(first, last);
            }
        }
    }

    fn build(self, ledger: &Ledger, now_ms: u64) -> Option<WindowDraft> {
        if self.lines.is_empty() {
            return None;
        }
        let mut accounts = BTreeMap::<Name, UsageCounts>::new();
        for line in self.lines.values() {
            let counts = accounts.entry(line.account.clone()).or_default();
            counts.requests += 1;
            counts.prompt_tokens += line.prompt_tokens;
            counts.output_tokens += line.output_tokens;
        }
        Some(WindowDraft {
            window: self.window,
            accounts,
            included: Included {
                counted: self.counted,
                requests: self.lines.into_keys().collect(),
                from_ms: ledger.end_ms(),
                to_ms: now_ms,
            },
        })
    }
}

fn source_bytes(source: &UsageSource, counted: &CountedBatches) -> usize {
    let ranges = counted.numbers.iter().count() * RANGE_BYTES;
    SOURCE_BYTES + source.node.as_bytes().len() + ranges
}
