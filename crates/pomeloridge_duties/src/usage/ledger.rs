//! State of usage accounting according to the sealed windows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::included::{CountedBatches, Included};
use super::{RequestHash, UsageSource};

/// Retention of the requests of sealed windows; the longer of the two limits applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Number of windows.
    pub windows: usize,
    /// Time between the ends of windows; long enough for a stream to be resumed on another
    /// node and to end.
    pub time: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            windows: 10,
            time: Duration::from_mins(5),
        }
    }
}

impl Retention {
    /// Returns whether the requests of a window that ended at `end_ms` are retained, given the
    /// number of newer windows and the end of the newest one.
    pub(crate) fn covers(self, newer: usize, end_ms: u64, newest_ms: u64) -> bool {
        let age = Duration::from_millis(newest_ms.saturating_sub(end_ms));
        newer < self.windows || age < self.time
    }
}

/// Requests of one sealed window.
#[derive(Clone, Debug, PartialEq, Eq)]
struct WindowRequests {
    requests: BTreeSet<RequestHash>,
    end_ms: u64,
}

/// Batches and requests counted so far, built from the newest sealed windows only.
///
/// Each window builds on the one before it, and only one object can exist under
/// the next window's id, so two lease holders cannot diverge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    window: u64,
    counted: BTreeMap<UsageSource, CountedBatches>,
    recent: VecDeque<WindowRequests>,
    end_ms: u64,
    retention: Retention,
}

impl Ledger {
    /// Creates a ledger to which no window has been applied.
    pub fn new(retention: Retention) -> Self {
        Self {
            retention,
            ..Self::default()
        }
    }

    /// Returns the number of the last window; 0 before the first.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// Returns the end of the last window, in ms since the Unix epoch.
    pub fn end_ms(&self) -> u64 {
        self.end_ms
    }

    /// Applies a sealed window; one that is not newer is ignored.
    pub fn apply(&mut self, window: u64, included: Included) {
        if window <= self.window {
            return;
        }
        self.window = window;
        self.counted = included.counted;
        self.end_ms = included.to_ms;
        self.recent.push_back(WindowRequests {
            requests: included.requests,
            end_ms: included.to_ms,
        });
        while let Some(oldest) = self.recent.front() {
            let newer = self.recent.len() - 1;
            if self.retention.covers(newer, oldest.end_ms, self.end_ms) {
                break;
            }
            self.recent.pop_front();
        }
    }

    /// Returns whether a request was counted in one of the retained windows.
    pub fn has_counted_request(&self, request: RequestHash) -> bool {
        let windows = &mut self.recent.iter();
        windows.any(|window| window.requests.contains(&request))
    }

    /// Returns whether a batch has been counted.
    pub fn has_counted(&self, source: &UsageSource, number: u64) -> bool {
        let counted = self.counted.get(source);
        counted.is_some_and(|counted| counted.numbers.contains(number))
    }

    /// Returns the counted batches of each source.
    pub fn counted(&self) -> &BTreeMap<UsageSource, CountedBatches> {
        &self.counted
    }

    /// Returns the number up to which all batches of a source have been counted.
    pub fn prefix(&self, source: &UsageSource) -> u64 {
        self.counted
            .get(source)
            .map_or(0, |counted| counted.numbers.prefix())
    }
}
