//! The share of a pool's slots that this node uses, adapted by refusals.

use std::time::{Duration, Instant};

use crate::capacity::Capacity;

/// Factor of the share after a refusal.
const LOWER: f64 = 0.85;
/// Part of all slots added to the share after a success.
const RAISE: f64 = 0.005;
/// Least share.
const LEAST: f64 = 0.05;
/// Time within which refusals lower the share once.
const LOWER_PAUSE: Duration = Duration::from_millis(100);

/// The share of a pool's slots that this node uses.
#[derive(Clone, Copy, Debug)]
pub struct SlotShare {
    fraction: f64,
    lowered: Option<Instant>,
}

impl Default for SlotShare {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            lowered: None,
        }
    }
}

impl SlotShare {
    /// Lowers the share after a server refused for want of slots.
    pub fn record_refusal(&mut self, now: Instant) {
        let since = |at| now.saturating_duration_since(at);
        if self.lowered.is_some_and(|at| since(at) < LOWER_PAUSE) {
            return;
        }
        self.lowered = Some(now);
        self.fraction = (self.fraction * LOWER).max(LEAST);
    }

    /// Raises the share after a server took a request.
    pub fn record_success(&mut self) {
        self.fraction = (self.fraction + RAISE).min(1.0);
    }

    /// The share as a part of 1.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Requests that this node of `nodes` may have in flight.
    ///
    /// What peers have in flight is left to them, but never this node's equal
    /// fraction: it could not start anything while peers fill all slots.
    pub fn limit(&self, capacity: Capacity, nodes: u32) -> u32 {
        if capacity.slots == 0 {
            return 0;
        }
        let equal = capacity.slots.div_ceil(nodes.max(1));
        let left = capacity.slots.saturating_sub(capacity.peers);
        let share = f64::from(capacity.slots) * self.fraction;
        (share.round() as u32).min(left.max(equal)).max(1)
    }
}
