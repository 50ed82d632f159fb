//! One node's part of a retry budget that the whole fleet shares.
//!
//! In any sliding window, the fleet may retry a fixed ratio of a service's requests, plus
//! a fixed allowance. Nodes don't coordinate: each one applies the ratio to its own
//! requests and takes an equal share of the allowance. A node that has just started doesn't
//! know what its previous incarnation spent, so it leaves the allowance alone until that
//! has left the window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of one slice of the window.
const SLICE_LENGTH: Duration = Duration::from_millis(500);
/// Fraction of the ratio that is spent; the rest covers requests that peers count in
/// another slice.
const SPENT_RATIO_FRACTION: f64 = 0.85;
/// Fraction of the allowance that is spent; the rest covers retries that arrive later than
/// they were counted.
const SPENT_ALLOWANCE_FRACTION: f64 = 0.5;

/// Fraction of a node's budget up to which it is spent on retries that are not needed.
const SPARE_FRACTION: f64 = 0.5;

/// Limits on the retries of the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetRetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Further retries of the whole fleet per window.
    pub allowance: f64,
    /// Window to which both limits apply.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    retries: u32,
}

impl FleetRetryLimits {
    /// Returns when a node that starts at `start` may spend its share of the allowance:
    /// retries of its previous incarnation have left the window by then.
    pub fn allowance_from(&self, start: Instant) -> Instant {
        start + self.window + SLICE_LENGTH
    }
}

/// A node's share of the fleet's allowance.
#[derive(Clone, Copy, Debug)]
pub struct AllowanceShare {
    /// Number of nodes that share the allowance, whether they are reachable or not.
    pub nodes: usize,
    /// Time from which the node may spend its share.
    pub available_from: Instant,
}

/// Retries in the current window, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Retries sent by this node.
    pub used: u32,
    /// Maximum number of retries that it may send.
    pub limit: f64,
}

impl RetryUsage {
    /// Returns whether one more retry may be sent.
    pub fn has_room(&self) -> bool {
        f64::from(self.used + 1) <= self.limit
    }

    /// Returns whether one more retry may be sent that is not needed, and so leaves room for those
    /// that are.
    pub fn has_spare_room(&self) -> bool {
        f64::from(self.used + 1) <= self.limit * SPARE_FRACTION
    }
}

/// Counts the retries that one node sends to one service.
#[derive(Debug)]
pub struct FleetRetryBudget {
    limits: FleetRetryLimits,
    slices: VecDeque<Slice>,
}

impl FleetRetryBudget {
    /// Returns an unspent budget.
    pub fn new(limits: FleetRetryLimits) -> Self {
        Self {
            limits,
            slices: VecDeque::new(),
        }
    }

    /// Changes the limits; retries already counted stay counted.
    pub fn set_limits(&mut self, limits: FleetRetryLimits) {
        self.limits = limits;
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slice(now).requests += 1;
    }

    /// Returns the retries sent and allowed in the current window.
    pub fn usage(&mut self, allowance: AllowanceShare, now: Instant) -> RetryUsage {
        self.current_slice(now);
        let (requests, retries) = self
            .slices
            .iter()
            .fold((0, 0), |(requests, retries), slice| {
                (requests + slice.requests, retries + slice.retries)
            });
        let proportional = f64::from(requests) * self.limits.ratio * SPENT_RATIO_FRACTION;
        let fixed = if now >= allowance.available_from {
            self.limits.allowance * SPENT_ALLOWANCE_FRACTION / allowance.nodes.max(1) as f64
        } else {
            0.0
        };
        RetryUsage {
            used: retries,
            limit: proportional + fixed,
        }
    }

    /// Counts a retry if the budget allows one more, and returns whether it does.
    pub fn try_spend(&mut self, allowance: AllowanceShare, now: Instant) -> bool {
        let usage = self.usage(allowance, now);
        if !usage.has_room() {
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    /// Counts a retry that is not needed if the budget has spare room, and returns whether it has.
    pub fn try_spend_spare(&mut self, allowance: AllowanceShare, now: Instant) -> bool {
        let has_room = self.usage(allowance, now).has_spare_room();
        self.current_slice(now).retries += u32::from(has_room);
        has_room
    }

    /// Gives back a retry that was counted at `spent_at` and has not been sent.
    pub fn give_back(&mut self, spent_at: Instant) {
        let mut slices = self.slices.iter_mut().rev();
        if let Some(slice) = slices.find(|slice| slice.start <= spent_at) {
            slice.retries = slice.retries.saturating_sub(1);
        }
    }

    /// Drops expired slices and returns the current one.
    fn current_slice(&mut self, now: Instant) -> &mut Slice {
        let window = self.limits.window;
        let is_expired =
            |slice: &Slice| now.saturating_duration_since(slice.start) > window + SLICE_LENGTH;
        while self.slices.front().is_some_and(is_expired) {
            self.slices.pop_front();
        }
        let is_current = |slice: &Slice| now.saturating_duration_since(slice.start) < SLICE_LENGTH;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
