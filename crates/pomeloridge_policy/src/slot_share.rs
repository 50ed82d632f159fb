//! The share of a pool's slots that this node uses, adapted to refusals by additive increase
//! and multiplicative decrease.

use std::time::{Duration, Instant};

use crate::capacity::Capacity;

/// Factor by which a refusal reduces the share.
const DECREASE_FACTOR: f64 = 0.85;
/// Fraction of all slots that a success adds to the share.
const INCREASE: f64 = 0.005;
/// Minimum share.
const MIN_FRACTION: f64 = 0.05;
/// Time within which several refusals reduce the share only once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// The share of a pool's slots that this node uses.
#[derive(Clone, Copy, Debug)]
pub struct SlotShare {
    fraction: f64,
    last_decrease: Option<Instant>,
}

impl Default for SlotShare {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            last_decrease: None,
        }
    }
}

impl SlotShare {
    /// Reduces the share after a server refused a request for lack of slots.
    pub fn record_refusal(&mut self, now: Instant) {
        let since = |at| now.saturating_duration_since(at);
        if self
            .last_decrease
            .is_some_and(|at| since(at) < DECREASE_INTERVAL)
        {
            return;
        }
        self.last_decrease = Some(now);
        self.fraction = (self.fraction * DECREASE_FACTOR).max(MIN_FRACTION);
    }

    /// Increases the share after a server accepted a request.
    pub fn record_success(&mut self) {
        self.fraction = (self.fraction + INCREASE).min(1.0);
    }

    /// Returns the share as a fraction of all slots.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Returns how many requests this node, one of `nodes`, may have in flight.
    ///
    /// Slots that peers occupy are left to them, except this node's equal share: without it,
    /// the node could not start anything while peers occupy all slots.
    pub fn limit(&self, capacity: Capacity, nodes: u32) -> u32 {
        if capacity.slots == 0 {
            return 0;
        }
        let equal_share = capacity.slots.div_ceil(nodes.max(1));
        let left = capacity.slots.saturating_sub(capacity.peers);
        let share = f64::from(capacity.slots) * self.fraction;
        (share.round() as u32).min(left.max(equal_share)).max(1)
    }
}
