//! What has been counted so far, as the sealed windows say.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::included::{Counted, Included};
use super::{RequestHash, UsageSource};

/// For how long the requests of sealed windows are remembered: whichever is more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Number of windows.
    pub windows: usize,
    /// Time between the ends of windows; long enough for a stream to be taken up and end.
    pub time: Duration,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            windows: 10,
            time: Duration::from_mins(5),
        }
    }
}

impl Memory {
    /// Whether a window that ended at `end_ms`, with `newer` windows after it, is
    /// remembered when the newest one ended at `newest_ms`.
    pub(crate) fn holds(self, newer: usize, end_ms: u64, newest_ms: u64) -> bool {
        let age = Duration::from_millis(newest_ms.saturating_sub(end_ms));
        newer < self.windows || age < self.time
    }
}

/// The requests of one sealed window.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Remembered {
    requests: BTreeSet<RequestHash>,
    end_ms: u64,
}

/// The state of the duty, built from the newest sealed windows and nothing else.
///
/// Each window is sealed on top of the one before it, so that two holders can't
/// go different ways: only one object can stand under the next window's id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    window: u64,
    starts: BTreeMap<UsageSource, Counted>,
    recent: VecDeque<Remembered>,
    end_ms: u64,
    memory: Memory,
}

impl Ledger {
    /// A ledger before the first window, with a memory for requests.
    pub fn new(memory: Memory) -> Self {
        Self {
            memory,
            ..Self::default()
        }
    }

    /// Number of the last window taken in; 0 before the first.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// End of the last window, in ms since the Unix epoch.
    pub fn end_ms(&self) -> u64 {
        self.end_ms
    }

    /// Takes in a sealed window; one that is not newer changes nothing.
    pub fn adopt(&mut self, window: u64, included: Included) {
        if window <= self.window {
            return;
        }
        self.window = window;
        self.starts = included.starts;
        self.end_ms = included.to_ms;
        self.recent.push_back(Remembered {
            requests: included.requests,
            end_ms: included.to_ms,
        });
        while let Some(oldest) = self.recent.front() {
            let newer = self.recent.len() - 1;
            if self.memory.holds(newer, oldest.end_ms, self.end_ms) {
                break;
            }
            self.recent.pop_front();
        }
    }

    /// Whether a request has been counted in one of the windows that are remembered.
    pub fn knows(&self, request: RequestHash) -> bool {
        let windows = &mut self.recent.iter();
        windows.any(|window| window.requests.contains(&request))
    }

    /// Whether a batch has been counted.
    pub fn has_counted(&self, start: &UsageSource, number: u64) -> bool {
        let counted = self.starts.get(start);
        counted.is_some_and(|counted| counted.numbers.contains(number))
    }

    /// The batches counted, by start.
    pub fn starts(&self) -> &BTreeMap<UsageSource, Counted> {
        &self.starts
    }

    /// The number up to which all batches of a start have been counted.
    pub fn prefix(&self, start: &UsageSource) -> u64 {
        self.starts
            .get(start)
            .map_or(0, |counted| counted.numbers.prefix())
    }
}
