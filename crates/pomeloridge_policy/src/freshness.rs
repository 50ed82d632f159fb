//! How recently the object service is known to have answered one of the nodes that watch it.
//!
//! Most nodes learn of changes from the few that watch. Every message between nodes carries the
//! age of the latest answer that its sender knows of, its own or one that it was told of. Whatever
//! the loss of the watching nodes looks like (killed, paused, unreachable, cut off from the
//! service, watches that hang), that age grows everywhere. A node that finds it too old no longer
//! counts any peer as watching that has not been answered since, so that the next nodes in the
//! ranking step in.
//!
//! The answers to the watches are spread over time, so that the age stays low without further
//! calls.

use std::time::{Duration, Instant};

/// Maximum age of the latest answer, as a part of the time within which every node must act on a
/// change. The rest is for stepping in, reading and telling the others.
const MAX_AGE_PART: f64 = 0.55;
/// Time after which a watch is renewed, as a part of the same time.
const RENEWAL_PART: f64 = 1.1;
/// Minimum wait of a watch, as a part of the time after which it is renewed.
const MIN_WAIT_PART: u32 = 6;

/// Times that follow from the time within which every node must act on a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessTimes {
    /// Maximum age of the latest answer.
    pub max_age: Duration,
    /// Time after which a watch is renewed.
    pub renewal: Duration,
}

impl FreshnessTimes {
    /// Returns the times for a bound on the time within which every node must act on a change, and
    /// a maximum for the wait of a watch.
    pub fn new(bound: Duration, max_wait: Duration) -> Self {
        Self {
            max_age: bound.mul_f64(MAX_AGE_PART),
            renewal: max_wait.min(bound.mul_f64(RENEWAL_PART)),
        }
    }

    /// Returns how long a watch waits. `slot` is one of `slots` points in the renewal period at
    /// which the watches of all nodes end in turn; `unix_ms` is the time that the nodes agree on.
    pub fn wait(&self, unix_ms: u64, slot: usize, slots: usize) -> Duration {
        let period = (self.renewal.as_millis() as u64).max(1);
        let end = period * slot as u64 / slots.max(1) as u64;
        let left = Duration::from_millis(period - (unix_ms + period - end) % period);
        if left < self.renewal / MIN_WAIT_PART {
            left + self.renewal
        } else {
            left
        }
    }
}

/// The latest answer that a node knows of.
#[derive(Debug)]
pub struct Freshness {
    /// When a watching node was last answered.
    confirmed: Instant,
    /// Since when peers without an answer do not count as watching; `None` until the latest
    /// answer was too old for the first time.
    doubted: Option<Instant>,
}

impl Freshness {
    /// Creates the state of a node that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            confirmed: now,
            doubted: None,
        }
    }

    /// Records that a watching node was answered.
    pub fn record(&mut self, answered: Instant) {
        self.confirmed = self.confirmed.max(answered);
    }

    /// Returns the age of the latest answer.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed)
    }

    /// Checks the age of the latest answer. Returns it if it has just become too old, so that the
    /// peers known to be watching no longer count as such.
    pub fn check(&mut self, max_age: Duration, now: Instant) -> Option<Duration> {
        let since = self
            .doubted
            .map_or(self.confirmed, |at| at.max(self.confirmed));
        if now.saturating_duration_since(since) <= max_age {
            return None;
        }
        self.doubted = Some(now);
        Some(self.age(now))
    }

    /// Returns whether a peer that was last answered at `answered` may count as watching.
    pub fn is_trusted(&self, answered: Instant) -> bool {
        self.doubted.is_none_or(|doubted| answered >= doubted)
    }

    /// Returns whether nothing has been heard of an answer since the latest became too old.
    pub fn is_doubted(&self) -> bool {
        self.doubted.is_some_and(|doubted| self.confirmed < doubted)
    }
}
