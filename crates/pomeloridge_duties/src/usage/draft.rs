//! The decision what the next window counts.

use std::collections::{BTreeMap, BTreeSet};

use pomeloridge_base::id::Name;
use pomeloridge_platform::PlatformError;
use pomeloridge_platform::usage::{Seal, UsageCounts};

use super::included::{CountedBatches, Included};
use super::store::window_id;
use super::{Batch, Ledger, Line, PendingBatches, Ranges, RequestHash, UsageSource};

/// Bytes of a sealed object that the decision aims at; the service takes a megabyte.
const SEAL_BYTES: usize = 700_000;
/// Bytes that a request takes in a sealed object.
const REQUEST_BYTES: usize = 16;
/// Bytes that a client account takes in a sealed object besides its name.
const ACCOUNT_BYTES: usize = 96;
/// Bytes that a start of a node takes in a sealed object besides its name.
const START_BYTES: usize = 128;
/// Bytes that one range of batch numbers takes at most.
const RANGE_BYTES: usize = 44;

/// A window that is ready to be sealed.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowDraft {
    /// Number of the window.
    pub window: u64,
    /// Figures by client account.
    pub accounts: BTreeMap<Name, UsageCounts>,
    /// What has been counted up to its end.
    pub included: Included,
}

impl WindowDraft {
    /// The form in which it is sealed.
    pub fn seal(&self) -> Result<Seal, PlatformError> {
        let window = window_id(self.window);
        Seal::new(window, &self.accounts, self.included.to_value())
    }
}

/// Drafts the window after the ledger's last one; `None` if it would have no figures.
///
/// The numbers in `lost` are taken as counted: no copy of those batches is left. Starts
/// that no window of the last `source_retention` counted are left out unless a batch of theirs
/// is pending. What does not fit into one object is left to the window after.
pub fn draft_window(
    ledger: &Ledger,
    pending: &PendingBatches,
    lost: &BTreeMap<UsageSource, Ranges>,
    source_retention: u64,
    now_ms: u64,
) -> Option<WindowDraft> {
    let window = ledger.window() + 1;
    let mut gathering = Gathering::new(ledger, window, source_retention);
    for batch in pending.batches() {
        if ledger.has_counted(&batch.source, batch.number) {
            continue;
        }
        if !gathering.take(ledger, batch) {
            break;
        }
    }
    gathering.skip(lost);
    gathering.draft(ledger, now_ms)
}

struct Gathering<'a> {
    window: u64,
    counted: BTreeMap<UsageSource, CountedBatches>,
    lines: BTreeMap<RequestHash, &'a Line>,
    accounts: BTreeSet<&'a Name>,
    bytes: usize,
}

impl<'a> Gathering<'a> {
    fn new(ledger: &Ledger, window: u64, source_retention: u64) -> Self {
        let recent = |counted: &CountedBatches| window - counted.window <= source_retention;
        let known = ledger.counted().iter();
        let kept = known.filter(|(_, counted)| recent(counted));
        let counted: BTreeMap<_, _> = kept
            .map(|(start, counted)| (start.clone(), counted.clone()))
            .collect();
        let bytes = counted
            .iter()
            .map(|(start, counted)| start_bytes(start, counted));
        Self {
            window,
            bytes: bytes.sum(),
            counted,
            lines: BTreeMap::new(),
            accounts: BTreeSet::new(),
        }
    }

    /// Counts a batch; false if it does not fit any more.
    fn take(&mut self, ledger: &Ledger, batch: &'a Batch) -> bool {
        let counted = self.counted.get(&batch.source);
        let new_start = if counted.is_none() {
            START_BYTES + batch.source.node.as_bytes().len()
        } else {
            0
        };
        let lines: usize = batch.lines.iter().map(|line| self.line_bytes(line)).sum();
        let bytes = new_start + RANGE_BYTES + lines;
        if !self.lines.is_empty() && self.bytes + bytes > SEAL_BYTES {
            return false;
        }
        self.bytes += bytes;
        for line in &batch.lines {
            self.count(ledger, line);
        }
        // A start that was about to be forgotten keeps what it had counted.
        let known = ledger.counted().get(&batch.source);
        let start = self.counted.entry(batch.source.clone());
        let counted = start.or_insert_with(|| known.cloned().unwrap_or_default());
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

    /// Counts a line unless its request was counted before.
    ///
    /// A stream that was taken up has a line on each node; the greater one covers the
    /// other, whichever comes first.
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

    fn skip(&mut self, lost: &BTreeMap<UsageSource, Ranges>) {
        for (start, numbers) in lost {
            let Some(counted) = self.counted.get_mut(start) else {
                continue;
            };
            for (first, last) in numbers.iter() {
                counted.numbers.insert(first, last);
            }
        }
    }

    fn draft(self, ledger: &Ledger, now_ms: u64) -> Option<WindowDraft> {
        if self.lines.is_empty() {
            return None;
        }
        let mut accounts = BTreeMap::<Name, UsageCounts>::new();
        for line in self.lines.values() {
            let figures = accounts.entry(line.account.clone()).or_default();
            figures.requests += 1;
            figures.prompt_tokens += line.prompt_tokens;
            figures.output_tokens += line.output_tokens;
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

fn start_bytes(start: &UsageSource, counted: &CountedBatches) -> usize {
    let ranges = counted.numbers.iter().count() * RANGE_BYTES;
    START_BYTES + start.node.as_bytes().len() + ranges
}
