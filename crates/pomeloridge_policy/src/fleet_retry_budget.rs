//! The part of a fleet-wide retry budget that one node may spend.
//!
//! The fleet may repeat a share of a service's requests in any sliding window,
//! and a fixed number on top. A node needs no agreement with its peers: it spends
//! the share on its own requests and an equal part of the fixed number. A node that has
//! just started does not know what an earlier start of it has spent, and leaves the fixed
//! number alone until that is out of the window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of one slice of the window.
const SLICE: Duration = Duration::from_millis(500);
/// Part of the share that is spent; the rest covers requests that peers count
/// in another slice.
const SHARE_SPENT: f64 = 0.85;
/// Part of the fixed number that is spent; the rest covers repeats that arrive later than
/// they were counted.
const FIXED_SPENT: f64 = 0.5;

/// The fleet's bound on repeats.
#[derive(Clone, Copy, Debug)]
pub struct FleetRetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, in the whole fleet.
    pub allowance: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    repeats: u32,
}

impl FleetRetryLimits {
    /// When a node that starts at `start` may spend its part of the fixed number: what an
    /// earlier start of it has spent is out of the window then.
    pub fn allowance_from(&self, start: Instant) -> Instant {
        start + self.window + SLICE
    }
}

/// A node's part of the fixed number.
#[derive(Clone, Copy, Debug)]
pub struct AllowanceShare {
    /// Nodes that share the number, whether they are heard or not.
    pub nodes: usize,
    /// From when on the node may spend its part.
    pub available_from: Instant,
}

/// Repeats of the current window, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Made by this node.
    pub used: u32,
    /// Most that it may make.
    pub limit: f64,
}

/// The repeats that one node makes at one service.
#[derive(Debug)]
pub struct FleetRetryBudget {
    limits: FleetRetryLimits,
    slices: VecDeque<Slice>,
}

impl FleetRetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(limits: FleetRetryLimits) -> Self {
        Self {
            limits,
            slices: VecDeque::new(),
        }
    }

    /// Changes the bound; what is spent stays spent.
    pub fn set_limits(&mut self, limits: FleetRetryLimits) {
        self.limits = limits;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// The repeats made and allowed.
    pub fn usage(&mut self, part: AllowanceShare, now: Instant) -> RetryUsage {
        self.slice(now);
        let (requests, repeats) = self
            .slices
            .iter()
            .fold((0, 0), |(requests, repeats), slice| {
                (requests + slice.requests, repeats + slice.repeats)
            });
        let share = f64::from(requests) * self.limits.ratio * SHARE_SPENT;
        let fixed = if now >= part.available_from {
            self.limits.allowance * FIXED_SPENT / part.nodes.max(1) as f64
        } else {
            0.0
        };
        RetryUsage {
            used: repeats,
            limit: share + fixed,
        }
    }

    /// Counts a repeat if there is room for it.
    pub fn try_spend(&mut self, part: AllowanceShare, now: Instant) -> bool {
        let standing = self.usage(part, now);
        if f64::from(standing.used + 1) > standing.limit {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    fn slice(&mut self, now: Instant) -> &mut Slice {
        let window = self.limits.window;
        let old = |slice: &Slice| now.saturating_duration_since(slice.start) > window + SLICE;
        while self.slices.front().is_some_and(old) {
            self.slices.pop_front();
        }
        let current = |slice: &Slice| now.saturating_duration_since(slice.start) < SLICE;
        if !self.slices.back().is_some_and(current) {
            self.slices.push_back(Slice {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
